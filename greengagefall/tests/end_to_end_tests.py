"""The whole path as processes on loopback."""

from __future__ import annotations

import asyncio
import json
import unittest

from greengagefall.bench.caller import ANSWER_BYTES
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
ID = ["X-Request-Id", "relayed"]


class EndToEndTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(SPEC)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def ask(self, host, path, request_id, method="GET", headers=()):
        pool = ConnectionPool(self.fleet.entries[host].http, ANSWER_BYTES)
        rows = [["X-Request-Id", request_id], *headers]
        try:
            return await pool.exchange(
                HttpRequest(method, path, rows, b""), TIMEOUT_S, lambda: True
            )
        finally:
            pool.close()

    async def answered(self, host, path, request_id, method="GET"):
        """Repeats a request until it is answered, as a caller told "not run" may."""
        while True:
            answer = await self.ask(host, path, request_id, method)
            body = json.loads(answer.body)
            if answer.status == 200:
                return body
            self.assertTrue(body["not_run"], body)
            await asyncio.sleep(0.1)

    async def test_path_through_losses(self):
        for host in self.fleet.entries:
            body = await self.answered(host, "/proofdesk/order-7/item", f"keyed-{host}")
            self.assertEqual(body["request_id"], f"keyed-{host}")
            await self.answered(host, "/benchline/item", f"pooled-{host}")
        await self._same_id_runs_once()
        await self._bad_requests_are_refused()
        await self._restart_without_store()
        self.assertEqual(self.fleet.processes.stop(f"entry-{HOST}"), 0)
        other = next(host for host in self.fleet.entries if host != HOST)
        await self.answered(other, "/proofdesk/order-7/item", "after-stop")
        statuses = await self.fleet.statuses()
        self.assertEqual([one["violations"] for one in statuses.values() if one], [{}, {}])

    async def _same_id_runs_once(self):
        first = await self.answered(HOST, "/proofdesk/order-8/item", "once", "POST")
        again = await self.answered(HOST, "/proofdesk/order-8/item", "once", "POST")
        self.assertEqual(first, again)

    async def _bad_requests_are_refused(self):
        refused = await self.ask(HOST, "/nowhere/k", "r1")
        self.assertEqual(refused.status, 404)
        self.assertEqual(json.loads(refused.body)["reason"], "unknown_back_end")
        await self._truncated_body_is_dropped()
        refused = await self.ask(HOST, "/benchline/", "r3", headers=[["X-Long", "y" * 20_000]])
        self.assertEqual(json.loads(refused.body)["reason"], "headers_too_large")
        refused = await self.ask(HOST, "/benchline/", "r2", headers=[["X-Timeout-Ms", "never"]])
        self.assertEqual(json.loads(refused.body)["reason"], "bad_timeout")

    async def _truncated_body_is_dropped(self):
        host, _, port = self.fleet.entries[HOST].http.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /benchline/item HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def _restart_without_store(self):
        """A host that starts while the store is down learns everything from its peers."""
        self.fleet.processes.kill(STORE)
        self.fleet.processes.kill(f"entry-{HOST}")
        self.fleet.processes.restart(f"entry-{HOST}")
        await self.fleet.wait_ready()
        await self.answered(HOST, "/proofdesk/order-7/item", "without-store")


class RelayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(FleetSpec(ZONES, 1, (BackEndSpec("proofdesk", "keyed", 1, 6, 1.0),)))
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def test_a_third_zone_relays_between_two_that_are_cut(self):
        near, far = (f"{zone}-entry-1" for zone in ZONES[:2])
        address = self.fleet.entries[near].http
        cut = {"cut_to": [far], "cut_from": [far]}
        await self.fleet.post_json(address, "/.greengagefall/faults", cut)
        pool = ConnectionPool(address, ANSWER_BYTES)
        self.addCleanup(pool.close)
        reached = set()
        for number in range(200):
            request = HttpRequest("GET", f"/proofdesk/k{number}/item", [ID], b"")
            answer = await pool.exchange(request, TIMEOUT_S, lambda: True)
            if answer.status == 200:
                reached.add(json.loads(answer.body)["server"])
        self.assertEqual(reached, {f"proofdesk-{zone}-1" for zone in ZONES})


if __name__ == "__main__":
    unittest.main()
