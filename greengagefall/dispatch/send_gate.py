"""Decides whether a request may be sent to a backend server now, and if not, why."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.dispatch.server_health import DOWN, ServerHealth
from greengagefall.protocol import refusals

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.dispatch_right import DispatchRight
    from greengagefall.coordination.slice_map import SliceMap
    from greengagefall.dispatch.grant_keeper import GrantKeeper
    from greengagefall.utils.clock import Clock

DRAIN_GRACE_S = 4.0


class SendGate:
    """Checks right, health, drain state, incarnation and grant of one backend server.

    Args:
        server: Name of the backend server.
        keyed: Whether its back end is keyed.
        right: This host's dispatch right for the server.
        health: Whether the server answers.
        grants: Renews the server's grant.
        slice_map: Returns the newest slice map of the back end.
        clock: Monotonic clock.

    Attributes:
        incarnation_verified: Whether the server certainly did not restart since its last reply.
    """

    def __init__(
        self,
        server: str,
        keyed: bool,
        right: DispatchRight,
        health: ServerHealth,
        grants: GrantKeeper,
        slice_map: Callable[[], SliceMap | None],
        clock: Clock,
    ) -> None:
        self._server = server
        self._keyed = keyed
        self._right = right
        self._health = health
        self._grants = grants
        self._slice_map = slice_map
        self._clock = clock
        self._draining_since_s: float | None = None
        self.incarnation_verified = False

    def set_draining(self, draining: bool) -> None:
        """Sets whether the server is draining or its zone is evacuated.

        The server gets requests for another ``DRAIN_GRACE_S``, while its slices move to other
        owners.
        """
        if not draining:
            self._draining_since_s = None
        elif self._draining_since_s is None:
            self._draining_since_s = self._clock.now_s()

    def drain_grace_ended(self) -> bool:
        """Returns whether the drain grace has expired, so that the server gets no new requests."""
        since_s = self._draining_since_s
        return since_s is not None and self._clock.now_s() - since_s >= DRAIN_GRACE_S

    def refusal_reason(self, slice_id: int) -> str:
        """Returns why a request for a slice may not be sent now, empty if it may."""
        if not self._right.may_send():
            return refusals.NOT_DISPATCHER
        if self.drain_grace_ended():
            return refusals.SERVER_DRAINING
        if self._health.state == DOWN:
            return refusals.SERVER_UNREACHABLE
        if not self.incarnation_verified:
            self._grants.request_renewal()
            return refusals.NOT_CONFIRMED
        if not self._keyed:
            return ""
        return self._slice_refusal_reason(slice_id)

    def _slice_refusal_reason(self, slice_id: int) -> str:
        slice_map = self._slice_map()
        if slice_map is None:
            return refusals.SLICE_FREE
        slice_range = slice_map.lookup(slice_id)
        if slice_range.owner != self._server:
            return refusals.STALE_MAP
        if slice_range.state != "owned":
            return refusals.SLICE_MOVING
        if not self._grants.takes_grants:
            return ""
        if self._grants.granted_fence(slice_id) == slice_range.fence:
            return ""
        self._grants.request_renewal()
        return refusals.NOT_GRANTED
