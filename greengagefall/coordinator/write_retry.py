"""Backoff between failed writes."""

from __future__ import annotations

import random

from result import Err, Result

from greengagefall.limits.backoff import full_jitter

BASE_MS = 200.0
CAP_MS = 2000.0


class WriteBackoff:
    """Full jitter that grows with consecutive failures, to avoid a write storm in an outage."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._failures = 0

    def record_outcome(self, written: Result) -> None:
        """Counts a failed write; a write without an error resets the count."""
        self._failures = self._failures + 1 if isinstance(written, Err) else 0

    def delay_s(self) -> float:
        """Returns the delay before the next write, 0 if the last one did not fail."""
        if not self._failures:
            return 0.0
        return full_jitter(self._failures, BASE_MS, CAP_MS, self._rng) / 1000
