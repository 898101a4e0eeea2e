"""Runs a gateway host in front of one scripted backend server."""

from __future__ import annotations

import unittest

from greengagefall.bench.processes import free_addresses
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpAnswer, HttpRequest
from greengagefall.gateway.host import GatewayHost
from greengagefall.gateway.model import OperatorLimits, PlatformSettings, Service
from greengagefall.standins.platform_documents import caller_headers, routing, rule
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.waiting import wait_until

POOLED = Service("benchline", "/health", 100, 3.0, 5.0, False, 5.0)
SERVER_ID = "b0"
ZONE = "north-a"
BODY_LIMIT = 1_000_000
TIMEOUT_MS = 2000
START_S = 8.0


class OneServerGatewayTests(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that send requests to one server through a gateway host."""

    async def start_host(self, address: str) -> None:
        """Starts a store with the server at ``address`` and a host that dispatches it."""
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        entry = {
            "service": POOLED.name,
            "address": address,
            "zone": ZONE,
            "version": "v1",
            "maxConcurrency": 6,
            "state": "ready",
            "warmupLeftS": 0,
            "sequence": 1,
            "born": 1,
        }
        await self.store.put_json(f"servers/{SERVER_ID}", entry)
        rules = [rule("orders", "/orders/", POOLED.name, kind="unsafe", attempts=2)]
        await self.store.put_json("op/config", routing(7, rules=rules))
        settings = PlatformSettings(
            "edge-a",
            ZONE,
            *free_addresses(3),
            self.store.address,
            0.5,
            1.0,
            20.0,
            1.0,
            OperatorLimits(grace_period_s=4.0),
        )
        self.host = GatewayHost(settings, 0)
        await self.host.start()
        self.addAsyncCleanup(self.host.kill)
        view = self.host.view
        self.assertTrue(await wait_until(lambda: SERVER_ID in view.assignment.dispatchers, START_S))

    async def send(self, request_id: str, timeout_ms: int = TIMEOUT_MS) -> HttpAnswer:
        """Sends a request as a caller does; returns the host's answer."""
        pool = ConnectionPool(self.host.settings.caller_address, BODY_LIMIT)
        rows = caller_headers(request_id, timeout_ms, None)
        try:
            request = HttpRequest("POST", "/orders/1", rows, b"order")
            return await pool.exchange(request, 4.0, lambda: True)
        finally:
            pool.close()
