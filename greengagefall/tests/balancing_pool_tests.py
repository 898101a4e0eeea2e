"""Tests of pick, server views, ejection, hedging, the hot key sketch and the load meter."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.balancing.ejection import EJECTIONS
from greengagefall.balancing.hedging import HEDGES
from greengagefall.balancing.hot_keys import SpaceSaving
from greengagefall.balancing.load_meter import LoadMeter
from greengagefall.balancing.loads import ServerLoad
from greengagefall.balancing.pick import SERVER_PICKS
from greengagefall.balancing.server_views import DECAY_TIME_CONSTANT_S, ServerView, ServerViews
from greengagefall.utils.clock import ManualClock

ZONES = ("a", "b", "c")


def view(name, zone, queue_length=0, latency_ms=10.0, available=True):
    return ServerView(name, zone, queue_length, latency_ms, available, 6, 1.0)


class PickTests(unittest.TestCase):
    @given(
        st.sampled_from(("round_robin", "two_choices")),
        st.lists(st.tuples(st.sampled_from(ZONES), st.integers(0, 40), st.booleans()), max_size=6),
        st.sets(st.integers(0, 5)),
    )
    def test_pick_returns_an_available_server_if_there_is_one(self, policy, rows, excluded_numbers):
        views = [
            view(str(n), zone, queue, 10.0, free) for n, (zone, queue, free) in enumerate(rows)
        ]
        exclude = {str(number) for number in excluded_numbers}
        usable = {v.name for v in views if v.available and v.name not in exclude}
        name = SERVER_PICKS[policy](random.Random(1)).pick(views, "a", exclude)
        self.assertIn(name, usable or {None})

    def test_two_choices_stays_in_the_same_zone_until_its_servers_have_queues(self):
        pick = SERVER_PICKS["two_choices"](random.Random(1))
        views = [view("near-1", "a", 3), view("near-2", "a", 3), view("far", "b", 0)]
        self.assertIn(pick.pick(views, "a", ()), {"near-1", "near-2"})
        views = [view("near-1", "a", 9), view("near-2", "a", 9), view("far", "b", 0)]
        self.assertEqual(pick.pick(views, "a", ()), "far")

    def test_two_choices_avoids_a_slow_zone(self):
        pick = SERVER_PICKS["two_choices"](random.Random(1))
        views = [view("near", "a", 0, 100.0), view("far", "b", 0)]
        self.assertEqual(pick.pick(views, "a", ()), "far")


class ServerViewsTests(unittest.TestCase):
    def test_queue_and_latency_decay_after_an_answer(self):
        clock = ManualClock()
        views = ServerViews(clock)
        views.set_server("s", "a", 6, 1.0)
        views.on_send("s")
        views.on_answer("s", 5, 100.0)
        self.assertEqual(views.views()[0][2:4], (5, 100.0))
        clock.advance(10 * DECAY_TIME_CONSTANT_S)
        self.assertEqual(views.views()[0].queue_length, 0)
        self.assertLess(views.views()[0].latency_ms, 1.0)


class EjectionTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        weights = {"s1": 1.0, "s2": 1.0, "s3": 0.25, "s4": 1.0, "s5": 1.0, "s6": 1.0}
        self.weights = weights
        self.ejection = EJECTIONS["outlier"](weights, self.clock, {"max_ejected_share": 0.34})

    def answer_all(self, slow, rounds=20):
        for _ in range(rounds):
            for name, weight in self.weights.items():
                latency_ms = 10.0 / weight * (10.0 if name in slow else 1.0)
                self.ejection.on_result(name, latency_ms, ok=True)

    def test_a_slow_server_is_ejected_and_used_again_later(self):
        self.answer_all({"s1"})
        self.assertEqual(self.ejection.ejected(), {"s1"})
        self.clock.advance(60.0)
        self.assertEqual(self.ejection.ejected(), set())
        self.answer_all(set())
        self.assertEqual(self.ejection.ejected(), set())

    @given(st.sets(st.sampled_from(("s1", "s2", "s3", "s4", "s5", "s6"))))
    def test_at_most_the_configured_share_is_ejected(self, failing):
        ejection = EJECTIONS["outlier"](self.weights, self.clock, {"max_ejected_share": 0.34})
        for name in sorted(failing) * 10:
            ejection.on_result(name, 1.0, ok=False)
        self.assertEqual(len(ejection.ejected()), min(2, len(failing)))


class HedgingTests(unittest.TestCase):
    def test_only_idempotent_requests_are_hedged_after_the_quantile(self):
        hedge = HEDGES["after_p95"]()
        self.assertIsNone(hedge.delay_ms(repeatable=True))
        for number in range(640):
            hedge.on_latency(float(number % 100 + 1))
        self.assertAlmostEqual(hedge.delay_ms(repeatable=True), 96.0, delta=2.0)
        self.assertIsNone(hedge.delay_ms(repeatable=False))

    def test_hedges_stay_within_the_budget(self):
        hedge = HEDGES["after_p95"]({"hedge_ratio": 0.05, "hedge_burst": 2.0})
        hedges = 0
        for _ in range(1000):
            hedge.on_request()
            hedges += hedge.try_spend()
        self.assertLessEqual(hedges, 52)
        self.assertGreaterEqual(hedges, 50)


class SpaceSavingTests(unittest.TestCase):
    @given(st.lists(st.sampled_from("abcdefghijkl")), st.integers(1, 6))
    def test_counts_are_upper_bounds_and_memory_is_bounded(self, stream, capacity):
        sketch = SpaceSaving(capacity)
        for key in stream:
            sketch.add(key)
        self.assertLessEqual(len(sketch), capacity)
        exact = Counter(stream)
        counted = {hot.key: hot for hot in sketch.top(capacity)}
        for key, count in exact.items():
            if count > len(stream) / capacity:
                self.assertIn(key, counted)
        for hot in counted.values():
            self.assertTrue(hot.count - hot.error <= exact[hot.key] <= hot.count)


class LoadMeterTests(unittest.TestCase):
    def test_results_are_those_of_the_last_complete_window(self):
        clock = ManualClock()
        meter = LoadMeter(2, clock, window_s=4.0)
        for second in range(4):
            meter.on_arrival(slice_id=7 if second else 8)
            meter.on_start()
            clock.advance(0.75)
            meter.on_finish(served=second > 0)
            clock.advance(0.25)
        self.assertEqual(meter.load(up=False), ServerLoad(0.375, 1.0, 0.75, False))
        self.assertEqual(meter.busiest_slice_rates(), {7: 0.75, 8: 0.25})
        clock.advance(4.0)
        self.assertEqual(meter.load(up=True), ServerLoad(0.0, 0.0, 0.0, True))
        self.assertEqual(meter.busiest_slice_rates(), {})
