"""Clocks that can be driven in tests."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_s(self) -> float:
        """Returns monotonic seconds since an arbitrary start."""


class SystemClock:
    """The machine's monotonic clock."""

    def now_s(self) -> float:
        """Returns monotonic seconds since an arbitrary start."""
        return time.monotonic()


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
