"""Tests of the admission queues against a simple model."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengagefall.limits.admission import QUEUES, DeadlineFairQueue, QueuedRequest
from greengagefall.limits.exceptions import DEADLINE_UNREACHABLE, QUEUE_FULL, QUEUE_SHED
from greengagefall.utils.clock import ManualClock

QUEUE_LIMIT = 6
CALLERS = ("a", "b", "c")


class QueueMachine(RuleBasedStateMachine):
    """Checks that each request leaves the queue once and is not popped after its deadline."""

    queue_name = "fifo"

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.queue = QUEUES[self.queue_name](QUEUE_LIMIT, self.clock)
        self.queued = {}
        self.next_id = 0

    @rule(caller=st.sampled_from(CALLERS), priority=st.integers(0, 2), timeout_s=st.integers(-1, 5))
    def offer(self, caller, priority, timeout_s):
        now_s = self.clock.now_s()
        self.next_id += 1
        item = QueuedRequest(str(self.next_id), caller, priority, now_s + timeout_s, now_s)
        if self.queue.offer(item).is_ok():
            self.queued[item.request_id] = item
        self.take_dropped()

    @rule()
    def pop(self):
        item = self.queue.pop(self.clock.now_s())
        if item is not None:
            assert item.deadline_s > self.clock.now_s()
            assert self.queued.pop(item.request_id) == item
        self.take_dropped()
        if item is None:
            assert not self.queued

    @rule(index=st.integers(0, QUEUE_LIMIT))
    def remove(self, index):
        self.take_dropped()
        names = [*self.queued, "absent"]
        name = names[min(index, len(names) - 1)]
        assert self.queue.remove(name) == self.queued.pop(name, None)

    @rule(seconds=st.sampled_from((0.5, 1.0, 3.0)))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(limit=st.integers(1, 6), latency_ms=st.sampled_from((1.0, 500.0, 2000.0)))
    def set_capacity(self, limit, latency_ms):
        self.queue.set_capacity(limit, latency_ms)

    def take_dropped(self):
        for dropped in self.queue.collect_dropped(self.clock.now_s()):
            assert self.queued.pop(dropped.request.request_id) == dropped.request

    @invariant()
    def no_request_is_lost(self):
        assert len(self.queue) == len(self.queued) <= QUEUE_LIMIT


class FairQueueMachine(QueueMachine):
    queue_name = "deadline_fair"


FifoQueueTests = QueueMachine.TestCase
FairQueueTests = FairQueueMachine.TestCase
MACHINE_SETTINGS = settings(max_examples=60, stateful_step_count=40)
FifoQueueTests.settings = MACHINE_SETTINGS
FairQueueTests.settings = MACHINE_SETTINGS


def queued_request(request_id, caller, priority=0, deadline_s=100.0):
    return QueuedRequest(request_id, caller, priority, deadline_s, 0.0)


class FairnessTests(unittest.TestCase):
    def setUp(self):
        self.queue = DeadlineFairQueue(8, ManualClock())

    def test_many_requests_of_one_caller_delay_another_by_at_most_one_turn(self):
        for number in range(8):
            self.queue.offer(queued_request(f"flood-{number}", "flood"))
        self.assertTrue(self.queue.offer(queued_request("calm", "calm")).is_ok())
        popped = [self.queue.pop(0.0).request_id for _ in range(2)]
        self.assertIn("calm", popped)

    def test_a_full_queue_drops_from_the_caller_above_its_share(self):
        for number in range(8):
            self.queue.offer(queued_request(f"flood-{number}", "flood", priority=0))
        self.queue.offer(queued_request("calm", "calm", priority=2))
        dropped = self.queue.collect_dropped(0.0)
        self.assertEqual([(d.request.caller, d.reason) for d in dropped], [("flood", QUEUE_SHED)])

    def test_the_largest_priority_number_is_shed_first(self):
        for number in range(8):
            self.queue.offer(queued_request(f"{number}", f"caller-{number}", priority=number % 3))
        self.queue.offer(queued_request("urgent", "caller-8", priority=0))
        self.assertEqual(self.queue.collect_dropped(0.0)[0].request.priority, 2)
        refused = self.queue.offer(queued_request("idle", "caller-9", priority=2))
        self.assertEqual(refused.unwrap_err().reason, QUEUE_FULL)

    def test_an_unreachable_deadline_is_refused_on_arrival(self):
        self.queue.set_capacity(1, 1000.0)
        self.assertTrue(self.queue.offer(queued_request("1", "a", deadline_s=2.5)).is_ok())
        refused = self.queue.offer(queued_request("2", "a", deadline_s=2.5))
        self.assertEqual(refused.unwrap_err().reason, DEADLINE_UNREACHABLE)
