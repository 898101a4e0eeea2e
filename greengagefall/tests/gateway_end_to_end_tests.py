"""Tests of several gateway hosts against stand-ins of the platform's store and servers."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.bench.processes import free_addresses
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpAnswer, HttpRequest
from greengagefall.gateway.host import GatewayHost
from greengagefall.gateway.model import OperatorLimits, PlatformSettings
from greengagefall.standins.platform_documents import caller_headers, routing, rule
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.waiting import wait_until

ZONES = ("north-a", "north-b")
START_S = 8.0
TIMEOUT_MS = 2000
BODY_LIMIT = 1_000_000
LIMITS = OperatorLimits(grace_period_s=4.0)


class GatewayEndToEndTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.servers = [
            PlatformServerStandIn(f"p{number}", "proofdesk", ZONES[number % 2], keyed=True)
            for number in range(3)
        ]
        self.servers.append(PlatformServerStandIn("b0", "benchline", ZONES[0], keyed=False))
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
            await self.store.put_json(f"servers/{server.server_id}", server.entry())
        await self.store.put_json("servers/odd", {"service": "proofdesk", "state": "asleep"})
        await self.store.put("servers/torn", b"\xff{")
        await self.store.put_json("op/config", routing(7))
        self.hosts = [self.make_host(f"edge-{zone}", zone) for zone in ZONES]
        for host in self.hosts:
            await host.start()
            self.addAsyncCleanup(self.kill, host)
        self.assertTrue(await wait_until(self.all_granted, START_S))

    def make_host(self, name, zone):
        settings = PlatformSettings(
            name,
            zone,
            *free_addresses(3),
            self.store.address,
            0.5,
            1.0,
            20.0,
            1.0,
            LIMITS,
        )
        return GatewayHost(settings, 0)

    async def kill(self, host):
        """Stops a host at once without notifying the others."""
        await host.kill()

    def all_granted(self):
        owners = [server for server in self.servers if server.keyed]
        held = sum(
            last - first + 1
            for server in owners
            for (first, last) in server.grants
            if server.holds(first)
        )
        return held == 65_536

    async def send_request(
        self, path, key=None, method="GET", host=0, body=b"", request_id="r-1"
    ) -> HttpAnswer:
        settings = self.hosts[host].settings
        pool = ConnectionPool(settings.caller_address, BODY_LIMIT)
        rows = caller_headers(request_id, TIMEOUT_MS, key)
        try:
            request = HttpRequest(method, path, rows, body)
            return await pool.exchange(request, 4.0, lambda: True)
        finally:
            pool.close()

    def owner_of(self, key):
        owners = [server for server in self.servers if server.keyed and server.holds(key)]
        self.assertEqual(len(owners), 1)
        return owners[0]

    async def test_every_host_serves_every_key_and_returns_the_full_answer(self):
        for host in range(len(self.hosts)):
            for key in (0, 30_000, 65_535):
                answer = await self.send_request(f"/drafts/{key}?a=b", key, host=host)
                owner = self.owner_of(key)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body.decode(), f"{owner.server_id}:/drafts/{key}?a=b")
                self.assertEqual(answer.headers["Upstream-Signature"], "signed.r-1")
                self.assertEqual(answer.headers["Request-Id"], "r-1")

    async def test_a_pooled_service_needs_no_key(self):
        answer = await self.send_request("/orders/1", method="POST", body=b"x" * 5000)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.servers[3].executed, ["r-1"])

    async def test_unknown_route_and_missing_key_have_different_statuses(self):
        self.assertEqual((await self.send_request("/nowhere/1", 5)).status, 404)
        self.assertEqual((await self.send_request("/drafts/1")).status, 400)

    async def test_a_removed_route_is_refused_and_an_older_version_changes_nothing(self):
        rules = [rule("drafts", "/drafts/", "proofdesk", kind="safe")]
        await self.store.put_json("op/config", routing(9, rules=rules))
        versions = [host.view for host in self.hosts]
        await wait_until(lambda: all(view.routing_table.version == 9 for view in versions), 3.0)
        self.assertEqual((await self.send_request("/orders/1", method="POST")).status, 404)
        await self.store.put_json("op/config", routing(8))
        await asyncio.sleep(0.5)
        self.assertEqual((await self.send_request("/orders/1", method="POST")).status, 404)

    async def test_keys_of_a_draining_server_move_with_a_handover_token(self):
        draining = self.servers[0]
        await self.store.put_json("servers/p0", draining.entry(state="draining"))
        self.assertTrue(await wait_until(lambda: not draining.grants, 3.0))
        self.assertTrue(await wait_until(self.all_granted, 3.0))
        tokens = [token for server in self.servers for token in server.handover_tokens]
        self.assertTrue(any(token.startswith("p0-") for token in tokens))
        self.assertEqual((await self.send_request("/drafts/1", 1)).status, 200)

    async def test_keys_of_a_lost_server_are_granted_to_others(self):
        lost = self.servers[0]
        await lost.close()
        await self.store.delete("servers/p0")
        others = self.servers[1:3]

        def taken_over():
            return (
                sum(
                    last - first + 1
                    for server in others
                    for (first, last) in server.grants
                    if server.holds(first)
                )
                == 65_536
            )

        self.assertTrue(await wait_until(taken_over, 8.0))
        self.assertEqual((await self.send_request("/drafts/1", 1)).status, 200)

    async def test_new_incarnation_with_the_same_id_gets_a_higher_fence(self):
        server = self.servers[1]
        before = max(fence for fence, _ in server.grants.values())
        server.restart()
        await self.store.put_json("servers/p1", server.entry())
        self.assertTrue(await wait_until(self.all_granted, 5.0))
        fences = [fence for fence, _ in server.grants.values()]
        self.assertTrue(all(fence > before for fence in fences))

    async def test_grants_are_renewed_while_the_store_is_unreachable(self):
        self.store.refuse = 503
        await asyncio.sleep(4.0)
        self.assertTrue(self.all_granted())
        self.assertEqual((await self.send_request("/drafts/1", 1)).status, 200)
        self.store.refuse = 0

    async def test_a_lost_host_is_replaced_as_dispatcher_and_coordinator(self):
        names = [host.host_incarnation.host for host in self.hosts]
        coordinator = self.hosts[0].view.coordinator
        index = names.index(coordinator.host)
        await self.hosts[index].kill()
        other = self.hosts[1 - index]
        self.assertTrue(
            await wait_until(lambda: other.view.coordinator == other.host_incarnation, 6.0)
        )
        self.assertTrue(await wait_until(self.all_granted, 14.0))
        answer = await self.send_request("/drafts/1", 1, host=1 - index)
        self.assertEqual(answer.status, 200)

    async def test_answer_to_another_request_is_not_passed_on(self):
        self.owner_of(9).wrong_answers = 1
        answer = await self.send_request("/approvals/9", 9, method="POST")
        self.assertEqual(answer.status, 502)

    async def test_lost_grants_are_sent_again(self):
        for server in self.servers[:3]:
            server.swallow_grants = 2
        for _ in range(30):
            await asyncio.sleep(0.1)
            self.assertTrue(self.all_granted())

    async def test_a_grant_whose_connection_was_reset_is_sent_again_in_time(self):
        for server in self.servers[:3]:
            server.reset_grants = 1
        for _ in range(30):
            await asyncio.sleep(0.1)
            self.assertTrue(self.all_granted())

    async def test_graceful_stop_finishes_requests(self):
        for server in self.servers:
            server.work_s = 0.5
        running = [
            asyncio.create_task(
                self.send_request(f"/drafts/{key}", key, request_id=f"r-{key}", host=key % 2)
            )
            for key in range(8)
        ]
        await asyncio.sleep(0.2)
        await self.hosts[0].close()
        answers = await asyncio.gather(*running)
        self.assertEqual([answer.status for answer in answers], [200] * 8)
