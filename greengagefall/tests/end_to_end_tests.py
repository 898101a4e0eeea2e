"""Tests requests through entry hosts, servers and the store as processes on loopback."""

from __future__ import annotations

import asyncio
import json
import unittest

from greengagefall.bench.caller import MAX_ANSWER_BYTES
from greengagefall.bench.fleet import STORE, BackEndSpec, Fleet, FleetSpec
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest

SPEC = FleetSpec(
    ("zone-a",),
    3,
    (
        BackEndSpec("proofdesk", "keyed", 2, 6, 1.0, slices=64),
        BackEndSpec("benchline", "pooled", 1, 6, 1.0),
    ),
)
TIMEOUT_S = 5.0
HOST = "zone-a-entry-1"
ZONES = ("zone-a", "zone-b", "zone-c")
REQUEST_ID_HEADER = ["X-Request-Id", "relayed"]


class EndToEndTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(SPEC)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def ask(self, host, path, request_id, method="GET", headers=()):
        pool = ConnectionPool(self.fleet.entries[host].http, MAX_ANSWER_BYTES)
        rows = [["X-Request-Id", request_id], *headers]
        try:
            return await pool.exchange(
                HttpRequest(method, path, rows, b""), TIMEOUT_S, lambda: True
            )
        finally:
            pool.close()

    async def ask_until_answered(self, host, path, request_id, method="GET"):
        """Repeats a request until it is answered.

        A caller may do so, because each refusal says that the request was not executed.
        """
        while True:
            answer = await self.ask(host, path, request_id, method)
            body = json.loads(answer.body)
            if answer.status == 200:
                return body
            self.assertTrue(body["not_run"], body)
            await asyncio.sleep(0.1)

    async def test_requests_during_failures_and_restarts(self):
        for host in self.fleet.entries:
            body = await self.ask_until_answered(host, "/proofdesk/order-7/item", f"keyed-{host}")
            self.assertEqual(body["request_id"], f"keyed-{host}")
            await self.ask_until_answered(host, "/benchline/item", f"pooled-{host}")
        await self._check_same_id_is_executed_once()
        await self._check_invalid_requests_are_refused()
        await self._restart_host_without_store()
        self.assertEqual(self.fleet.processes.stop(f"entry-{HOST}"), 0)
        other = next(host for host in self.fleet.entries if host != HOST)
        await self.ask_until_answered(other, "/proofdesk/order-7/item", "after-stop")
        statuses = await self.fleet.statuses()
        self.assertEqual([one["violations"] for one in statuses.values() if one], [{}, {}])

    async def _check_same_id_is_executed_once(self):
        first_answer = await self.ask_until_answered(
            HOST, "/proofdesk/order-8/item", "once", "POST"
        )
        second_answer = await self.ask_until_answered(
            HOST, "/proofdesk/order-8/item", "once", "POST"
        )
        self.assertEqual(first_answer, second_answer)

    async def _check_invalid_requests_are_refused(self):
        refused = await self.ask(HOST, "/nowhere/k", "r1")
        self.assertEqual(refused.status, 404)
        self.assertEqual(json.loads(refused.body)["reason"], "unknown_back_end")
        await self._send_truncated_body()
        refused = await self.ask(HOST, "/benchline/", "r3", headers=[["X-Long", "y" * 20_000]])
        self.assertEqual(json.loads(refused.body)["reason"], "headers_too_large")
        refused = await self.ask(HOST, "/benchline/", "r2", headers=[["X-Timeout-Ms", "never"]])
        self.assertEqual(json.loads(refused.body)["reason"], "bad_timeout")

    async def _send_truncated_body(self):
        host, _, port = self.fleet.entries[HOST].http.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /benchline/item HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def _restart_host_without_store(self):
        """Checks that a host which starts while the store is down gets its documents from peers."""
        self.fleet.processes.kill(STORE)
        self.fleet.processes.kill(f"entry-{HOST}")
        self.fleet.processes.restart(f"entry-{HOST}")
        await self.fleet.wait_ready()
        await self.ask_until_answered(HOST, "/proofdesk/order-7/item", "without-store")


class RelayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(FleetSpec(ZONES, 1, (BackEndSpec("proofdesk", "keyed", 1, 6, 1.0),)))
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def test_third_zone_relays_between_two_disconnected_zones(self):
        caller_host, cut_host = (f"{zone}-entry-1" for zone in ZONES[:2])
        address = self.fleet.entries[caller_host].http
        cut = {"cut_to": [cut_host], "cut_from": [cut_host]}
        await self.fleet.post_json(address, "/.greengagefall/faults", cut)
        pool = ConnectionPool(address, MAX_ANSWER_BYTES)
        self.addCleanup(pool.close)
        reached_servers = set()
        for number in range(200):
            request = HttpRequest("GET", f"/proofdesk/k{number}/item", [REQUEST_ID_HEADER], b"")
            answer = await pool.exchange(request, TIMEOUT_S, lambda: True)
            if answer.status == 200:
                reached_servers.add(json.loads(answer.body)["server"])
        self.assertEqual(reached_servers, {f"proofdesk-{zone}-1" for zone in ZONES})


if __name__ == "__main__":
    unittest.main()
