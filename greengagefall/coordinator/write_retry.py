"""Delays between writes that fail."""

from __future__ import annotations

import random

from result import Err, Result

from greengagefall.limits.backoff import full_jitter

BASE_MS = 200.0
CAP_MS = 2000.0


class WriteBackoff:
    """Full jitter over the failures in a row, so that an outage causes no storm."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._failures = 0

    def record_outcome(self, written: Result) -> None:
        """Takes the outcome of a write into account."""
        self._failures = self._failures + 1 if isinstance(written, Err) else 0

    def delay_s(self) -> float:
        """Returns the delay before the next write, 0 unless the last one failed."""
        if not self._failures:
            return 0.0
        return full_jitter(self._failures, BASE_MS, CAP_MS, self._rng) / 1000
