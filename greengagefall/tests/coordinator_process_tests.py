"""Tests of the coordinator processes of one zone, run in one event loop."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from greengagefall.coordination.epochs import first_members_record, members_record_to_json
from greengagefall.coordination.model import Member
from greengagefall.coordinator import election
from greengagefall.coordinator.keys import members_key
from greengagefall.coordinator.process import CoordinatorProcess
from greengagefall.standins.entry_host import StandInHost
from greengagefall.standins.memory_store import MemoryStore
from greengagefall.tests.coordinator_settings import Settings
from greengagefall.tests.waiting import eventually

ZONE = "ee-north-a"
HOST_COUNT = 3


class ProcessTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(mock.patch.object(election, "TURN_S", 0.05))
        first = MemoryStore()
        self.stores = [MemoryStore(first.state) for _ in range(HOST_COUNT)]
        self.hosts = [StandInHost(f"a{number}", ZONE) for number in range(HOST_COUNT)]
        for host in self.hosts:
            await host.start()
            self.addAsyncCleanup(host.close)
        await self.write_members(first)
        self.processes = []
        for host, store in zip(self.hosts, self.stores, strict=True):
            settings = Settings(host.host, ZONE, host.address, admin_listen="127.0.0.1:0")
            process = CoordinatorProcess(settings, store)
            await process.start()
            self.addAsyncCleanup(process.close)
            self.processes.append(process)

    async def write_members(self, store: MemoryStore) -> None:
        members = [Member(host.host, "1", host.address, "", False) for host in self.hosts]
        await store.create(
            members_key(ZONE), members_record_to_json(first_members_record(ZONE, members))
        )

    def active(self) -> list[int]:
        return [
            number
            for number, process in enumerate(self.processes)
            if process.active is not None and process.active.records.all_read
        ]

    def all_know(self, term: int) -> bool:
        return all(host.coordinator_tracker.latest().term == term for host in self.hosts)

    async def test_standbys_make_no_store_calls_until_they_take_over(self):
        await eventually(lambda: len(self.active()) == 1)
        number = self.active()[0]
        first = self.processes[number]
        await eventually(lambda: self.all_know(first.term))
        others = [one for one in range(HOST_COUNT) if one != number]
        # A campaign that began before the hosts knew the coordinator may still end.
        await asyncio.sleep(0.5)
        calls = [self.stores[one].calls for one in others]
        await asyncio.sleep(1.0)
        self.assertEqual([self.stores[one].calls for one in others], calls)
        await first.close()
        await eventually(lambda: self.active() and self.active() != [number])
        second = self.processes[self.active()[0]]
        self.assertGreater(second.term, first.term)
        await eventually(lambda: self.all_know(second.term))

    async def test_coordinator_that_loses_its_lease_steps_down(self):
        await eventually(lambda: len(self.active()) == 1)
        first = self.processes[self.active()[0]]
        term = first.term
        state = self.stores[0].state
        for lease_id in list(state.leases):
            state.revoke_lease(lease_id)
        await eventually(lambda: first.active is None)
        await eventually(lambda: self.active() and self.processes[self.active()[0]].term > term)

    async def test_admin_paths(self):
        await eventually(lambda: len(self.active()) == 1)
        number = self.active()[0]
        health = await self.get(number, "health")
        self.assertTrue(health["active"])
        self.assertEqual(health["term"], self.processes[number].term)
        self.assertTrue((await self.get(number, "ready"))["ready"])
        standby = (number + 1) % HOST_COUNT
        await self.hosts[standby].close()
        await eventually(lambda: not self.processes[standby].ready)
        with self.assertRaisesRegex(HTTPClientError, "503"):
            await self.get(standby, "ready")

    async def get(self, number: int, path: str) -> dict:
        address = self.processes[number]._admin.address
        url = f"http://{address}/.greengagefall/{path}"
        return json.loads((await AsyncHTTPClient().fetch(url)).body)
