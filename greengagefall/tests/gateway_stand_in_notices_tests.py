"""Tests of telling servers the newest fencing token in place of their dispatcher."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace

from greengagefall.gateway.model import RoutingTable, ServerEntry, Service
from greengagefall.gateway.stand_in_notices import (
    LOST_LINK_DELAY_S,
    MAX_ASSIGNMENT_AGE_S,
    STAND_INS_PER_SERVER,
    StandInNotices,
    is_stand_in,
)
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import (
    LAST_KEY,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.tests.gateway_fence_notices_tests import ScriptedPool
from greengagefall.tests.virtual_time import LoopClock, VirtualTimeTestCase

SERVICE = "proofdesk"
SERVER = ServerIncarnation("s1", 1)
OTHER = ServerIncarnation("s2", 1)
OWNED = KeyRange(100, 199, SERVER, 7)
DISPATCHER = HostIncarnation("h1", 1)
NEXT_DISPATCHER = HostIncarnation("h2", 1)
HOSTS = ("h0", "h1", "h2")
CONFIRMATION_INTERVAL_S = 0.3
MANY_HOSTS = [f"h{number}" for number in range(120)]


def assignment(
    version: int, dispatcher: HostIncarnation = DISPATCHER, key_range: KeyRange = OWNED
) -> Assignment:
    dispatchers = {SERVER.server_id: DispatcherRecord(dispatcher)}
    return Assignment(version, 9, {SERVICE: (key_range,)}, dispatchers)


def record(host: str, start_ms: int = 1) -> HostRecord:
    return HostRecord(host, start_ms, f"{host}:1", "x", 1.0)


def entry(start_ms: int = 1) -> ServerEntry:
    return ServerEntry(SERVER.server_id, SERVICE, "s1:1", "x", 6, False, 0.0, start_ms)


class StandInNoticesTests(VirtualTimeTestCase):
    def setUp(self):
        super().setUp()
        clock = LoopClock(self.loop)
        self.pool = ScriptedPool(self.loop)
        self.pool.close = lambda: None
        self.lost: set[str] = set()
        self.confirms = True
        self.view = ClusterView(SimpleNamespace(), HostIncarnation("h0", 1), clock)
        service = Service(SERVICE, "/health", 100, 3.0, 8.0, True, 5.0)
        self.view.update_routing_table(RoutingTable(1, {}, {SERVICE: service}, 0, 0, 0.0))
        self.view.hosts = {host: record(host) for host in HOSTS}
        self.view.update_server(entry())
        self.view.update_assignment(assignment(1))
        self.stand_in = StandInNotices(
            self.view, clock, lambda address: self.pool, self.lost.__contains__, self.ask_nobody
        )
        self.addCleanup(self.run_for, 0.0)
        self.addCleanup(self.stand_in.close)
        self.loop.run_until_complete(self.start())
        self.addCleanup(self.confirmations.cancel)

    async def start(self) -> None:
        self.stand_in.start()
        self.confirmations = asyncio.create_task(self.confirm())

    async def confirm(self) -> None:
        """Confirms the assignment as the coordinator's replies do."""
        while True:
            if self.confirms:
                self.view.confirm_assignment(self.view.assignment.version, self.loop.now_s)
            await asyncio.sleep(CONFIRMATION_INTERVAL_S)

    async def ask_nobody(self, incarnation, span, fence) -> bool:
        return False

    def run_for(self, duration_s: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(duration_s))

    def test_a_server_whose_dispatcher_was_killed_is_told_soon(self):
        # It took a grant that the network held up, before a next dispatcher was chosen.
        self.lost.add(DISPATCHER.host)
        self.run_for(LOST_LINK_DELAY_S - 0.05)
        self.assertEqual(self.pool.told(), [])
        self.run_for(0.2)
        self.assertEqual(sorted(self.pool.told()), [(0, 99, 9), (200, LAST_KEY, 9)])
        self.assertEqual(self.pool.most_at_once, 1)

    def test_a_server_whose_dispatcher_started_again_is_told(self):
        # The later process does not dispatch the server before it is chosen again.
        self.view.hosts[DISPATCHER.host] = record(DISPATCHER.host, 2)
        self.run_for(1.0)
        self.assertEqual(sorted(self.pool.told()), [(0, 99, 9), (200, LAST_KEY, 9)])

    def test_a_later_process_of_the_dispatcher_stands_in_too(self):
        # With few hosts left nobody else might.
        self.view.host_incarnation = HostIncarnation(DISPATCHER.host, 2)
        self.view.hosts = {DISPATCHER.host: record(DISPATCHER.host, 2)}
        self.run_for(1.0)
        self.assertEqual(len(self.pool.told()), 2)

    def test_a_server_with_a_dispatcher_is_told_nothing(self):
        self.lost.add(NEXT_DISPATCHER.host)
        self.run_for(5.0)
        self.assertEqual(self.pool.tries, 0)

    def test_a_server_is_told_once(self):
        self.lost.add(DISPATCHER.host)
        self.run_for(10.0)
        self.assertEqual(len(self.pool.told()), 2)

    def test_a_host_with_an_older_assignment_tells_nothing(self):
        # A release ends a newer grant, also under a lower fencing token.
        self.run_for(1.0)
        self.confirms = False
        self.run_for(MAX_ASSIGNMENT_AGE_S)
        self.lost.add(DISPATCHER.host)
        self.run_for(5.0)
        self.assertEqual(self.pool.told(), [])

    def test_notices_end_when_the_assignment_is_not_confirmed_any_more(self):
        self.run_for(1.0)
        self.pool.cut = True
        self.lost.add(DISPATCHER.host)
        self.run_for(1.0)
        self.confirms = False
        self.run_for(MAX_ASSIGNMENT_AGE_S + 0.5)
        self.pool.cut = False
        self.run_for(2.0)
        self.assertEqual(self.pool.told(), [])

    def test_notices_end_with_the_choice_of_a_next_dispatcher(self):
        self.pool.cut = True
        self.lost.add(DISPATCHER.host)
        self.run_for(1.0)
        self.view.update_assignment(assignment(2, NEXT_DISPATCHER))
        self.pool.cut = False
        self.run_for(2.0)
        self.assertEqual(self.pool.told(), [])

    def test_keys_that_the_server_got_meanwhile_are_not_released(self):
        self.pool.cut = True
        self.lost.add(DISPATCHER.host)
        self.run_for(1.0)
        self.view.update_assignment(assignment(2, key_range=OWNED._replace(last=299)))
        self.pool.cut = False
        self.run_for(2.0)
        self.assertEqual(sorted(self.pool.told()), [(0, 99, 9), (300, LAST_KEY, 9)])

    def test_a_replaced_server_is_told_nothing(self):
        self.view.update_server(entry(start_ms=2))
        self.view.update_server(entry(start_ms=1))
        self.lost.add(DISPATCHER.host)
        self.run_for(5.0)
        self.assertEqual(self.pool.told(), [])

    def test_the_link_has_to_be_lost_for_a_while(self):
        # Each host would connect to many servers whenever a link breaks for a moment.
        for _ in range(10):
            self.lost.add(DISPATCHER.host)
            self.run_for(LOST_LINK_DELAY_S / 2)
            self.lost.clear()
            self.run_for(LOST_LINK_DELAY_S / 2)
        self.assertEqual(self.pool.tries, 0)


class StandInsTests(unittest.TestCase):
    def test_two_of_many_hosts_stand_in_for_each_server(self):
        servers = [f"s{number}" for number in range(100)]
        counts = Counter()
        for server in servers:
            chosen = [host for host in MANY_HOSTS if is_stand_in(host, server, MANY_HOSTS)]
            self.assertEqual(len(chosen), STAND_INS_PER_SERVER)
            counts.update(chosen)
        self.assertLessEqual(max(counts.values()), 10)

    def test_the_next_host_stands_in_for_one_that_is_lost(self):
        chosen = [host for host in MANY_HOSTS if is_stand_in(host, "s1", MANY_HOSTS)]
        alive = [host for host in MANY_HOSTS if host != chosen[0]]
        left = [host for host in alive if is_stand_in(host, "s1", alive)]
        self.assertEqual(len(left), STAND_INS_PER_SERVER)
        self.assertIn(chosen[1], left)


if __name__ == "__main__":
    unittest.main()
