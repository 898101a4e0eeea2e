"""Monotonic clocks: the machine's, and one that tests advance themselves."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_s(self) -> float:
        """Returns monotonic seconds since an arbitrary start."""


# CLOCK_BOOTTIME also advances while the machine is suspended, so that leases expire in that time.
CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """The machine's monotonic clock, suspended time included."""

    def now_s(self) -> float:
        """Returns monotonic seconds since an arbitrary start."""
        return time.clock_gettime(CLOCK_ID)


class ManualClock:
    """A clock that advances only through ``advance``; for tests."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Returns the start time plus all advances, in seconds."""
        return self._now_s

    def advance(self, delta_s: float) -> None:
        """Moves the clock forward by ``delta_s`` seconds."""
        self._now_s += delta_s
