"""Tests of the coordinator: delayed writes of a former one, and unreadable services.

A delayed write can be stored after the coordinator has read the assignment. A host that already has
the newer version reports it in its heartbeat, and the coordinator must then read the store again.
"""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from result import Ok

from greengagefall.gateway.coordinator import Coordinator
from greengagefall.gateway.model import RoutingTable, ServerEntry, UnreadableParts
from greengagefall.gateway.records import ASSIGNMENT_KEY
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership import rows
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    LAST_KEY,
    UNKNOWN_RESTORES,
    Assignment,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.platform.store import KeyValue
from greengagefall.protocol.gateway_messages import HostBeat
from greengagefall.utils.clock import ManualClock, SystemClock
from greengagefall.utils.waiting import wait_until


class StoredAssignment:
    """A store that contains one version of the assignment and counts its reads.

    Other keys, which a coordinator reads once, do not exist.
    """

    def __init__(self) -> None:
        self.version = 1
        self.reads = 0
        self.restores = UNKNOWN_RESTORES

    async def get(self, key):
        if key != ASSIGNMENT_KEY:
            return Ok(None)
        self.reads += 1
        value = rows.encode(EMPTY_ASSIGNMENT._replace(version=self.version), "another")
        return Ok(KeyValue(key, value, self.version))


class DelayedWriteTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StoredAssignment()
        clock = SystemClock()
        view = ClusterView(SimpleNamespace(), HostIncarnation("h0", 1), clock)
        self.coordinator = Coordinator(self.store, view, None, clock, lambda: 0.0)
        self.coordinator.start()
        self.addAsyncCleanup(self.coordinator.close)
        self.assertTrue(await wait_until(lambda: self.reply_version(1) == 1, 2.0))

    def reply_version(self, version: int) -> int:
        """Returns the version in the reply to the heartbeat of a host that has ``version``."""
        beat = HostBeat(0, "h0", 1, version, False, [], [])
        return self.coordinator.on_heartbeat(beat).assignment_version

    async def test_newer_version_reported_by_a_host_is_read(self):
        self.store.version = 2
        self.reply_version(2)
        self.assertTrue(await wait_until(lambda: self.reply_version(2) == 2, 2.0))

    async def test_store_is_read_once_while_no_newer_version_is_reported(self):
        for _ in range(5):
            self.reply_version(1)
            await asyncio.sleep(0.05)
        self.assertEqual(self.store.reads, 1)


class UnreadableServiceTests(unittest.TestCase):
    def test_servers_of_an_unreadable_keyed_service_stay_spread_over_dispatchers(self):
        """Guards against one host that gets all of them, as for a service without keys."""
        clock = ManualClock(1.0)
        view = ClusterView(SimpleNamespace(), HostIncarnation("h0", 1), clock)
        for number in range(4):
            view.hosts[f"h{number}"] = HostRecord(f"h{number}", 1, "", "a", 1.0)
        for number in range(6):
            name = f"s{number}"
            view.update_server(ServerEntry(name, "keyed", name, "a", 5, False, 0.0, 1))
        unreadable = UnreadableParts(services=frozenset({"keyed"}))
        table = RoutingTable(1, {}, {}, 0, 0, 0.0, unreadable=unreadable)
        view.update_routing_table(table)
        owned = KeyRange(0, LAST_KEY, ServerIncarnation("s0", 1), 1)
        coordinator = Coordinator(StoredAssignment(), view, None, clock, lambda: 0.0)
        planned = coordinator._plan_dispatching(Assignment(1, 1, {"keyed": (owned,)}, {}))
        hosts = {dispatching.dispatcher.host for dispatching in planned.dispatchers.values()}
        self.assertEqual(hosts, {"h1", "h2", "h3"})


if __name__ == "__main__":
    unittest.main()
