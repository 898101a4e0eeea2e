"""Measures the load of one backend server at its dispatcher."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagefall.balancing.hot_keys import SpaceSaving
from greengagefall.balancing.loads import ServerLoad

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_WINDOW_S = 8.0
SKETCH_CAPACITY = 64
MAX_REPORTED_SLICES = 8
NO_SLICE = -1


class LoadMeter:
    """Counts arrivals, answers and busy slots over windows of ``window_s``.

    Results are those of the last complete window. Call ``on_arrival`` for each request that
    reaches the dispatcher, ``on_start`` when it is sent and ``on_finish`` when it ends.
    """

    def __init__(self, slots: int, clock: Clock, window_s: float = DEFAULT_WINDOW_S) -> None:
        self._slots = slots
        self._clock = clock
        self._window_s = window_s
        self._in_flight = 0
        self._window_start_s = self._changed_s = clock.now_s()
        self._arrived = self._served = 0
        self._busy_s = 0.0
        self._slices = SpaceSaving(SKETCH_CAPACITY)
        self._last_load = ServerLoad(0.0, 0.0, 0.0, True)
        self._last_slices: dict[int, float] = {}

    def on_arrival(self, slice_id: int = NO_SLICE) -> None:
        """Counts a request; ``slice_id`` is ``NO_SLICE`` in a pooled back end."""
        self._advance()
        self._arrived += 1
        if slice_id != NO_SLICE:
            self._slices.add(str(slice_id))

    def on_start(self) -> None:
        """Counts a request that is sent to the server."""
        self._advance()
        self._in_flight += 1

    def on_finish(self, served: bool) -> None:
        """Counts the end of a sent request; ``served`` says whether it was answered."""
        self._advance()
        self._in_flight -= 1
        self._served += served

    def load(self, up: bool) -> ServerLoad:
        """Returns the load over the last complete window."""
        self._advance()
        return self._last_load._replace(up=up)

    def busiest_slice_rates(self) -> dict[int, float]:
        """Returns the requests per second of the busiest slices in the last complete window."""
        self._advance()
        return self._last_slices

    def _advance(self) -> None:
        now_s = self._clock.now_s()
        self._busy_s += self._in_flight * (now_s - self._changed_s)
        self._changed_s = now_s
        elapsed_s = now_s - self._window_start_s
        if elapsed_s < self._window_s:
            return
        self._last_load = ServerLoad(
            min(1.0, self._busy_s / elapsed_s / self._slots),
            self._arrived / elapsed_s,
            self._served / elapsed_s,
            True,
        )
        self._last_slices = {
            int(hot.key): hot.count / elapsed_s
            for hot in self._slices.top(MAX_REPORTED_SLICES)
            if hot.error <= hot.count / 2
        }
        self._window_start_s = now_s
        self._arrived = self._served = 0
        self._busy_s = 0.0
        self._slices = SpaceSaving(SKETCH_CAPACITY)
