"""Tests of which fencing tokens a server may get after a sign that it may have restarted."""

from __future__ import annotations

import unittest

from greengagefall.gateway.incarnation_check import IncarnationCheck
from greengagefall.gateway.server_knowledge import ServerKnowledge
from greengagefall.utils.clock import ManualClock

DETECTION_S = 1.3
EXPIRY_S = 3.3
OLD_FENCE = 7
NEW_FENCE = 8


class IncarnationCheckTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10.0)
        self.entry_current = True
        self.lag_s = 0.0
        self.check = self.make_check()
        self.assertTrue(self.check.may_grant(OLD_FENCE))
        self.check.record_sent(OLD_FENCE)

    def make_check(self, suspect_fence=0):
        knowledge = ServerKnowledge(
            is_entry_current=lambda: self.entry_current,
            store_lag_s=lambda: self.lag_s,
            restart_detection_s=DETECTION_S,
            entry_expiry_s=EXPIRY_S,
            suspect_fence=suspect_fence,
        )
        return IncarnationCheck(self.clock, knowledge)

    def test_only_new_fences_are_granted_until_an_old_entry_would_have_expired(self):
        # The entry of a former incarnation was taken as proof that it still runs.
        self.check.on_connection_lost()
        self.assertFalse(self.check.may_grant(NEW_FENCE))
        self.clock.advance(DETECTION_S)
        self.assertTrue(self.check.may_grant(NEW_FENCE))
        self.assertFalse(self.check.may_grant(OLD_FENCE))
        self.assertTrue(self.check.needs_new_fence(OLD_FENCE))
        self.clock.advance(EXPIRY_S - DETECTION_S)
        self.assertTrue(self.check.needs_entry)
        self.assertTrue(self.check.on_entry_listed(self.clock.now_s()))
        self.assertTrue(self.check.may_grant(OLD_FENCE))

    def test_old_fences_need_an_entry_that_the_store_itself_lists(self):
        # A watch whose answers were lost counted as proof that the old entry was still there.
        self.check.on_connection_lost()
        self.clock.advance(2 * EXPIRY_S)
        self.assertTrue(self.check.may_grant(NEW_FENCE))
        self.assertFalse(self.check.may_grant(OLD_FENCE))
        self.assertFalse(self.check.settled)

    def test_an_entry_that_was_read_before_it_would_have_expired_proves_nothing(self):
        self.check.on_connection_lost()
        self.clock.advance(DETECTION_S)
        read_s = self.clock.now_s()
        self.assertFalse(self.check.needs_entry)
        self.clock.advance(EXPIRY_S)
        self.assertFalse(self.check.on_entry_listed(read_s))
        self.assertFalse(self.check.may_grant(OLD_FENCE))

    def test_entries_that_this_host_knows_late_prove_nothing_sooner(self):
        self.check.on_connection_lost()
        self.lag_s = 1.0
        self.clock.advance(DETECTION_S)
        self.assertFalse(self.check.may_grant(NEW_FENCE))
        self.clock.advance(EXPIRY_S - DETECTION_S)
        self.assertFalse(self.check.may_grant(OLD_FENCE))
        self.clock.advance(self.lag_s)
        self.assertFalse(self.check.may_grant(OLD_FENCE))
        self.assertTrue(self.check.on_entry_listed(self.clock.now_s()))
        self.assertTrue(self.check.may_grant(OLD_FENCE))

    def test_nothing_is_granted_while_the_entry_is_not_current(self):
        self.check.on_connection_lost()
        self.entry_current = False
        self.clock.advance(2 * EXPIRY_S)
        self.assertFalse(self.check.may_grant(NEW_FENCE))
        self.assertFalse(self.check.needs_new_fence(OLD_FENCE))

    def test_a_call_without_an_answer_makes_old_fences_suspect_at_once(self):
        self.check.on_timeout()
        self.assertFalse(self.check.may_grant(OLD_FENCE))
        self.assertTrue(self.check.may_grant(NEW_FENCE))

    def test_an_executed_request_under_an_old_fence_proves_the_incarnation(self):
        self.check.on_connection_lost()
        self.assertTrue(self.check.on_executed(OLD_FENCE, self.clock.now_s()))
        self.assertTrue(self.check.may_grant(OLD_FENCE))

    def test_an_executed_request_under_a_new_fence_proves_nothing_about_old_ones(self):
        self.check.on_connection_lost()
        self.clock.advance(DETECTION_S)
        self.check.on_executed(NEW_FENCE, self.clock.now_s())
        self.assertFalse(self.check.may_grant(OLD_FENCE))

    def test_a_request_that_was_sent_before_the_loss_proves_nothing(self):
        sent_s = self.clock.now_s()
        self.clock.advance(0.1)
        self.check.on_connection_lost()
        self.assertFalse(self.check.on_executed(OLD_FENCE, sent_s))
        self.assertFalse(self.check.may_grant(OLD_FENCE))

    def test_fences_that_were_sent_over_an_earlier_channel_are_suspect(self):
        check = self.make_check(suspect_fence=OLD_FENCE)
        self.assertFalse(check.may_grant(OLD_FENCE))
        self.assertTrue(check.may_grant(NEW_FENCE))


if __name__ == "__main__":
    unittest.main()
