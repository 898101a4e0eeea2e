"""Tests of the active coordinator with an in-memory store and stand-in hosts."""

from __future__ import annotations

import unittest
from unittest import mock

from greengagefall.coordination.model import SLICE_FREE, SLICE_OWNED, SLICE_RELEASING
from greengagefall.coordinator import members, records, releases
from greengagefall.coordinator.active import ActiveCoordinator
from greengagefall.coordinator.contacts import LeadershipClaim
from greengagefall.coordinator.keys import delta_key
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.routing.registry import config_key
from greengagefall.standins.entry_host import StandInHost
from greengagefall.standins.memory_store import MemoryStore
from greengagefall.tests.coordinator_settings import (
    BACK_END,
    FakeHostList,
    config_document,
    servers_of,
)
from greengagefall.tests.waiting import eventually
from greengagefall.utils import invariants
from greengagefall.utils.clock import SystemClock

ZONE_A = "ee-north-a"
ZONE_B = "ee-north-b"


class ActiveTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        invariants.reset_violations()
        self.store = MemoryStore()
        self.hosts = [StandInHost(f"a{number}", ZONE_A) for number in range(3)]
        for host in self.hosts:
            await host.start()
            self.addAsyncCleanup(host.close)
        self.host_list = FakeHostList([host.listed() for host in self.hosts])
        self.servers = servers_of(ZONE_A, "p1", "p2", "p3") | servers_of(ZONE_B, "q1", "q2")
        for index, name in enumerate(("p1", "p2", "p3")):
            self.hosts[index].servers = {f"{BACK_END}/{name}": "up"}
        await self.configure(1, self.servers)

    async def asyncTearDown(self):
        self.assertEqual(invariants.violations(), {})

    async def configure(self, version: int, servers: dict, **changes) -> None:
        document = config_document(version, servers, **changes)
        created = await self.store.create(config_key(version), document)
        self.assertTrue(created.ok_value)

    async def start(self, host: StandInHost | None = None, zone: str = ZONE_A, store=None):
        entry = host or self.hosts[0]
        hello = Hello(PROTOCOL_VERSION, "coordinator", entry.host, zone, "c", "", "")
        active = ActiveCoordinator(
            store or self.store,
            self.host_list,
            hello,
            entry.address,
            lambda: LeadershipClaim(entry.host, 5),
            SystemClock(),
        )
        await active.start()
        self.addAsyncCleanup(active.close)
        return active

    async def start_owned(self):
        active = await self.start()
        await eventually(lambda: self.all_owned(active) and active.records.members is not None)
        return active

    def all_owned(self, active) -> bool:
        slice_map = active.records.slice_map(BACK_END)
        return slice_map is not None and all(
            slice_range.state == SLICE_OWNED for slice_range in slice_map.ranges()
        )

    def reported_down(self, active) -> bool:
        statuses = active.connections.statuses()
        return any(row[1] == "down" for status in statuses for row in status.servers)

    def owners(self, active) -> set[str]:
        return {slice_range.owner for slice_range in active.records.slice_map(BACK_END).ranges()}


class MembersTests(ActiveTestCase):
    async def test_first_record_has_all_hosts_and_documents_are_pushed(self):
        active = await self.start_owned()
        await eventually(lambda: all(host.epoch == 1 for host in self.hosts))
        record = active.records.members
        self.assertEqual([member.host for member in record.members], ["a0", "a1", "a2"])
        versions = active.records.document_cache.versions()
        await eventually(
            lambda: all(host.document_cache.versions() == versions for host in self.hosts)
        )
        self.assertEqual(self.hosts[1].coordinator_tracker.latest().host, "a0")
        self.assertEqual(self.hosts[1].coordinator_tracker.latest().term, 5)

    async def test_restarted_host_replaces_its_former_incarnation(self):
        active = await self.start_owned()
        await eventually(lambda: all(host.epoch == 1 for host in self.hosts))
        await self.hosts[1].restart("2")
        await eventually(lambda: active.records.members.epoch == 2)
        record = active.records.members
        self.assertEqual(record.gone, ("a1/1",))
        self.assertEqual(record.members[1].incarnation, "2")
        self.assertEqual(record.map_floors, active.records.slice_versions())
        await eventually(lambda: self.hosts[1].epoch == 2)

    async def test_silent_host_stays_a_member_until_the_host_list_marks_it_as_leaving(self):
        self.enterContext(mock.patch.object(members, "REMOVE_AFTER_S", 0.1))
        active = await self.start_owned()
        await eventually(lambda: all(host.epoch == 1 for host in self.hosts))
        await self.hosts[2].close()
        await eventually(lambda: "a2" not in active.connections.observations())
        await self.configure(2, self.servers)
        await eventually(lambda: active.records.config.version == 2)
        self.assertEqual(active.records.members.epoch, 1)
        self.host_list.hosts[2] = self.hosts[2].listed("leaving")
        await eventually(lambda: active.records.members.epoch == 2)
        self.assertEqual([member.host for member in active.records.members.members], ["a0", "a1"])
        self.assertEqual(active.records.members.gone, ())

    async def test_host_attested_as_lost_is_removed_and_does_not_rejoin(self):
        active = await self.start_owned()
        await eventually(lambda: all(host.epoch == 1 for host in self.hosts))
        await self.configure(2, self.servers, lost_hosts=["a2/1"])
        await eventually(lambda: active.records.members.epoch == 2)
        self.assertEqual(active.records.members.gone, ("a2/1",))
        await eventually(lambda: "a2" in active.connections.observations())
        self.assertEqual(active.records.members.epoch, 2)

    async def test_next_epoch_waits_until_the_current_one_is_complete(self):
        active = await self.start_owned()
        await eventually(lambda: all(host.epoch == 1 for host in self.hosts))
        for host in self.hosts:
            host.ignores_documents = True
        await self.hosts[1].restart("2")
        await eventually(lambda: active.records.members.epoch == 2)
        await self.hosts[1].restart("3")
        await eventually(lambda: active.connections.observations()["a1"].incarnation == "3")
        await active._members.step()
        await active._members.step()
        self.assertEqual(active.records.members.epoch, 2)
        for host in self.hosts:
            host.ignores_documents = False
        await eventually(lambda: active.records.members.epoch == 3)

    async def test_resigning_host_is_marked_as_resigned(self):
        active = await self.start_owned()
        self.hosts[1].resigning = True
        await eventually(lambda: active.records.members.epoch == 2)
        resigned = [member.resigned for member in active.records.members.members]
        self.assertEqual(resigned, [False, True, False])


class SliceTests(ActiveTestCase):
    async def test_lost_server_is_replaced_only_after_its_release(self):
        active = await self.start_owned()
        before = active.records.slice_map(BACK_END).copy()
        for host in self.hosts:
            host.releases = False
        self.hosts[0].servers[f"{BACK_END}/p1"] = "down"
        await eventually(lambda: len(self.hosts[0].release_messages) >= 3)
        slice_map = active.records.slice_map(BACK_END)
        self.assertEqual(slice_map.owned_by("p1"), [])
        self.assertEqual(
            {slice_range.state for slice_range in slice_map.releasing_from("p1")}, {SLICE_RELEASING}
        )
        self.assertLessEqual(self.hosts[0].release_messages[0].map_version, slice_map.version)
        self.hosts[0].releases = True
        await eventually(lambda: self.all_owned(active))
        for slice_range in before.owned_by("p1"):
            for current in slice_map.overlapping(slice_range.first, slice_range.last):
                self.assertGreater(current.fence, slice_range.fence)
                self.assertIn(current.owner, ("p2", "p3"))

    async def test_next_coordinator_continues_an_unfinished_release(self):
        first = await self.start_owned()
        for host in self.hosts:
            host.releases = False
        self.hosts[0].servers[f"{BACK_END}/p1"] = "down"
        await eventually(lambda: self.hosts[0].release_messages)
        await first.close()
        for host in self.hosts:
            host.releases = True
        second = await self.start(self.hosts[1])
        await eventually(lambda: second.records.all_read and self.all_owned(second))
        self.assertNotIn("p1", self.owners(second))
        self.assertEqual(self.hosts[0].release_messages[-1].server, "p1")

    async def test_writes_whose_answers_are_lost_are_confirmed_by_reading_back(self):
        active = await self.start_owned()
        txn = self.store.txn

        async def lossy(*args):
            self.store.lose_next_answers = 1
            return await txn(*args)

        self.store.txn = lossy
        self.hosts[0].servers[f"{BACK_END}/p1"] = "down"
        await eventually(lambda: "p1" not in self.owners(active) and self.all_owned(active))

    async def test_zone_out_is_evacuated_in_steps_and_lost_zone_without_release_requests(self):
        active = await self.start_owned()
        zones = {ZONE_A: {"state": "out"}, ZONE_B: {"state": "in"}}
        await self.configure(2, self.servers, zones=zones)
        await eventually(lambda: self.owners(active) == {"q1", "q2"} and self.all_owned(active))
        self.assertGreater(active.records.slice_map(BACK_END).version, 6)
        homes = {
            slice_range.home_zone for slice_range in active.records.slice_map(BACK_END).ranges()
        }
        self.assertEqual(homes, {ZONE_A, ZONE_B})
        self.enterContext(mock.patch.multiple(releases, GRANT_TTL_S=0.1, GRANT_MARGIN_S=0.1))
        release_count = len(self.hosts[0].release_messages)
        zones = {ZONE_A: {"state": "in"}, ZONE_B: {"state": "lost"}}
        await self.configure(3, self.servers, zones=zones)
        await eventually(
            lambda: self.owners(active) <= {"p1", "p2", "p3"} and self.all_owned(active)
        )
        self.assertEqual(len(self.hosts[0].release_messages), release_count)

    async def test_slices_of_other_zones_are_not_moved(self):
        active = await self.start_owned()
        self.hosts[0].servers[f"{BACK_END}/q1"] = "down"
        await eventually(lambda: self.reported_down(active))
        for controller in active._controllers.values():
            await controller.step()
        self.assertIn("q1", self.owners(active))
        self.assertEqual(self.hosts[0].release_messages, [])

    async def test_two_active_coordinators_reassign_the_slices_of_down_servers(self):
        first = await self.start_owned()
        second = await self.start(self.hosts[1])
        await eventually(lambda: second.records.all_read)
        self.hosts[0].servers[f"{BACK_END}/p1"] = "down"
        self.hosts[1].servers[f"{BACK_END}/p2"] = "down"
        await eventually(lambda: self.owners(first) <= {"p3", "q1", "q2"} and self.all_owned(first))
        version = first.records.slice_map(BACK_END).version
        await eventually(lambda: second.records.slice_map(BACK_END).version >= version)

    async def test_compaction_keeps_the_map_and_refuses_old_versions(self):
        self.enterContext(mock.patch.object(records, "COMPACT_AFTER_DELTAS", 3))
        active = await self.start_owned()
        stale = records.StoreRecords(self.store, ZONE_A, lambda: None)
        for prefix in records.RECORD_PREFIXES:
            await stale.read(prefix)
        zones = {ZONE_A: {"state": "out"}, ZONE_B: {"state": "in"}}
        await self.configure(2, self.servers, zones=zones)
        await eventually(lambda: active.records._bases[BACK_END].version >= 3)
        next_version = stale.slice_map(BACK_END).version + 1
        await eventually(lambda: self.is_deleted(delta_key(BACK_END, next_version)))
        old = records.delta_from_json(
            {
                "back_end": BACK_END,
                "version": next_version,
                "change_id": "stale",
                "runs": [],
            }
        ).ok_value
        self.assertFalse((await stale.write_delta(old)).ok_value)
        self.assertTrue(self.is_deleted(delta_key(BACK_END, next_version)))
        fresh = records.StoreRecords(self.store, ZONE_A, lambda: None)
        await fresh.read(records.BACKENDS_PREFIX)
        self.assertGreaterEqual(fresh.slice_map(BACK_END).version, 3)

    def is_deleted(self, key: str) -> bool:
        return not self.store.state.range(key.encode(), b"")

    async def test_initial_map_waits_for_a_zone_that_is_in(self):
        active = await self.start()
        zones = {ZONE_A: {"state": "out"}, ZONE_B: {"state": "in"}}
        await self.configure(2, self.servers, zones=zones)
        await eventually(lambda: active.records.config.version == 2)
        slice_map = active.records.slice_map(BACK_END)
        if slice_map is not None and slice_map.version == 0:
            self.assertEqual(
                {slice_range.state for slice_range in slice_map.ranges()}, {SLICE_FREE}
            )


class OutageTests(ActiveTestCase):
    async def test_slice_map_stays_during_a_store_outage_and_changes_after_it(self):
        active = await self.start_owned()
        version = active.records.slice_map(BACK_END).version
        self.store.down = True
        self.store.end_watches()
        self.hosts[0].servers[f"{BACK_END}/p1"] = "down"
        await eventually(lambda: self.reported_down(active))
        for controller in active._controllers.values():
            await controller.step()
        self.assertEqual(active.records.slice_map(BACK_END).version, version)
        self.assertEqual(self.hosts[0].release_messages, [])
        self.store.down = False
        await eventually(lambda: "p1" not in self.owners(active) and self.all_owned(active))

    async def test_record_that_cannot_be_parsed_is_ignored(self):
        active = await self.start_owned()
        await self.store.create(config_key(2), {"version": 2, "back_ends": 5})
        await self.configure(3, self.servers)
        await eventually(lambda: active.records.config.version == 3)
