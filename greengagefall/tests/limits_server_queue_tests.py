"""Tests of the queue of one server: overload, cold start and priorities."""

from __future__ import annotations

import random
import unittest

from greengagefall.limits.server_queue import QueuedDispatch, ServerQueue
from greengagefall.limits.work_estimate import ServerWork, ServiceWork
from greengagefall.utils.clock import ManualClock

SERVICE_TIME_S = 0.2
COLD_RATE_PER_S = 8.0
# The platform's upper bound of requests to a cold server in any second.
COLD_BOUND = 1.5 * COLD_RATE_PER_S + 5


class CountingWork(ServerWork):
    """Counts how often the estimate of a kind is computed."""

    computed = 0

    def correction(self, kind, now_s):
        self.computed += 1
        return super().correction(kind, now_s)


class ServerQueueTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(100.0)
        self.queue = ServerQueue(2, self.clock)
        self.tickets = 0
        self.started = []

    def queued_request(self, priority=1, remaining_s=2.0, objective_s=0.6, kind=""):
        self.tickets += 1
        now_s = self.clock.now_s()
        deadline_s, objective_s = now_s + remaining_s, now_s + objective_s
        return QueuedDispatch(priority, deadline_s, self.tickets, objective_s, kind)

    def fill(self):
        for _ in range(2):
            self.assertEqual(self.queue.offer(self.queued_request()), [])
            self.assertIsNotNone(self.start())

    def start(self, queue=None):
        """Starts the next request if there is a slot, and remembers it."""
        item = (self.queue if queue is None else queue).start_next()
        if item is not None:
            self.started.append(item)
        return item

    def finish(self, duration_s=None, queue=None):
        """Ends the request that was started first."""
        (self.queue if queue is None else queue).finish(self.started.pop(0), duration_s)

    def test_no_more_requests_than_slots_are_started(self):
        self.fill()
        self.assertEqual(self.queue.offer(self.queued_request()), [])
        self.assertIsNone(self.start())
        self.finish(0.2)
        self.assertIsNotNone(self.start())

    def test_the_most_urgent_starts_first_then_the_earliest_deadline(self):
        self.fill()
        late = self.queued_request(priority=1, remaining_s=1.9)
        early = self.queued_request(priority=1, remaining_s=1.5)
        urgent = self.queued_request(priority=0)
        for item in (late, early, urgent):
            self.queue.offer(item)
        order = []
        for _ in range(3):
            self.finish(0.2)
            order.append(self.start())
        self.assertEqual(order, [urgent, early, late])

    def test_a_request_that_cannot_finish_in_time_is_refused_at_once(self):
        self.fill()
        refused = []
        for _ in range(40):
            refused += self.queue.offer(self.queued_request())
        self.assertTrue(refused)
        self.assertLess(len(self.queue), 12)

    def test_an_urgent_request_displaces_a_less_urgent_one(self):
        self.fill()
        refused = []
        while not refused:
            refused = self.queue.offer(self.queued_request(priority=2))
        urgent = self.queued_request(priority=0)
        displaced = self.queue.offer(urgent)
        self.assertTrue(all(item.priority == 2 for item in displaced))
        self.finish(0.2)
        self.assertEqual(self.start(), urgent)

    def test_the_wait_is_that_for_the_work_of_those_ahead(self):
        """Guards against a mean service time for kinds of work that differ."""
        work = ServerWork(ServiceWork(self.clock))
        for _ in range(200):
            work.on_executed("short", 0.1)
            work.on_executed("long", 0.4)
        waits_s = {}
        for kind in ("short", "long"):
            queue = ServerQueue(1, self.clock, work)
            for _ in range(3):
                queue.offer(self.queued_request(remaining_s=9.0, objective_s=9.0, kind=kind))
            queue.start_next()
            self.clock.advance(0.05)
            waits_s[kind] = queue.expected_wait_s()
        self.assertAlmostEqual(waits_s["short"], 0.25, delta=0.05)
        self.assertAlmostEqual(waits_s["long"], 1.15, delta=0.1)

    def test_a_request_that_takes_longer_than_expected_is_not_taken_as_ending_now(self):
        """Guards against a queue that admits requests behind others that hang."""
        self.fill()
        self.clock.advance(SERVICE_TIME_S)
        self.assertAlmostEqual(self.queue.expected_wait_s(), SERVICE_TIME_S / 4)
        self.clock.advance(9 * SERVICE_TIME_S)
        self.assertAlmostEqual(self.queue.expected_wait_s(), 10 * SERVICE_TIME_S / 4)
        refused = self.queued_request(remaining_s=0.5, objective_s=0.3)
        self.assertEqual(self.queue.offer(refused), [refused])

    def test_a_pass_over_the_queue_computes_each_estimate_once(self):
        """Guards against a cost of each event that grows with all queued and running requests."""
        work = CountingWork(ServiceWork(self.clock))
        queue = ServerQueue(50, self.clock, work)
        for number in range(80):
            queue.offer(self.queued_request(remaining_s=9.0, kind=f"kind-{number % 3}"))
            if number < 50:
                queue.start_next()
        for one_pass in (queue.shed_late, queue.expected_wait_s):
            work.computed = 0
            one_pass()
            self.assertEqual(work.computed, 3)

    def test_requests_that_can_all_start_need_no_estimate(self):
        """Guards against estimates for each request at a server that is not busy."""
        work = CountingWork(ServiceWork(self.clock))
        queue = ServerQueue(3, self.clock, work)
        queue.offer(self.queued_request())
        queue.start_next()
        queue.offer(self.queued_request())
        queue.shed_late()
        self.assertEqual(queue.expected_wait_s(), 0.0)
        self.assertEqual(work.computed, 0)
        expired = self.queued_request(remaining_s=0.0)
        self.assertEqual(queue.offer(expired), [expired])

    def test_an_urgent_request_waits_for_its_equals_only(self):
        self.fill()
        for _ in range(4):
            self.queue.offer(self.queued_request(priority=2, remaining_s=9.0, objective_s=9.0))
        urgent, late = self.queued_request(priority=0), self.queued_request(priority=3)
        self.assertLess(self.queue.retry_after_s(urgent), self.queue.retry_after_s(late) / 2)

    def test_a_request_that_could_start_at_once_is_kept_for_a_slow_server(self):
        self.queue = ServerQueue(2, self.clock, ServerWork(ServiceWork(self.clock, 5.0)))
        self.assertEqual(self.queue.offer(self.queued_request()), [])
        self.assertIsNotNone(self.queue.start_next())

    def test_a_cold_server_gets_no_more_than_its_bound_in_any_second(self):
        queue = ServerQueue(100, self.clock)
        queue.set_cold(COLD_RATE_PER_S, 10.0)
        sent_s = []
        while self.clock.now_s() < 105.0:
            queue.offer(self.queued_request(remaining_s=0.5))
            while self.start(queue) is not None:
                sent_s.append(self.clock.now_s())
                self.finish(queue=queue)
            self.clock.advance(0.01)
        most = max(sum(start <= at < start + 1 for at in sent_s) for start in sent_s)
        self.assertLessEqual(most, COLD_BOUND)
        self.assertGreater(len(sent_s) / 5, 0.8 * COLD_RATE_PER_S)

    def test_what_a_cold_server_cannot_start_in_time_is_refused_at_once(self):
        queue = ServerQueue(100, self.clock)
        queue.set_cold(COLD_RATE_PER_S, 10.0)
        refused = []
        for _ in range(40):
            refused += queue.offer(self.queued_request())
        self.assertLess(len(queue), 14)
        self.assertEqual(len(refused) + len(queue), 40)

    def test_a_cold_server_that_was_idle_has_room_for_a_request(self):
        queue = ServerQueue(2, self.clock)
        queue.set_cold(COLD_RATE_PER_S, 10.0)
        for _ in range(2):
            queue.offer(self.queued_request())
            self.assertIsNotNone(self.start(queue))
            self.finish(SERVICE_TIME_S, queue)
        self.clock.advance(1.0)
        self.assertEqual(queue.expected_wait_s(), 0.0)

    def test_overload_uses_all_slots_and_refuses_the_rest_early(self):
        """Three times the capacity of two slots arrives for 20 s; served requests end in time."""
        rng = random.Random(7)
        running: list[tuple[float, QueuedDispatch]] = []
        served, refused, in_time = 0, 0, 0
        waits = []
        arrived: dict[int, float] = {}
        for step in range(2000):
            self.clock.advance(0.01)
            now_s = self.clock.now_s()
            for end_s, item in [pair for pair in running if pair[0] <= now_s]:
                running.remove((end_s, item))
                self.queue.finish(item, SERVICE_TIME_S)
                served += 1
                in_time += now_s <= item.deadline_s
            if rng.random() < 0.3:
                item = self.queued_request(priority=rng.choice((0, 1, 2, 2)), remaining_s=1.5)
                arrived[item.ticket] = now_s
                for dropped in self.queue.offer(item):
                    refused += 1
                    waits.append(now_s - arrived[dropped.ticket])
            while (item := self.queue.start_next()) is not None:
                running.append((now_s + SERVICE_TIME_S * rng.uniform(0.5, 1.5), item))
            for dropped in self.queue.shed_late():
                refused += 1
                waits.append(now_s - arrived[dropped.ticket])
            self.assertLessEqual(self.queue.in_flight, 2, step)
        self.assertGreater(served, 0.9 * 20.0 * 2 / SERVICE_TIME_S)
        self.assertGreater(in_time, 0.99 * served)
        waits.sort()
        self.assertLess(waits[len(waits) // 2], 0.2)
