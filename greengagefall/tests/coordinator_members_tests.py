"""Tests of which heartbeat answers prove to a coordinator that a member has ended.

They guard against a running member being listed as ended because of an answer that its
predecessor gave before the member's record was read.
"""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from result import Ok

from greengagefall.coordination import epochs
from greengagefall.coordination.model import Member
from greengagefall.coordinator.contacts import HostObservation
from greengagefall.coordinator.members import BATCH_S, MembersController
from greengagefall.utils.clock import ManualClock


class FakeConnections:
    """Connections with the observation of one host and the time its heartbeat was sent."""

    def __init__(self) -> None:
        self.observation = HostObservation("a", "i0", "a:1", "a:2", 1, False)
        self.sent_at_s = 0.0

    def observations(self, sent_since_s=0.0):
        return {"a": self.observation} if self.sent_at_s >= sent_since_s else {}


class FakeRecords:
    """Records with the members record of one zone."""

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


class MembersControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.connections = FakeConnections()
        self.records = FakeRecords(
            epochs.first_members_record("tanta", [Member("a", "i1", "a:1", "a:2", False)])
        )
        listed_hosts = SimpleNamespace(states=lambda: {"a": "live"})
        self.controller = MembersController(
            "tanta", self.records, self.connections, listed_hosts, self.clock, wakeup=None
        )

    async def step_twice(self) -> None:
        await self.controller.step()
        self.clock.advance(BATCH_S * 2)
        await self.controller.step()

    async def test_answer_to_a_heartbeat_before_the_record_was_read_proves_nothing(self) -> None:
        # Another coordinator wrote a record in which i1 replaced i0. This coordinator's last
        # observation is still that of i0.
        self.connections.sent_at_s = 9.0
        await self.step_twice()
        self.assertEqual(self.records.members.epoch, 1)

    async def test_answer_to_a_later_heartbeat_proves_that_the_member_has_ended(self) -> None:
        await self.controller.step()
        self.connections.sent_at_s = 10.0
        self.connections.observation = self.connections.observation._replace(incarnation="i2")
        await self.step_twice()
        self.assertEqual(self.records.members.gone, ("a/i1",))
        self.assertEqual(self.records.members.map_floors, {"proofdesk": 4})


if __name__ == "__main__":
    unittest.main()
