"""Bounds on how often the store is called."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0
BACKOFF_MAX_DOUBLINGS = 16


class TokenBucket:
    """Allows ``rate_per_s`` calls a second, with bursts of up to ``burst``."""

    def __init__(self, rate_per_s: float, burst: float, clock: Clock) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_s = clock.now_s()

    def reserve(self) -> float:
        """Takes a token, maybe one that is yet to come; returns the seconds until then."""
        now_s = self._clock.now_s()
        self._tokens += (now_s - self._filled_s) * self._rate_per_s
        self._tokens = min(self._tokens, self._burst)
        self._filled_s = now_s
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate_per_s)

    def give_back(self) -> None:
        """Returns a token that was not used."""
        self._tokens += 1


class Backoff:
    """Exponential backoff with full jitter, from the failures in a row."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._failures = 0

    def succeeded(self) -> None:
        """Forgets the failures."""
        self._failures = 0

    def failed(self) -> None:
        """Counts a failure."""
        self._failures = min(self._failures + 1, BACKOFF_MAX_DOUBLINGS)

    def delay_s(self) -> float:
        """Returns the delay before the next call; 0 while there are no failures."""
        if self._failures == 0:
            return 0.0
        return self._rng.uniform(0, min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**self._failures))

    async def wait(self) -> None:
        """Waits for the delay before the next call."""
        delay_s = self.delay_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
