"""Limits of the configuration on clients, while configurations change."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

# A client may still follow a configuration that was replaced this recently.
KEEP_FORMER_S = 10.0


class ClientLimits(NamedTuple):
    """Limits on what a client may send.

    Attributes:
        max_header_bytes: Largest header block of a request.
        max_body_bytes: Largest body of a request.
        idle_timeout_s: How long a connection may be idle.
        header_timeout_s: How long a header block may take.
    """

    max_header_bytes: int
    max_body_bytes: int
    idle_timeout_s: float
    header_timeout_s: float


# In force before the first configuration.
DEFAULT_LIMITS = ClientLimits(65_536, 67_108_864, 60.0, 10.0)


class LimitHistory:
    """Applies the largest of each limit among the newest and the recent configurations.

    Args:
        clock: Clock that counts suspended time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest: ClientLimits | None = None
        self._former: list[tuple[float, ClientLimits]] = []

    def update(self, limits: ClientLimits) -> None:
        """Applies the limits of the configuration that is in force now."""
        now_s = self._clock.now_s()
        if self._newest is not None and limits != self._newest:
            self._former.append((now_s, self._newest))
        self._newest = limits
        self._former = [row for row in self._former if now_s - row[0] < KEEP_FORMER_S]

    def current(self) -> ClientLimits:
        """Returns the limits in force."""
        if self._newest is None:
            return DEFAULT_LIMITS
        if not self._former:
            return self._newest
        rows = [self._newest, *(limits for _, limits in self._former)]
        return ClientLimits(*(max(values) for values in zip(*rows, strict=True)))
