"""Handles the messages of peers and of the zone's coordinator."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from greengagefall.coordination.documents import split_into_batches
from greengagefall.protocol.messages import (
    Documents,
    Endorse,
    Failure,
    Fetch,
    Forward,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HostReport,
    HostStatus,
    Release,
    Released,
)
from greengagefall.utils import invariants

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from greengagefall.coordination.witness import Witness
    from greengagefall.entry.control import ControlLoops
    from greengagefall.entry.coordinator_tracker import CoordinatorTracker
    from greengagefall.entry.dispatch_table import DispatcherTable
    from greengagefall.entry.host_state import HostState
    from greengagefall.entry.transport import ForwardTransport

log = logging.getLogger(__name__)

ROLE_COORDINATOR = "coordinator"
UNEXPECTED_MESSAGE = "unexpected_message"


class PeerHandler:
    """Passes each message to the component that handles its type."""

    def __init__(
        self,
        state: HostState,
        dispatcher_table: DispatcherTable,
        transport: ForwardTransport,
        witness: Witness,
        control_loops: ControlLoops,
        coordinator_tracker: CoordinatorTracker,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._state = state
        self._dispatcher_table = dispatcher_table
        self._transport = transport
        self._witness = witness
        self._control_loops = control_loops
        self._coordinator_tracker = coordinator_tracker
        self._is_stopping = is_stopping
        self._handlers: dict[type, Callable[[Hello, Any], Any]] = {
            Forward: self._forward,
            Endorse: self._endorse,
            Heartbeat: self._heartbeat,
            Fetch: self._fetch,
            Documents: self._documents,
            Release: self._release,
            HostReport: self._report,
        }

    def handle(self, peer: Hello, message: Any) -> Any:
        """Returns the reply to a message, a coroutine that returns it, or None for no reply."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return Failure(0, UNEXPECTED_MESSAGE)
        return handler(peer, message)

    def _forward(self, peer: Hello, message: Forward) -> Coroutine[Any, Any, Any]:
        if message.relay_host:
            return self._transport.relay(message)
        return self._dispatcher_table.submit(message)

    def _endorse(self, peer: Hello, message: Endorse) -> Any:
        return self._witness.handle(message)

    def _heartbeat(self, peer: Hello, message: Heartbeat) -> HeartbeatReply:
        if peer.role == ROLE_COORDINATOR or peer.zone == self._state.zone:
            self._coordinator_tracker.observe(
                message.coordinator, message.coordinator_term, message.coordinator_age_ms
            )
        if peer.role != ROLE_COORDINATOR:
            self._fetch_newer_documents(peer, message)
        latest = self._coordinator_tracker.latest()
        return HeartbeatReply(
            0,
            self._state.host,
            self._state.incarnation,
            self._state.epoch(),
            latest.host,
            latest.term,
            latest.age_ms,
            self._state.document_cache.versions(),
        )

    def _fetch_newer_documents(self, peer: Hello, message: Heartbeat) -> None:
        if self._state.member(peer.host) is not None:
            self._control_loops.fetch_if_newer(peer.host, message.versions)

    def _fetch(self, peer: Hello, message: Fetch) -> Documents:
        # Only the first batch is sent. The peer fetches the rest after the next heartbeat.
        newer = split_into_batches(self._state.document_cache.rows_newer_than(message.versions))
        return Documents(0, newer[0] if newer else [])

    def _documents(self, peer: Hello, message: Documents) -> None:
        self._state.merge(message)

    def _release(self, peer: Hello, message: Release) -> Released:
        released, reason, fence = self._dispatcher_table.check_release(message)
        return Released(0, released, reason, fence)

    def _report(self, peer: Hello, message: HostReport) -> HostStatus:
        return self.host_status()

    def host_status(self) -> HostStatus:
        """Returns the status of this host and of the servers that it dispatches."""
        dispatchers = self._dispatcher_table.active_dispatchers()
        busiest = {
            f"{dispatcher.back_end.name}/{slice_id}": rate_per_s
            for dispatcher in dispatchers
            for slice_id, rate_per_s in dispatcher.meter.busiest_slice_rates().items()
        }
        return HostStatus(
            0,
            self._state.host,
            self._state.incarnation,
            self._state.epoch(),
            self._is_stopping(),
            [list(dispatcher.status()) for dispatcher in dispatchers],
            busiest,
            invariants.violations(),
        )
