"""Tests of when a dispatcher considers its backend server down."""

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

    def test_server_that_refuses_connections_is_down_at_once(self):
        self.health.record_failure(refused=True)
        self.assertTrue(self.health.up)
        self.health.record_failure(refused=True)
        self.assertFalse(self.health.up)

    def test_few_unanswered_calls_keep_the_server_up(self):
        """Servers may leave a third of their calls unanswered for seconds."""
        self.fail(3)
        self.assertTrue(self.health.up)

    def test_server_without_answers_for_long_is_down(self):
        self.fail(4)
        self.assertFalse(self.health.up)

    def test_any_answer_resets_the_failures(self):
        self.fail(4)
        self.health.record_answer()
        self.assertTrue(self.health.up)
        self.fail(3)
        self.assertTrue(self.health.up)

    def test_many_failures_within_a_moment_keep_the_server_up(self):
        for _ in range(10):
            self.health.record_failure()
        self.assertTrue(self.health.up)
