"""Backoff between calls to the store."""

from __future__ import annotations

import asyncio
import random

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0
BACKOFF_MAX_DOUBLINGS = 16


class Backoff:
    """Exponential backoff with full jitter over consecutive failures."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._failures = 0

    def reset(self) -> None:
        """Resets the number of failures, after a success."""
        self._failures = 0

    def record_failure(self) -> None:
        """Adds a failure, which doubles the maximum delay up to ``BACKOFF_CAP_S``."""
        self._failures = min(self._failures + 1, BACKOFF_MAX_DOUBLINGS)

    def delay_s(self) -> float:
        """Returns a random delay before the next call; 0 without failures."""
        if self._failures == 0:
            return 0.0
        return self._rng.uniform(0, min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**self._failures))

    async def wait(self) -> None:
        """Sleeps for the delay before the next call."""
        delay_s = self.delay_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
