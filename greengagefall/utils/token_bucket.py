"""Token bucket: a rate with bursts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock


class TokenBucket:
    """Allows ``rate_per_s`` uses a second, with bursts of up to ``burst``.

    Args:
        rate_per_s: Tokens a second in the long run.
        burst: Tokens at once.
        clock: Monotonic clock.
    """

    def __init__(self, rate_per_s: float, burst: float, clock: Clock) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_s = clock.now_s()

    def reserve(self) -> float:
        """Takes a token, maybe one that is yet to come; returns the seconds until then."""
        self._fill()
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate_per_s)

    def try_take(self) -> bool:
        """Takes a token if there is one now; returns whether it did."""
        self._fill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Returns a token that was not used."""
        self._tokens += 1

    def _fill(self) -> None:
        now_s = self._clock.now_s()
        self._tokens += (now_s - self._filled_s) * self._rate_per_s
        self._tokens = min(self._tokens, self._burst)
        self._filled_s = now_s
