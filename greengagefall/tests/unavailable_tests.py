"""Tests of the time until everything is served again after a loss."""

from __future__ import annotations

import unittest

from greengagefall.bench.caller import CallRow
from greengagefall.bench.unavailable import recovery_times_s


def row(sent_s, done_s, ok=True):
    status = 200 if ok else 503
    return CallRow("r", "b", "k", "GET", sent_s, done_s, status, "", not ok, "r", 1)


def loss(lost_s):
    return lost_s, lost_s + 0.5, "kill_server", "p1"


class RecoveryTests(unittest.TestCase):
    def test_counts_refusals_by_send_time_and_delayed_answers_by_answer_time(self):
        rows = [row(9.0, 9.1), row(9.9, 11.4), row(11.0, 11.1, ok=False), row(13.0, 13.1)]
        times = recovery_times_s(rows, [loss(10.0)])
        self.assertEqual([round(one, 3) for one in times["kill_server"]], [1.4])
        rows.append(row(12.0, 12.1, ok=False))
        times = recovery_times_s(rows, [loss(10.0)])
        self.assertEqual([round(one, 3) for one in times["kill_server"]], [2.0])

    def test_no_affected_request(self):
        self.assertEqual(recovery_times_s([row(10.5, 10.6)], [loss(10.0)]), {"kill_server": [0.0]})

    def test_losses_that_overlap_another_fault_are_left_out(self):
        self.assertEqual(recovery_times_s([], [loss(10.0), loss(11.0)]), {})
