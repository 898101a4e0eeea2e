"""Tests of the estimated service time by kind of work and server, without a network."""

from __future__ import annotations

import random
import unittest

from greengagefall.limits.work_estimate import (
    INITIAL_SERVICE_TIME_S,
    MAX_KINDS,
    ServerWork,
    ServiceWork,
)
from greengagefall.utils.clock import ManualClock

KINDS_S = {"search": 0.085, "order": 0.15, "report": 0.27}


class WorkEstimateTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10.0)
        self.service = ServiceWork(self.clock)
        self.rng = random.Random(5)

    def play(self, server, count, pace=1.0, kinds=tuple(KINDS_S), slowdown=1.0, reported=1.0):
        for _ in range(count):
            self.clock.advance(0.05)
            kind = self.rng.choice(kinds)
            duration_s = KINDS_S[kind] * pace * slowdown * self.rng.uniform(0.7, 1.3)
            server.on_executed(kind, duration_s, reported)

    def assert_near(self, server, kind, pace, share=0.2):
        self.assertAlmostEqual(
            server.expected_s(kind) / (KINDS_S[kind] * pace), 1.0, delta=share, msg=kind
        )

    def test_kinds_on_one_server_are_told_apart(self):
        """Guards against one mean for kinds that take from 85 to 270 ms."""
        server = ServerWork(self.service)
        self.play(server, 200)
        for kind in KINDS_S:
            self.assert_near(server, kind, 1.0)

    def test_a_new_server_starts_from_what_the_others_show(self):
        self.play(ServerWork(self.service), 200)
        new = ServerWork(self.service)
        for kind in KINDS_S:
            self.assert_near(new, kind, 1.0)

    def test_one_kind_shows_the_pace_of_a_server_for_the_others(self):
        self.play(ServerWork(self.service), 200)
        slow = ServerWork(self.service)
        self.play(slow, 30, pace=2.0, kinds=("search",))
        self.assertGreater(slow.expected_s("report"), 1.4 * KINDS_S["report"])

    def test_a_slow_server_does_not_make_the_others_look_slow(self):
        usual, slow = ServerWork(self.service), ServerWork(self.service)
        for _ in range(100):
            self.play(usual, 2)
            self.play(slow, 1, pace=3.0)
        for kind in KINDS_S:
            self.assert_near(usual, kind, 1.0, 0.25)
            self.assert_near(slow, kind, 3.0, 0.25)

    def test_a_reported_slowdown_counts_at_once_and_leaves_the_usual_pace(self):
        """Guards against a slowdown that is seen late and remembered for long."""
        server = ServerWork(self.service)
        self.play(server, 100)
        self.play(server, 1, slowdown=4.0, reported=4.0)
        self.assertGreater(server.expected_s("order"), 3.0 * KINDS_S["order"])
        self.play(server, 40, slowdown=4.0, reported=4.0)
        self.play(server, 1)
        self.assert_near(server, "order", 1.0, 0.3)

    def test_one_stalled_answer_raises_the_estimates_little(self):
        """Guards against a queue that is refused since one answer took 30 s."""
        server = ServerWork(self.service)
        self.play(server, 100)
        server.on_executed("search", 30.0)
        for kind in KINDS_S:
            self.assertLess(server.expected_s(kind), 3.0 * KINDS_S[kind])

    def test_work_that_becomes_much_longer_is_learned_within_few_answers(self):
        server = ServerWork(self.service)
        self.play(server, 100)
        self.play(server, 15, pace=20.0)
        for kind in KINDS_S:
            self.assertGreater(server.expected_s(kind), 10.0 * KINDS_S[kind])

    def test_a_kind_that_is_slow_on_one_server_is_slow_only_there(self):
        """Guards against one pace for kinds of which a server has, say, no warm data."""
        usual, odd = ServerWork(self.service), ServerWork(self.service)
        for _ in range(150):
            self.play(usual, 2)
            self.play(odd, 1, kinds=("search", "order"))
            self.play(odd, 1, kinds=("report",), pace=3.0)
        self.assert_near(usual, "report", 1.0, 0.3)
        shares = [odd.expected_s(kind) / KINDS_S[kind] for kind in ("report", "order")]
        self.assertGreater(shares[0], 1.5 * shares[1])

    def test_an_absurd_slowdown_is_limited(self):
        """Guards against a header that makes all work look endless, or free."""
        server = ServerWork(self.service)
        self.play(server, 100)
        for reported, least, most in ((1e9, 5.0, 25.0), (1e-9, 0.01, 2.0)):
            with self.subTest(reported=reported):
                server.on_executed("order", KINDS_S["order"], reported)
                share = server.expected_s("order") / KINDS_S["order"]
                self.assertGreater(share, least)
                self.assertLess(share, most)

    def test_a_reported_slowdown_is_not_believed_for_long(self):
        server = ServerWork(self.service)
        self.play(server, 100)
        self.play(server, 1, slowdown=4.0, reported=4.0)
        self.clock.advance(15.0)
        self.assert_near(server, "order", 1.0, 0.3)

    def test_without_samples_the_initial_time_holds_and_old_samples_lose_weight(self):
        server = ServerWork(self.service)
        self.assertEqual(server.expected_s("order"), INITIAL_SERVICE_TIME_S)
        self.play(server, 100)
        self.clock.advance(3600.0)
        self.assertAlmostEqual(server.expected_s("search"), INITIAL_SERVICE_TIME_S, delta=0.01)

    def test_estimates_stay_sensible_while_they_age_after_long_use(self):
        """Guards against factors that drift apart: their product is right until they age."""
        servers = [(pace, ServerWork(self.service)) for pace in (0.5, 1.0, 1.0, 2.0)]
        for _ in range(20_000):
            self.clock.advance(0.05)
            pace, server = self.rng.choice(servers)
            kind = self.rng.choice(list(KINDS_S))
            noise = self.rng.lognormvariate(-0.4, 0.9)
            server.on_executed(kind, KINDS_S[kind] * pace * noise)
        for _ in range(10):
            self.clock.advance(60.0)
            expected_s = ServerWork(self.service).expected_s("order")
            self.assertGreater(expected_s, KINDS_S["order"] / 2)
            self.assertLess(expected_s, KINDS_S["order"] * 2)

    def test_no_more_kinds_are_kept_than_the_limit(self):
        server = ServerWork(self.service)
        for number in range(2 * MAX_KINDS):
            server.on_executed(f"route-{number}", 0.1)
        self.assertLessEqual(len(self.service._kinds._means), MAX_KINDS)
        self.assertLessEqual(len(server._corrections._means), MAX_KINDS)
