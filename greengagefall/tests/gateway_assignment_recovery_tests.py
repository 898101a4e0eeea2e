"""Tests of the stored assignment after the store was restored from an older copy."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from greengagefall.gateway.assignment_recovery import (
    GRANTS_END_S,
    LOST_NUMBERS,
    MAX_OUT_OF_TOUCH_S,
    REPORT_WAIT_S,
    AssignmentRecovery,
)
from greengagefall.gateway.assignment_store import AssignmentStore
from greengagefall.gateway.host_reports import HOST_TIMEOUT_S, HostReports
from greengagefall.gateway.peers import UNREACHABLE
from greengagefall.gateway.publishing import full_message
from greengagefall.ownership.key_grants import MAX_DELIVERY_DELAY_S, max_grant_lifetime_s
from greengagefall.ownership.model import (
    LAST_KEY,
    UNKNOWN_RESTORES,
    Assignment,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.platform.store import PlatformStore
from greengagefall.protocol.gateway_messages import HostBeat
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.clock import ManualClock

MS_PER_S = 1000.0
HOSTS = ("h0", "h1")
MIDDLE = 30_000


def assignment(version: int, owner: str = "s0") -> Assignment:
    """Returns an assignment whose second key range is moving to ``owner``."""
    ranges = (
        KeyRange(0, MIDDLE, ServerIncarnation("s0", 1), 3),
        KeyRange(MIDDLE + 1, LAST_KEY, ServerIncarnation(owner, 1), 7, ServerIncarnation("s1", 1)),
    )
    return Assignment(version, 7, {"proofdesk": ranges}, {})


class RecoveryTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(100.0)
        self.reports = HostReports(self.clock)
        self.remembered = assignment(35, "s2")
        self.requests = []
        self.answer_is_lost = False
        self.recovery = AssignmentRecovery(
            self.reports, SimpleNamespace(call=self.answer), self.clock
        )

    async def answer(self, host, message, timeout_s):
        self.requests.append(host)
        if self.answer_is_lost:
            return UNREACHABLE
        return full_message(self.remembered)

    def report(self, host: str, version: int, age_s: float = 0.0) -> None:
        age_ms = int(age_s * MS_PER_S)
        self.reports.record_heartbeat(
            HostBeat(0, host, 1, version, False, [], [], assignment_age_ms=age_ms)
        )

    async def recover(self, known: Assignment) -> Assignment | None:
        return await self.recovery.recover(known, HOSTS)

    async def test_newest_assignment_of_the_coordinator_itself_is_stored_again(self):
        self.recovery.begin(assignment(27), 1)
        for host in HOSTS:
            self.report(host, 35)
        recovered = await self.recover(self.remembered)
        self.assertEqual(self.requests, [])
        self.assertEqual(recovered.find_key_range("proofdesk", LAST_KEY).owner.server_id, "s2")

    async def test_coordinator_whose_lost_lease_came_back_asks_the_hosts(self):
        """Its own reports are from before it lost the lease."""
        for host in HOSTS:
            self.report(host, 27)
        self.clock.advance(5.0)
        self.recovery.begin(assignment(27), 1)
        self.assertIsNone(await self.recover(assignment(30, "s3")))
        for host in HOSTS:
            self.report(host, 35)
        recovered = await self.recover(assignment(30, "s3"))
        self.assertEqual(recovered.find_key_range("proofdesk", LAST_KEY).owner.server_id, "s2")

    async def test_newest_assignment_comes_from_the_host_that_has_it(self):
        self.recovery.begin(assignment(27), 1)
        self.report("h0", 27)
        self.assertIsNone(await self.recover(assignment(27)))
        self.report("h1", 35)
        recovered = await self.recover(assignment(27))
        self.assertEqual(self.requests, ["h1"])
        self.assertEqual(recovered.find_key_range("proofdesk", LAST_KEY).owner.server_id, "s2")

    async def test_version_and_all_fences_are_above_those_that_were_lost(self):
        self.recovery.begin(assignment(27), 1)
        for host in HOSTS:
            self.report(host, 27)
        recovered = await self.recover(assignment(27))
        self.assertGreater(recovered.version, LOST_NUMBERS)
        fences = [key_range.fence for key_range in recovered.key_ranges["proofdesk"]]
        self.assertGreater(min(fences), LOST_NUMBERS)
        self.assertEqual(recovered.last_fence, max(fences))
        self.assertTrue(recovered.key_ranges["proofdesk"][1].moving)

    async def test_numbers_of_all_restores_since_the_copy_are_passed(self):
        """A copy from before the last three restores, each of which was followed by new numbers."""
        self.recovery.begin(assignment(27), 3)
        self.report("h0", 0)
        self.report("h1", 35)
        recovered = await self.recover(assignment(27))
        self.assertGreater(recovered.version, 3 * LOST_NUMBERS)
        self.assertGreater(recovered.key_ranges["proofdesk"][0].fence, 3 * LOST_NUMBERS)

    async def test_host_that_ends_after_its_report_is_not_asked_for_ever(self):
        self.recovery.begin(assignment(27), 1)
        for host, version in zip(HOSTS, (27, 35), strict=True):
            self.report(host, version)
        self.answer_is_lost = True
        self.assertIsNone(await self.recover(assignment(27)))
        self.clock.advance(1.1 * HOST_TIMEOUT_S)
        self.report("h0", 27)
        self.assertIsNotNone(await self.recover(assignment(27)))

    async def test_silent_hosts_are_waited_for_but_not_for_ever(self):
        self.recovery.begin(assignment(27), 1)
        self.report("h0", 27)
        self.clock.advance(0.9 * REPORT_WAIT_S)
        self.assertIsNone(await self.recover(assignment(27)))
        self.clock.advance(0.2 * REPORT_WAIT_S)
        self.report("h0", 27)
        self.assertIsNotNone(await self.recover(assignment(27)))

    async def test_nothing_is_granted_before_forgotten_grants_have_expired(self):
        """All hosts restarted, so nobody knows who got keys after the copy was made."""
        self.recovery.begin(assignment(27), 1)
        for host in HOSTS:
            self.report(host, 0)
        self.clock.advance(GRANTS_END_S - 0.1)
        self.assertIsNone(await self.recover(assignment(27)))
        self.clock.advance(0.2)
        recovered = await self.recover(assignment(27))
        self.assertFalse(any(one.moving for one in recovered.key_ranges["proofdesk"]))

    async def test_hosts_that_the_copy_lacks_may_renew_forgotten_grants_for_longer(self):
        # All hosts of the copy had reported, but others were cut off with their servers.
        self.recovery.begin(assignment(0), 1)
        for host in HOSTS:
            self.report(host, 0)
        self.clock.advance(1.1 * (MAX_DELIVERY_DELAY_S + max_grant_lifetime_s()))
        for host in HOSTS:
            self.report(host, 0)
        self.assertIsNone(await self.recover(assignment(0)))

    async def test_host_that_is_not_heard_may_renew_forgotten_grants_for_longer(self):
        # It may be cut off with its servers, while all others restarted and forgot.
        self.recovery.begin(assignment(27), 1)
        self.report("h0", 0)
        self.clock.advance(GRANTS_END_S - 0.1)
        self.report("h0", 0)
        self.assertIsNone(await self.recover(assignment(27)))
        self.clock.advance(0.2)
        self.assertIsNotNone(await self.recover(assignment(27)))

    async def test_version_of_a_host_that_was_out_of_touch_is_not_taken_for_the_newest(self):
        # A host that woke up knew an older version than one that was cut off with its servers.
        self.recovery.begin(assignment(27), 1)
        for waited_s in (0.0, 1.1 * REPORT_WAIT_S, GRANTS_END_S - 1.2 * REPORT_WAIT_S):
            self.clock.advance(waited_s)
            self.report("h0", 35, MAX_OUT_OF_TOUCH_S + 0.1 + self.clock.now_s() - 100.0)
            self.assertIsNone(await self.recover(assignment(27)))
        self.clock.advance(0.2 * REPORT_WAIT_S)
        self.report("h0", 35, MAX_OUT_OF_TOUCH_S + 0.1 + self.clock.now_s() - 100.0)
        recovered = await self.recover(assignment(27))
        self.assertFalse(any(one.moving for one in recovered.key_ranges["proofdesk"]))

    async def test_version_of_a_host_in_touch_is_taken_for_the_newest(self):
        self.recovery.begin(assignment(27), 1)
        self.clock.advance(1.1 * REPORT_WAIT_S)
        self.report("h0", 35, MAX_OUT_OF_TOUCH_S - 0.1 + self.clock.now_s() - 100.0)
        recovered = await self.recover(assignment(27))
        self.assertTrue(any(one.moving for one in recovered.key_ranges["proofdesk"]))

    async def test_host_that_is_heard_again_after_all_ends_the_wait_for_it(self):
        self.recovery.begin(assignment(27), 1)
        self.report("h0", 0)
        self.clock.advance(REPORT_WAIT_S)
        self.report("h1", 35)
        recovered = await self.recover(assignment(27))
        self.assertEqual(recovered.find_key_range("proofdesk", LAST_KEY).owner.server_id, "s2")


class AssignmentStoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.client = PlatformStore(self.store.address)
        self.addCleanup(self.client.close)
        self.known_restores = UNKNOWN_RESTORES
        self.stored = AssignmentStore(
            self.client, HostIncarnation("h0", 1), lambda: self.known_restores
        )
        await self.stored.read()

    async def test_assignment_of_an_older_copy_is_outdated(self):
        self.assertTrue(await self.stored.write(assignment(27)))
        copy = self.store.copy()
        self.assertTrue(await self.stored.write(assignment(28)))
        self.assertEqual(await self.stored.read(), (assignment(28), 0))
        await self.store.restore(copy)
        self.assertEqual(await self.stored.read(), (assignment(27), 1))
        self.assertTrue(await self.stored.write(assignment(29)))
        self.assertEqual(await self.stored.read(), (assignment(29), 0))

    async def test_missing_assignment_in_a_restored_store_counts_as_lost(self):
        copy = self.store.copy()
        self.assertEqual((await self.stored.read()).restores, 0)
        self.assertTrue(await self.stored.write(assignment(27)))
        await self.store.restore(copy)
        self.assertEqual((await self.stored.read()).restores, 1)

    async def test_write_after_an_unnoticed_restore_fails_and_notes_it(self):
        copy = self.store.copy()
        self.assertTrue(await self.stored.write(assignment(28)))
        await self.store.restore(copy)
        self.assertFalse(await self.stored.write(assignment(29)))
        self.assertTrue(self.stored.restored)

    async def test_nothing_is_written_once_a_watch_has_noted_a_restore(self):
        self.assertTrue(await self.stored.write(assignment(27)))
        self.known_restores = 2
        self.assertTrue(self.stored.restored)
        self.assertFalse(await self.stored.write(assignment(28)))
        self.assertEqual((await self.stored.read()).assignment.version, 27)
