"""A world in virtual time in which the real parts of several hosts give keys to servers.

Store, connections between hosts and servers are replaced; coordinator, election, beats,
dispatchers and grants are the real ones. An oracle sees what each server truly holds.
"""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any, NamedTuple

from result import Err, Ok
from tornado.httputil import HTTPHeaders

from greengagefall.dispatch.connection_pool import HttpAnswer
from greengagefall.dispatch.exceptions import AnswerTimeoutError, NotSentError, SendRefusedError
from greengagefall.gateway.beats import HeartbeatSender
from greengagefall.gateway.coordinator import Coordinator
from greengagefall.gateway.dispatchers import ChannelManager
from greengagefall.gateway.election import Election
from greengagefall.gateway.handlers import PeerHandlers
from greengagefall.gateway.model import (
    OperatorLimits,
    PlatformSettings,
    RoutingTable,
    ServerEntry,
    Service,
)
from greengagefall.gateway.peers import LOST, UNREACHABLE
from greengagefall.gateway.records import COORDINATOR_KEY, decode_coordinator
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import LAST_KEY, HostIncarnation
from greengagefall.platform.store import KeyValue
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.store.exceptions import StoreOutcomeUnknownError, StoreUnavailableError

SERVICE = "proofdesk"
TABLE = RoutingTable(
    1, {}, {SERVICE: Service(SERVICE, "/health", 100, 3.0, 8.0, True, 5.0)}, 0, 0, 0.0
)
# The slowest clock that the platform allows a server.
SERVER_CLOCK_STRETCH = 1.02
WATCH_DELAY_S = 0.1
GRANT_PATH_SUFFIX = "grant"


# A server that no longer writes its entry is dropped from the store after this long.
ENTRY_TTL_S = 1.5


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def time(self) -> float:
        return self.now_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self.now_s = max(self.now_s, self._scheduled[0].when())
        super()._run_once()


class LoopClock:
    """The loop's time as a clock of the product."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now_s(self) -> float:
        return self._loop.now_s


class HeldRange(NamedTuple):
    """Keys that a server truly holds."""

    first: int
    last: int
    fence: int
    end_s: float


class SimulatedServer:
    """One backend server with the platform's rules for grants."""

    def __init__(self, world: Simulation, name: str, zone: str) -> None:
        self.simulation = world
        self.name = name
        self.zone = zone
        self.up = True
        self.registered = True
        self.draining = False
        self.start_ms = 1
        self.server_id = name
        self.held: list[HeldRange] = []
        self.fences: list[tuple[int, int, int]] = []
        self.pools: list[SimulatedPool] = []

    def stop(self) -> None:
        """Ends the process; whoever has a connection notices."""
        self.up = False
        for pool in self.pools:
            if pool.on_idle_close is not None and not self.simulation.is_cut(
                pool.host_name, self.name
            ):
                pool.on_idle_close()

    def entry(self) -> ServerEntry:
        return ServerEntry(
            self.server_id,
            SERVICE,
            f"{self.name}:1",
            self.zone,
            6,
            self.draining,
            0.0,
            self.start_ms,
        )

    def restart(self, *, new_id: bool = False) -> None:
        self.start_ms += 1
        if new_id:
            self.server_id = f"{self.name}-{self.start_ms}"
        self.held.clear()
        self.fences.clear()

    def held_now(self) -> list[HeldRange]:
        now_s = self.simulation.loop.now_s
        return [held for held in self.held if held.end_s > now_s] if self.up else []

    def grant(self, fields: dict[str, Any], arrived_s: float) -> int:
        first, last, fence = fields["from"], fields["target"], fields["fence"]
        if any(seen > fence and low <= last and first <= high for low, high, seen in self.fences):
            return 409
        end_s = arrived_s + fields["holdS"] * SERVER_CLOCK_STRETCH
        if end_s <= self.simulation.loop.now_s:
            # Carried out so late that it is over already.
            return 200
        self.fences.append((first, last, fence))
        self.release(first, last)
        self.held.append(HeldRange(first, last, fence, end_s))
        self.simulation.check_grant(self, first, last, fence)
        return 200

    def release(self, first: int, last: int) -> None:
        kept = []
        for held in self.held:
            for part in (
                (held.first, min(held.last, first - 1)),
                (max(held.first, last + 1), held.last),
            ):
                if part[0] <= part[1]:
                    kept.append(held._replace(first=part[0], last=part[1]))
        self.held = kept


class SimulatedPool:
    """Calls of one host to one server."""

    def __init__(self, world: Simulation, host: SimulatedHost, address: str) -> None:
        self.on_idle_close = None
        self.host_name = host.name
        self._world = world
        self._host = host
        self._server = world.servers[address.partition(":")[0]]
        self._server.pools.append(self)

    def close(self) -> None:
        """Does nothing."""

    async def exchange(self, request, timeout_s, may_send, matches=None) -> HttpAnswer:
        world, server = self._world, self._server
        rng = world.rng
        await asyncio.sleep(rng.uniform(0.0005, 0.005))
        if not server.up or world.is_cut(self._host.name, server.name):
            if server.up or rng.random() < 0.5:
                await asyncio.sleep(min(timeout_s, 0.5))
            raise NotSentError("no connection")
        if not may_send():
            raise SendRefusedError("not current")
        arrived_s = world.loop.now_s
        if rng.random() < world.delayed_share:
            delay_s = rng.uniform(0.5, 6.0)
            world.loop.call_later(delay_s, self._apply, request, arrived_s, server.start_ms)
            await asyncio.sleep(timeout_s)
            raise AnswerTimeoutError("no answer")
        answer = self._apply(request, arrived_s, server.start_ms)
        await asyncio.sleep(rng.uniform(0.0005, 0.005))
        if rng.random() < world.lost_share:
            await asyncio.sleep(timeout_s)
            raise AnswerTimeoutError("no answer")
        return answer

    def _apply(self, request, arrived_s: float, born_ms: int) -> HttpAnswer | None:
        server = self._server
        if not server.up or server.start_ms != born_ms:
            return None
        if not request.body:
            return HttpAnswer(200, HTTPHeaders({"Instance-Id": server.server_id}), b"")
        fields = json.loads(request.body)
        if request.path.endswith(GRANT_PATH_SUFFIX):
            return HttpAnswer(server.grant(fields, arrived_s), HTTPHeaders(), b"")
        server.fences.append((fields["from"], fields["target"], fields["fence"]))
        server.release(fields["from"], fields["target"])
        return HttpAnswer(200, HTTPHeaders({"Handover": f"{fields['fence']}"}), b"")


class SimulatedStore:
    """The store as one host reaches it."""

    def __init__(self, world: Simulation, host: SimulatedHost) -> None:
        self._world = world
        self._host = host

    async def _reach(self) -> bool:
        await asyncio.sleep(self._world.rng.uniform(0.002, 0.008))
        if not self._world.store_up or self._world.is_cut(self._host.name, "store"):
            await asyncio.sleep(self._world.rng.choice((0.0, 1.0)))
            return False
        return True

    async def get(self, key):
        if not await self._reach():
            return Err(StoreUnavailableError("away"))
        return Ok(self._world.items.get(key))

    async def txn(self, expected, writes, deletes=()):
        if not await self._reach():
            return Err(StoreUnavailableError("away"))
        rng = self._world.rng
        if rng.random() < self._world.lost_share:
            if rng.random() < 0.5:
                delay_s = rng.uniform(0.1, 5.0)
                self._world.loop.call_later(delay_s, self._world.write, expected, writes)
            else:
                self._world.write(expected, writes)
            await asyncio.sleep(1.0)
            return Err(StoreOutcomeUnknownError("lost"))
        return Ok(self._world.write(expected, writes))

    async def lease_grant(self, ttl_s):
        if not await self._reach():
            return Err(StoreUnavailableError("away"))
        return Ok(self._world.new_lease(ttl_s))

    async def lease_keep(self, lease_id):
        if not await self._reach():
            return Err(StoreUnavailableError("away"))
        return Ok(self._world.keep_lease(lease_id))

    async def lease_end(self, lease_id):
        if await self._reach():
            self._world.end_lease(lease_id)
        return Ok(None)


class SimulatedPeers:
    """Calls of one host to others."""

    def __init__(self, world: Simulation, host: SimulatedHost) -> None:
        self._world = world
        self._host = host

    async def call(self, name, message, timeout_s):
        target = self._world.hosts.get(name)
        if name != self._host.name:
            await asyncio.sleep(self._world.rng.uniform(0.0005, 0.003))
            if target is None or not target.up or self._world.is_cut(self._host.name, name):
                await asyncio.sleep(self._world.rng.choice((0.0, timeout_s)))
                return UNREACHABLE
        try:
            async with asyncio.timeout(timeout_s):
                reply = target.handlers.handle(target.hello, message)
                reply = await reply if hasattr(reply, "__await__") else reply
        except TimeoutError:
            return LOST
        if self._world.rng.random() < self._world.lost_share:
            return LOST
        return reply


class SimulatedHost:
    """One process of an entry host."""

    def __init__(self, world: Simulation, name: str, zone: str, start_ms: int) -> None:
        self.name = name
        self.zone = zone
        self.up = True
        clock = LoopClock(world.loop)
        facts = PlatformSettings(
            name, zone, "", "", f"{name}:1", "", 1.0, 1.0, 20.0, 1.0, OperatorLimits()
        )
        self.host_incarnation = HostIncarnation(name, start_ms)
        self.view = ClusterView(facts, self.host_incarnation, clock)
        store = SimulatedStore(world, self)
        peers = SimulatedPeers(world, self)
        self.channels = ChannelManager(
            self.view, clock, lambda address: SimulatedPool(world, self, address)
        )
        self.view.is_entry_in_store = lambda server_id: (
            world.store_up
            and not world.is_cut(name, "store")
            and world.loop.now_s - world.store_back_s > 2 * WATCH_DELAY_S
            and server_id in world.server_entries
        )
        self.handlers = PeerHandlers(self.view, self.channels)
        self.hello = Hello(PROTOCOL_VERSION, "gateway", name, zone, str(start_ms), "", "")
        self.heartbeats = HeartbeatSender(self.view, peers, self.channels, store, clock)

        async def take_office():
            coordinator = Coordinator(store, self.view, peers, clock, self.election.verified_age_s)
            self.handlers.coordinator = coordinator
            coordinator.start()

        async def leave_office():
            coordinator = self.handlers.coordinator
            self.handlers.coordinator = None
            if coordinator is not None:
                await coordinator.close()

        self.election = Election(store, self.view, clock, take_office, leave_office)

    def record(self) -> HostRecord:
        return HostRecord(
            self.name, self.host_incarnation.start_ms, f"{self.name}:1", self.zone, 1.0
        )

    def start(self) -> None:
        self.view.update_routing_table(TABLE)
        self.channels.start()
        self.heartbeats.start()
        self.election.start()

    async def kill(self) -> None:
        self.up = False
        self.election.abandon()
        self.heartbeats.close()
        self.channels.close()
        if self.handlers.coordinator is not None:
            await self.handlers.coordinator.close()
            self.handlers.coordinator = None


class Simulation:
    """Hosts, servers and store of one run, with an oracle.

    Attributes:
        violations: What the oracle saw, one sentence each.
    """

    def __init__(self, loop: VirtualLoop, seed: int, hosts: int = 4, servers: int = 5) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.items: dict[str, KeyValue] = {}
        self.store_up = True
        self.store_back_s = 0.0
        self.delayed_share = 0.0
        self.lost_share = 0.0
        self.violations: list[str] = []
        self.cuts: set[frozenset[str]] = set()
        self.server_entries: dict[str, tuple[ServerEntry, float]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_by_key: dict[str, int] = {}
        self.grant_log: list[tuple[int, int, str, int, int]] = []
        self._revision = 1
        self._starts = 1000
        zones = ("x", "y")
        self.servers = {
            f"s{number}": SimulatedServer(self, f"s{number}", zones[number % 2])
            for number in range(servers)
        }
        self.hosts: dict[str, SimulatedHost] = {}
        for number in range(hosts):
            self.start_host(f"h{number}", zones[number % 2])
        self._keeper = asyncio.get_event_loop_policy()

    def start_host(self, name: str, zone: str) -> None:
        self._starts += 1
        host = SimulatedHost(self, name, zone, self._starts)
        self.hosts[name] = host
        host.start()

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def write(self, expected, writes) -> int | None:
        for key, revision in expected.items():
            item = self.items.get(key)
            if (item.mod_revision if item else 0) != revision:
                return None
        if any(write.lease_id and write.lease_id not in self.leases for write in writes):
            return None
        self._revision += 1
        for write in writes:
            if write.lease_id:
                self.lease_by_key[write.key] = write.lease_id
            self.items[write.key] = KeyValue(write.key, write.value, self._revision)
        return self._revision

    def new_lease(self, ttl_s: float) -> int:
        self._revision += 1
        self.leases[self._revision] = (self.loop.now_s + ttl_s, ttl_s)
        return self._revision

    def keep_lease(self, lease_id: int) -> bool:
        if lease_id not in self.leases:
            return False
        ttl_s = self.leases[lease_id][1]
        self.leases[lease_id] = (self.loop.now_s + ttl_s, ttl_s)
        return True

    def end_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        for key in [key for key, owner in self.lease_by_key.items() if owner == lease_id]:
            self.items.pop(key, None)
            del self.lease_by_key[key]

    def check_grant(self, server: SimulatedServer, first: int, last: int, fence: int) -> None:
        """Notes a violation if others hold the keys or had them with a fence as high."""
        for other in self.servers.values():
            if other is server:
                continue
            for held in other.held_now():
                if held.first <= last and first <= held.last:
                    self.violations.append(
                        f"{self.loop.now_s:.3f}: {server.name} takes {first}-{last} ({fence}) "
                        f"while {other.name} holds {held.first}-{held.last} ({held.fence}) "
                        f"until {held.end_s:.3f}"
                    )
        for low, high, name, born_ms, seen in self.grant_log:
            overlap = low <= last and first <= high
            if overlap and (name, born_ms) != (server.name, server.start_ms) and seen >= fence:
                self.violations.append(
                    f"{self.loop.now_s:.3f}: {server.name} takes {first}-{last} under {fence}, "
                    f"{name} had it under {seen}"
                )
        self.grant_log.append((first, last, server.name, server.start_ms, fence))

    async def deliver_records(self) -> None:
        """Shows each host the store's records, as its watches would."""
        while True:
            for lease_id, (end_s, _) in list(self.leases.items()):
                if self.store_up and end_s < self.loop.now_s:
                    self.end_lease(lease_id)
            if self.store_up:
                self._write_entries()
                for host in self.hosts.values():
                    if host.up and not self.is_cut(host.name, "store"):
                        self._show(host)
            await asyncio.sleep(WATCH_DELAY_S)

    def _show(self, host: SimulatedHost) -> None:
        view = host.view
        records = {other.name: other.record() for other in self.hosts.values()}
        item = self.items.get(COORDINATOR_KEY)
        leader = decode_coordinator(item.value) if item else None
        if view.hosts != records or view.coordinator != leader:
            view.hosts, view.coordinator = records, leader
            view.notify_listeners()
        for server_id in [
            server_id for server_id in view.servers if server_id not in self.server_entries
        ]:
            view.remove_server(server_id)
        for server_id, (entry, _) in self.server_entries.items():
            if view.servers.get(server_id) != entry:
                view.update_server(entry)

    def _write_entries(self) -> None:
        """Has servers write their entries, and drops those that nobody renews."""
        now_s = self.loop.now_s
        for server in self.servers.values():
            if server.registered:
                self.server_entries[server.server_id] = (server.entry(), now_s)
            else:
                self.server_entries.pop(server.server_id, None)
        for server_id, (_, written_s) in list(self.server_entries.items()):
            if now_s - written_s > ENTRY_TTL_S:
                del self.server_entries[server_id]

    def held_keys(self) -> int:
        return sum(
            held.last - held.first + 1
            for server in self.servers.values()
            for held in server.held_now()
        )

    def all_held(self) -> bool:
        return self.held_keys() == LAST_KEY + 1
