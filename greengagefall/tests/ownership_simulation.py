"""Simulates, in virtual time, how several hosts grant keys to backend servers.

The store and the connections between hosts and servers are simulated. Coordinator, election,
heartbeats, dispatchers and grants are the product's own code. An oracle records which keys each
simulated server really holds and reports violations.
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
from greengagefall.gateway.peers import REPLY_LOST, UNREACHABLE
from greengagefall.gateway.records import COORDINATOR_KEY, decode_coordinator
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import LAST_KEY, UNKNOWN_RESTORES, HostIncarnation
from greengagefall.platform.requests import (
    RATE_LIMIT_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
)
from greengagefall.platform.store import KeyValue
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.store.exceptions import StoreOutcomeUnknownError, StoreUnavailableError

SERVICE = "proofdesk"
TABLE = RoutingTable(
    1, {}, {SERVICE: Service(SERVICE, "/health", 100, 3.0, 8.0, True, 5.0)}, 0, 0, 0.0
)
# Factor by which a grant lasts longer on the slowest clock that the platform allows a server.
SERVER_CLOCK_FACTOR = 1.02
WATCH_DELAY_S = 0.1
SERVICE_TIME_S = 0.2
GRANT_PATH_SUFFIX = "grant"
# Time after which the store drops the entry of a server that no longer writes it.
ENTRY_TTL_S = 1.5
# The same for a server that still runs but does not reach the store: three heartbeat intervals.
SILENT_ENTRY_TTL_S = 3.0
# Longest time from the end of a cut to the retransmission of what it held up.
MAX_RETRANSMISSION_S = 3.0


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
    """Provides the loop's time through the product's clock interface."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now_s(self) -> float:
        return self._loop.now_s


class HeldRange(NamedTuple):
    """A range of keys that a server really holds, until ``end_s``."""

    first: int
    last: int
    fence: int
    end_s: float


class SimulatedServer:
    """A simulated backend server that follows the platform's rules for grants.

    Attributes:
        calls_pass: Cleared while the network holds up calls to the server, to deliver them later.
        reaches_store: Whether the server can write its entry.
        rate_limit: The requests per second that its answers name, empty for none.
        requests: Name of the host that sent each request, and when it arrived.
    """

    def __init__(self, simulation: Simulation, name: str, zone: str) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.up = True
        self.registered = True
        self.calls_pass = asyncio.Event()
        self.calls_pass.set()
        self.reaches_store = True
        self.draining = False
        self.start_ms = 1
        self.server_id = name
        self.held: list[HeldRange] = []
        self.fences: list[tuple[int, int, int]] = []
        self.pools: list[SimulatedPool] = []
        self.rate_limit = ""
        self.requests: list[tuple[str, float]] = []

    def stop(self) -> None:
        """Ends the process; pools that are not cut off see their connections close."""
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
        if any(
            known_fence > fence and low <= last and first <= high
            for low, high, known_fence in self.fences
        ):
            return 409
        end_s = arrived_s + fields["holdS"] * SERVER_CLOCK_FACTOR
        if end_s <= self.simulation.loop.now_s:
            # The delayed grant has already expired.
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
    """Simulates the connections of one host to one server.

    Attributes:
        resets_given_up_calls: Whether giving a call up discards what the network holds of it.
    """

    resets_given_up_calls = True

    def __init__(self, simulation: Simulation, host: SimulatedHost, address: str) -> None:
        self.on_idle_close = None
        self.host_name = host.name
        self._simulation = simulation
        self._host = host
        self._server = simulation.servers[address.partition(":")[0]]
        self._server.pools.append(self)

    def close(self) -> None:
        """Does nothing."""

    async def exchange(self, request, timeout_s, may_send, matches=None) -> HttpAnswer:
        simulation, server = self._simulation, self._server
        rng = simulation.rng
        await asyncio.sleep(rng.uniform(0.0005, 0.005))
        if not server.up or simulation.is_cut(self._host.name, server.name):
            if server.up or rng.random() < 0.5:
                await asyncio.sleep(min(timeout_s, 0.5))
            raise NotSentError(f"no connection to {server.name}")
        if not may_send():
            raise SendRefusedError(f"the call to {server.name} is no longer current")
        arrived_s = simulation.loop.now_s
        if not server.calls_pass.is_set():
            return await self._exchange_held_up(request, timeout_s)
        request_id = dict(request.headers).get(REQUEST_ID_HEADER)
        if request_id is not None:
            return await self._execute(request_id)
        if rng.random() < simulation.delayed_share:
            delay_s = rng.uniform(0.5, 6.0)
            simulation.loop.call_later(delay_s, self._apply, request, arrived_s, server.start_ms)
            await asyncio.sleep(timeout_s)
            raise AnswerTimeoutError(f"no answer from {server.name} within {timeout_s} s")
        answer = self._apply(request, arrived_s, server.start_ms)
        await asyncio.sleep(rng.uniform(0.0005, 0.005))
        if rng.random() < simulation.lost_share:
            await asyncio.sleep(timeout_s)
            raise AnswerTimeoutError(f"no answer from {server.name} within {timeout_s} s")
        return answer

    async def _exchange_held_up(self, request, timeout_s: float) -> HttpAnswer:
        answered = asyncio.get_running_loop().create_future()
        delivery = asyncio.create_task(self._deliver_late(request, self._server.start_ms, answered))
        self._simulation.deliveries.add(delivery)
        delivery.add_done_callback(self._simulation.deliveries.discard)
        try:
            async with asyncio.timeout(timeout_s):
                return await answered
        except TimeoutError as error:
            raise AnswerTimeoutError(f"no answer within {timeout_s} s") from error
        finally:
            if self.resets_given_up_calls:
                delivery.cancel()

    async def _deliver_late(self, request, start_ms: int, answered: asyncio.Future) -> None:
        await self._server.calls_pass.wait()
        await asyncio.sleep(self._simulation.rng.uniform(0.0, MAX_RETRANSMISSION_S))
        answer = self._apply(request, self._simulation.loop.now_s, start_ms)
        if answer is not None and not answered.done():
            answered.set_result(answer)

    async def _execute(self, request_id: str) -> HttpAnswer:
        server = self._server
        server.requests.append((self._host.name, self._simulation.loop.now_s))
        await asyncio.sleep(SERVICE_TIME_S)
        fields = {REQUEST_ID_HEADER: request_id, SIGNATURE_HEADER: "signed"}
        if server.rate_limit:
            fields[RATE_LIMIT_HEADER] = server.rate_limit
        return HttpAnswer(200, HTTPHeaders(fields), b"")

    def _apply(self, request, arrived_s: float, start_ms: int) -> HttpAnswer | None:
        server = self._server
        if not server.up or server.start_ms != start_ms:
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
    """Simulates the store as one host reaches it."""

    def __init__(self, simulation: Simulation, host: SimulatedHost) -> None:
        self._simulation = simulation
        self._host = host
        self.restores = UNKNOWN_RESTORES

    async def _is_reachable(self) -> bool:
        await asyncio.sleep(self._simulation.rng.uniform(0.002, 0.008))
        if not self._simulation.store_up or self._simulation.is_cut(self._host.name, "store"):
            await asyncio.sleep(self._simulation.rng.choice((0.0, 1.0)))
            return False
        self.restores = self._simulation.restores
        return True

    async def get(self, key):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        return Ok(self._simulation.key_values.get(key))

    async def txn(self, expected, writes, deletes=()):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        rng = self._simulation.rng
        if rng.random() < self._simulation.lost_share:
            if rng.random() < 0.5:
                delay_s = rng.uniform(0.1, 5.0)
                self._simulation.loop.call_later(delay_s, self._simulation.write, expected, writes)
            else:
                self._simulation.write(expected, writes)
            await asyncio.sleep(1.0)
            return Err(StoreOutcomeUnknownError("the answer of the simulated store was lost"))
        return Ok(self._simulation.write(expected, writes))

    async def lease_grant(self, ttl_s):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        return Ok(self._simulation.new_lease(ttl_s))

    async def lease_keep(self, lease_id):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        return Ok(self._simulation.keep_lease(lease_id))

    async def lease_end(self, lease_id):
        if await self._is_reachable():
            self._simulation.end_lease(lease_id)
        return Ok(None)


class SimulatedPeers:
    """Simulates the calls of one host to other hosts."""

    def __init__(self, simulation: Simulation, host: SimulatedHost) -> None:
        self._simulation = simulation
        self._host = host

    async def call(self, name, message, timeout_s):
        target = self._simulation.hosts.get(name)
        if name != self._host.name:
            await asyncio.sleep(self._simulation.rng.uniform(0.0005, 0.003))
            if target is None or not target.up or self._simulation.is_cut(self._host.name, name):
                await asyncio.sleep(self._simulation.rng.choice((0.0, timeout_s)))
                return UNREACHABLE
        try:
            async with asyncio.timeout(timeout_s):
                reply = target.handlers.handle(target.hello, message)
                reply = await reply if hasattr(reply, "__await__") else reply
        except TimeoutError:
            return REPLY_LOST
        if self._simulation.rng.random() < self._simulation.lost_share:
            return REPLY_LOST
        return reply


class SimulatedHost:
    """One incarnation of an entry host."""

    def __init__(self, simulation: Simulation, name: str, zone: str, start_ms: int) -> None:
        self.name = name
        self.zone = zone
        self.up = True
        clock = LoopClock(simulation.loop)
        settings = PlatformSettings(
            name, zone, "", "", f"{name}:1", "", 1.0, 1.0, 20.0, 1.0, OperatorLimits()
        )
        self.host_incarnation = HostIncarnation(name, start_ms)
        self.view = ClusterView(settings, self.host_incarnation, clock)
        store = SimulatedStore(simulation, self)
        peers = SimulatedPeers(simulation, self)
        self.channels = ChannelManager(
            self.view, clock, lambda address: SimulatedPool(simulation, self, address)
        )
        self.view.is_entry_in_store = lambda server_id: (
            simulation.store_up
            and not simulation.is_cut(name, "store")
            and simulation.loop.now_s - simulation.store_reachable_since_s > 2 * WATCH_DELAY_S
            and server_id in simulation.server_entries
        )
        self.handlers = PeerHandlers(self.view, self.channels)
        self.hello = Hello(PROTOCOL_VERSION, "gateway", name, zone, str(start_ms), "", "")
        self.heartbeats = HeartbeatSender(self.view, peers, self.channels, store, clock)

        async def become_coordinator():
            coordinator = Coordinator(store, self.view, peers, clock, self.election.verified_age_s)
            self.handlers.coordinator = coordinator
            coordinator.start()

        async def step_down():
            coordinator = self.handlers.coordinator
            self.handlers.coordinator = None
            if coordinator is not None:
                await coordinator.close()

        self.election = Election(store, self.view, clock, become_coordinator, step_down)

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


class _StoreCopy(NamedTuple):
    """A copy of the store's data and when it was made."""

    at_s: float
    key_values: dict[str, KeyValue]
    leases: dict[int, tuple[float, float]]
    lease_by_key: dict[str, int]
    revision: int


class Simulation:
    """The hosts, servers and store of one simulated run, with an oracle.

    Attributes:
        violations: Descriptions of the violations that the oracle found, one sentence each.
    """

    def __init__(self, loop: VirtualLoop, seed: int, hosts: int = 4, servers: int = 5) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.key_values: dict[str, KeyValue] = {}
        self.store_up = True
        self.store_reachable_since_s = 0.0
        self.delayed_share = 0.0
        self.lost_share = 0.0
        self.violations: list[str] = []
        self.cuts: set[frozenset[str]] = set()
        self.deliveries: set[asyncio.Task] = set()
        self.server_entries: dict[str, tuple[ServerEntry, float]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_by_key: dict[str, int] = {}
        self.grant_log: list[tuple[int, int, str, int, int]] = []
        self.restores = 1
        self._revision = 1
        self._copies: list[_StoreCopy] = []
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
            key_value = self.key_values.get(key)
            if (key_value.mod_revision if key_value else 0) != revision:
                return None
        if any(write.lease_id and write.lease_id not in self.leases for write in writes):
            return None
        self._revision += 1
        for write in writes:
            if write.lease_id:
                self.lease_by_key[write.key] = write.lease_id
            self.key_values[write.key] = KeyValue(write.key, write.value, self._revision)
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
            self.key_values.pop(key, None)
            del self.lease_by_key[key]

    def keep_copy(self) -> None:
        """Keeps a copy of the store's data, for ``restore``."""
        self._copies.append(
            _StoreCopy(
                self.loop.now_s,
                dict(self.key_values),
                dict(self.leases),
                dict(self.lease_by_key),
                self._revision,
            )
        )

    def restore(self, age_s: float) -> None:
        """Replaces the store's data by a copy of about that age; revisions go back too."""
        older = [copy for copy in self._copies if copy.at_s <= self.loop.now_s - age_s]
        copy = older[-1] if older else self._copies[0]
        self.key_values = dict(copy.key_values)
        self.lease_by_key = dict(copy.lease_by_key)
        self.leases = {
            lease_id: (self.loop.now_s + ttl_s, ttl_s)
            for lease_id, (_, ttl_s) in copy.leases.items()
        }
        self._revision = copy.revision
        self.restores += 1

    def check_grant(self, server: SimulatedServer, first: int, last: int, fence: int) -> None:
        """Checks a grant against what other servers hold and what was granted before.

        Records a violation if another server holds any of the keys, or if another incarnation was
        granted any of them with an equal or higher fencing token.
        """
        for other in self.servers.values():
            if other is server:
                continue
            for held in other.held_now():
                if held.first <= last and first <= held.last:
                    self.violations.append(
                        f"{self.loop.now_s:.3f}: {server.name} got {first}-{last} ({fence}) "
                        f"while {other.name} holds {held.first}-{held.last} ({held.fence}) "
                        f"until {held.end_s:.3f}"
                    )
        for low, high, name, start_ms, known_fence in self.grant_log:
            overlap = low <= last and first <= high
            if (
                overlap
                and (name, start_ms) != (server.name, server.start_ms)
                and known_fence >= fence
            ):
                self.violations.append(
                    f"{self.loop.now_s:.3f}: {server.name} got {first}-{last} under {fence}, "
                    f"but {name} had keys of it under {known_fence}"
                )
        self.grant_log.append((first, last, server.name, server.start_ms, fence))

    async def deliver_records(self) -> None:
        """Updates each host's view with the store's records, as its watches would."""
        while True:
            self.keep_copy()
            for lease_id, (end_s, _) in list(self.leases.items()):
                if self.store_up and end_s < self.loop.now_s:
                    self.end_lease(lease_id)
            if self.store_up:
                self._write_entries()
                for host in self.hosts.values():
                    if host.up and not self.is_cut(host.name, "store"):
                        self._update_view(host)
            await asyncio.sleep(WATCH_DELAY_S)

    def _update_view(self, host: SimulatedHost) -> None:
        view = host.view
        records = {other.name: other.record() for other in self.hosts.values()}
        key_value = self.key_values.get(COORDINATOR_KEY)
        coordinator = decode_coordinator(key_value.value) if key_value else None
        if view.hosts != records or view.coordinator != coordinator:
            view.hosts, view.coordinator = records, coordinator
            view.notify_listeners()
        for server_id in [
            server_id for server_id in view.servers if server_id not in self.server_entries
        ]:
            view.remove_server(server_id)
        for server_id, (entry, _) in self.server_entries.items():
            if view.servers.get(server_id) != entry:
                view.update_server(entry)

    def _write_entries(self) -> None:
        """Writes the entries of registered servers and drops entries older than their TTL."""
        now_s = self.loop.now_s
        for server in self.servers.values():
            if not server.reaches_store:
                self._drop_silent_entry(server)
            elif server.registered:
                self.server_entries[server.server_id] = (server.entry(), now_s)
            else:
                self.server_entries.pop(server.server_id, None)
        silent = {one.server_id for one in self.servers.values() if not one.reaches_store}
        for server_id, (_, written_s) in list(self.server_entries.items()):
            if server_id not in silent and now_s - written_s > ENTRY_TTL_S:
                del self.server_entries[server_id]

    def _drop_silent_entry(self, server: SimulatedServer) -> None:
        """Drops what a server wrote before it was cut off from the store, once that is too old."""
        written = self.server_entries.get(server.server_id)
        if written is not None and self.loop.now_s - written[1] > SILENT_ENTRY_TTL_S:
            del self.server_entries[server.server_id]

    def held_keys(self) -> int:
        return sum(
            held.last - held.first + 1
            for server in self.servers.values()
            for held in server.held_now()
        )

    def all_held(self) -> bool:
        return self.held_keys() == LAST_KEY + 1
