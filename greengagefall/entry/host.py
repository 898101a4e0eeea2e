"""Creates the components of an entry host and starts and stops them in order."""

from __future__ import annotations

import asyncio
import logging
import random
import uuid
from typing import TYPE_CHECKING

from greengagefall.coordination.candidate import Candidate
from greengagefall.coordination.dispatch_right import RightTiming
from greengagefall.coordination.witness import Witness
from greengagefall.entry.admin import Admin
from greengagefall.entry.bootstrap import Bootstrap
from greengagefall.entry.caller_interface import CallerInterface
from greengagefall.entry.control import ControlLoops
from greengagefall.entry.coordinator_tracker import CoordinatorTracker
from greengagefall.entry.dispatch_table import DispatcherTable
from greengagefall.entry.forwarder import Forwarder
from greengagefall.entry.host_state import HostState
from greengagefall.entry.peer_handler import ROLE_COORDINATOR, PeerHandler
from greengagefall.entry.peer_table import PeerLinks
from greengagefall.entry.pools import Pools
from greengagefall.entry.targets import TargetResolver
from greengagefall.entry.transport import ForwardTransport
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.protocol.messages import PROTOCOL_VERSION, Documents, Hello
from greengagefall.protocol.server import PeerServer
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from greengagefall.config.entry import EntrySettings
    from greengagefall.coordination.model import MembersRecord
    from greengagefall.routing.model import RoutingConfig

log = logging.getLogger(__name__)

ROLE_ENTRY = "entry"
MS_PER_S = 1000.0
# Gives the load balancer time to notice that this host is no longer ready.
STOP_NOTICE_S = 1.0


class EntryHost:
    """One entry host in this process.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        clock = SystemClock()
        incarnation = uuid.uuid4().hex[:16]
        lease_s = settings.lease_ms / MS_PER_S
        self.state = HostState(settings.host, settings.zone, incarnation)
        hello = Hello(
            PROTOCOL_VERSION,
            ROLE_ENTRY,
            settings.host,
            settings.zone,
            incarnation,
            settings.peer_address,
            settings.http_address,
        )
        self.witness = Witness(settings.host, incarnation, clock, lease_s)
        self.candidate = Candidate(self.witness, clock, random.Random(), RightTiming(lease_s))
        link_budget = MemoryBudget()
        self.peers = PeerLinks(hello, self._on_peer_message, link_budget)
        self.dispatcher_table = DispatcherTable(
            self.state, self.candidate, clock, self._push_status
        )
        self.pools = Pools(settings.zone, clock)
        self.targets = TargetResolver(self.state, self.pools, clock)
        self.transport = ForwardTransport(self.state, self.peers, self.dispatcher_table)
        limits = self.state.config_holder.current.limits
        self.forwarder = Forwarder(
            self.targets, self.transport, self.pools, clock, limits.retry_ratio
        )
        self.coordinator_tracker = CoordinatorTracker(clock)
        self.control_loops = ControlLoops(
            self.state, self.peers, self.candidate, self.coordinator_tracker, self.dispatcher_table
        )
        self.peer_handler = PeerHandler(
            self.state,
            self.dispatcher_table,
            self.transport,
            self.witness,
            self.control_loops,
            self.coordinator_tracker,
            lambda: self.stopping,
        )
        self.peer_server = PeerServer(
            settings.peer_listen, hello, self.peer_handler.handle, budget=link_budget
        )
        admin = Admin(
            self.state,
            self.dispatcher_table,
            self.targets,
            self.not_ready_reason,
            settings.allow_faults,
        )
        self.caller_interface = CallerInterface(
            settings.http_listen, self.state, self.forwarder, admin, clock
        )
        self.bootstrap = Bootstrap(
            self.state,
            hello,
            settings.seeds,
            settings.host_list,
            lambda: not self.not_ready_reason(),
        )
        self.stopping = False
        self.state.config_holder.subscribe(self._on_config)
        self.state.subscribe_members(self._on_members)
        self.state.subscribe_slices(self.dispatcher_table.on_slices_changed)

    async def start(self) -> None:
        """Opens the ports for peers and callers and starts all loops."""
        await self.peer_server.start()
        self.caller_interface.start()
        self.control_loops.start()
        await self.bootstrap.start()
        log.info("Entry host started. Callers are accepted on %s.", self._settings.http_listen)

    async def stop(self) -> None:
        """Stops the host as planned: resigns dispatch rights, finishes requests, closes."""
        self.stopping = True
        self.caller_interface.begin_stop(STOP_NOTICE_S + self._settings.drain_timeout_s)
        self._push_status()
        log.info("Entry host is stopping. Requests in flight: %d.", self.caller_interface.in_flight)
        await self._hand_over()
        await asyncio.sleep(STOP_NOTICE_S)
        if not await self.caller_interface.drain(self._settings.drain_timeout_s):
            log.warning(
                "The drain timeout expired with %d requests in flight. The host closes now.",
                self.caller_interface.in_flight,
            )
        await self.close()

    async def close(self) -> None:
        """Closes all components without waiting for requests in flight."""
        await self.caller_interface.close()
        await self.bootstrap.close()
        await self.control_loops.close()
        await self.dispatcher_table.close()
        await self.peer_server.close()
        await self.peers.close()
        log.info("Stopped.")

    def not_ready_reason(self) -> str:
        """Returns why this host is not ready for new callers, empty if it is ready."""
        if self.stopping:
            return "stopping"
        if not self.state.config_holder.current.version:
            return "no configuration"
        if self.state.members_record(self.state.zone) is None:
            return "no members record"
        return ""

    async def _hand_over(self) -> None:
        """Stops dispatching new requests, waits for those in flight, resigns the rights."""
        self.dispatcher_table.stop_accepting()
        await wait_until(
            lambda: not self.dispatcher_table.in_flight(), self._settings.drain_timeout_s
        )
        await self.control_loops.resign()

    def _push_status(self) -> None:
        """Pushes the status of this host to all connected coordinators at once."""
        status = self.peer_handler.host_status()
        for peer in self.peer_server.peers():
            if peer.role == ROLE_COORDINATOR:
                self.peer_server.send_to(peer.host, status, role=ROLE_COORDINATOR)

    def _on_peer_message(self, message: object) -> None:
        if isinstance(message, Documents):
            self.state.merge(message)

    def _on_config(self, config: RoutingConfig) -> None:
        self.pools.set_config(config)
        self.caller_interface.set_config(config)
        self.forwarder.set_retry_ratio(config.limits.retry_ratio)
        self.dispatcher_table.refresh()

    def _on_members(self, record: MembersRecord) -> None:
        self.peers.set_members(self.state.members())
        if record.zone != self.state.zone:
            return
        self.candidate.set_members(record)
        self.dispatcher_table.refresh()
        self.control_loops.request_endorsements()
