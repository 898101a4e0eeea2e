"""Runs an entry host on the platform as a single process."""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from typing import TYPE_CHECKING, Any

from result import Err

from greengagefall.gateway.beats import HeartbeatSender
from greengagefall.gateway.caller_http import CallerServer
from greengagefall.gateway.coordinator import Coordinator
from greengagefall.gateway.dispatchers import ChannelManager, pool_opener
from greengagefall.gateway.election import Election
from greengagefall.gateway.entry_check import EntryCheck
from greengagefall.gateway.following import RESTORE_GRACE_HEARTBEATS, PrefixWatcher
from greengagefall.gateway.handlers import PeerHandlers
from greengagefall.gateway.notice_delivery import NoticeDelivery
from greengagefall.gateway.peer_notices import PeerNotices
from greengagefall.gateway.peers import Peers
from greengagefall.gateway.records import (
    HOST_PREFIX,
    MEMBERS_PREFIX,
    MemberRecords,
    OperatorRecords,
    ServerRecords,
    encode_host,
)
from greengagefall.gateway.relay_following import RelayFollower
from greengagefall.gateway.relaying import StoreRelay
from greengagefall.gateway.router import Router
from greengagefall.gateway.stand_in_notices import StandInNotices
from greengagefall.gateway.status_http import StatusServer
from greengagefall.gateway.store_probe import StoreProbe
from greengagefall.gateway.store_proofs import StoreProofs
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.limits.stop_admission import StopAdmission
from greengagefall.memory.budget import FRAGMENTS
from greengagefall.memory.client_limits import ClientLimits
from greengagefall.memory.host_memory import open_host_memory
from greengagefall.memory.part_budget import PartBudget
from greengagefall.ownership.model import UNKNOWN_RESTORES, HostIncarnation
from greengagefall.platform import records as platform_records
from greengagefall.platform.store import PlatformStore, Put
from greengagefall.quotas.host_quotas import HostQuotas
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from greengagefall.gateway.model import PlatformSettings

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
REGISTER_RETRY_S = 0.3
REGISTER_CHECK_S = 2.0
MIN_REFUSE_S = 0.2
# Time in which the last answers of a stop are written.
LAST_ANSWERS_S = 0.1
# Used if neither the settings nor the operating system name a limit.
DEFAULT_MAX_DESCRIPTORS = 1024


def _max_descriptors(settings: PlatformSettings) -> int:
    """Returns how many files and sockets this process may open."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return settings.max_descriptors or DEFAULT_MAX_DESCRIPTORS
    return min(allowed, settings.max_descriptors or allowed)


class GatewayHost:
    """Starts and closes all parts of an entry host.

    Args:
        settings: Settings of this host.
        metrics_port: Port of the metrics, 0 for none.
    """

    def __init__(self, settings: PlatformSettings, metrics_port: int) -> None:
        clock = SystemClock()
        self._clock = clock
        self.settings = settings
        self.host_incarnation = HostIncarnation(settings.host, int(time.time() * MS_PER_S))
        self.view = ClusterView(settings, self.host_incarnation, clock)
        self._store = PlatformStore(settings.store_address)
        self._lease_store = PlatformStore(settings.store_address)
        self._stop = StopAdmission(clock)
        memory = open_host_memory(settings.memory_bytes, _max_descriptors(settings), clock)
        open_pool = pool_opener(settings.memory_bytes, memory.account)
        self._channels = ChannelManager(self.view, clock, open_pool, self._stop)
        self._handlers = PeerHandlers(self.view, self._channels, memory.account)
        self._peers = Peers(self.view, self._handlers.handle, PartBudget(memory.account, FRAGMENTS))
        self._quotas = HostQuotas(self.view, self._peers.call, clock)
        self._handlers.quotas = self._quotas
        self._channels.is_listed = EntryCheck(self._store).lists
        ask_others = PeerNotices(self.view, self._peers).ask
        self._channels.ask_others = ask_others
        self._stand_in = StandInNotices(
            self.view, clock, self._channels.open_pool, self._peers.is_lost, ask_others
        )
        self._notice_delivery = NoticeDelivery(
            self.view, self._store, clock, self._channels.open_pool, self._peers.is_lost
        )
        self._watchers = self._make_watchers()
        self._proofs = StoreProofs(
            self._watchers, self.view, clock, settings.limits.drain_timeout_s
        )
        self._handlers.proofs = self._proofs
        self._heartbeats = HeartbeatSender(
            self.view, self._peers, self._channels, self._store, clock, self._quotas, self._proofs
        )
        self._router = Router(
            self.view,
            self._peers,
            clock,
            self._heartbeats.request_update,
            self._stop,
            self._quotas.gate,
        )
        self._callers = CallerServer(
            settings.caller_address, self._router, clock, memory, self._client_limits
        )
        ip = settings.readiness_address.rpartition(":")[0]
        metrics_address = f"{ip}:{metrics_port}" if metrics_port else ""
        self._status = StatusServer(settings.readiness_address, metrics_address, self._is_ready)
        self._election = Election(
            self._lease_store, self.view, clock, self._become_coordinator, self._step_down
        )
        self._relay = StoreRelay(self._watchers, PlatformStore(settings.store_address), clock)
        self._store_probe = StoreProbe(
            self._watchers,
            PlatformStore(settings.store_address),
            settings.limits.drain_timeout_s,
        )
        self._handlers.relay = self._relay
        self._follower = RelayFollower(self._watchers, self._relay, self.view, self._peers, clock)
        self._follower.on_check = self._proofs.check
        self.view.is_entry_in_store = self._is_entry_in_store
        self.view.knows_entries = self._watchers[0].loaded.is_set
        self.view.store_lag_s = self._follower.lag_s
        self.view.known_restores = self._known_restores
        self._register_task: asyncio.Task | None = None
        self._stopping = False

    async def start(self) -> None:
        """Starts all parts; the host is ready once it knows configuration and owners."""
        await self._peers.start()
        self._status.start()
        self._callers.start()
        self._follower.start()
        self._store_probe.start()
        self._channels.start()
        self._quotas.start()
        self._stand_in.start()
        self._notice_delivery.start()
        self._heartbeats.start()
        self._election.start()
        self._register_task = start_supervised(self._register, "register")
        log.info(
            "Started.",
            extra={
                "start_ms": self.host_incarnation.start_ms,
                "peer_address": self.settings.peer_address,
            },
        )

    async def close(self) -> None:
        """Shuts down gracefully: requests that were read are finished first."""
        self._stopping = True
        self._callers.closing_connections = True
        self._election.stopping = True
        self._heartbeats.stopping = True
        self._quotas.return_roles()
        log.info("Stopping.")
        times = self._stop.begin(self.view.settings.limits.grace_period_s)
        await self._election.close()
        await self._heartbeats.send_heartbeat()
        # The host must refuse new requests before it exits, since one could arrive at any moment.
        await asyncio.sleep(max(0.0, times.refuse_from_s - self._clock.now_s()) + MIN_REFUSE_S)
        drained = await self._drain(times.end_s)
        if not drained:
            await self._answer_rest()
        log.info("Stopped.", extra={"drained": drained})
        await self._close_parts()

    async def _close_parts(self) -> None:
        await self._callers.close()
        await self._status.close()
        self._heartbeats.close()
        self._channels.close()
        self._quotas.close()
        self._stand_in.close()
        self._notice_delivery.close()
        self._follower.close()
        self._store_probe.close()
        self._relay.close()
        for watcher in self._watchers:
            watcher.close()
        if self._register_task is not None:
            self._register_task.cancel()
        await self._peers.close()
        self._store.close()
        self._lease_store.close()

    async def kill(self) -> None:
        """Stops everything at once without notifying anyone, as a crash would; for tests."""
        self._election.abandon()
        if self._handlers.coordinator is not None:
            await self._handlers.coordinator.close()
            self._handlers.coordinator = None
        await self._close_parts()

    async def _drain(self, end_s: float) -> bool:
        """Waits until no request of a caller or another host is in progress here."""
        while self._clock.now_s() < end_s:
            if await self._callers.drain(0.1) and self._channels.idle:
                return True
            await asyncio.sleep(0.05)
        return False

    async def _answer_rest(self) -> None:
        """Answers the requests that outlast the grace period; an answer says more than a cut."""
        self._channels.refuse_waiting()
        await self._callers.drain(LAST_ANSWERS_S)
        self._callers.end_requests()
        await self._callers.drain(LAST_ANSWERS_S)

    def _make_watchers(self) -> list[PrefixWatcher]:
        return [
            self._make_watcher(
                platform_records.SERVERS_PREFIX,
                ServerRecords(self.view),
                keep_through_outage=True,
                host_count=self._host_count,
            ),
            self._make_watcher(platform_records.OPERATOR_PREFIX, OperatorRecords(self.view)),
            self._make_watcher(
                MEMBERS_PREFIX, MemberRecords(self.view), host_count=self._host_count
            ),
        ]

    def _make_watcher(
        self, prefix: str, records: ServerRecords | OperatorRecords | MemberRecords, **options: Any
    ) -> PrefixWatcher:
        """Returns a watcher of a prefix that has its own connections to the store."""
        return PrefixWatcher(
            PlatformStore(self.settings.store_address),
            prefix,
            records.put,
            records.delete,
            self._clock,
            reverts=records.reverts,
            restore_grace_s=RESTORE_GRACE_HEARTBEATS * self.settings.heartbeat_s,
            batch=self.view.batch_notifications,
            retention_s=self.settings.store_retention_s,
            **options,
        )

    def _is_entry_in_store(self, server_id: str) -> bool:
        """Returns whether the store currently has the entry of a server."""
        return self._watchers[0].is_current(platform_records.SERVERS_PREFIX + server_id)

    def _known_restores(self) -> int:
        return max(watcher.restores for watcher in self._watchers)

    def _host_count(self) -> int:
        return self._follower.watching_host_count()

    def _client_limits(self) -> ClientLimits | None:
        """Returns the limits of the configuration on clients, None without a configuration."""
        table = self.view.routing_table
        if not table.version:
            return None
        return ClientLimits(
            table.max_header_bytes,
            table.max_body_bytes,
            table.idle_timeout_s,
            table.header_timeout_s,
        )

    def _is_ready(self) -> bool:
        if self._stopping or not self.view.routing_table.version:
            return False
        return self.view.assignment.version > 0

    async def _register(self) -> None:
        """Keeps this host's record in the store.

        It is written again when a delayed write overwrote it or the store was restored.
        """
        record = HostRecord(
            self.settings.host,
            self.host_incarnation.start_ms,
            self.settings.peer_address,
            self.settings.zone,
            self.settings.cpu_cores,
            relays=True,
            link_mbps=self.settings.link_mbps,
            reads_kinds=True,
            reads_proofs=True,
        )
        key = HOST_PREFIX + record.host
        registered_after = UNKNOWN_RESTORES
        while True:
            restores = self._known_restores()
            if self.view.hosts.get(record.host) == record and restores == registered_after:
                await asyncio.sleep(REGISTER_CHECK_S)
                continue
            written = await self._store.txn({}, [Put(key, encode_host(record))])
            if isinstance(written, Err):
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            registered_after = restores
            await asyncio.sleep(REGISTER_CHECK_S)

    async def _become_coordinator(self) -> None:
        coordinator = Coordinator(
            self._store, self.view, self._peers, self._clock, self._election.verified_age_s
        )
        self._handlers.coordinator = coordinator
        coordinator.start()

    async def _step_down(self) -> None:
        coordinator: Any = self._handlers.coordinator
        self._handlers.coordinator = None
        if coordinator is not None:
            await coordinator.close()
