"""Tests of backend servers that send bytes without end, in a head or a body, until they are cut."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import tracemalloc
import unittest

from greengagefall.dispatch.answer_memory import AnswerMemory
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import AnswerLostError, AnswerTooLargeError

MEMORY_BYTES = 8_000_000
ANSWER_BYTES = 4_000_000
PIECE = b"x" * 65_536
ENDLESS_COUNT = 12
TIMEOUT_S = 20.0
REQUEST = HttpRequest("GET", "/", [], b"")
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
# Head, and what follows without end.
BODIES = {
    "chunked": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
    "to the close": (OK_HEAD + b"\r\n", PIECE),
    "of a large length": (OK_HEAD + b"Content-Length: 6000000\r\n\r\n", PIECE),
    "of a length beyond all limits": (OK_HEAD + b"Content-Length: 99999999999\r\n\r\n", PIECE),
}
HEADS = {
    "head": (OK_HEAD, b"X-Field: " + b"y" * 1000 + b"\r\n"),
    "one field": (OK_HEAD + b"X-Field: ", b"y" * 1000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "noise": (b"", b"\x00\xff" * 10_000),
    "status line": (b"", b"y" * 1000),
}


class EndlessServer:
    """Answers each request with a beginning and then the same piece without end."""

    def __init__(self, first: bytes, piece: bytes) -> None:
        self._first = first
        self._piece = piece
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._first)
            while True:
                writer.write(self._piece)
                await writer.drain()
        writer.close()


async def serve_ordinary(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Sends a complete answer slowly, in two parts."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(OK_HEAD + b"Content-Length: 4\r\n\r\nab")
    await asyncio.sleep(0.3)
    writer.write(b"cd")
    await writer.drain()
    writer.close()


class EndlessAnswerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.memory = AnswerMemory(MEMORY_BYTES)

    async def start_endless(self, first: bytes, piece: bytes) -> ConnectionPool:
        server = EndlessServer(first, piece)
        await server.start()
        self.addAsyncCleanup(server.close)
        return self.pool(server.address)

    def pool(self, address: str) -> ConnectionPool:
        pool = ConnectionPool(address, ANSWER_BYTES, memory=self.memory)
        self.addCleanup(pool.close)
        return pool

    async def read(self, pool: ConnectionPool) -> Exception | None:
        try:
            await pool.exchange(REQUEST, TIMEOUT_S, lambda: True)
        except AnswerLostError as error:
            return error
        return None

    async def test_bodies_without_end_use_no_more_memory_than_their_limit(self):
        # A host kept all that faulty servers sent and ran out of memory, with all other requests.
        for name, (first, piece) in BODIES.items():
            with self.subTest(body=name):
                pool = await self.start_endless(first, piece)
                tracemalloc.start()
                errors = await asyncio.gather(*(self.read(pool) for _ in range(ENDLESS_COUNT)))
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertTrue(all(isinstance(error, AnswerLostError) for error in errors))
                self.assertLess(peak_bytes, 2 * MEMORY_BYTES)
                self.assertEqual(self.memory.held_bytes, 0)

    async def test_heads_without_end_are_given_up_soon(self):
        for name, (first, piece) in HEADS.items():
            with self.subTest(head=name):
                pool = await self.start_endless(first, piece)
                tracemalloc.start()
                async with asyncio.timeout(TIMEOUT_S / 4):
                    errors = await asyncio.gather(*(self.read(pool) for _ in range(ENDLESS_COUNT)))
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertTrue(all(isinstance(error, AnswerLostError) for error in errors))
                self.assertLess(peak_bytes, 2 * MEMORY_BYTES)

    async def test_an_ordinary_answer_is_finished_beside_bodies_without_end(self):
        endless = await self.start_endless(*BODIES["to the close"])
        ordinary = await asyncio.start_server(serve_ordinary, "127.0.0.1", 0)
        self.addCleanup(ordinary.close)
        port = ordinary.sockets[0].getsockname()[1]
        answering = self.pool(f"127.0.0.1:{port}").exchange(REQUEST, TIMEOUT_S, lambda: True)
        reads = [self.read(endless) for _ in range(ENDLESS_COUNT)]
        answer, *errors = await asyncio.gather(answering, *reads)
        self.assertEqual(answer.body, b"abcd")
        self.assertTrue(all(isinstance(error, AnswerTooLargeError) for error in errors))


class HeldAnswer:
    """An unfinished answer that records whether it was given up."""

    def __init__(self) -> None:
        self.given_up = False

    def give_up(self) -> None:
        self.given_up = True


class AnswerMemoryTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_the_largest_answer_is_given_up(self):
        memory = AnswerMemory(100)
        small, large = HeldAnswer(), HeldAnswer()
        memory.add(large, 90)
        memory.add(small, 20)
        self.assertEqual((small.given_up, large.given_up), (False, True))
        self.assertEqual(memory.held_bytes, 20)

    def test_a_finished_answer_counts_no_more(self):
        memory = AnswerMemory(100)
        for _ in range(5):
            answer = HeldAnswer()
            memory.add(answer, 80)
            memory.remove(answer)
            self.assertFalse(answer.given_up)
        self.assertEqual(memory.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
