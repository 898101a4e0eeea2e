"""When a dispatcher takes its backend server to be lost."""

from __future__ import annotations

import unittest

from greengagefall.gateway.server_health import ServerHealth
from greengagefall.utils.clock import ManualClock


class ServerHealthTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(5.0)
        self.health = ServerHealth(self.clock)

    def fail(self, times, *, refused=False):
        for _ in range(times):
            self.clock.advance(0.7)
            self.health.record_failure(refused=refused)

    def test_a_server_that_accepts_no_connection_is_lost_at_once(self):
        self.health.record_failure(refused=True)
        self.assertTrue(self.health.up)
        self.health.record_failure(refused=True)
        self.assertFalse(self.health.up)

    def test_calls_without_an_answer_are_no_loss_while_connections_come_about(self):
        """Servers may leave a third of their calls unanswered for seconds."""
        self.fail(3)
        self.assertTrue(self.health.up)

    def test_long_silence_is_a_loss(self):
        self.fail(4)
        self.assertFalse(self.health.up)

    def test_any_answer_ends_the_doubt(self):
        self.fail(4)
        self.health.record_answer()
        self.assertTrue(self.health.up)
        self.fail(3)
        self.assertTrue(self.health.up)

    def test_many_failures_in_a_moment_are_no_silence(self):
        for _ in range(10):
            self.health.record_failure()
        self.assertTrue(self.health.up)
