"""Tests of the memory account: who is refused, who is evicted, and who never is."""

from __future__ import annotations

import logging
import unittest

from hypothesis import given
from hypothesis import strategies as st

from greengagefall.memory.account import PROGRESS_BYTES, SMALL_BYTES, STALL_S
from greengagefall.memory.budget import (
    ANSWERS,
    BODIES,
    FRAGMENTS,
    SERVER_ANSWERS,
    WAITING_BODIES,
    plan_budget,
)
from greengagefall.memory.decisions import BURST_LINES, DecisionLog
from greengagefall.memory.host_memory import open_host_memory
from greengagefall.memory.part_budget import PartBudget
from greengagefall.utils.clock import ManualClock

MEMORY_BYTES = 100_000_000
DESCRIPTORS = 400
BODY_BYTES = 1_000_000
LARGE_HOST_BYTES = 552_000_000
LARGEST_BODY_BYTES = 67_108_864
PARTS = (BODIES, WAITING_BODIES, SERVER_ANSWERS, ANSWERS, FRAGMENTS)


class AccountTestCase(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = ManualClock()
        self.memory = open_host_memory(MEMORY_BYTES, DESCRIPTORS, self.clock)
        self.account = self.memory.account
        self.evicted = []

    def open(self, name, size_bytes, part=BODIES):
        holder = self.account.open(part, lambda reason: self.evicted.append(name))
        self.assertTrue(holder.grow(size_bytes))
        return holder

    def fill(self, part=BODIES):
        """Opens holders of 1 MB until the next one would not fit; returns them."""
        holders = []
        while True:
            holder = self.account.open(part, lambda reason: self.evicted.append("filler"))
            if not holder.grow(BODY_BYTES):
                holder.close()
                return holders
            holders.append(holder)


class MemoryAccountTests(AccountTestCase):
    def test_the_largest_holder_without_progress_is_evicted_first(self):
        # Guards against evicting small or working clients for one that stands still.
        small, large = self.open("small", 2 * BODY_BYTES), self.open("large", 4 * BODY_BYTES)
        working = self.open("working", 5 * BODY_BYTES)
        fillers = self.fill()
        self.clock.advance(STALL_S)
        for holder in (working, *fillers):
            holder.advance(PROGRESS_BYTES)
        self.open("new", 2 * BODY_BYTES)
        self.assertEqual(self.evicted, ["large"])
        self.assertEqual((small.closed, large.closed, working.closed), (False, True, False))

    def test_what_does_not_fit_beside_working_holders_is_refused(self):
        # Guards against requests that were admitted and are then dropped for newer ones.
        fillers = self.fill()
        self.clock.advance(STALL_S)
        for holder in fillers:
            holder.advance(PROGRESS_BYTES)
        self.assertFalse(self.account.open(BODIES, None).grow(BODY_BYTES))
        self.assertEqual(self.evicted, [])

    def test_a_byte_a_second_is_no_progress(self):
        # Guards against readers that keep an answer by reading almost nothing.
        slow = self.open("slow", BODY_BYTES, ANSWERS)
        self.clock.advance(STALL_S)
        slow.advance(1)
        fillers = self.fill(ANSWERS)
        self.assertEqual(self.evicted, ["slow"])
        self.assertTrue(fillers)

    def test_a_small_request_fits_beside_full_shares(self):
        # Guards against a crowd of large bodies that shuts ordinary requests out.
        for part in PARTS:
            self.fill(part)
        self.assertTrue(self.account.open(BODIES, None).grow(SMALL_BYTES))
        self.assertTrue(self.account.reserve(SERVER_ANSWERS, SMALL_BYTES))

    def test_a_request_that_is_being_executed_is_not_evicted(self):
        # Guards against counting memory as free that a request still uses.
        for holder in self.fill():
            holder.pin()
        self.clock.advance(10 * STALL_S)
        self.assertFalse(self.account.open(BODIES, None).grow(BODY_BYTES))
        self.assertEqual(self.evicted, [])

    def test_an_evicted_holder_takes_no_more_memory(self):
        # Guards against a body that grows on after its eviction and is counted nowhere.
        holder = self.open("old", 4 * BODY_BYTES)
        self.clock.advance(STALL_S)
        self.fill()
        self.assertTrue(holder.closed)
        self.assertFalse(holder.grow(1))

    def test_the_largest_body_fits_into_the_memory_of_a_large_host(self):
        # Guards against shares that refuse a single legal request in calm.
        account = open_host_memory(LARGE_HOST_BYTES, DESCRIPTORS, self.clock).account
        self.assertTrue(account.open(BODIES, None).grow(LARGEST_BODY_BYTES))
        account = open_host_memory(LARGE_HOST_BYTES, DESCRIPTORS, self.clock).account
        self.assertTrue(account.reserve(WAITING_BODIES, LARGEST_BODY_BYTES))

    def test_two_thirds_of_the_memory_at_most_are_given_out(self):
        # Guards against budgets that leave no room for copies.
        for memory_bytes in (160_000_000, LARGE_HOST_BYTES):
            budget = plan_budget(memory_bytes, DESCRIPTORS)
            self.assertLessEqual(budget.total_bytes, memory_bytes * 2 / 3)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(PARTS),
                st.integers(1, 6 * BODY_BYTES),
                st.sampled_from(["open", "grow", "close", "advance", "pin", "wait", "reserve"]),
                st.integers(0, 20),
            ),
            max_size=60,
        )
    )
    def test_sums_agree_and_stay_within_the_budget(self, steps):
        # Guards against memory that is counted twice or never given back.
        clock = ManualClock()
        budget, account, _ = open_host_memory(MEMORY_BYTES, DESCRIPTORS, clock)
        holders, reserved = [], []
        for part, size_bytes, action, index in steps:
            holder = holders[index % len(holders)] if holders else None
            if action == "open":
                holders.append(account.open(part, lambda reason: None))
            elif action == "reserve" and account.reserve(part, size_bytes):
                reserved.append((part, size_bytes))
            elif action == "wait":
                clock.advance(STALL_S)
            elif holder is not None and action == "grow":
                holder.grow(size_bytes)
            elif holder is not None and action == "close":
                holder.close()
            elif holder is not None and action == "advance":
                holder.advance(size_bytes)
            elif holder is not None and action == "pin":
                holder.pin()
            held_bytes = sum(one.held_bytes for one in holders) + sum(size for _, size in reserved)
            self.assertEqual(sum(account.parts_bytes.values()), held_bytes)
            self.assertLessEqual(held_bytes, budget.total_bytes)
        for part, size_bytes in reserved:
            account.release(part, size_bytes)
        for one in holders:
            one.close()
        self.assertEqual(set(account.parts_bytes.values()), {0})


class PartBudgetTests(AccountTestCase):
    def test_ordinary_answers_pass_beside_large_messages_that_fill_their_part(self):
        # Guards against a lost answer of an executed request because others are large.
        budget = PartBudget(self.account, FRAGMENTS)
        while budget.reserve(BODY_BYTES):
            pass
        self.assertTrue(budget.reserve(SMALL_BYTES // 2))
        budget.release(BODY_BYTES)
        self.assertTrue(budget.reserve(BODY_BYTES // 2))


class DecisionLogTests(unittest.TestCase):
    def test_a_crowd_does_not_fill_the_log(self):
        # Guards against thousands of lines a second, which would displace all others.
        decisions = DecisionLog(ManualClock())
        with self.assertLogs("greengagefall.memory", logging.WARNING) as logs:
            for _ in range(1000):
                decisions.record("closed", "header_timeout", held_bytes=1)
        self.assertEqual(len(logs.records), BURST_LINES)

    def test_the_next_line_tells_how_many_were_left_out(self):
        # Guards against decisions of which nobody learns.
        clock = ManualClock()
        decisions = DecisionLog(clock)
        with self.assertLogs("greengagefall.memory", logging.WARNING) as logs:
            for _ in range(int(BURST_LINES) + 7):
                decisions.record("refused", "memory_full")
            clock.advance(1.0)
            decisions.record("refused", "memory_full")
        self.assertEqual(logs.records[-1].unlogged_before, 7)


if __name__ == "__main__":
    unittest.main()
