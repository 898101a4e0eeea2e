"""Tests that a short soak of real gateway processes passes and that its checks find violations."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest

from greengagefall.bench.gateway_fleet import GatewayFleet
from greengagefall.bench.gateway_soak import CallRecord, check_records, run_soak
from greengagefall.bench.tcp_proxy import TcpProxy
from greengagefall.ownership.model import KeyRange, ServerIncarnation
from greengagefall.platform.grants import grant_request
from greengagefall.standins.platform_server import (
    CUT_IN_HEAD,
    REFUSED_TWICE,
    PlatformServerStandIn,
)

SECONDS = 10.0
ORDER_DELAY_S = 1.5
ORDER_TIMEOUT_S = 0.5
ANSWERED = "HTTP/1.1 200"


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_soak_finds_nothing(self):
        result = await run_soak(3, SECONDS, show=lambda line: None)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.statuses[200], 100, dict(result.statuses))


class CheckTests(unittest.TestCase):
    def found(self, *records: CallRecord, executed: tuple[str, ...] = ()) -> list[str]:
        fleet = GatewayFleet(1, 1)
        fleet.servers["p0"].executed.extend(executed)
        return [violation.text for violation in check_records(fleet, list(records))]

    def test_correct_records_pass(self):
        answered = CallRecord("once-1", "once", 200, True)
        refused = CallRecord("once-2", "once", 503, True)
        unknown = CallRecord("once-3", "once", 502, True)
        executed_twice = CallRecord("safe-1", "safe", 200, True)
        executed = ("once-1", "once-3", "safe-1", "safe-1")
        self.assertEqual(
            self.found(answered, refused, unknown, executed_twice, executed=executed), []
        )

    def test_each_violation_is_found(self):
        for record, executed, text in (
            (CallRecord("once-1", "once", 502, True), ("once-1",) * 2, "was executed 2 times"),
            (CallRecord("once-1", "once", 503, True), ("once-1",), "got 503, but was executed"),
            (CallRecord("once-1", "once", 200, True), (), "got 200, but was not executed"),
            (CallRecord("safe-1", "safe", 200, False), ("safe-1",), "another request"),
            (CallRecord("safe-1", "safe", 200, True), ("safe-1", "x"), "no caller sent it"),
        ):
            with self.subTest(text=text):
                self.assertIn(text, " ".join(self.found(record, executed=executed)))

    def test_two_owners_are_found(self):
        fleet = GatewayFleet(1, 2)
        for name in ("p0", "p1"):
            server = fleet.servers[name]
            server.on_grant = fleet._check_owner
            server.grants[0, 9] = (1, float("inf"))
            server.on_grant(server, 0, 9)
        self.assertIn("p0 holds some of them by fence 1", fleet.violations[0].text)

    def found_after(self, *grants: tuple[str, int, int, int, float]) -> list[str]:
        """Returns what is found after grants: server, first and last key, fence, hold in s."""
        fleet = GatewayFleet(1, 2)
        for name, first, last, fence, hold_s in grants:
            server = fleet.servers[name]
            server.grants[first, last] = (fence, time.monotonic() + hold_s)
            fleet._check_owner(server, first, last)
            server.grants.clear()
            if name == "p1":
                server.restart()
        return [violation.text for violation in fleet.violations]

    def test_keys_taken_with_rising_fences_pass(self):
        renewed = ("p0", 0, 9, 1, 1.0)
        moved = ("p1", 5, 9, 2, 1.0)
        beside = ("p1", 10, 19, 1, 1.0)
        already_over = ("p0", 0, 9, 1, 0.0)
        self.assertEqual(self.found_after(renewed, renewed, beside, moved, already_over), [])

    def test_keys_taken_with_an_old_fence_are_found(self):
        for text, grants in (
            ("but p1 took some of them by 2", (("p1", 5, 9, 2, 1.0), ("p0", 0, 9, 1, 1.0))),
            ("but p1 took some of them by 2", (("p1", 5, 9, 2, 1.0), ("p0", 0, 9, 2, 1.0))),
            ("but p1 took some of them by 2", (("p1", 0, 9, 2, 1.0), ("p1", 0, 9, 2, 1.0))),
        ):
            with self.subTest(grants=grants):
                found = self.found_after(*grants)
                self.assertEqual(len(found), 1)
                self.assertIn(text, found[0])


class ServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PlatformServerStandIn("p0", "proofdesk", "north-a", keyed=True)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def grant(self, fence: int, delay_s: float) -> str:
        """Sends a grant of keys 0 to 9 for 10 s; returns the start of the answer, empty for none.

        An answer that is delayed is not waited for.
        """
        self.server.order_delay_s = lambda: delay_s
        key_range = KeyRange(0, 9, ServerIncarnation("p0", 1), fence)
        body = grant_request(key_range, 10.0, "").body
        host, _, port = self.server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        head = (
            f"POST /greengagefall/grant HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(ORDER_TIMEOUT_S if delay_s else None):
                return (await reader.read(len(ANSWERED))).decode()
        return ""

    async def test_a_delayed_grant_is_applied_without_an_answer_and_counts_from_its_arrival(self):
        arrived_s = time.monotonic()
        self.assertEqual(await self.grant(1, ORDER_DELAY_S), "")
        self.assertEqual(self.server.grants, {})
        await asyncio.sleep(ORDER_DELAY_S)
        self.assertLess(self.server.grants[0, 9][1], arrived_s + 10 + ORDER_DELAY_S)

    async def test_a_crashed_server_loses_what_it_has_received(self):
        self.server.crashed = True
        self.assertEqual(await self.grant(1, 0.0), "")
        self.server.crashed = False
        self.assertEqual(self.server.grants, {})

    async def request(self) -> bytes:
        """Sends a request and returns what the server sends, until it closes or sent two bodies."""
        self.server.grants[0, 9] = (1, float("inf"))
        host, _, port = self.server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        head = "GET /a HTTP/1.1\r\nHost: a\r\nRequest-Id: one\r\nShard-Key: 1\r\n"
        writer.write(f"{head}Expected-Instance: p0\r\n\r\n".encode())
        received = b""
        while received.count(b"{}") < 2 and (data := await reader.read(100)):
            received += data
        return received

    async def test_a_refusal_is_sent_twice_and_the_request_not_executed(self):
        self.server.spoil_answer = lambda: REFUSED_TWICE
        self.assertEqual((await self.request()).count(b"Request-Id: one"), 2)
        self.assertEqual(self.server.executed, [])

    async def test_an_executed_request_is_cut_off_in_the_head_of_its_answer(self):
        self.server.spoil_answer = lambda: CUT_IN_HEAD
        self.assertEqual(await self.request(), b"HTTP/1.1 200 OK\r\nRequest-")
        self.assertEqual(self.server.executed, ["one"])

    async def test_a_delayed_grant_does_not_follow_a_higher_fence_or_a_restart(self):
        await self.grant(1, ORDER_DELAY_S)
        self.assertEqual(await self.grant(2, 0.0), ANSWERED)
        await asyncio.sleep(ORDER_DELAY_S)
        self.assertEqual(self.server.grants[0, 9][0], 2)
        await self.grant(3, ORDER_DELAY_S)
        self.server.restart()
        await asyncio.sleep(ORDER_DELAY_S)
        self.assertEqual(self.server.grants, {})


class ProxyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.proxy = TcpProxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)
        host, _, port = self.proxy.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(self.writer.close)
        self.assertEqual(await self.echoed(), b"x")

    async def echoed(self) -> bytes:
        self.writer.write(b"x")
        async with asyncio.timeout(0.3):
            return await self.reader.read(10)

    async def test_drops_data_in_either_direction(self):
        for name in ("drops_to_target", "drops_from_target"):
            with self.subTest(name=name):
                setattr(self.proxy, name, True)
                with self.assertRaises(TimeoutError):
                    await self.echoed()
                self.proxy.clear_faults()
        self.assertEqual((await self.echoed())[:1], b"x")

    async def test_peer_sees_a_reset(self):
        self.proxy.reset()
        with self.assertRaises(ConnectionError):
            await self.echoed()


if __name__ == "__main__":
    unittest.main()
