"""Handles messages between entry hosts; a registry maps each message type to its handler."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from greengagefall.gateway import outcomes
from greengagefall.gateway.publishing import full_message
from greengagefall.gateway.relaying import NOT_RELAYING
from greengagefall.memory.budget import WAITING_BODIES
from greengagefall.ownership import rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.model import EMPTY_ASSIGNMENT
from greengagefall.protocol.gateway_messages import (
    NO_BASE_VERSION,
    AssignmentAck,
    AssignmentPush,
    AssignmentRequest,
    Dispatch,
    GrantKeys,
    HostBeat,
    KeysGranted,
    KeysReleased,
    QuotaGranted,
    QuotaPermits,
    ReleaseKeys,
    StorePoll,
)
from greengagefall.protocol.messages import Failure, Hello
from greengagefall.quotas.host_quotas import NOT_COUNTING
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from greengagefall.gateway.coordinator import Coordinator
    from greengagefall.gateway.dispatchers import ChannelManager
    from greengagefall.gateway.relaying import StoreRelay
    from greengagefall.gateway.store_proofs import StoreProofs
    from greengagefall.gateway.view import ClusterView
    from greengagefall.memory.account import MemoryAccount
    from greengagefall.quotas.host_quotas import HostQuotas

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
UNKNOWN_MESSAGE = Failure(0, "unknown_message")
NOT_COORDINATOR = Failure(0, "not_coordinator")
# This host has no channel for the order, or its assignment is older than the order.
NOT_KNOWN = Failure(0, "not_known")

HANDLERS: Registry[Any] = Registry("message handler")


class PeerHandlers:
    """Handles messages of other entry hosts and those that this host sends to itself.

    Args:
        view: The cluster view of this host.
        channels: Channels to the servers that this host dispatches.
        account: Account for the bodies of requests from other hosts; None for none.

    Attributes:
        coordinator: The coordinator while this host is elected, else None.
        relay: Passes changes of the store on; None if this host does not.
        quotas: Counts requests of workspaces; None if this host does not.
        proofs: Proofs that this host knows the store; None if it exchanges none.
    """

    def __init__(
        self, view: ClusterView, channels: ChannelManager, account: MemoryAccount | None = None
    ) -> None:
        self._view = view
        self._account = account
        self._channels = channels
        self.coordinator: Coordinator | None = None
        self.relay: StoreRelay | None = None
        self.quotas: HostQuotas | None = None
        self.proofs: StoreProofs | None = None

    def handle(self, peer: Hello, message: Any) -> Any:
        """Returns the reply to a message, or a coroutine for it."""
        name = type(message).__name__
        if name not in HANDLERS.names():
            log.warning(
                "Message of an unknown type was refused.", extra={"peer": peer.host, "kind": name}
            )
            return UNKNOWN_MESSAGE
        # The body of a request of this host's own callers is in the account already.
        if isinstance(message, Dispatch) and peer.host != self._view.host_incarnation.host:
            return self._dispatch_within_memory(message)
        return HANDLERS[name](self, message)

    async def _dispatch_within_memory(self, message: Dispatch) -> Any:
        """Executes a request of another host if there is memory for its body until the outcome."""
        size_bytes = len(message.body)
        if self._account is None:
            return await self.on_dispatch(message)
        if not self._account.reserve(WAITING_BODIES, size_bytes):
            return self._channels.refuse(message, outcomes.MEMORY_FULL)
        try:
            return await self.on_dispatch(message)
        finally:
            self._account.release(WAITING_BODIES, size_bytes)

    @HANDLERS.register(Dispatch.__name__)
    async def on_dispatch(self, message: Dispatch) -> Any:
        """Executes a request on a server of this host."""
        return await self._channels.submit(message)

    @HANDLERS.register(HostBeat.__name__)
    def on_heartbeat(self, message: HostBeat) -> Any:
        """Records a heartbeat if this host is the coordinator."""
        if self.coordinator is None:
            return NOT_COORDINATOR
        reply = self.coordinator.on_heartbeat(message)
        return reply if self.proofs is None else self.proofs.add_to_reply(message, reply)

    @HANDLERS.register(AssignmentPush.__name__)
    def on_push(self, message: AssignmentPush) -> AssignmentAck:
        """Applies an assignment that is full or a difference to the current version."""
        current = self._view.assignment
        if message.version <= current.version:
            return AssignmentAck(0, current.version)
        if message.base_version not in (NO_BASE_VERSION, current.version):
            return AssignmentAck(0, current.version)
        base = current if message.base_version != NO_BASE_VERSION else EMPTY_ASSIGNMENT
        change = rows.Difference(message.rows, message.removed)
        try:
            assignment = rows.apply_difference(base, message.version, message.last_fence, change)
        except AssignmentError as error:
            log.error(
                "Pushed assignment is malformed; keeping the current one.",
                extra={"error": str(error)},
            )
            return AssignmentAck(0, current.version)
        self._view.update_rate_limits(message.rate_limits)
        self._view.update_assignment(assignment)
        return AssignmentAck(0, self._view.assignment.version)

    @HANDLERS.register(AssignmentRequest.__name__)
    def on_assignment_request(self, message: AssignmentRequest) -> AssignmentPush:
        """Returns the assignment that this host has."""
        return full_message(self._view.assignment)

    @HANDLERS.register(StorePoll.__name__)
    async def on_store_poll(self, message: StorePoll) -> Any:
        """Returns changes of the store."""
        if self.relay is None:
            return NOT_RELAYING
        return await self.relay.poll(message)

    @HANDLERS.register(ReleaseKeys.__name__)
    async def on_release(self, message: ReleaseKeys) -> Any:
        """Has a server release keys."""
        outcome = await self._channels.release(message)
        if outcome is None:
            return NOT_KNOWN
        ends_in_ms = int(outcome.ends_in_s * MS_PER_S)
        return KeysReleased(0, outcome.released, outcome.hand_over, ends_in_ms)

    @HANDLERS.register(GrantKeys.__name__)
    async def on_grant(self, message: GrantKeys) -> KeysGranted:
        """Grants keys that no other server holds."""
        return KeysGranted(0, await self._channels.grant(message))

    @HANDLERS.register(QuotaPermits.__name__)
    def on_quota_permits(self, message: QuotaPermits) -> QuotaGranted:
        """Grants permits for requests of a workspace."""
        if self.quotas is None:
            return NOT_COUNTING
        return self.quotas.on_permits(message)
