"""Event loop in virtual time for the policy measurements."""

from __future__ import annotations

import heapq
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)


class EventLoop:
    """Calls callbacks in order of virtual time; it is also the clock of the policies."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []

    def now_s(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def call_at(self, time_s: float, callback: Callable[..., None], *args: object) -> None:
        """Schedules ``callback`` at the virtual time ``time_s``."""
        self._sequence += 1
        heapq.heappush(self._events, (time_s, self._sequence, callback, args))

    def call_later(self, delay_s: float, callback: Callable[..., None], *args: object) -> None:
        """Schedules ``callback`` after ``delay_s``."""
        self.call_at(self._now_s + delay_s, callback, *args)

    def run_until(self, end_s: float) -> None:
        """Calls all callbacks that are due by ``end_s``, then sets the time to ``end_s``."""
        while self._events and self._events[0][0] <= end_s:
            self._now_s, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self._now_s = end_s
