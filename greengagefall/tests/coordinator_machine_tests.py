"""Stateful test of coordinators that write one slice map concurrently.

Guards against two servers being granted the same slice, which may happen if a coordinator acts
on outdated records or mistakes the outcome of a write whose answer was lost.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengagefall.coordinator import records as coordinator_records
from greengagefall.coordinator.records import BACKENDS_PREFIX, RECORD_PREFIXES, StoreRecords
from greengagefall.coordinator.releases import ReleaseTracker
from greengagefall.coordinator.slices import SliceMapController
from greengagefall.coordinator.wakeup import Wakeup
from greengagefall.protocol.messages import HostStatus, Release, Released
from greengagefall.routing.registry import config_key
from greengagefall.standins.kv_state import KvState
from greengagefall.standins.memory_store import MemoryStore
from greengagefall.tests.coordinator_settings import BACK_END, config_document, servers_of
from greengagefall.utils import invariants
from greengagefall.utils.clock import ManualClock

if TYPE_CHECKING:
    from greengagefall.coordination.model import SliceRange

ZONE_A = "ee-north-a"
ZONE_B = "ee-north-b"
SERVERS = servers_of(ZONE_A, "p1", "p2") | servers_of(ZONE_B, "q1", "q2")
ZONE_SERVERS = {ZONE_A: ("p1", "p2"), ZONE_B: ("q1", "q2")}
SLICE_COUNT = 64
COMPACT_AFTER_DELTAS = 2
COORDINATOR_ZONES = (ZONE_A, ZONE_A, ZONE_B)

coordinators = st.sampled_from(range(len(COORDINATOR_ZONES)))
server_names = st.sampled_from(sorted(SERVERS))


class IdleReleases(ReleaseTracker):
    """A tracker that starts no tasks, since the state machine asks for releases itself."""

    def start_tasks(self, servers: Any, lost_servers: Any) -> None:
        """Does nothing."""


class Dispatcher:
    """Grants a server its slices by the newest map version that it has applied."""

    def __init__(self, server: str) -> None:
        self.server = server
        self.version = -1
        self.granted: dict[int, int] = {}
        self.state = "up"

    def follow(self, newest: StoreRecords) -> None:
        """Applies the newest map, unless it is older, and grants by it."""
        slice_map = newest.slice_map(BACK_END)
        if slice_map is None or slice_map.version < self.version:
            return
        self.version = slice_map.version
        self.granted = {
            number: slice_range.fence
            for slice_range in slice_map.owned_by(self.server)
            for number in range(slice_range.first, slice_range.last + 1)
        }

    def released(self, message: Release) -> bool:
        """Returns whether none of the slices is granted as of the requested map version."""
        requested = {n for first, last in message.slice_bounds for n in range(first, last + 1)}
        return self.version >= message.map_version and not requested & self.granted.keys()


class Connections:
    """Connections of one coordinator to its zone's hosts; each host is named after its server."""

    def __init__(self, zone: str, dispatchers: dict[str, Dispatcher]) -> None:
        self._dispatchers = {name: dispatchers[name] for name in ZONE_SERVERS[zone]}

    def statuses(self) -> list[HostStatus]:
        """Returns the state of each server of the zone."""
        return [
            HostStatus(
                0, name, "1", 1, False, [[f"{BACK_END}/{name}", one.state, 1, 0, 6, 0, 0]], {}, {}
            )
            for name, one in self._dispatchers.items()
        ]

    def link_to(self, host: str) -> Any:
        """Returns the link to a host."""
        return Link(self._dispatchers[host])


class Link:
    """Link to a dispatcher."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    async def call(self, message: Release, timeout_s: float) -> Released:
        """Answers a release."""
        return Released(0, self._dispatcher.released(message), "", 1)


class CoordinatorsMachine(RuleBasedStateMachine):
    """Two coordinators of one zone and one of another, on one store."""

    def __init__(self) -> None:
        super().__init__()
        invariants.reset_violations()
        self.loop = asyncio.new_event_loop()
        self.compact_after = coordinator_records.COMPACT_AFTER_DELTAS
        coordinator_records.COMPACT_AFTER_DELTAS = COMPACT_AFTER_DELTAS
        self.state = KvState()
        self.clock = ManualClock(100.0)
        self.config_version = 0
        self.fences: dict[int, int] = {}
        self.history: dict[int, list[SliceRange]] = {}
        self.dispatchers = {name: Dispatcher(name) for name in SERVERS}
        self.stores = [MemoryStore(self.state) for _ in COORDINATOR_ZONES]
        self.records: list[StoreRecords] = [None] * len(COORDINATOR_ZONES)
        self.controllers: list[SliceMapController] = [None] * len(COORDINATOR_ZONES)
        self.configure("in")
        for number in range(len(COORDINATOR_ZONES)):
            self.restart(number)
        self.settle()

    def teardown(self) -> None:
        coordinator_records.COMPACT_AFTER_DELTAS = self.compact_after
        self.loop.close()

    def run(self, awaitable: Any) -> Any:
        return self.loop.run_until_complete(awaitable)

    @rule(state=st.sampled_from(("in", "out")))
    def configure(self, state: str) -> None:
        """Sets the state of zone A."""
        self.config_version += 1
        zones = {ZONE_A: {"state": state}, ZONE_B: {"state": "in"}}
        document = config_document(self.config_version, SERVERS, zones=zones)
        store = MemoryStore(self.state)
        self.run(store.create(config_key(self.config_version), document))

    @rule(number=coordinators)
    def restart(self, number: int) -> None:
        """Replaces a coordinator by one that has read the records anew; the others continue."""
        zone, store = COORDINATOR_ZONES[number], self.stores[number]
        records = StoreRecords(store, zone, lambda: None)
        connections = Connections(zone, self.dispatchers)
        controller = SliceMapController(BACK_END, zone, records, connections, self.clock, Wakeup())
        controller.releases = IdleReleases(BACK_END, records, connections, lambda: None)
        self.records[number], self.controllers[number] = records, controller
        for prefix in RECORD_PREFIXES:
            self.run(records.read(prefix))

    @rule(number=coordinators, fault=st.sampled_from(("", "answer", "write")), asks=st.booleans())
    def act(self, number: int, fault: str, asks: bool) -> None:
        """Lets a coordinator act on the records that it knows, which may be outdated."""
        self.clock.advance(0.5)
        if asks:
            self.ask(number)
        store = self.stores[number]
        store.lose_next_answers = int(fault == "answer")
        store.lose_next_writes = int(fault == "write")
        self.run(self.controllers[number].step())
        store.lose_next_answers = store.lose_next_writes = 0

    @rule(number=coordinators, fault=st.sampled_from(("", "", "answer", "write")))
    def follow_and_act(self, number: int, fault: str) -> None:
        """Lets a coordinator read the newest records, ask for releases and act."""
        for prefix in RECORD_PREFIXES:
            self.run(self.records[number].read(prefix))
        self.act(number, fault, asks=True)

    def ask(self, number: int) -> None:
        """Lets a coordinator ask for the releases of its own zone."""
        for server in ZONE_SERVERS[COORDINATOR_ZONES[number]]:
            self.run(self.controllers[number].releases.request_release_once(server))

    @rule(server=server_names)
    def dispatcher_follows(self, server: str) -> None:
        """Lets a dispatcher apply the newest map and grant by it."""
        self.dispatchers[server].follow(self.newest())

    @rule(server=server_names, state=st.sampled_from(("up", "down")))
    def report(self, server: str, state: str) -> None:
        """Changes a server's state."""
        self.dispatchers[server].state = state

    @rule(quiet=st.sampled_from((True, False, False, False)))
    def settle_or_not(self, quiet: bool) -> None:
        """Settles in one of four cases, so that coordinators race in most steps."""
        if quiet:
            self.settle()

    def settle(self) -> None:
        """Lets all coordinators and dispatchers follow, ask and act for a while."""
        for _ in range(4):
            self.clock.advance(3.0)
            for number in range(len(COORDINATOR_ZONES)):
                for server in SERVERS:
                    self.dispatcher_follows(server)
                self.follow_and_act(number, "")
                self.coordinators_agree_on_each_version()

    def newest(self) -> StoreRecords:
        """Returns records that were read anew from the store."""
        fresh = StoreRecords(MemoryStore(self.state), ZONE_A, lambda: None)
        self.run(fresh.read(BACKENDS_PREFIX))
        return fresh

    @invariant()
    def no_slice_has_two_owners(self) -> None:
        granted: dict[int, str] = {}
        for name, dispatcher in self.dispatchers.items():
            for number in dispatcher.granted:
                assert number not in granted, (number, name, granted[number])
                granted[number] = name

    @invariant()
    def fences_only_grow_and_all_slices_are_covered(self) -> None:
        slice_map = self.newest().slice_map(BACK_END)
        if slice_map is None:
            return
        for slice_range in slice_map.ranges():
            for number in range(slice_range.first, slice_range.last + 1):
                assert slice_range.fence >= self.fences.get(number, 0)
                self.fences[number] = slice_range.fence
        assert slice_map.ranges()[-1].last == SLICE_COUNT - 1

    @invariant()
    def coordinators_agree_on_each_version(self) -> None:
        newest = self.newest().slice_map(BACK_END)
        if newest is None:
            return
        known = self.history.setdefault(newest.version, newest.ranges())
        assert known == newest.ranges()
        for records in self.records:
            known_map = records.slice_map(BACK_END)
            if known_map is not None:
                assert known_map.version <= newest.version
                assert known_map.ranges() == self.history.get(known_map.version, known_map.ranges())

    @invariant()
    def no_invariant_is_violated(self) -> None:
        assert invariants.violations() == {}


class CoordinatorsMachineTests(CoordinatorsMachine.TestCase):
    settings = settings(max_examples=80, stateful_step_count=50, deadline=None)
