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

    What it returns is that of the last whole window. Call ``on_arrival`` for each request
    that reaches the dispatcher, ``on_start`` and ``on_finish`` around its run.
    """

    def __init__(self, slots: int, clock: Clock, window_s: float = DEFAULT_WINDOW_S) -> None:
        self._slots = slots
        self._clock = clock
        self._window_s = window_s
        self._in_flight = 0
        self._began_s = self._changed_s = clock.now_s()
        self._offered = self._served = 0
        self._busy_s = 0.0
        self._slices = SpaceSaving(SKETCH_CAPACITY)
        self._last = ServerLoad(0.0, 0.0, 0.0, True)
        self._last_slices: dict[int, float] = {}

    def on_arrival(self, slice_id: int = NO_SLICE) -> None:
        """Counts a request for a slice, or for none in a pooled back end."""
        self._advance()
        self._offered += 1
        if slice_id != NO_SLICE:
            self._slices.add(str(slice_id))

    def on_start(self) -> None:
        """Counts a request that is sent to the server."""
        self._advance()
        self._in_flight += 1

    def on_finish(self, served: bool) -> None:
        """Counts the end of a request that was sent; ``served`` if it was answered."""
        self._advance()
        self._in_flight -= 1
        self._served += served

    def load(self, up: bool) -> ServerLoad:
        """Returns the load over the last whole window."""
        self._advance()
        return self._last._replace(up=up)

    def busiest_slice_rates(self) -> dict[int, float]:
        """Returns the requests per second of the busiest slices in that window."""
        self._advance()
        return self._last_slices

    def _advance(self) -> None:
        now_s = self._clock.now_s()
        self._busy_s += self._in_flight * (now_s - self._changed_s)
        self._changed_s = now_s
        elapsed_s = now_s - self._began_s
        if elapsed_s < self._window_s:
            return
        self._last = ServerLoad(
            min(1.0, self._busy_s / elapsed_s / self._slots),
            self._offered / elapsed_s,
            self._served / elapsed_s,
            True,
        )
        self._last_slices = {
            int(hot.key): hot.count / elapsed_s
            for hot in self._slices.top(MAX_REPORTED_SLICES)
            if hot.error <= hot.count / 2
        }
        self._began_s = now_s
        self._offered = self._served = 0
        self._busy_s = 0.0
        self._slices = SpaceSaving(SKETCH_CAPACITY)
