"""Tests of kept connections against a server that answers badly."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import unittest

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import (
    AnswerLostError,
    AnswerMismatchError,
    AnswerTimeoutError,
    AnswerTooLargeError,
    DispatchError,
    NotSentError,
    SendRefusedError,
)

LIMIT_BYTES = 1000
TIMEOUT_S = 1.0
ASK = HttpRequest("GET", "/a", [["Request-Id", "one"]], b"")
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
# Closing with this option resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)


class Answer:
    """What a server writes to one request, and how it goes on."""

    def __init__(self, data: bytes, *, end: str = "", late: bytes = b"") -> None:
        self.data = data
        self.end = end
        self.late = late


class BadServer:
    """Answers requests with given bytes, one after the other."""

    def __init__(self, answers: list[Answer]) -> None:
        self._answers = answers
        self._server: asyncio.Server | None = None
        self.connections = 0
        self.requests: list[bytes] = []
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError
        ):
            while self._answers:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if not await self._answer(self._answers.pop(0), writer):
                    return
            await reader.read()

    async def _answer(self, answer: Answer, writer) -> bool:
        """Writes an answer; returns whether the connection goes on."""
        writer.write(answer.data)
        await writer.drain()
        if answer.end:
            await asyncio.sleep(0.05)
        if answer.end == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        if answer.end:
            writer.close()
            return False
        if answer.late:
            await asyncio.sleep(0.05)
            writer.write(answer.late)
        return True


class BadAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, *answers: Answer) -> ConnectionPool:
        self.server = BadServer(list(answers))
        address = await self.server.start()
        self.addAsyncCleanup(self.server.close)
        pool = ConnectionPool(address, LIMIT_BYTES)
        self.addCleanup(pool.close)
        return pool

    async def ask(self, pool: ConnectionPool, matches=None):
        return await pool.exchange(ASK, TIMEOUT_S, lambda: True, matches)

    async def assert_fails(self, error: type[DispatchError], *answers: Answer) -> None:
        pool = await self.serve(*answers)
        with self.assertRaises(error):
            await self.ask(pool)

    async def test_a_whole_answer_keeps_its_connection(self):
        pool = await self.serve(Answer(WHOLE), Answer(WHOLE))
        for _ in range(2):
            self.assertEqual((await self.ask(pool)).body, b"hello")
        self.assertEqual(self.server.connections, 1)

    async def test_an_answer_without_a_length_ends_with_its_connection(self):
        pool = await self.serve(Answer(b"HTTP/1.1 200 OK\r\n\r\nhello", end="close"))
        answer = await self.ask(pool)
        self.assertEqual((answer.status, answer.body), (200, b"hello"))

    async def test_an_answer_without_a_length_that_is_reset_is_not_whole(self):
        await self.assert_fails(AnswerLostError, Answer(b"HTTP/1.1 200 OK\r\n\r\nhel", end="reset"))

    async def test_an_answer_that_ends_early_is_not_whole(self):
        for data in (
            b"",
            b"HTTP/1.1 200 O",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        ):
            for end in ("close", "reset"):
                with self.subTest(data=data, end=end):
                    await self.assert_fails(AnswerLostError, Answer(data, end=end))

    async def test_bytes_that_are_no_answer_are_a_loss(self):
        for data in (b"\x00\x01\x02\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n", b"garbage\r\n\r\n"):
            with self.subTest(data=data):
                await self.assert_fails(AnswerLostError, Answer(data, end="close"))

    async def test_a_silent_server_is_given_up_at_the_deadline(self):
        await self.assert_fails(AnswerTimeoutError, Answer(b"HTTP/1.1 200 OK\r\n"))

    async def test_an_answer_over_the_limit_is_refused(self):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 1500\r\n\r\n" + b"x" * 1500
        await self.assert_fails(AnswerTooLargeError, Answer(data))

    async def test_bytes_behind_an_answer_reach_no_other_request(self):
        other = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
        for answer in (Answer(WHOLE + other), Answer(WHOLE, late=other)):
            with self.subTest(late=bool(answer.late)):
                pool = await self.serve(answer, Answer(WHOLE))
                self.assertEqual((await self.ask(pool)).body, b"hello")
                await asyncio.sleep(0.2)
                self.assertEqual((await self.ask(pool)).body, b"hello")

    async def test_the_answer_to_another_request_closes_the_connection(self):
        pool = await self.serve(Answer(WHOLE), Answer(WHOLE))
        with self.assertRaises(AnswerMismatchError):
            await self.ask(pool, lambda answer: False)
        await self.ask(pool)
        self.assertEqual(self.server.connections, 2)

    async def test_a_server_that_says_close_gets_a_new_connection(self):
        leaving = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
        pool = await self.serve(Answer(leaving), Answer(WHOLE))
        await self.ask(pool)
        await self.ask(pool)
        self.assertEqual(self.server.connections, 2)

    async def test_a_send_that_is_not_allowed_reaches_nobody(self):
        pool = await self.serve(Answer(WHOLE))
        with self.assertRaises(SendRefusedError):
            await pool.exchange(ASK, TIMEOUT_S, lambda: False)
        await asyncio.sleep(0.05)
        self.assertEqual(self.server.requests, [])

    async def test_a_port_without_a_listener_has_sent_nothing(self):
        pool = await self.serve()
        await self.server.close()
        with self.assertRaises(NotSentError):
            await self.ask(pool)


if __name__ == "__main__":
    unittest.main()
