"""Token bucket: a rate limit that allows bursts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock


class TokenBucket:
    """Allows ``rate_per_s`` uses a second, with bursts of up to ``burst``.

    Args:
        rate_per_s: Tokens added per second.
        burst: Largest number of stored tokens.
        clock: Monotonic clock.
        tokens: Tokens at the start; by default ``burst``.
    """

    def __init__(
        self, rate_per_s: float, burst: float, clock: Clock, tokens: float | None = None
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst if tokens is None else tokens
        self._refilled_s = clock.now_s()

    def set_rate(self, rate_per_s: float) -> None:
        """Changes the rate from now on; the stored tokens stay."""
        self._refill()
        self._rate_per_s = rate_per_s

    def wait_s(self, tokens: float = 1.0) -> float:
        """Returns the seconds until that many tokens will have been added, 0 if they are there."""
        self._refill()
        return max(0.0, (tokens - self._tokens) / self._rate_per_s)

    def reserve(self) -> float:
        """Takes a token, even before it is available; returns the seconds until it is."""
        self._refill()
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate_per_s)

    def try_take(self) -> bool:
        """Takes a token if one is available; returns whether it did."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Puts an unused token back."""
        self._tokens += 1

    def _refill(self) -> None:
        now_s = self._clock.now_s()
        self._tokens += (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(self._tokens, self._burst)
        self._refilled_s = now_s
