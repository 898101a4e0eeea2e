"""Tests of quotas with two gateway hosts that exchange real messages."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.quotas import arithmetic
from greengagefall.standins.platform_documents import caller_headers
from greengagefall.tests import gateway_end_to_end_tests as gateway
from greengagefall.utils.waiting import wait_until
from greengagefall.workspaces.directory import Workspace, WorkspaceDirectory

# The tolerance covers the two hosts' share and what is left of the burst.
WORKSPACE = Workspace("w", rate_per_s=4.0, burst=3.0)
API_KEY = "key"
ROLE_S = 12.0
REQUESTS = 60


class QuotaEndToEndTests(unittest.IsolatedAsyncioTestCase):
    asyncSetUp = gateway.GatewayEndToEndTests.asyncSetUp
    make_host = gateway.GatewayEndToEndTests.make_host
    kill = gateway.GatewayEndToEndTests.kill
    all_granted = gateway.GatewayEndToEndTests.all_granted

    async def send_request(self, path, host, request_id):
        pool = ConnectionPool(self.hosts[host].settings.caller_address, gateway.BODY_LIMIT)
        rows = [*caller_headers(request_id, gateway.TIMEOUT_MS, None), ["Api-Key", API_KEY]]
        try:
            request = HttpRequest("POST", path, rows, b"")
            return await pool.exchange(request, 4.0, lambda: True)
        finally:
            pool.close()

    async def limit(self):
        for host in self.hosts:
            table = host.view.routing_table
            workspaces = WorkspaceDirectory([WORKSPACE], {API_KEY: WORKSPACE.name}, required=True)
            host.view.update_routing_table(
                table._replace(version=table.version + 1, workspaces=workspaces)
            )

    async def test_requests_of_both_hosts_count_together(self):
        """Guards against parts that work alone but are not connected, and a count on each host."""
        await self.limit()
        limiters = [host._quotas.limiters for host in self.hosts]
        self.assertTrue(await wait_until(lambda: all(known() for known in limiters), ROLE_S))
        self.assertEqual(limiters[0](), limiters[1]())
        await asyncio.sleep(1.0)
        sending = [
            self.send_request("/orders/1", number % 2, f"r-{number}") for number in range(REQUESTS)
        ]
        statuses = Counter(answer.status for answer in await asyncio.gather(*sending))
        self.assertGreater(statuses[200], 0)
        self.assertGreater(statuses[429], 0)
        self.assertEqual(len(self.servers[3].executed), statuses[200])
        bound = arithmetic.bound(WORKSPACE, gateway.LIMITS)
        self.assertLessEqual(statuses[200], bound)

    async def test_planned_stop_hands_the_role_over(self):
        """Guards against a stop after which no host counts until the lease ends."""
        await self.limit()
        known = self.hosts[0]._quotas.limiters
        self.assertTrue(await wait_until(lambda: bool(known()), ROLE_S))
        stopped = next(host for host in self.hosts if host.settings.host == known()["w"])
        (other,) = [host for host in self.hosts if host is not stopped]
        await stopped.close()
        own = {"w": other.settings.host}
        self.assertTrue(await wait_until(lambda: other._quotas.limiters() == own, ROLE_S))
        await asyncio.sleep(1.0)
        decision = await other._quotas.gate.take(WORKSPACE, 1.0)
        self.assertEqual((decision.granted, decision.source), (True, "limiter"))
