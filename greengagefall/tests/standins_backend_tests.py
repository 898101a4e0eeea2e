"""Tests of the backend server stand-in over HTTP."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient

from greengagefall.bench.server_logs import read_journal
from greengagefall.standins.backend_server import BackendServer
from greengagefall.standins.backend_work import BackendSettings
from greengagefall.tests.waiting import eventually

SLICE = {"X-Slice": "3", "X-Slice-Fence": "2", "X-Dispatch-Fence": "5"}
LONG_MS = "60000"
HOUR_MS = 3_600_000


class BackendServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.http = AsyncHTTPClient(force_instance=True, max_clients=50)
        self.addCleanup(self.http.close)
        self.server = await self.start()

    async def start(self, **options):
        fields = {"slots": 2, "backlog": 1, "service_ms": 0.0, **options}
        server = BackendServer(BackendSettings("127.0.0.1:0", "p1", **fields))
        await server.start()
        self.addAsyncCleanup(self.stop, server)
        return server

    async def stop(self, server):
        for request_id in list(server.work._by_request_id):
            server.work.cancel(request_id)
        await server.close()

    async def call(self, method, path, body=None, headers=None):
        return await self.http.fetch(
            f"http://{self.server.address}{path}",
            method=method,
            body=json.dumps(body) if body is not None else None,
            headers=headers,
            raise_error=False,
            allow_nonstandard_methods=True,
        )

    async def control(self, method, path, body=None):
        response = await self.call(method, path, body)
        return response.code, json.loads(response.body)

    async def grant(self, until_ms=HOUR_MS, **changes):
        """Grants slices 0 to 9 for ``until_ms`` milliseconds from now."""
        work = self.server.work
        body = {"incarnation": work.incarnation, "fence": 5, "map_version": 7}
        body |= {"until_ms": work.now_ms() + until_ms, "runs": [[0, 9, 2]], **changes}
        return await self.control("PUT", "/.server/grant", body)

    async def work(self, request_id, headers=None, **extra):
        extra_headers = {name.replace("_", "-"): value for name, value in extra.items()}
        headers = {**(headers or {}), **extra_headers, "X-Request-Id": request_id}
        return await self.call("POST", "/work/k", headers=headers)

    def begin(self, request_id, headers=None):
        """Starts a request that is executed until it is cancelled or stopped."""
        headers = {"X-Work-Ms": LONG_MS, **(headers or {})}
        return asyncio.create_task(self.work(request_id, headers))

    async def assert_not_run(self, reason, request_id, headers=None, **extra):
        response = await self.work(request_id, headers, **extra)
        self.assertEqual((response.code, response.headers.get("X-Not-Run")), (503, reason))
        self.assertEqual(self.server.work.records.requests[-1]["outcome"], "not_run")
        self.assertEqual(self.server.work.records.requests[-1]["reason"], reason)

    async def test_request_without_the_granted_fences_is_refused(self):
        await self.assert_not_run("not_owner", "r0", SLICE)
        self.assertEqual((await self.grant())[0], 200)
        self.assertEqual((await self.work("r1", SLICE)).code, 200)
        await self.assert_not_run("stale_fence", "r2", SLICE, X_Dispatch_Fence="4")
        await self.assert_not_run("not_owner", "r3", SLICE, X_Dispatch_Fence="6")
        await self.assert_not_run("not_owner", "r4", SLICE, X_Slice_Fence="1")
        await self.assert_not_run("not_owner", "r5", SLICE, X_Slice="10")

    async def test_stale_grants_are_refused(self):
        await self.grant()
        for reason, changes in (
            ("stale_fence", {"fence": 4}),
            ("stale_map_version", {"map_version": 6}),
            ("other_incarnation", {"incarnation": "before"}),
        ):
            code, body = await self.grant(**changes)
            self.assertEqual((code, body["reason"]), (409, reason))
            self.assertEqual((body["fence"], body["map_version"]), (5, 7))
        self.assertEqual((await self.grant(runs=[[1]]))[0], 400)
        self.assertEqual(len(self.server.work.records.grants), 1)

    async def test_late_renewal_does_not_shorten_the_grant(self):
        await self.grant(until_ms=HOUR_MS)
        until_ms = self.server.work.grant.until_ms
        await self.grant(until_ms=10)
        self.assertEqual(self.server.work.grant.until_ms, until_ms)

    async def test_grant_that_arrives_expired_permits_nothing(self):
        await self.grant()
        await self.grant(map_version=8, until_ms=0)
        await self.assert_not_run("not_owner", "r1", SLICE)
        grants = self.server.work.records.grants
        self.assertEqual([row["map_version"] for row in grants], [7])
        self.assertLess(grants[0]["until_s"], self.server.work.records.requests[0]["arrived_s"])

    async def test_expired_grant_stops_requests_and_refuses_new_ones(self):
        await self.grant(until_ms=500)
        stopped = await self.begin("r1", SLICE)
        self.assertEqual(stopped.code, 500)
        self.assertNotIn("X-Not-Run", stopped.headers)
        await self.assert_not_run("not_owner", "r2", SLICE)
        records = self.server.work.records
        self.assertEqual(records.requests[0]["outcome"], "stopped")
        self.assertLessEqual(records.requests[0]["ended_s"], records.grants[0]["until_s"] + 1e-6)

    async def test_request_continues_when_the_grant_is_renewed(self):
        await self.grant(until_ms=800)
        running = asyncio.create_task(self.work("r1", {**SLICE, "X-Work-Ms": "1000"}))
        await eventually(lambda: self.server.work.busy)
        await self.grant(until_ms=HOUR_MS)
        self.assertEqual((await running).code, 200)

    async def test_release_waits_for_the_requests_in_flight(self):
        await self.grant()
        running = self.begin("r1", SLICE)
        await eventually(lambda: self.server.work.busy)
        code, body = await self.grant(map_version=8, runs=[[4, 9, 2]])
        self.assertEqual((code, body["released"]), (200, False))
        await self.assert_not_run("not_owner", "r2", SLICE)
        await self.control("POST", "/.server/cancel", {"request_id": "r1"})
        await running
        self.assertTrue((await self.grant(map_version=8, runs=[[4, 9, 2]]))[1]["released"])
        grants = self.server.work.records.grants
        self.assertEqual([row["runs"] for row in grants], [[[0, 9, 2]], [[4, 9, 2]]])
        self.assertEqual(grants[0]["until_s"], grants[1]["from_s"])

    async def test_slots_and_backlog_are_bounded(self):
        begun = [self.begin(name) for name in ("r1", "r2")]
        # Requests on separate connections arrive in any order; r1 and r2 must have slots before r3.
        await eventually(lambda: self.server.work.busy == 2)
        begun.append(self.begin("r3"))
        await eventually(lambda: self.server.work.queued)
        await self.assert_not_run("shedding", "r4")
        for name, state in (("r3", "waiting"), ("r1", "running"), ("r2", "running")):
            cancelled = await self.control("POST", "/.server/cancel", {"request_id": name})
            self.assertEqual(cancelled[1]["state"], state)
        answers = await asyncio.gather(*begun)
        self.assertEqual([answer.code for answer in answers], [500, 500, 503])
        self.assertEqual(answers[2].headers["X-Not-Run"], "cancelled")
        unknown = await self.control("POST", "/.server/cancel", {"request_id": "r1"})
        self.assertEqual(unknown[1]["state"], "unknown")

    async def test_queued_request_is_executed_when_a_slot_is_free(self):
        begun = [self.begin("r1"), self.begin("r2")]
        await eventually(lambda: self.server.work.busy == 2)
        queued = asyncio.create_task(self.work("r3"))
        await eventually(lambda: self.server.work.queued)
        self.server.work.cancel("r1")
        self.assertEqual((await queued).code, 200)
        self.server.work.cancel("r2")
        await asyncio.gather(*begun)

    async def test_request_past_its_deadline_is_not_started(self):
        await self.assert_not_run("deadline", "r1", X_Timeout_Ms="0")
        begun = [self.begin("r2"), self.begin("r3")]
        await eventually(lambda: self.server.work.busy == 2)
        late = asyncio.create_task(self.work("r4", X_Timeout_Ms="30"))
        await eventually(lambda: self.server.work.queued)
        await asyncio.sleep(0.05)
        self.server.work.cancel("r2")
        self.server.work.cancel("r3")
        self.assertEqual((await late).headers["X-Not-Run"], "deadline")
        await asyncio.gather(*begun)

    async def test_cold_server_refuses_requests_beyond_its_cold_slots(self):
        await self.control("POST", "/fault", {"cold_s": 3600, "announce": True})
        self.assertTrue((await self.control("GET", "/.server/status"))[1]["cold"])
        running = self.begin("r1")
        await eventually(lambda: self.server.work.busy)
        await self.assert_not_run("cold", "r2")
        self.server.work.cancel("r1")
        await running
        cold = self.server.work.records.cold_starts[0]
        self.assertGreater(cold["refused_s"], cold["from_s"])
        await self.control("POST", "/fault", {"cold_s": 3600})
        self.assertFalse((await self.control("GET", "/.server/status"))[1]["cold"])
        self.assertTrue(self.server.work.cold.is_cold())

    async def test_draining_server_refuses_new_requests_and_finishes_others(self):
        running = asyncio.create_task(self.work("r1", {"X-Work-Ms": "100"}))
        await eventually(lambda: self.server.work.records.requests)
        await self.control("POST", "/fault", {"draining": True})
        await self.assert_not_run("draining", "r2")
        closing = asyncio.create_task(self.server.close())
        self.assertEqual((await running).code, 200)
        await closing

    async def test_reported_load_and_health_can_be_outdated_or_wrong(self):
        await self.control("POST", "/fault", {"load_lag_s": 3600})
        running = self.begin("r1")
        await eventually(lambda: self.server.work.busy)
        self.assertEqual((await self.control("GET", "/.server/load"))[1]["busy"], 0)
        await self.control("POST", "/fault", {"load_lag_s": 0, "reported_busy": 9})
        self.assertEqual((await self.control("GET", "/.server/load"))[1]["busy"], 9)
        self.assertEqual((await self.control("GET", "/.server/health"))[1]["health"], "ok")
        await self.control("POST", "/fault", {"reported_busy": -1, "reported_health": "bad"})
        self.assertEqual((await self.control("GET", "/.server/load"))[1]["busy"], 1)
        self.assertEqual((await self.control("GET", "/.server/health"))[1]["health"], "bad")
        self.server.work.cancel("r1")
        await running

    async def test_crossed_answers_are_swapped_between_callers(self):
        await self.control("POST", "/fault", {"crossed_answers": 1})
        answers = await asyncio.gather(self.work("r1"), self.work("r2"))
        self.assertEqual([answer.headers["X-Request-Id"] for answer in answers], ["r2", "r1"])
        self.assertEqual((await self.work("r3")).headers["X-Request-Id"], "r3")

    async def test_server_without_order_checks_executes_without_a_grant(self):
        self.server = await self.start(checks_orders=False)
        self.assertEqual((await self.grant())[0], 404)
        self.assertEqual((await self.work("r1", SLICE)).code, 200)

    async def test_answers_contain_the_execution_count_and_padding(self):
        await self.work("r1")
        answer = await self.work("r1", X_Answer_Bytes="1000")
        body = json.loads(answer.body)
        self.assertEqual((body["run"], body["value"], len(body["padding"])), (2, 2, 1000))

    async def test_malformed_calls_are_refused(self):
        for fault in ({"slow": 1}, {"slow_factor": "x"}, {"draining": 1}, {"cold_s": "x"}):
            self.assertEqual((await self.control("POST", "/fault", fault))[0], 400)
        self.assertEqual((await self.work("r1", X_Slice="x")).code, 400)
        self.assertEqual((await self.call("POST", "/.server/cancel", [1])).code, 400)

    async def test_journal_contains_all_records_despite_a_cut_last_line(self):
        with tempfile.TemporaryDirectory() as folder:
            journal = Path(folder) / "journal"
            self.server = await self.start(journal=str(journal), cold_s=0.01)
            await self.grant()
            await self.grant()
            await self.work("r1", SLICE)
            with journal.open("ab") as file:
                file.write(b'{"kind": "requ')
            rows = read_journal(journal)
            records = self.server.work.records.as_json()
        self.assertEqual(rows["request"], records["requests"])
        self.assertEqual(rows["grant"], records["grants"])
        self.assertEqual(rows["cold"], records["colds"])
        self.assertEqual(rows["start"], records["starts"])
