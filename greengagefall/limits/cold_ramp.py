"""Limits requests in flight while a backend server is in cold start."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_HOLD_S = 1.0
MAX_HOLD_S = 30.0
DEFAULT_STEP_S = 0.3
DEFAULT_STEP_SUCCESSES = 3


class ColdRamp:
    """Raises the bound from ``cold_slots`` to ``slots`` as the server answers requests.

    The bound stays at ``cold_slots`` until the hold time of ``cold_hold_s`` has passed without a
    sign of cold start. Each further step takes at least ``cold_step_s`` and a number of answers
    in a row that is ``cold_step_successes`` times the current bound. If the server refuses a
    request after a step, the next hold time doubles, up to ``MAX_HOLD_S``. The doubling is
    reset once the bound reaches ``slots``.
    """

    def __init__(self, slots: int, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._slots = slots
        self._clock = clock
        self._hold_s = tuning.get("cold_hold_s", DEFAULT_HOLD_S)
        self._step_s = tuning.get("cold_step_s", DEFAULT_STEP_S)
        self._step_successes = tuning.get("cold_step_successes", DEFAULT_STEP_SUCCESSES)
        self._bound = slots
        self._successes = 0
        self._next_step_s = 0.0
        self._hold_factor = 1

    @property
    def cold(self) -> bool:
        """Whether the bound is still below the server's slots."""
        return self._bound < self._slots

    @property
    def bound(self) -> int:
        """Number of requests that may be in flight to the server."""
        return self._bound

    def restart_at(self, cold_slots: int) -> None:
        """Lowers the bound to ``cold_slots`` after a sign of cold start."""
        self._bound = max(1, min(cold_slots, self._slots))
        self._successes = 0
        hold_s = min(max(MAX_HOLD_S, self._hold_s), self._hold_s * self._hold_factor)
        self._next_step_s = self._clock.now_s() + hold_s

    def on_success(self) -> None:
        """Counts an answer and raises the bound by one when the next step is due."""
        if not self.cold:
            return
        self._successes += 1
        if self._successes < self._step_successes * self._bound:
            return
        now_s = self._clock.now_s()
        if now_s < self._next_step_s:
            return
        self._bound += 1
        self._successes = 0
        self._next_step_s = now_s + self._step_s
        if not self.cold:
            self._hold_factor = 1

    def on_step_refused(self) -> None:
        """Doubles the next hold time, since the server refused a request after the last step."""
        self._hold_factor *= 2

    def on_failure(self) -> None:
        """Resets the count of answers in a row."""
        self._successes = 0
