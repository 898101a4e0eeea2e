"""Tests of how callers' requests are read and refused, on real sockets with a router of the test.

What the account and the register decide is tested without a network in ``memory_*_tests``.
"""

from __future__ import annotations

import asyncio
import json
import logging
import unittest

from tornado.iostream import IOStream

from greengagefall.bench.processes import free_addresses
from greengagefall.gateway.caller_http import CallerServer
from greengagefall.gateway.caller_streams import CallerStream
from greengagefall.gateway.router import Answer
from greengagefall.memory.client_limits import ClientLimits
from greengagefall.memory.host_memory import open_host_memory
from greengagefall.tests import crowd_clients as clients
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.waiting import wait_until

MEMORY_BYTES = 100_000_000
DESCRIPTORS = 400
MAX_BODY_BYTES = 10_000_000
MAX_HEADER_BYTES = 16_384
LIMITS = ClientLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, 1.0, 0.5)
TIMEOUT_S = 10.0
FORM = "Content-Type: application/x-www-form-urlencoded"


class RecordingRouter:
    """Answers every request after a while, and records its body."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.work_s = 0.0
        self.answer_bytes = 2

    async def route(self, request) -> Answer:
        """Returns the answer."""
        self.bodies.append(request.body)
        await asyncio.sleep(self.work_s)
        return Answer(200, [], bytes(self.answer_bytes))


async def read_status_and_body(sock) -> tuple[int, bytes]:
    """Returns the status and the body of an answer."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += await clients.read(sock)
    fields, _, body = received.partition(b"\r\n\r\n")
    length = next(line for line in fields.split(b"\r\n") if line.startswith(b"Content-Length"))
    while len(body) < int(length.partition(b":")[2]):
        body += await clients.read(sock)
    return int(fields.split()[1]), body


class CallerMemoryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.limits = LIMITS
        clock = SystemClock()
        self.memory = open_host_memory(MEMORY_BYTES, DESCRIPTORS, clock)
        self.router = RecordingRouter()
        self.address = free_addresses(1)[0]
        self.server = CallerServer(
            self.address, self.router, clock, self.memory, lambda: self.limits
        )
        self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def exchange(self, head: bytes, body: bytes = b"") -> tuple[int, bytes]:
        async with asyncio.timeout(TIMEOUT_S), clients.connection(self.address) as sock:
            await clients.send(sock, head)
            await clients.send(sock, body)
            return await read_status_and_body(sock)

    def post(self, size_bytes: int, *fields: str) -> bytes:
        return clients.head("POST", "/orders/1", f"Content-Length: {size_bytes}", *fields)

    def check_refusal(self, answer, status, reason):
        self.assertEqual(answer[0], status)
        self.assertEqual(json.loads(answer[1]), {"reason": reason, "not_run": True})
        self.assertEqual(self.router.bodies, [])

    async def test_a_body_arrives_as_it_was_sent_and_its_memory_is_given_back(self):
        # Guards against parts that are lost or kept while a body is read piece by piece.
        body = bytes(range(256)) * 12_000
        for head, sent in (
            (self.post(len(body), FORM), body),
            (
                clients.head("POST", "/orders/1", "Transfer-Encoding: chunked"),
                b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
            ),
        ):
            self.assertEqual((await self.exchange(head, sent))[0], 200)
            self.assertEqual(self.router.bodies.pop(), body)
        freed = await wait_until(lambda: not self.held_bytes(), TIMEOUT_S)
        self.assertTrue(freed, self.memory.account.parts_bytes)

    def held_bytes(self):
        parts = self.memory.account.parts_bytes
        return parts["bodies"] + parts["answers"]

    async def test_a_body_over_the_limit_is_refused_with_413(self):
        # Guards against a connection that is closed without an answer.
        answer = await self.exchange(self.post(MAX_BODY_BYTES + 1), bytes(100_000))
        self.check_refusal(answer, 413, "body_too_large")

    async def test_a_header_block_over_the_limit_is_refused_with_431(self):
        # Guards against a connection that is closed without an answer.
        field = "X-Field: " + "y" * MAX_HEADER_BYTES
        answer = await self.exchange(clients.head("GET", "/orders/1", field))
        self.check_refusal(answer, 431, "headers_too_large")

    async def test_a_body_without_room_is_refused_with_503_that_reaches_the_client(self):
        # Guards against a reset that overtakes the answer while the client still sends.
        account = self.memory.account
        self.assertTrue(account.reserve("bodies", account.limit_bytes("bodies")))
        answer = await self.exchange(self.post(3_000_000), bytes(3_000_000))
        self.check_refusal(answer, 503, "memory_full")

    async def test_a_body_waits_for_room_that_becomes_free(self):
        # Guards against refusals in the moment before another client's memory is free.
        account = self.memory.account
        size_bytes = account.limit_bytes("bodies")
        self.assertTrue(account.reserve("bodies", size_bytes))
        asyncio.get_running_loop().call_later(0.5, account.release, "bodies", size_bytes)
        answer = await self.exchange(self.post(3_000_000), bytes(3_000_000))
        self.assertEqual(answer[0], 200)

    async def test_an_answer_without_room_is_reported_as_executed(self):
        # Guards against a refusal that claims that an executed request was not run.
        account = self.memory.account
        self.assertTrue(account.reserve("answers", account.limit_bytes("answers")))
        self.router.answer_bytes = 1_000_000
        status, body = await self.exchange(clients.head("GET", "/orders/1"))
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(body), {"reason": "answer_dropped", "not_run": False})

    async def test_an_answer_waits_for_room_that_becomes_free(self):
        # Guards against losing the answer of an executed request that others make room for.
        account = self.memory.account
        size_bytes = account.limit_bytes("answers")
        self.assertTrue(account.reserve("answers", size_bytes))
        asyncio.get_running_loop().call_later(0.5, account.release, "answers", size_bytes)
        self.router.answer_bytes = 1_000_000
        status, body = await self.exchange(clients.head("GET", "/orders/1"))
        self.assertEqual((status, len(body)), (200, 1_000_000))
        self.assertEqual(account.parts_bytes["server_answers"], 0)

    async def test_idle_and_half_read_connections_are_closed_in_their_time(self):
        # Guards against connections that stay open for good.
        for first in (b"", clients.head("GET", "/orders/1")[:30]):
            async with asyncio.timeout(TIMEOUT_S), clients.connection(self.address) as sock:
                await clients.send(sock, first)
                with self.assertRaises(ConnectionError):
                    await clients.read(sock)

    async def test_a_connection_is_used_again_after_four_fifths_of_the_idle_timeout(self):
        # Guards against cutting a well-behaved client, also by a newer, shorter timeout.
        async with asyncio.timeout(TIMEOUT_S), clients.connection(self.address) as sock:
            for _ in range(3):
                await clients.send(sock, clients.head("GET", "/orders/1"))
                self.assertEqual((await read_status_and_body(sock))[0], 200)
                self.limits = LIMITS._replace(idle_timeout_s=0.1)
                await asyncio.sleep(0.8 * LIMITS.idle_timeout_s)

    async def test_a_request_that_waits_longer_than_the_idle_timeout_is_answered(self):
        # Guards against counting the time of execution as idle.
        self.router.work_s = 2 * LIMITS.idle_timeout_s
        self.assertEqual((await self.exchange(clients.head("GET", "/orders/1")))[0], 200)

    async def test_the_end_of_a_header_block_is_found_in_whatever_pieces_it_comes(self):
        # Guards against the search for the end that replaces Tornado's for callers.
        self.assertTrue(hasattr(IOStream, CallerStream._find_read_pos.__name__))
        for line_end in (b"\r\n", b"\n"):
            head = clients.head("GET", "/orders/1").replace(b"\r\n", line_end)
            for cut in range(len(head) - 5, len(head)):
                async with asyncio.timeout(TIMEOUT_S), clients.connection(self.address) as sock:
                    await clients.send(sock, head[:cut])
                    await asyncio.sleep(0.02)
                    await clients.send(sock, head[cut:])
                    self.assertEqual((await read_status_and_body(sock))[0], 200)

    async def test_pipelined_requests_are_all_answered(self):
        # Guards against requests that are lost while the answer before them is written.
        self.router.answer_bytes = 500_000
        async with asyncio.timeout(TIMEOUT_S), clients.connection(self.address) as sock:
            await clients.send(sock, self.post(100_000) + bytes(100_000) + self.post(3) + b"abc")
            for _ in range(2):
                await clients.read_answer(sock)
        self.assertEqual([len(body) for body in self.router.bodies], [100_000, 3])


if __name__ == "__main__":
    unittest.main()
