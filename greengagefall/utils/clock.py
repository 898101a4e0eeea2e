"""Clocks that can be driven in tests."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_s(self) -> float:
        """Returns monotonic seconds since an arbitrary start."""


# Goes on while the machine is suspended, so that a lease ends in that time too.
CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """The machine's monotonic clock, suspended time included."""

    def now_s(self) -> float:
        """Returns monotonic seconds since an arbitrary start."""
        return time.clock_gettime(CLOCK_ID)


class ManualClock:
    """A clock that moves only when told; for tests."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Returns the time set last, in seconds."""
        return self._now_s

    def advance(self, delta_s: float) -> None:
        """Moves the clock forward by ``delta_s`` seconds."""
        self._now_s += delta_s
