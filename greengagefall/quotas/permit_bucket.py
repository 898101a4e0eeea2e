"""The token bucket from which a limiter grants permits; it starts empty."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.quotas.arithmetic import BucketShape
    from greengagefall.utils.clock import Clock

MS_PER_S = 1000.0
# Named when no token will become available, so that callers still ask again at times.
MAX_RETRY_MS = 10_000
# Permits for requests that are only expected are granted from the tokens above this part of the
# capacity, so that they are not taken from requests that are waiting at other hosts.
RESERVED_PART = 0.5


class Grant(NamedTuple):
    """What a limiter or fallback host grants.

    Attributes:
        granted: Number of permits.
        retry_after_ms: Time until another permit may be available; 0 if all needed were granted.
    """

    granted: int
    retry_after_ms: int


class PermitBucket:
    """Tokens of one workspace.

    The bucket starts empty, since a previous limiter may have used the burst just before.

    Args:
        shape: Rate and capacity.
        clock: Clock that counts suspended time.
    """

    def __init__(self, shape: BucketShape, clock: Clock) -> None:
        self._shape = shape
        self._clock = clock
        self._tokens = 0.0
        self._refilled_s = clock.now_s()

    def set_shape(self, shape: BucketShape) -> None:
        """Applies a changed limit; the next ``take`` drops tokens above the new capacity."""
        if shape == self._shape:
            return
        self._refill()
        self._shape = shape

    def take(self, needed: int, expected: int) -> Grant:
        """Takes tokens for requests that wait and, if enough are left, for expected ones."""
        self._refill()
        granted = min(needed, int(self._tokens))
        spare = int(self._tokens - granted - RESERVED_PART * self._shape.capacity)
        total = granted + max(0, min(expected, spare))
        self._tokens -= total
        if granted == needed:
            return Grant(total, 0)
        return Grant(total, self._retry_after_ms())

    def _retry_after_ms(self) -> int:
        if self._shape.rate_per_s <= 0 or self._shape.capacity < 1:
            return MAX_RETRY_MS
        wait_ms = int((1.0 - self._tokens) / self._shape.rate_per_s * MS_PER_S)
        return max(1, min(MAX_RETRY_MS, wait_ms))

    def _refill(self) -> None:
        now_s = self._clock.now_s()
        added = (now_s - self._refilled_s) * self._shape.rate_per_s
        self._tokens = min(self._shape.capacity, self._tokens + added)
        self._refilled_s = now_s
