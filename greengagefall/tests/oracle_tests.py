"""Tests that the oracle finds each planted violation and none in a clean log."""

from __future__ import annotations

import unittest

from greengagefall.bench.caller import CallRow
from greengagefall.bench.oracle import check_all
from greengagefall.bench.oracle_records import AcceptedVersion, Bounds, OutInterval, VersionRow
from greengagefall.bench.server_logs import ServerInfo, server_log

BOUNDS = Bounds(out_s=5.0, cold_notice_s=1.0, propagation_s=5.0)


def grant_record(runs, from_s, until_s, fence=1, incarnation="i"):
    return {
        "fence": fence,
        "map_version": 1,
        "runs": runs,
        "from_s": from_s,
        "until_s": until_s,
        "incarnation": incarnation,
    }


def request_record(request_id, started_s, ended_s, **changes):
    record = {
        "request_id": request_id,
        "method": "POST",
        "path": "/",
        "slice": 4,
        "slice_fence": 2,
        "dispatch_fence": 1,
        "arrived_s": started_s,
        "started_s": started_s,
        "ended_s": ended_s,
        "outcome": "run",
        "reason": "",
        "in_flight": 0,
        "cold": False,
        "incarnation": "i",
    }
    return {**record, **changes}


def refused_record(request_id, at_s, reason, **changes):
    record = request_record(request_id, at_s, at_s, outcome="not_run", reason=reason, **changes)
    return {**record, "started_s": 0.0}


def cold_record(from_s, until_s, **changes):
    record = {
        "from_s": from_s,
        "until_s": until_s,
        "cold_slots": 1,
        "announced": True,
        "at_start": False,
        "refused_s": 0.0,
        "incarnation": "i",
    }
    return {**record, **changes}


def row(request_id, **changes):
    fields = CallRow(request_id, "be", "k", "POST", 1.0, 2.0, 200, "", False, request_id, 1)
    return fields._replace(**changes)


class OracleTests(unittest.TestCase):
    """Checks records in which a server holds slices 0 to 9 until 10 s, and another from 12 s on."""

    def setUp(self):
        self.first = {
            "start": [{"at_s": 0.0, "incarnation": "i"}],
            "grant": [grant_record([[0, 9, 2]], 1.0, 10.0)],
            "request": [request_record("r1", 2.0, 3.0), refused_record("r2", 4.0, "shedding")],
            "cold": [],
        }
        self.second = {
            "grant": [grant_record([[0, 9, 5]], 12.0, 20.0)],
            "request": [request_record("r3", 13.0, 14.0, slice_fence=5)],
        }
        refusal = {"status": 503, "body_request_id": "r2", "not_run": True}
        self.rows = [row("r1"), row("r2", **refusal), row("r3")]
        self.outs = [OutInterval("a", 3.0, 30.0, "zone_out")]
        self.versions = [
            VersionRow("h", "i", version, at_s) for version, at_s in ((1, 0.0), (2, 14.0))
        ]
        self.accepted = [AcceptedVersion(1, 0.0), AcceptedVersion(2, 10.0)]
        self.checks_orders = True

    def check(self):
        logs = [
            server_log(ServerInfo("a", "be", "z1", self.checks_orders), self.first),
            server_log(ServerInfo("b", "be", "z2", self.checks_orders), self.second),
        ]
        return check_all(logs, self.rows, self.outs, self.versions, self.accepted, BOUNDS)

    def assert_found(self, *names):
        self.assertEqual(self.check().found(), set(names))

    def test_clean_log_passes_every_check(self):
        self.first["cold"] = [
            cold_record(0.5, 5.0),
            cold_record(5.0, 9.0, announced=False, refused_s=5.1),
        ]
        self.first["request"].append(refused_record("p1", 7.0, "cold", in_flight=1))
        report = self.check()
        self.assertEqual(report.violations, [])
        names = {"one_owner", "fence_monotone", "one_runner", "run_fence_monotone"}
        names |= {
            "sole_dispatcher",
            "dispatch_fence_monotone",
            "at_most_once",
            "not_run_true",
            "own_answer",
        }
        names |= {"answered_ran", "no_work_when_out", "cold_bound", "cold_probe"}
        names |= {"config_never_reverts", "config_in_force"}
        self.assertEqual(set(report.checks), names)

    def test_two_owners(self):
        self.second["grant"][0]["from_s"] = 9.9
        self.assert_found("one_owner")

    def test_two_owners_of_one_slice_at_the_edges_of_slice_ranges(self):
        self.second["grant"].append(grant_record([[10, 10, 6]], 3.0, 4.0))
        self.assert_found()
        self.second["grant"].append(grant_record([[9, 11, 6]], 3.0, 4.0))
        self.assertIn("one_owner", self.check().found())

    def test_short_grant_during_renewals_by_another_server(self):
        self.first["grant"] = [grant_record([[0, 9, 2]], float(at), at + 1.0) for at in range(1, 8)]
        self.second["grant"].append(grant_record([[3, 3, 5]], 5.5, 5.6))
        self.assertIn("one_owner", self.check().found())

    def test_grant_of_a_killed_process_ends_with_the_next_start(self):
        self.second["grant"][0]["from_s"] = 9.0
        self.first["start"].append({"at_s": 8.0, "incarnation": "j"})
        self.assert_found()

    def test_fence_that_decreases_or_is_used_twice(self):
        for fence in (1, 2):
            self.second["grant"][0]["runs"] = [[0, 9, fence]]
            self.assert_found("fence_monotone")

    def test_dispatch_fence_that_decreases(self):
        self.first["grant"].append(grant_record([[0, 9, 2]], 5.0, 10.0, fence=0))
        self.assert_found("dispatch_fence_monotone")

    def test_two_dispatchers_alternate_at_a_server_without_fences(self):
        self.checks_orders = False
        self.first["request"].append(request_record("r8", 4.0, 4.1, dispatch_fence=5))
        self.first["request"].append(request_record("r9", 4.2, 4.3, dispatch_fence=4))
        self.assert_found("sole_dispatcher")

    def test_two_servers_execute_requests_of_a_slice(self):
        self.first["request"].append(request_record("r4", 13.5, 13.6, slice_fence=5))
        self.assert_found("one_runner", "run_fence_monotone", "no_work_when_out")
        self.checks_orders = False
        self.assert_found("no_work_when_out")

    def test_request_is_executed_under_an_old_fence(self):
        self.second["request"].append(request_record("r4", 15.0, 16.0, slice_fence=2))
        self.assert_found("run_fence_monotone")

    def test_request_executed_twice(self):
        self.second["request"].append(request_record("r1", 15.0, 16.0, slice_fence=5))
        self.assert_found("at_most_once")
        self.rows[0] = row("r1", method="GET")
        self.assert_found()

    def test_second_execution_that_was_stopped_or_killed(self):
        for outcome in ("stopped", "running"):
            again = request_record("r1", 15.0, 0.0, slice_fence=5, outcome=outcome)
            self.second["request"] = [self.second["request"][0], again]
            self.assert_found("at_most_once")

    def test_not_run_request_that_was_executed(self):
        self.rows[0] = row("r1", status=503, not_run=True)
        self.assert_found("not_run_true")

    def test_crossed_or_truncated_answer(self):
        for body_request_id in ("r3", ""):
            self.rows[0] = row("r1", body_request_id=body_request_id)
            self.assert_found("own_answer")

    def test_answer_of_a_request_that_was_never_executed(self):
        self.rows.append(row("r9"))
        self.assert_found("answered_ran")

    def test_answer_of_a_request_that_was_stopped(self):
        self.first["request"][0]["outcome"] = "stopped"
        self.assert_found("answered_ran")

    def test_request_at_a_server_in_an_evacuated_zone(self):
        self.first["request"].append(request_record("r4", 7.9, 8.0))
        self.assert_found()
        self.first["request"].append(request_record("r5", 8.1, 8.2))
        self.assert_found("no_work_when_out")

    def test_cold_bound(self):
        busy = [request_record("r4", 6.5, 6.6, in_flight=1)]
        self.first["request"] += busy
        for start in (
            cold_record(5.0, 9.0),
            cold_record(6.4, 9.0, at_start=True),
        ):
            self.first["cold"] = [start]
            self.assert_found("cold_bound")
        for start in (
            cold_record(6.0, 9.0),
            cold_record(5.0, 9.0, announced=False),
            cold_record(5.0, 9.0, announced=False, refused_s=6.0),
            cold_record(5.0, 9.0, cold_slots=2),
            cold_record(5.0, 9.0, incarnation="other"),
        ):
            self.first["cold"] = [start]
            self.assert_found()

    def test_unannounced_cold_start_is_probed_rarely_and_by_one_request(self):
        self.first["cold"] = [cold_record(4.0, 9.0, announced=False, refused_s=4.5)]
        probes = [
            refused_record(f"p{at}", at, "cold", in_flight=1) for at in (4.5, 5.2, 5.6, 6.5, 7.5)
        ]
        self.first["request"] += probes
        self.assert_found()
        self.first["request"].append(refused_record("p8", 8.0, "cold", in_flight=1))
        self.assert_found("cold_probe")
        self.first["request"][-1] = refused_record("p8", 8.6, "cold", in_flight=2)
        self.assert_found("cold_bound")

    def test_refusal_for_cold_counts_against_the_cold_bound(self):
        self.first["cold"] = [cold_record(4.0, 9.0)]
        self.first["request"].append(refused_record("r4", 6.0, "cold", in_flight=1))
        self.assert_found("cold_bound")
        self.first["request"][-1]["reason"] = "not_owner"
        self.assert_found()

    def test_version_that_decreases(self):
        self.versions.append(VersionRow("h", "i", 1, 14.5))
        self.assert_found("config_never_reverts")
        self.versions[-1] = VersionRow("h", "restarted", 1, 14.5)
        self.assert_found()

    def test_version_that_does_not_reach_a_host_in_time(self):
        self.versions[-1] = VersionRow("h", "i", 1, 15.1)
        self.assert_found("config_in_force")
