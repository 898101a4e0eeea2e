"""Renews the grant of one backend server; records its clock readings and confirmed releases."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, NamedTuple

from result import Err

from greengagefall.coordination.grants import GRANT_RENEW_INTERVAL_S
from greengagefall.coordination.model import SLICE_FREE, SliceRange
from greengagefall.coordination.slice_map import SliceMap
from greengagefall.dispatch.exceptions import SendRefusedError
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.dispatch_right import DispatchRight
    from greengagefall.coordination.grants import Grant, GrantTracker
    from greengagefall.dispatch.server_control import ControlReply, ServerControl
    from greengagefall.dispatch.server_health import ServerHealth
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.1
# Shorter than the TTL of a grant, which counts from the earlier clock reading it is based on.
GRANT_USABLE_S = 1.0


class AcceptedGrant(NamedTuple):
    """The last grant that the server accepted under this dispatcher's right."""

    grant: Grant
    accepted_at_s: float

    def fence_of(self, slice_id: int) -> int:
        """Returns the fence under which ``slice_id`` is granted, 0 if it isn't granted."""
        for granted in self.grant.runs:
            if granted.first <= slice_id <= granted.last:
                return granted.fence
        return 0


class GrantKeeper:
    """Renews the grant of one backend server while this host holds the dispatch right.

    Args:
        back_end: Name of the back end.
        server: Name of the backend server.
        control: Client of the server's control interface.
        right: This host's dispatch right for the server.
        grant_tracker: Records when the grants of this server have certainly expired.
        health: Receives each answer and failure.
        slice_map: Returns the newest slice map; None for a pooled back end, or if none arrived yet.
        keyed: Whether the back end is keyed.
        takes_grants: Whether the servers of the back end accept grants.
        on_reply: Called with each reply of the control interface.
        clock: Monotonic clock.

    Attributes:
        accepted: Last grant that the server accepted under the current right, if any.
        takes_grants: Whether the server accepts grants.
        right_fence: Fence of the right that was held at the last renewal, 0 if none was held.
        right_since_s: Time of the first renewal under the current right.
    """

    def __init__(
        self,
        back_end: str,
        server: str,
        control: ServerControl,
        right: DispatchRight,
        grant_tracker: GrantTracker,
        health: ServerHealth,
        slice_map: Callable[[], SliceMap | None],
        keyed: bool,
        takes_grants: bool,
        on_reply: Callable[[ControlReply], None],
        clock: Clock,
    ) -> None:
        self._back_end = back_end
        self._server = server
        self._control = control
        self._right = right
        self._grant_tracker = grant_tracker
        self._health = health
        self._slice_map = slice_map
        self._keyed = keyed
        # A pooled back end has no slices, so its grants are issued from this map without owners.
        self._no_slices = SliceMap(back_end, 1, 0, [SliceRange(0, 0, SLICE_FREE, "", 0, "")])
        self._on_reply = on_reply
        self._clock = clock
        self._incarnation = ""
        self._renewal_requested = asyncio.Event()
        self._renewed = asyncio.Event()
        self.accepted: AcceptedGrant | None = None
        self.takes_grants = takes_grants
        self.right_fence = 0
        self.right_since_s = clock.now_s()

    def request_renewal(self) -> None:
        """Requests an immediate renewal, for example after a change of slice map or right."""
        self._renewal_requested.set()

    async def wait_for_renewal(self, timeout_s: float) -> None:
        """Requests a renewal and waits until one finishes or the timeout expires."""
        renewed = self._renewed
        self.request_renewal()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(renewed.wait(), timeout_s)

    async def run(self) -> None:
        """Renews the grant periodically until cancelled."""
        while True:
            ok = await self._renew_once()
            self._renewed.set()
            self._renewed = asyncio.Event()
            pause_s = GRANT_RENEW_INTERVAL_S if ok else RETRY_INTERVAL_S
            self._renewal_requested.clear()
            try:
                await asyncio.wait_for(self._renewal_requested.wait(), pause_s)
            except TimeoutError:
                continue

    def granted_fence(self, slice_id: int) -> int:
        """Returns the fence under which the server holds the slice now, 0 if it doesn't hold it."""
        accepted = self.accepted
        if accepted is None or accepted.grant.fence != self._right.fence:
            return 0
        if self._clock.now_s() - accepted.accepted_at_s > GRANT_USABLE_S:
            return 0
        return accepted.fence_of(slice_id)

    async def _renew_once(self) -> bool:
        if not self._right.may_send():
            self.accepted = None
            self.right_fence = 0
            return True
        if self._right.fence != self.right_fence:
            self.right_fence = self._right.fence
            self.right_since_s = self._clock.now_s()
            self._incarnation = ""
            self.accepted = None
            self._grant_tracker.reset_for_right(self._right.fence)
        if not self._incarnation and not await self._read_status():
            return False
        if not self.takes_grants:
            return await self._read_status()
        slice_map = self._slice_map() if self._keyed else self._no_slices
        if slice_map is None:
            return await self._read_status()
        grant = self._grant_tracker.issue_grant(slice_map, self._right.map_floor())
        if grant is None:
            return await self._read_status()
        return await self._renew(grant)

    async def _read_status(self) -> bool:
        sent_at_s = self._clock.now_s()
        result = await self._control.status(self._right.may_send)
        if isinstance(result, Err):
            return self._record_failure(result.err_value)
        self._record_reply(result.ok_value, sent_at_s)
        return True

    async def _renew(self, grant: Grant) -> bool:
        sent_at_s = self._clock.now_s()
        result = await self._control.grant(grant, self._right.may_send)
        if isinstance(result, Err):
            return self._record_failure(result.err_value)
        reply = result.ok_value
        self._record_reply(reply, sent_at_s)
        if reply.refusal_reason:
            count("grants_refused", reason=reply.refusal_reason)
            log.warning("Grant of %s refused: %s.", self._server, reply.refusal_reason)
            self.accepted = None
            return False
        self._grant_tracker.record_grant_ack(grant, reply.released)
        self.accepted = AcceptedGrant(grant, self._clock.now_s())
        return reply.released

    def _record_reply(self, reply: ControlReply, sent_at_s: float) -> None:
        if reply.incarnation != self._incarnation:
            self._incarnation = reply.incarnation
            self.accepted = None
        if self.takes_grants and reply.now_ms:
            self._grant_tracker.record_clock_reading(reply.incarnation, reply.now_ms, sent_at_s)
        self._health.on_answer(reply.cold)
        self._on_reply(reply)

    def _record_failure(self, error: Exception) -> bool:
        if not isinstance(error, SendRefusedError):
            self._health.on_failure()
        return False
