"""Models entry hosts, store and links around the real quota classes, in virtual time.

The model has an election with the timing of ``gateway.election``, and heartbeats with the timing of
``gateway.beats``. Callers, faults and configurations are up to its users.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.gateway.election import LEASE_TTL_S
from greengagefall.gateway.model import EMPTY_ROUTING_TABLE, OperatorLimits, PlatformSettings
from greengagefall.gateway.peers import REPLY_LOST, UNREACHABLE
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import HostIncarnation
from greengagefall.protocol.gateway_messages import BeatReply, HostBeat
from greengagefall.quotas.host_quotas import HostQuotas
from greengagefall.quotas.limited import LimitedWorkspaces
from greengagefall.quotas.role_planner import RolePlanner
from greengagefall.workspaces.directory import WorkspaceDirectory

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine, Iterable

    from greengagefall.utils.clock import Clock
    from greengagefall.workspaces.directory import Workspace

HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 0.6
STORE_CHECK_S = 0.1
RENEW_INTERVAL_S = 0.5
SAME_ZONE_DELAY_S = (0.0003, 0.001)
OTHER_ZONE_DELAY_S = (0.0014, 0.0049)
LATE_DELAY_S = (0.5, 6.0)


class ModelStore:
    """The coordinator record, the registered hosts and the newest configuration.

    Attributes:
        coordinator: The record, None if there is none.
        expires_s: When the record expires.
        restores: How often the store was restored, which loses the record.
        hosts: Registered hosts.
    """

    def __init__(self) -> None:
        self.coordinator: HostIncarnation | None = None
        self.expires_s = 0.0
        self.restores = 0
        self.hosts: dict[str, HostRecord] = {}

    def record(self, now_s: float) -> HostIncarnation | None:
        """Returns the coordinator record unless it has expired."""
        if now_s >= self.expires_s:
            self.coordinator = None
        return self.coordinator


class ModelHost:
    """One entry host, with a new incarnation for each start.

    Args:
        model: The model.
        name: Its name.
        zone: Its zone.

    Attributes:
        up: Whether its process runs.
        resumed: Set unless the process is suspended.
        reaches_store: Whether it reaches the store.
        planner: Decides about roles while it believes to be the coordinator.
    """

    def __init__(self, model: QuotaModel, name: str, zone: str) -> None:
        self._model = model
        self.name = name
        self.zone = zone
        self.up = False
        self.stopping = False
        self.reaches_store = True
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.planner: RolePlanner | None = None
        self.start_ms = 0
        self._verified_s = 0.0
        self._store_seen_s = 0.0
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Starts a new incarnation with empty memory."""
        model = self._model
        self.up, self.stopping = True, False
        self.resumed.set()
        self.start_ms += 1
        incarnation = HostIncarnation(self.name, self.start_ms)
        settings = PlatformSettings(
            self.name, self.zone, "", "", "", "", 1.0, 2.0, 10.0, 1.0, model.limits
        )
        self.view = ClusterView(settings, incarnation, model.clock)
        self.view.store_lag_s = lambda: model.clock.now_s() - self._store_seen_s
        self.view.known_restores = lambda: model.store.restores
        self._store_seen_s = 0.0
        self.quotas = HostQuotas(self.view, self._call, model.clock)
        self.quotas.start()
        self.run(self._follow_store())
        self.run(self._send_heartbeats())

    def kill(self) -> None:
        """Ends the process; what it was about to do does not happen."""
        self.up = False
        self.planner = None
        self.quotas.close()
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    async def stop(self) -> None:
        """Returns the roles with a last heartbeat and ends the process."""
        self.stopping = True
        self.quotas.return_roles()
        await self._send_heartbeat()
        self.kill()

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work of the current incarnation."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handle(self, message: Any) -> Any:
        """Returns the reply to a message."""
        if not isinstance(message, HostBeat):
            return self.quotas.on_permits(message)
        if self.planner is None:
            return UNREACHABLE
        return self.planner.add_roles(message, BeatReply(0, 0, 0))

    async def _call(self, target: str, message: Any, timeout_s: float) -> Any:
        return await self._model.call(self, target, message, timeout_s)

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self._model.rng.uniform(0.0, HEARTBEAT_INTERVAL_S))
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self) -> None:
        await self.resumed.wait()
        coordinator = self.view.coordinator
        if coordinator is None:
            return
        sent_s = self._model.clock.now_s()
        beat = HostBeat(0, self.name, self.start_ms, 0, self.stopping, [], [])
        beat = self.quotas.add_roles(sent_s, beat, coordinator.host)
        reply = await self._call(coordinator.host, beat, HEARTBEAT_TIMEOUT_S)
        if isinstance(reply, BeatReply):
            self.quotas.on_reply(sent_s, reply)

    async def _follow_store(self) -> None:
        """Follows the store, and takes part in the election."""
        model, own = self._model, self.view.host_incarnation
        renew_s = 0.0
        while True:
            await asyncio.sleep(STORE_CHECK_S * model.rng.uniform(0.8, 1.2))
            await self.resumed.wait()
            if not self.reaches_store:
                continue
            started_s = model.clock.now_s()
            model.store.hosts[self.name] = HostRecord(
                self.name, self.start_ms, "", self.zone, 1.0, reads_kinds=True
            )
            self._store_seen_s = started_s
            self.view.hosts = dict(model.store.hosts)
            model.offer_configuration(self)
            record = model.store.record(started_s)
            self.view.coordinator = record
            if record is None and not self.stopping:
                await asyncio.sleep(model.rng.uniform(0.0, 0.3))
                await self.resumed.wait()
                self._campaign(own)
            elif record == own and started_s >= renew_s:
                renew_s = started_s + RENEW_INTERVAL_S
                model.store.expires_s = started_s + LEASE_TTL_S
                self._verified_s = started_s
            elif record != own:
                self.planner = None
            self.view.notify_listeners()

    def _campaign(self, own: HostIncarnation) -> None:
        model, now_s = self._model, self._model.clock.now_s()
        if not self.reaches_store or model.store.record(now_s) is not None:
            return
        model.store.coordinator, model.store.expires_s = own, now_s + LEASE_TTL_S
        self._verified_s = now_s
        self.view.coordinator = own
        limited = LimitedWorkspaces(self.view)
        self.planner = RolePlanner(self.view, limited, model.clock, self._verified_age_s)

    def _verified_age_s(self) -> float:
        return self._model.clock.now_s() - self._verified_s


class AppliedLimits(NamedTuple):
    """Workspaces of one version, when it was set, and when all hosts had a later one."""

    version: int
    workspaces: dict[str, Workspace]
    set_s: float
    replaced_s: float


class QuotaModel:
    """Hosts and links.

    Args:
        rng: Random numbers for delays and losses.
        clock: The clock of all hosts.
        limits: Limits of the operators.
        hosts: Name and zone of each host.

    Attributes:
        lost_share: Share of calls whose reply is lost.
        late_share: Share of calls that arrive after the caller gave them up.
        slow_s: Longest additional delay of a message between zones.
        cut_zones: Zones that are cut off from the others.
        cut_pairs: Pairs of hosts that do not reach each other.
        versions: All configurations.
    """

    def __init__(
        self,
        rng: random.Random,
        clock: Clock,
        limits: OperatorLimits,
        hosts: Iterable[tuple[str, str]],
    ) -> None:
        self.rng = rng
        self.clock = clock
        self.limits = limits
        self.store = ModelStore()
        self.lost_share = 0.0
        self.late_share = 0.0
        self.slow_s = 0.0
        self.cut_zones: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.versions: list[AppliedLimits] = []
        self.hosts = {name: ModelHost(self, name, zone) for name, zone in hosts}
        self._apply_delay_s: dict[tuple[str, int], float] = {}
        self._deliveries: set[asyncio.Task] = set()

    def close(self) -> None:
        """Ends all hosts and the messages that are under way."""
        for host in self.hosts.values():
            if host.up:
                host.kill()
        for delivery in self._deliveries:
            delivery.cancel()

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Stores a new configuration, which reaches hosts at different times."""
        by_name = {workspace.name: workspace for workspace in workspaces}
        version = len(self.versions) + 1
        self.versions.append(AppliedLimits(version, by_name, self.clock.now_s(), float("inf")))

    def offer_configuration(self, host: ModelHost) -> None:
        """Has a host apply the newest configuration after a delay of up to 2 s."""
        newest = self.versions[-1]
        current = host.view.routing_table.version
        if current < newest.version:
            key = (f"{host.name}@{host.start_ms}", newest.version)
            due_s = self._apply_delay_s.setdefault(
                key, self.clock.now_s() + (self.rng.uniform(0.0, 2.0) if current else 0.0)
            )
            if self.clock.now_s() >= due_s:
                directory = WorkspaceDirectory(newest.workspaces.values(), required=True)
                host.view.update_routing_table(
                    EMPTY_ROUTING_TABLE._replace(version=newest.version, workspaces=directory)
                )
        oldest = min(other.view.routing_table.version for other in self.hosts.values() if other.up)
        for index, applied in enumerate(self.versions[: oldest - 1]):
            if applied.replaced_s == float("inf"):
                self.versions[index] = applied._replace(replaced_s=self.clock.now_s())

    def is_cut(self, one: ModelHost, other: ModelHost) -> bool:
        """Returns whether no message passes between two hosts."""
        if one is other:
            return False
        if frozenset((one.name, other.name)) in self.cut_pairs:
            return True
        return one.zone != other.zone and bool(self.cut_zones & {one.zone, other.zone})

    async def call(self, host: ModelHost, name: str, message: Any, timeout_s: float) -> Any:
        """Calls a host as ``Peers.call`` does."""
        await host.resumed.wait()
        target = self.hosts[name]
        if target is host:
            return host.handle(message)
        delay_s = SAME_ZONE_DELAY_S
        if host.zone != target.zone:
            delay_s = (OTHER_ZONE_DELAY_S[0], OTHER_ZONE_DELAY_S[1] + self.slow_s)
        late = self.rng.random() < self.late_share
        there_s = self.rng.uniform(*(LATE_DELAY_S if late else delay_s))
        if not target.up or self.is_cut(host, target):
            await asyncio.sleep(self.rng.choice((0.0, timeout_s)))
            await host.resumed.wait()
            return UNREACHABLE
        delivery = asyncio.get_running_loop().create_task(self._deliver(target, message, there_s))
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._deliveries.discard)
        back_s = self.rng.uniform(*delay_s)
        await asyncio.wait({delivery}, timeout=max(0.0, timeout_s - back_s))
        await asyncio.sleep(back_s)
        # What arrives at a suspended process is read when it resumes.
        lost = self.rng.random() < self.lost_share or self.is_cut(host, target)
        await host.resumed.wait()
        if not delivery.done() or lost or delivery.result() is None:
            return REPLY_LOST
        return delivery.result()

    async def _deliver(self, target: ModelHost, message: Any, delay_s: float) -> Any:
        start_ms = target.start_ms
        await asyncio.sleep(delay_s)
        await target.resumed.wait()
        if not target.up or target.start_ms != start_ms:
            return None
        return target.handle(message)
