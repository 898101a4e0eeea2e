"""Tests in virtual time that no host takes a lost watch for a store without changes."""

from __future__ import annotations

import asyncio
import logging
import unittest
from types import SimpleNamespace
from unittest import mock

from greengagefall.gateway.following import PrefixWatcher
from greengagefall.gateway.records import HOST_PREFIX, encode_host
from greengagefall.gateway.relay_following import RELAYS_PER_ZONE
from greengagefall.gateway.store_probe import StoreProbe
from greengagefall.gateway.store_proofs import StoreKnowledge, StoreProofs
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import HostIncarnation
from greengagefall.protocol.codec import decode, encode
from greengagefall.protocol.gateway_messages import BeatReply, HostBeat
from greengagefall.tests.gateway_lost_watch_tests import DRAIN_TIMEOUT_S, PREFIX, QuietStore
from greengagefall.tests.relaying_simulation import HOST_COUNT, server_entry
from greengagefall.tests.relaying_simulation import run_virtual as run_zone
from greengagefall.tests.virtual_time import LoopClock, VirtualLoop, run_in_virtual_time

HOST_COUNT_WITHOUT_RELAYS = 4
BEAT_INTERVAL_S = 0.3
BEAT_S = 0.01
CHECK_INTERVAL_S = 0.1
SETTLED_S = 5.0
SHORT_OUTAGE_S = 0.5
# Time from the end of a disruption to the change of the store that hosts must know in time.
STABLE_S = 3.0
# Shorter than until the next proof is due.
HEARD_WITHIN_S = 0.75
TENTHS = range(10)
# No relay.
COORDINATOR = f"h{HOST_COUNT - 1:02}"
BEAT = HostBeat(0, "h1", 1, 7, False, [], [])


class StoreOfHost:
    """The store as one host reaches it.

    Attributes:
        calls: Reads and watches so far.
        lose_watch: Whether the next watch gets no answer.
    """

    def __init__(self, shared: QuietStore) -> None:
        self._shared = shared
        self.restores = shared.restores
        self.calls = 0
        self.lose_watch = False

    async def answers(self, key):
        return await self._shared.answers(key)

    async def range(self, prefix):
        self.calls += 1
        return await self._shared.range(prefix)

    async def watch(self, prefix, revision, wait_s):
        self.calls += 1
        if self.lose_watch:
            self.lose_watch = False
            await asyncio.sleep(wait_s + DRAIN_TIMEOUT_S)
        return await self._shared.watch(prefix, revision, wait_s)


async def exchange(
    loop: VirtualLoop, proofs: StoreProofs, of_coordinator: StoreProofs, coordinator: str
) -> None:
    """Sends one heartbeat to the coordinator and takes its reply."""
    sent_s = loop.now_s
    beat = proofs.add_to_beat(BEAT, coordinator)
    await asyncio.sleep(BEAT_S)
    reply = of_coordinator.add_to_reply(beat, BeatReply(0, 7, 0))
    await asyncio.sleep(BEAT_S)
    proofs.on_reply(sent_s, reply)


class Host:
    """A host that watches the store, probes it and sends heartbeats to the coordinator."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        clock = LoopClock(fleet.loop)
        self.view = ClusterView(SimpleNamespace(), HostIncarnation(name, 1), clock)
        self.store = StoreOfHost(fleet.store)
        self.seen: dict[str, bytes] = {}
        self.watcher = PrefixWatcher(self.store, PREFIX, self._put, self.seen.pop, clock)
        self.proofs = StoreProofs([self.watcher], self.view, clock, DRAIN_TIMEOUT_S)
        self._probe = StoreProbe([self.watcher], self.store, DRAIN_TIMEOUT_S)

    def _put(self, key_value) -> None:
        self.seen[key_value.key] = key_value.value

    def start(self) -> None:
        self.watcher.start()
        self._probe.start()
        self._tasks = [asyncio.create_task(self._check()), asyncio.create_task(self._beat())]

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.proofs.check()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_INTERVAL_S)
            coordinator = self._fleet.coordinator
            if coordinator is not None:
                name = coordinator.view.host_incarnation.host
                await exchange(self._fleet.loop, self.proofs, coordinator.proofs, name)


class Fleet:
    """Hosts without relays, one of which is the coordinator.

    Attributes:
        coordinator: The host that answers heartbeats; None if none does.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.store = QuietStore()
        self.hosts = [Host(self, f"h{number}") for number in range(HOST_COUNT_WITHOUT_RELAYS)]
        self.coordinator: Host | None = None
        records = {
            host.view.host_incarnation.host: HostRecord(
                host.view.host_incarnation.host, 1, "", "a", 1.0, reads_proofs=True
            )
            for host in self.hosts
        }
        for host in self.hosts:
            host.view.hosts.update(records)

    def elect(self, host: Host) -> None:
        self.coordinator = host
        for one in self.hosts:
            one.view.coordinator = host.view.host_incarnation

    async def start(self) -> None:
        self.store.put("servers/a", b"1")
        for host in self.hosts:
            host.start()
        await asyncio.sleep(SETTLED_S)

    async def change(self, value: bytes, within_s: float) -> list[str]:
        """Changes a key; returns the hosts that do not know it in time."""
        self.store.put("servers/a", value)
        await asyncio.sleep(within_s)
        return [
            host.view.host_incarnation.host
            for host in self.hosts
            if host.seen["servers/a"] != value
        ]


def run_fleet(run):
    """Runs a coroutine function with a fleet in virtual time; returns its result."""
    return run_in_virtual_time(lambda loop: run(Fleet(loop)))


class StoreProofsTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play_short_outage(self, tenth: int, *, exchange: bool) -> list[str]:
        """Plays an outage right after a change; returns who misses a later change."""

        async def run(fleet):
            if exchange:
                fleet.elect(fleet.hosts[0])
            else:
                for host in fleet.hosts:
                    host.proofs.check = lambda: None
                    host.watcher.max_watch_s = lambda: float("inf")
            await fleet.start()
            await asyncio.sleep(tenth / 10)
            fleet.store.put("servers/a", b"2")
            await asyncio.sleep(0.1)
            fleet.store.stop_answering()
            await asyncio.sleep(SHORT_OUTAGE_S)
            fleet.store.silent = False
            await asyncio.sleep(STABLE_S)
            return await fleet.change(b"3", DRAIN_TIMEOUT_S)

        return run_fleet(run)

    def test_no_short_outage_between_two_probes_is_missed(self):
        # A watch that was lost between two probes was noticed only at its timeout, 16 s later.
        missed = {tenth: self.play_short_outage(tenth, exchange=True) for tenth in TENTHS}
        self.assertEqual(missed, {tenth: [] for tenth in TENTHS})

    def test_the_outage_is_missed_without_proofs(self):
        missed = [self.play_short_outage(tenth, exchange=False) for tenth in TENTHS]
        self.assertIn([f"h{number}" for number in range(HOST_COUNT_WITHOUT_RELAYS)], missed)

    def test_a_host_that_lost_its_watch_hears_of_a_change(self):
        async def run(fleet):
            fleet.elect(fleet.hosts[0])
            await fleet.start()
            blind = fleet.hosts[2]
            blind.store.lose_watch = True
            await fleet.change(b"2", STABLE_S)
            return await fleet.change(b"3", HEARD_WITHIN_S)

        self.assertEqual(run_fleet(run), [])

    def test_a_blind_coordinator_hears_of_a_change(self):
        async def run(fleet):
            fleet.elect(fleet.hosts[0])
            await fleet.start()
            fleet.hosts[0].store.lose_watch = True
            return await fleet.change(b"2", 0.2) + await fleet.change(b"3", HEARD_WITHIN_S)

        self.assertEqual(run_fleet(run), [])

    def test_hosts_without_a_coordinator_prove_themselves(self):
        async def run(fleet):
            fleet.elect(fleet.hosts[0])
            await fleet.start()
            fleet.coordinator = None
            await asyncio.sleep(SETTLED_S)
            for host in fleet.hosts[1:]:
                host.store.lose_watch = True
            await asyncio.sleep(STABLE_S)
            return await fleet.change(b"2", 0.2)

        self.assertEqual(run_fleet(run), [])

    def test_a_host_that_loses_its_watch_and_the_coordinator_reads_all_keys(self):
        async def run(fleet):
            fleet.elect(fleet.hosts[0])
            await fleet.start()
            for host in fleet.hosts[1:]:
                host.store.lose_watch = True
            missed = await fleet.change(b"2", 0.2)
            fleet.coordinator = None
            await asyncio.sleep(DRAIN_TIMEOUT_S)
            return missed + await fleet.change(b"3", 0.2)

        self.assertEqual(run_fleet(run), [])

    def test_a_watch_without_a_proof_is_not_trusted_for_long(self):
        async def run(fleet):
            await fleet.start()
            host = fleet.hosts[1]
            host.proofs.check = lambda: None
            host.store.lose_watch = True
            await asyncio.sleep(2 * DRAIN_TIMEOUT_S)
            return host.watcher.watching, host.watcher.is_current("servers/a")

        self.assertEqual(run_fleet(run), (False, False))

    def test_only_the_coordinator_watches_shortly_while_nothing_changes(self):
        async def run(fleet):
            fleet.elect(fleet.hosts[0])
            await fleet.start()
            before = [host.store.calls for host in fleet.hosts]
            await asyncio.sleep(10.0)
            after = [host.store.calls for host in fleet.hosts]
            return [now - then for now, then in zip(after, before, strict=True)]

        coordinator, *others = run_fleet(run)
        self.assertLessEqual(coordinator, 10)
        self.assertLessEqual(max(others), 1)

    def test_what_a_former_incarnation_of_the_store_proves_does_not_count(self):
        async def run(fleet):
            await fleet.start()
            host = fleet.hosts[1]
            host.watcher.restores = 3
            proved_s = host.watcher.proved_s
            older = StoreKnowledge(2, 0, (1,)).to_row()
            host.proofs.on_reply(fleet.loop.now_s, BeatReply(0, 7, 0, store_knowledge=older))
            return host.watcher.proved_s - proved_s

        self.assertEqual(run_fleet(run), 0.0)

    def test_a_coordinator_of_an_earlier_version_gets_no_new_field(self):
        async def run(fleet):
            fleet.elect(fleet.hosts[0])
            await fleet.start()
            view = fleet.hosts[1].view
            view.hosts["h0"] = view.hosts["h0"]._replace(reads_proofs=False)
            return fleet.hosts[1].proofs.add_to_beat(BEAT, "h0")

        beat = run_fleet(run)
        self.assertEqual(beat, BEAT)
        self.assertEqual(decode(encode(beat)).store_knowledge, ())

    def test_malformed_knowledge_is_ignored(self):
        for row in ((), (1, 2), (1, 2, 3, 4), (1, 2, "3")):
            self.assertIsNone(StoreKnowledge.from_row(row, 1), row)


class FollowingTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_a_drain_that_a_lost_watch_missed_is_not_dated_later_than_it_began(self):
        async def run(zone):
            zone.start()
            await asyncio.sleep(SETTLED_S)
            host = zone.hosts["h00"]
            store = host.watchers[0]._store
            with mock.patch.object(store, "watch", lambda *args: asyncio.sleep(STABLE_S)):
                host.watchers[0].refresh()
                await asyncio.sleep(CHECK_INTERVAL_S)
                zone.store.put("servers/s1", server_entry("draining"))
                changed_s = zone.loop.now_s
                await asyncio.sleep(DRAIN_TIMEOUT_S)
                self.assertNotIn("s1", host.view.draining_since_s)
            host.watchers[0].refresh()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.assertLessEqual(host.view.draining_since_s["s1"], changed_s)

        run_zone(run, HOST_COUNT_WITHOUT_RELAYS)

    async def beat(self, zone, proofs: dict[str, StoreProofs]) -> None:
        """Has all hosts send heartbeats to the coordinator."""
        while True:
            await asyncio.sleep(BEAT_INTERVAL_S)
            for one in proofs.values():
                await exchange(zone.loop, one, proofs[COORDINATOR], COORDINATOR)

    async def start_with_proofs(self, zone) -> None:
        """Starts a zone whose hosts exchange proofs with a coordinator that is no relay."""
        proofs = {}
        for name, host in zone.hosts.items():
            clock = LoopClock(zone.loop)
            proofs[name] = StoreProofs(host.watchers, host.view, clock, DRAIN_TIMEOUT_S)
            host.follower.on_check = proofs[name].check
            host.view.coordinator = zone.hosts[COORDINATOR].view.host_incarnation
            record = HostRecord(name, 1, "127.0.0.1:1", "a", 1.0, True, reads_proofs=True)
            zone.store.put(HOST_PREFIX + name, encode_host(record))
        zone.start()
        self.beating = asyncio.create_task(self.beat(zone, proofs))
        await asyncio.sleep(SETTLED_S)

    def test_a_zone_behind_relays_that_lost_a_watch_learns_of_a_change(self):
        async def run(zone):
            await self.start_with_proofs(zone)
            relays = [zone.hosts[name] for name in zone.relays() if name != COORDINATOR]
            self.assertEqual(len(relays), RELAYS_PER_ZONE)
            for relay in relays:
                lost = mock.Mock(side_effect=lambda *args: asyncio.sleep(2 * SETTLED_S))
                with mock.patch.object(relay.watchers[0]._store, "watch", lost):
                    relay.watchers[0].refresh()
                    await asyncio.sleep(CHECK_INTERVAL_S)
                lost.assert_called_once()
            zone.store.put("servers/s1", server_entry("draining"))
            await asyncio.sleep(DRAIN_TIMEOUT_S)
            return [name for name, host in zone.hosts.items() if not host.view.draining_since_s]

        self.assertEqual(run_zone(run), [])

    def test_a_coordinator_watches_the_store_itself(self):
        # The proofs of all hosts would otherwise depend on those of its relay, and these on its.
        async def run(zone):
            zone.start()
            await asyncio.sleep(SETTLED_S)
            last = zone.hosts[COORDINATOR]
            self.assertTrue(last.follower.relayed)
            last.view.coordinator = last.view.host_incarnation
            await asyncio.sleep(1.0)
            self.assertFalse(last.follower.relayed)

        run_zone(run)


if __name__ == "__main__":
    unittest.main()
