"""Tests in virtual time how soon a host knows the assignment without a coordinator."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from result import Ok

from greengagefall.gateway.beats import STORE_READ_DELAY_S, HeartbeatSender
from greengagefall.gateway.peers import UNREACHABLE
from greengagefall.gateway.view import ClusterView
from greengagefall.ownership import rows
from greengagefall.ownership.model import EMPTY_ASSIGNMENT, UNKNOWN_RESTORES, HostIncarnation
from greengagefall.platform.store import KeyValue
from greengagefall.protocol.gateway_messages import BeatReply
from greengagefall.tests.virtual_time import LoopClock, VirtualLoop

OWN = HostIncarnation("h0", 2)
DEAD = HostIncarnation("h1", 1)
ELECTED = HostIncarnation("h1", 2)


class Host:
    """A host whose calls reach only the elected coordinator, and a store with an assignment."""

    def __init__(self, loop: VirtualLoop) -> None:
        clock = LoopClock(loop)
        self.reads = 0
        self.restores = UNKNOWN_RESTORES
        self.stored_after = UNKNOWN_RESTORES
        self.beats: list[HostIncarnation] = []
        self.view = ClusterView(SimpleNamespace(), OWN, clock)
        channels = SimpleNamespace(
            server_states=list,
            pop_key_counts=list,
            rate_limits=tuple,
            suspect_fences=tuple,
        )
        self.heartbeats = HeartbeatSender(self.view, self, channels, self, clock)

    async def call(self, host, message, timeout_s):
        self.beats.append(self.view.coordinator)
        await asyncio.sleep(0.01)
        if self.view.coordinator == DEAD:
            return UNREACHABLE
        return BeatReply(0, 7, 0)

    async def get(self, key):
        self.reads += 1
        await asyncio.sleep(0.004)
        assignment = EMPTY_ASSIGNMENT._replace(version=7)
        return Ok(KeyValue(key, rows.encode(assignment, "another", self.stored_after), 1))

    def know_coordinator(self, coordinator: HostIncarnation | None) -> None:
        self.view.coordinator = coordinator
        self.view.notify_listeners()


def run_virtual(run):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(run(Host(loop)))
    finally:
        loop.close()


async def start_without_coordinator(host: Host) -> tuple[int, bool]:
    """Starts a host whose coordinator is gone; returns its version and whether that is current."""
    host.heartbeats.start()
    await asyncio.sleep(0.05)
    host.know_coordinator(DEAD)
    await asyncio.sleep(0.3)
    host.heartbeats.close()
    return host.view.assignment.version, host.view.is_assignment_current()


class HeartbeatTests(unittest.TestCase):
    def test_after_a_restart_of_all_hosts_the_store_is_read_at_once(self):
        """The record of the former coordinator remains until its lease expires."""
        self.assertEqual(run_virtual(start_without_coordinator), (7, True))

    def test_a_stored_assignment_from_before_a_restore_is_not_used(self):
        async def run(host):
            host.stored_after, host.restores = 1, 2
            return await start_without_coordinator(host)

        self.assertEqual(run_virtual(run), (0, False))

    def test_a_host_with_an_assignment_waits_for_the_coordinator(self):
        async def run(host):
            host.view.update_assignment(EMPTY_ASSIGNMENT._replace(version=6))
            host.heartbeats.start()
            host.know_coordinator(DEAD)
            await asyncio.sleep(0.8 * STORE_READ_DELAY_S)
            early = host.reads
            await asyncio.sleep(0.5 * STORE_READ_DELAY_S)
            host.heartbeats.close()
            return early, host.reads

        self.assertEqual(run_virtual(run), (0, 1))

    def test_the_first_start_of_all_hosts_reads_no_assignment(self):
        async def run(host):
            host.heartbeats.start()
            await asyncio.sleep(0.8 * STORE_READ_DELAY_S)
            host.heartbeats.close()
            return host.reads

        self.assertEqual(run_virtual(run), 0)

    def test_a_new_coordinator_gets_a_heartbeat_at_once(self):
        async def run(host):
            host.view.update_assignment(EMPTY_ASSIGNMENT._replace(version=7))
            host.know_coordinator(DEAD)
            host.heartbeats.start()
            await asyncio.sleep(0.1)
            host.know_coordinator(ELECTED)
            await asyncio.sleep(0.07)
            host.heartbeats.close()
            return host.beats

        self.assertEqual(run_virtual(run), [DEAD, ELECTED])
