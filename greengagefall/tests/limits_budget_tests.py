"""Tests of retry budgets, backoff and caller limits."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.limits.backoff import full_jitter
from greengagefall.limits.caller_share import CallerLimiter
from greengagefall.limits.exceptions import (
    CALLER_OVER_FAIR_SHARE,
    CALLER_OVER_LIMIT,
    ENTRY_OVER_LIMIT,
)
from greengagefall.limits.retry_budget import RetryBudget


class RetryBudgetTests(unittest.TestCase):
    @given(st.lists(st.booleans()))
    def test_retries_never_exceed_the_ratio_and_the_burst(self, steps):
        budget = RetryBudget(0.1, 3.0)
        first_attempts = retries = 0
        for is_first in steps:
            if is_first:
                budget.on_first_attempt()
                first_attempts += 1
            elif budget.try_spend():
                retries += 1
        self.assertLessEqual(retries, 3.0 + 0.1 * first_attempts + 1e-9)


class BackoffTests(unittest.TestCase):
    @given(st.integers(0, 1000), st.integers(0, 99))
    def test_the_delay_is_bounded(self, attempt, seed):
        delay_ms = full_jitter(attempt, 10.0, 500.0, random.Random(seed))
        self.assertTrue(0.0 <= delay_ms <= min(500.0, 10.0 * 2 ** min(attempt, 9)))


class CallerLimiterTests(unittest.TestCase):
    def reason(self, limiter, caller):
        return limiter.try_acquire(caller).unwrap_err().reason

    def test_limits_of_one_caller_and_of_the_host(self):
        limiter = CallerLimiter(2, 3, {"crowded_share": 1.0})
        self.assertTrue(limiter.try_acquire("a").is_ok())
        self.assertTrue(limiter.try_acquire("a").is_ok())
        self.assertEqual(self.reason(limiter, "a"), CALLER_OVER_LIMIT)
        self.assertTrue(limiter.try_acquire("b").is_ok())
        self.assertEqual(self.reason(limiter, "c"), ENTRY_OVER_LIMIT)

    def test_a_crowded_host_keeps_capacity_for_other_callers(self):
        limiter = CallerLimiter(100, 10)
        while limiter.try_acquire("flood").is_ok():
            pass
        self.assertEqual(self.reason(limiter, "flood"), CALLER_OVER_FAIR_SHARE)
        self.assertTrue(limiter.try_acquire("calm").is_ok())

    @given(st.lists(st.sampled_from("abcde")))
    def test_only_callers_in_flight_are_stored(self, callers):
        limiter = CallerLimiter(3, 8)
        admitted = [caller for caller in callers if limiter.try_acquire(caller).is_ok()]
        self.assertEqual(
            (limiter.in_flight, limiter.active_callers), (len(admitted), len(set(admitted)))
        )
        for caller in admitted:
            limiter.release(caller)
        self.assertEqual((limiter.in_flight, limiter.active_callers), (0, 0))
        self.assertRaises(ValueError, limiter.release, "a")
