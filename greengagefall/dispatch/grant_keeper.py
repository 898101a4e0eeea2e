"""Keeps the grant of one backend server: reads its clock, renews, confirms releases."""

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
# Less than the time to live, by the age of the clock reading that a grant rests on.
GRANT_USABLE_S = 1.0


class AcceptedGrant(NamedTuple):
    """The grant that the server accepted last under this dispatcher's right."""

    grant: Grant
    accepted_at_s: float

    def fence_of(self, slice_id: int) -> int:
        """Returns the fence under which ``slice_id`` is granted, 0 if it is not."""
        for run in self.grant.runs:
            if run.first <= slice_id <= run.last:
                return run.fence
        return 0


class GrantKeeper:
    """Renews one server's grant while the dispatch right is held.

    Args:
        back_end: Name of the back end.
        server: Name of the backend server.
        control: Calls to the server.
        right: This host's dispatch right for the server.
        ledger: When grants of this server have certainly ended.
        health: Told of each answer and failure.
        slice_map: Returns the newest slice map, None for a pooled back end or before one came.
        keyed: Whether the back end is keyed.
        checks: Whether its servers take grants.
        on_reading: Called with each reading.
        clock: Monotonic clock.

    Attributes:
        accepted: The grant that the server accepted last under the present right.
        takes_grants: Whether the server takes grants.
        right_fence: Fence of the right that was held at the last renewal, 0 for none.
        right_since_s: When this host was first seen to hold the present right.
    """

    def __init__(
        self,
        back_end: str,
        server: str,
        control: ServerControl,
        right: DispatchRight,
        ledger: GrantTracker,
        health: ServerHealth,
        slice_map: Callable[[], SliceMap | None],
        keyed: bool,
        checks: bool,
        on_reading: Callable[[ControlReply], None],
        clock: Clock,
    ) -> None:
        self._back_end = back_end
        self._server = server
        self._control = control
        self._right = right
        self._ledger = ledger
        self._health = health
        self._slice_map = slice_map
        self._keyed = keyed
        self._no_slices = SliceMap(back_end, 1, 0, [SliceRange(0, 0, SLICE_FREE, "", 0, "")])
        self._on_reading = on_reading
        self._clock = clock
        self._incarnation = ""
        self._wake = asyncio.Event()
        self._renewed = asyncio.Event()
        self.accepted: AcceptedGrant | None = None
        self.takes_grants = checks
        self.right_fence = 0
        self.right_since_s = clock.now_s()

    def request_renewal(self) -> None:
        """Asks for a renewal at once, as after a change of map or right."""
        self._wake.set()

    async def wait_for_renewal(self, timeout_s: float) -> None:
        """Asks for a renewal and waits until one ended, or the time is over."""
        renewed = self._renewed
        self.request_renewal()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(renewed.wait(), timeout_s)

    async def run(self) -> None:
        """Renews until cancelled."""
        while True:
            ok = await self._tick()
            self._renewed.set()
            self._renewed = asyncio.Event()
            period_s = GRANT_RENEW_INTERVAL_S if ok else RETRY_INTERVAL_S
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), period_s)
            except TimeoutError:
                continue

    def granted_fence(self, slice_id: int) -> int:
        """Returns the fence under which the server holds the slice now, 0 if it does not."""
        accepted = self.accepted
        if accepted is None or accepted.grant.fence != self._right.fence:
            return 0
        if self._clock.now_s() - accepted.accepted_at_s > GRANT_USABLE_S:
            return 0
        return accepted.fence_of(slice_id)

    async def _tick(self) -> bool:
        if not self._right.may_send():
            self.accepted = None
            self.right_fence = 0
            return True
        if self._right.fence != self.right_fence:
            self.right_fence = self._right.fence
            self.right_since_s = self._clock.now_s()
            self._incarnation = ""
            self.accepted = None
            self._ledger.reset_for_right(self._right.fence)
        if not self._incarnation and not await self._read_status():
            return False
        if not self.takes_grants:
            return await self._read_status()
        slice_map = self._slice_map() if self._keyed else self._no_slices
        if slice_map is None:
            return await self._read_status()
        grant = self._ledger.issue_grant(slice_map, self._right.map_floor())
        if grant is None:
            return await self._read_status()
        return await self._renew(grant)

    async def _read_status(self) -> bool:
        asked_at_s = self._clock.now_s()
        reply = await self._control.status(self._right.may_send)
        if isinstance(reply, Err):
            return self._failed(reply.err_value)
        self._note(reply.ok_value, asked_at_s)
        return True

    async def _renew(self, grant: Grant) -> bool:
        asked_at_s = self._clock.now_s()
        reply = await self._control.grant(grant, self._right.may_send)
        if isinstance(reply, Err):
            return self._failed(reply.err_value)
        reading = reply.ok_value
        self._note(reading, asked_at_s)
        if reading.refusal_reason:
            count("grants_refused", reason=reading.refusal_reason)
            log.warning("Grant of %s refused: %s.", self._server, reading.refusal_reason)
            self.accepted = None
            return False
        self._ledger.record_grant_ack(grant, reading.released)
        self.accepted = AcceptedGrant(grant, self._clock.now_s())
        return reading.released

    def _note(self, reading: ControlReply, asked_at_s: float) -> None:
        if reading.incarnation != self._incarnation:
            self._incarnation = reading.incarnation
            self.accepted = None
        if self.takes_grants and reading.now_ms:
            self._ledger.record_clock_reading(reading.incarnation, reading.now_ms, asked_at_s)
        self._health.on_answer(reading.cold)
        self._on_reading(reading)

    def _failed(self, error: Exception) -> bool:
        if not isinstance(error, SendRefusedError):
            self._health.on_failure()
        return False
