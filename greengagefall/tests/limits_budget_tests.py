"""Tests of retry budgets, backoff and caller shares."""

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
    def test_retries_never_pass_the_share_and_the_burst(self, steps):
        budget = RetryBudget(0.1, 3.0)
        first_tries = retries = 0
        for is_first in steps:
            if is_first:
                budget.on_first_attempt()
                first_tries += 1
            elif budget.try_spend():
                retries += 1
        self.assertLessEqual(retries, 3.0 + 0.1 * first_tries + 1e-9)


class BackoffTests(unittest.TestCase):
    @given(st.integers(0, 1000), st.integers(0, 99))
    def test_the_delay_is_bounded(self, attempt, seed):
        delay_ms = full_jitter(attempt, 10.0, 500.0, random.Random(seed))
        self.assertTrue(0.0 <= delay_ms <= min(500.0, 10.0 * 2 ** min(attempt, 9)))


class CallerShareTests(unittest.TestCase):
    def reason(self, share, caller):
        return share.try_acquire(caller).unwrap_err().reason

    def test_bounds_of_one_caller_and_of_the_host(self):
        share = CallerLimiter(2, 3, {"crowded_share": 1.0})
        self.assertTrue(share.try_acquire("a").is_ok())
        self.assertTrue(share.try_acquire("a").is_ok())
        self.assertEqual(self.reason(share, "a"), CALLER_OVER_LIMIT)
        self.assertTrue(share.try_acquire("b").is_ok())
        self.assertEqual(self.reason(share, "c"), ENTRY_OVER_LIMIT)

    def test_a_crowded_host_keeps_room_for_other_callers(self):
        share = CallerLimiter(100, 10)
        while share.try_acquire("flood").is_ok():
            pass
        self.assertEqual(self.reason(share, "flood"), CALLER_OVER_FAIR_SHARE)
        self.assertTrue(share.try_acquire("calm").is_ok())

    @given(st.lists(st.sampled_from("abcde")))
    def test_only_callers_in_flight_are_remembered(self, callers):
        share = CallerLimiter(3, 8)
        entered = [caller for caller in callers if share.try_acquire(caller).is_ok()]
        self.assertEqual((share.in_flight, share.active_callers), (len(entered), len(set(entered))))
        for caller in entered:
            share.release(caller)
        self.assertEqual((share.in_flight, share.active_callers), (0, 0))
        self.assertRaises(ValueError, share.release, "a")
