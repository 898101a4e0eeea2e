"""Tests of the concurrency limits and the cold ramp against a simple model."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from greengagefall.limits.concurrency import LIMITS
from greengagefall.utils.clock import ManualClock
from greengagefall.utils.invariants import reset_violations, violations

SLOTS = 6
COLD_SLOTS = 2
HOLD_S = 1.0
TUNING = {"cold_hold_s": HOLD_S, "cold_step_s": 0.3, "cold_step_successes": 2}


class LimitMachine(RuleBasedStateMachine):
    """Compares a limit with a model that records the time of the last sign of cold start."""

    limit_name = "fixed"

    def __init__(self):
        super().__init__()
        reset_violations()
        self.clock = ManualClock()
        self.limit = LIMITS[self.limit_name](SLOTS, COLD_SLOTS, self.clock, TUNING)
        self.in_flight = 0
        self.cold_sign_s = None

    @rule()
    def start(self):
        allowed = self.limit.can_start()
        if not allowed:
            return
        held = self.cold_sign_s is not None and self.clock.now_s() < self.cold_sign_s + HOLD_S
        assert self.in_flight < (COLD_SLOTS if held else SLOTS)
        assert self.limit.on_start()
        self.in_flight += 1

    @precondition(lambda self: self.in_flight)
    @rule(latency_ms=st.sampled_from((1.0, 10.0, 200.0)), ok=st.booleans())
    def finish(self, latency_ms, ok):
        self.limit.on_finish(latency_ms, ok)
        self.in_flight -= 1

    @precondition(lambda self: self.in_flight)
    @rule()
    def shed(self):
        was_cold = self.limit.cold
        self.limit.on_shed()
        self.in_flight -= 1
        if was_cold:
            self.cold_sign_s = self.clock.now_s()

    @rule()
    def cold(self):
        self.limit.on_cold_start(COLD_SLOTS)
        self.cold_sign_s = self.clock.now_s()

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0)))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def counts_agree(self):
        assert self.limit.in_flight == self.in_flight
        assert 1 <= self.limit.limit <= SLOTS
        assert not violations()


class AdaptiveLimitMachine(LimitMachine):
    limit_name = "adaptive"


FixedLimitTests = LimitMachine.TestCase
AdaptiveLimitTests = AdaptiveLimitMachine.TestCase
MACHINE_SETTINGS = settings(max_examples=60, stateful_step_count=50)
FixedLimitTests.settings = MACHINE_SETTINGS
AdaptiveLimitTests.settings = MACHINE_SETTINGS


class ColdStartTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.limit = LIMITS["adaptive"](SLOTS, 1, self.clock, TUNING)

    def add_answers(self, count, latency_ms=10.0):
        for _ in range(count):
            self.limit.on_start()
            self.clock.advance(0.05)
            self.limit.on_finish(latency_ms, ok=True)

    def test_the_limit_rises_step_by_step(self):
        self.limit.on_cold_start(1)
        limits = []
        for _ in range(100):
            limits.append(self.limit.limit)
            self.add_answers(1)
        self.assertEqual(sorted(set(limits)), [1, 2, 3, 4, 5, 6])
        self.assertEqual(limits, sorted(limits))

    def test_refusals_in_a_row_count_as_a_cold_start(self):
        for _ in range(2):
            self.limit.on_start()
            self.limit.on_shed()
        self.assertEqual(self.limit.limit, 1)

    def test_a_lasting_latency_jump_counts_as_a_cold_start(self):
        self.add_answers(30)
        self.add_answers(2, latency_ms=200.0)
        self.assertFalse(self.limit.cold)
        self.add_answers(1, latency_ms=200.0)
        self.assertEqual(self.limit.limit, 1)

    def test_slow_answers_lower_the_limit_to_its_minimum_and_fast_ones_raise_it(self):
        self.add_answers(30)
        self.add_answers(60, latency_ms=40.0)
        self.assertEqual(self.limit.limit, SLOTS // 2)
        self.add_answers(60)
        self.assertEqual(self.limit.limit, SLOTS)

    def test_a_start_above_the_limit_is_refused_and_counted(self):
        self.addCleanup(reset_violations)
        self.limit.on_cold_start(1)
        self.assertTrue(self.limit.on_start())
        self.assertFalse(self.limit.on_start())
        self.assertEqual(violations(), {"in_flight_within_limit": 1})
