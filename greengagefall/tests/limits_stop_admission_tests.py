"""Tests of the decision which requests a stopping host takes, in virtual time."""

from __future__ import annotations

import math
import unittest

from greengagefall.limits.stop_admission import (
    EXIT_RESERVE_S,
    LATE_ANSWER_S,
    NOT_STOPPING,
    StopAdmission,
    plan_stop,
)
from greengagefall.utils.clock import ManualClock

STOPPED_S = 100.0


class StopAdmissionTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(STOPPED_S)
        self.stop = StopAdmission(self.clock)

    def test_a_host_that_does_not_stop_takes_everything(self):
        self.assertEqual(self.stop.times, NOT_STOPPING)
        for deadline_s in (STOPPED_S, STOPPED_S + 3600.0, math.inf):
            self.assertTrue(self.stop.accepts(deadline_s))

    def test_no_request_is_taken_whose_last_answer_would_come_after_the_end(self):
        for grace_s in (0.0, 0.3, 1.0, 4.0, 6.0, 10.0):
            stop = StopAdmission(self.clock)
            end_s = stop.begin(grace_s).end_s
            self.assertLessEqual(end_s, STOPPED_S + max(0.0, grace_s - EXIT_RESERVE_S))
            for tenth in range(150):
                deadline_s = STOPPED_S + tenth / 10
                if stop.accepts(deadline_s):
                    self.assertLessEqual(deadline_s + LATE_ANSWER_S, end_s)

    def test_requests_that_fit_are_taken_until_the_refusal_begins(self):
        times = self.stop.begin(10.0)
        while self.clock.now_s() < times.refuse_from_s:
            self.assertTrue(self.stop.accepts(self.clock.now_s() + 4.0))
            self.clock.advance(0.25)
        self.assertFalse(self.stop.accepts(self.clock.now_s()))

    def test_a_request_taken_earlier_is_still_sent_after_the_refusal_began(self):
        times = self.stop.begin(10.0)
        self.clock.advance(times.refuse_from_s - STOPPED_S + 1.0)
        self.assertTrue(self.stop.fits(times.end_s - 1.0))
        self.assertFalse(self.stop.fits(times.end_s))

    def test_a_second_stop_or_a_new_grace_period_does_not_move_the_end(self):
        times = self.stop.begin(6.0)
        self.clock.advance(1.0)
        self.assertEqual(self.stop.begin(20.0), times)

    def test_the_refusal_begins_no_later_than_the_end(self):
        for grace_s in (0.0, 0.5, 0.7, 4.0):
            times = plan_stop(STOPPED_S, grace_s)
            self.assertLessEqual(times.refuse_from_s, times.end_s)
