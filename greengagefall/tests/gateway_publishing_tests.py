"""Tests which hosts get a new assignment at once, and how others catch up."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.gateway.handlers import PeerHandlers
from greengagefall.gateway.host_reports import HostReports
from greengagefall.gateway.publishing import (
    MAX_BASE_VERSIONS,
    PUSH_TIMEOUT_S,
    AssignmentPublisher,
    concerned_hosts,
)
from greengagefall.gateway.view import ClusterView
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    LAST_KEY,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.protocol.gateway_messages import NO_BASE_VERSION
from greengagefall.protocol.messages import PROTOCOL_VERSION, Failure, Hello
from greengagefall.utils.clock import ManualClock

OWN = HostIncarnation("coordinator", 1)
HOSTS = [HostIncarnation(f"h{number}", 1) for number in range(6)]
SERVERS = [ServerIncarnation(f"s{number}", 1) for number in range(6)]
HELLO = Hello(PROTOCOL_VERSION, "gateway", "coordinator", "x", "1", "", "")


def first_assignment() -> Assignment:
    """Each of six hosts dispatches one server, which owns a sixth of the keys."""
    size = (LAST_KEY + 1) // len(SERVERS)
    ranges = tuple(
        KeyRange(number * size, (number + 1) * size - 1, server, 1)
        for number, server in enumerate(SERVERS)
    )
    dispatchers = {
        server.server_id: DispatcherRecord(host)
        for server, host in zip(SERVERS, HOSTS, strict=True)
    }
    return Assignment(1, 1, {"proofdesk": ranges}, dispatchers)


def move_first_range(assignment: Assignment, target: ServerIncarnation) -> Assignment:
    """Returns the next version, in which the first range moves to another server."""
    ranges = assignment.key_ranges["proofdesk"]
    fence = assignment.last_fence + 1
    moved = ranges[0]._replace(owner=target, source=ranges[0].owner, fence=fence)
    return assignment._replace(
        version=assignment.version + 1,
        last_fence=fence,
        key_ranges={"proofdesk": (moved, *ranges[1:])},
    )


class FakeHosts:
    """Peers whose messages reach real handlers, except of hosts that are cut off."""

    def __init__(self, clock: ManualClock) -> None:
        self.views = {host.host: ClusterView(None, host, clock) for host in HOSTS}
        self.cut: set[str] = set()
        self.messages: list[tuple[str, object]] = []

    async def call(self, name, message, timeout_s):
        self.messages.append((name, message))
        await asyncio.sleep(0)
        if name in self.cut:
            return Failure(0, "unreachable")
        return PeerHandlers(self.views[name], None).handle(HELLO, message)


class PublishingTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.hosts = FakeHosts(self.clock)
        self.publisher = AssignmentPublisher(self.hosts, HostReports(self.clock), self.clock)
        self.addAsyncCleanup(self.publisher.close)
        self.newest = first_assignment()
        self.publisher.publish(self.newest, OWN)
        await self.delivered()

    async def delivered(self):
        for _ in range(10):
            await asyncio.sleep(0)

    async def publish(self, newest: Assignment) -> set[str]:
        """Publishes a version; returns the names of the hosts that got a message."""
        self.hosts.messages.clear()
        self.newest = newest
        self.publisher.publish(newest, OWN)
        await self.delivered()
        return {name for name, _ in self.hosts.messages}

    def version_of(self, host: HostIncarnation) -> int:
        return self.hosts.views[host.host].assignment.version

    async def test_a_move_goes_at_once_to_the_dispatchers_of_both_servers(self):
        self.assertEqual(
            await self.publish(move_first_range(self.newest, SERVERS[3])), {"h0", "h3"}
        )
        self.assertEqual(self.version_of(HOSTS[0]), 2)
        self.assertEqual(self.version_of(HOSTS[1]), 1)

    async def test_a_former_dispatcher_is_concerned_by_a_change_of_the_dispatcher(self):
        replaced = DispatcherRecord(HOSTS[5], (HOSTS[2],))
        newest = self.newest._replace(
            version=2, dispatchers={**self.newest.dispatchers, "s2": replaced}
        )
        self.assertEqual(await self.publish(newest), {"h2", "h5"})
        cleared = {**newest.dispatchers, "s2": DispatcherRecord(HOSTS[5])}
        self.assertIn(
            HOSTS[2], concerned_hosts(newest, newest._replace(version=3, dispatchers=cleared))
        )

    async def test_other_hosts_get_several_versions_in_one_message(self):
        for number in (3, 4, 3):
            await self.publish(move_first_range(self.newest, SERVERS[number]))
        self.hosts.messages.clear()
        self.publisher.bring_up_to_date(HOSTS[1], 1)
        await self.delivered()
        self.assertEqual(len(self.hosts.messages), 1)
        self.assertEqual(self.hosts.messages[0][1].base_version, 1)
        self.assertEqual(self.hosts.views["h1"].assignment, self.newest)

    async def test_a_host_without_the_base_version_gets_the_differences_from_its_own(self):
        self.hosts.cut.add("h0")
        await self.publish(move_first_range(self.newest, SERVERS[3]))
        self.hosts.cut.clear()
        await self.publish(move_first_range(self.newest, SERVERS[4]))
        self.assertEqual(self.hosts.views["h0"].assignment, self.newest)
        sent = [message.base_version for name, message in self.hosts.messages if name == "h0"]
        self.assertEqual(sent, [2, 1])

    async def test_a_host_with_a_very_old_version_gets_the_full_assignment(self):
        for number in range(MAX_BASE_VERSIONS + 2):
            await self.publish(move_first_range(self.newest, SERVERS[3 + number % 2]))
        self.hosts.messages.clear()
        self.publisher.bring_up_to_date(HOSTS[1], 1)
        await self.delivered()
        self.assertEqual(self.hosts.messages[0][1].base_version, NO_BASE_VERSION)
        self.assertEqual(self.hosts.views["h1"].assignment, self.newest)

    async def test_a_message_on_its_way_is_not_sent_again(self):
        self.newest = move_first_range(self.newest, SERVERS[3])
        self.publisher.publish(self.newest, OWN)
        self.publisher.bring_up_to_date(HOSTS[0], 1)
        await self.delivered()
        self.assertEqual([name for name, _ in self.hosts.messages].count("h0"), 2)
        self.hosts.cut.add("h1")
        self.publisher.bring_up_to_date(HOSTS[1], 1)
        await self.delivered()
        self.hosts.cut.clear()
        self.clock.advance(PUSH_TIMEOUT_S)
        self.publisher.bring_up_to_date(HOSTS[1], 1)
        await self.delivered()
        self.assertEqual(self.hosts.views["h1"].assignment, self.newest)

    async def test_a_restarted_host_gets_the_full_assignment(self):
        self.hosts.views["h1"].assignment = EMPTY_ASSIGNMENT
        self.publisher.bring_up_to_date(HostIncarnation("h1", 2), 0)
        await self.delivered()
        self.assertEqual(self.hosts.views["h1"].assignment, self.newest)
