"""Tests of API keys through a gateway process's HTTP interface, store and server connections."""

from __future__ import annotations

import asyncio
import io
import logging
from contextlib import closing

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.standins.platform_documents import caller_headers, routing, rule
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.tests.one_server_gateway import (
    BODY_LIMIT,
    POOLED,
    SERVER_ID,
    TIMEOUT_MS,
    ZONE,
    OneServerGatewayTests,
)
from greengagefall.utils import metrics
from greengagefall.utils.logs import setup_logging
from greengagefall.utils.waiting import wait_until

SECRET = "sk-7f3a91"
REVOKED_WITHIN_S = 2.5


class WorkspaceEndToEndTests(OneServerGatewayTests):
    async def asyncSetUp(self):
        self.capture_logs()
        self.server = PlatformServerStandIn(SERVER_ID, POOLED.name, ZONE, keyed=False)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        await self.start_host(self.server.address)
        self.pool = ConnectionPool(self.host.settings.caller_address, BODY_LIMIT)
        self.addCleanup(self.pool.close)

    def capture_logs(self):
        """Collects all log lines as a process writes them, of all levels and libraries."""
        root = logging.getLogger()
        package = logging.getLogger("greengagefall")
        self.addCleanup(setattr, root, "handlers", list(root.handlers))
        # Tests of greengagefallctl in the same process raise the level of the package.
        self.addCleanup(package.setLevel, package.level)
        package.setLevel(logging.NOTSET)
        self.addCleanup(root.setLevel, root.level)
        setup_logging("DEBUG")
        self.lines = io.StringIO()
        root.handlers[0].setStream(self.lines)

    async def apply(self, version: int, keys: list[str], **more) -> None:
        rules = [rule("orders", "/orders/", POOLED.name, kind="unsafe")]
        fields = routing(version, rules=rules)
        fields["tenants"] = [{"name": "acme", "apiKeys": keys, "priority": 0}]
        await self.store.put_json("op/config", {**fields, **more})
        view = self.host.view
        applied = await wait_until(lambda: view.routing_table.version == version, REVOKED_WITHIN_S)
        self.assertTrue(applied)

    async def status(self, request_id: str, *keys: str) -> int:
        """Sends a request over the connection of the former one; returns the answer's status."""
        rows = caller_headers(request_id, TIMEOUT_MS, None)
        rows += [["Api-Key", key] for key in keys] + [["Tenant-Id", "evil"]]
        request = HttpRequest("POST", "/orders/1", rows, b"order")
        return (await self.pool.exchange(request, 4.0, lambda: True)).status

    async def test_a_key_reaches_no_server_log_or_metric_and_ends_with_its_removal(self):
        await self.apply(8, [SECRET])
        self.assertEqual(await self.status("r-1", SECRET), 200)
        self.assertEqual(await self.status("r-2"), 401)
        self.assertEqual(await self.status("r-3", SECRET, SECRET), 401)
        await self.apply(9, [], limits=[{"apiKeys": [SECRET]}], listeners_old=SECRET)
        # The connection stays open; what counts is the request.
        self.assertEqual(await self.status("r-4", SECRET), 401)
        await self.send_malformed_key()
        self.assertEqual(self.server.executed, ["r-1"])
        [headers] = self.server.received_headers
        self.assertEqual([value for name, value in headers if name == "Tenant-Id"], ["acme"])
        self.assertNotIn(SECRET, str(headers))
        self.assertIn("unknown_api_key", self.lines.getvalue())
        self.assertNotIn(SECRET, self.lines.getvalue() + metrics.render_text())

    async def send_malformed_key(self) -> None:
        """Sends a header that the HTTP library refuses, and whose value it would log."""
        host, _, port = self.host.settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with closing(writer):
            writer.write(f"GET / HTTP/1.1\r\nHost: h\r\nApi-Key: {SECRET}\x01\r\n\r\n".encode())
            self.assertIn(b"400", await asyncio.wait_for(reader.readline(), 2.0))
        self.assertIn("Malformed HTTP message", self.lines.getvalue())
