"""Tests of what proves to a coordinator that a member has ended."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from result import Ok

from greengagefall.coordination import epochs
from greengagefall.coordination.model import Member
from greengagefall.coordinator.contacts import HostObservation
from greengagefall.coordinator.members import BATCH_S, MembersController
from greengagefall.utils.clock import ManualClock


class FakeContacts:
    """One host's sight, with the time at which its heartbeat was sent."""

    def __init__(self) -> None:
        self.sight = HostObservation("a", "i0", "a:1", "a:2", 1, False)
        self.asked_at_s = 0.0

    def observations(self, asked_since_s=0.0):
        return {"a": self.sight} if self.asked_at_s >= asked_since_s else {}


class FakeRecords:
    """The store's members record."""

    def __init__(self, record) -> None:
        self.members = record
        self.config = SimpleNamespace(lost_hosts=())

    async def read(self, prefix):
        return Ok(1)

    def slice_versions(self):
        return {"proofdesk": 4}

    async def write_members(self, record):
        self.members = record
        return Ok(True)


class MembersKeeperTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.contacts = FakeContacts()
        self.records = FakeRecords(
            epochs.first_members_record("tanta", [Member("a", "i1", "a:1", "a:2", False)])
        )
        listed = SimpleNamespace(states=lambda: {"a": "live"})
        self.keeper = MembersController(
            "tanta", self.records, self.contacts, listed, self.clock, wakeup=None
        )

    async def step_twice(self) -> None:
        await self.keeper.step()
        self.clock.advance(BATCH_S * 2)
        await self.keeper.step()

    async def test_answer_asked_before_the_record_was_read_proves_nothing(self) -> None:
        # The member i1 replaced i0 in a record of another coordinator; this one still
        # remembers i0.
        self.contacts.asked_at_s = 9.0
        await self.step_twice()
        self.assertEqual(self.records.members.epoch, 1)

    async def test_answer_asked_afterwards_proves_the_end(self) -> None:
        await self.keeper.step()
        self.contacts.asked_at_s = 10.0
        self.contacts.sight = self.contacts.sight._replace(incarnation="i2")
        await self.step_twice()
        self.assertEqual(self.records.members.gone, ("a/i1",))
        self.assertEqual(self.records.members.map_floors, {"proofdesk": 4})


if __name__ == "__main__":
    unittest.main()
