"""Tests of earlier answers that a server repeats where a grant's or release's is due."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import DispatchError
from greengagefall.gateway.grants import GrantManager
from greengagefall.gateway.server_health import ServerHealth
from greengagefall.ownership.model import KeyRange, ServerIncarnation
from greengagefall.tests.connection_server import ConnectionServer
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.waiting import wait_until

INCARNATION = ServerIncarnation("s1", 1)
BODY_LIMIT = 1_000_000
WORK_S = 0.2
REQUEST = HttpRequest("POST", "/orders/1", [["Request-Id", "r-1"]], b"", "r-1")
GRANTED_KEYS = KeyRange(0, 9, INCARNATION, 1)
OTHER_KEYS = (100, 199, 4)
RELEASED_KEYS = (200, 299, 4)


class RepeatingGrantServer(ConnectionServer):
    """Repeats the last answer of each connection when the next call arrives on it.

    Attributes:
        granted: Number of grants that it applied; it applies none at which it repeats an answer.
        working: Number of releases whose keys still have work in progress.
        refuses: Whether it refuses requests of callers.
    """

    def __init__(self) -> None:
        super().__init__()
        self.granted = 0
        self.working = 0
        self.refuses = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        repeated = b""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = head.partition("Content-Length: ")[2].partition("\r\n")[0] or 0
            await reader.readexactly(int(length))
            writer.write(repeated)
            repeated = await self._answer(head, repeats=bool(repeated))
            writer.write(repeated)

    async def _answer(self, head: str, *, repeats: bool) -> bytes:
        if "/grant" in head:
            self.granted += not repeats
            return _answer_bytes("200 OK")
        if "/release" in head:
            self.working += 1
            await asyncio.sleep(WORK_S)
            self.working -= 1
            return _answer_bytes("200 OK", "Handover: token\r\n")
        if self.refuses:
            return _answer_bytes("503 Service Unavailable", "Not-Executed: 1\r\n")
        return _answer_bytes("200 OK", "Request-Id: r-1\r\nUpstream-Signature: signed\r\n")


def _answer_bytes(status: str, fields: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: 2\r\n\r\n{{}}".encode()


class RepeatedAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def start(self) -> None:
        self.server = RepeatingGrantServer()
        address = await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.pool = ConnectionPool(address, BODY_LIMIT)
        self.addCleanup(self.pool.close)
        clock = SystemClock()
        self.manager = GrantManager(INCARNATION, self.pool, ServerHealth(clock), clock)
        self.addCleanup(self.manager.close)

    async def request(self) -> None:
        with contextlib.suppress(DispatchError):
            await self.pool.exchange(REQUEST, 1.0, lambda: True)

    async def refused_request(self) -> None:
        self.server.refuses = True
        await self.request()
        self.server.refuses = False

    async def grant(self) -> None:
        self.manager.set_key_ranges([GRANTED_KEYS])
        self.assertTrue(await self.manager.grant(0, 9, 1, ""))

    async def other_release(self) -> None:
        self.assertTrue((await self.manager.release(*OTHER_KEYS)).released)

    async def test_repeated_answer_does_not_confirm_a_release_while_work_is_in_progress(self):
        for name in ("request", "refused_request", "grant", "other_release"):
            with self.subTest(earlier=name):
                await self.start()
                await getattr(self, name)()
                outcome = await self.manager.release(*RELEASED_KEYS)
                self.assertTrue(outcome.released)
                self.assertEqual(self.server.working, 0)

    async def test_repeated_answer_does_not_confirm_a_grant(self):
        for name in ("request", "other_release"):
            with self.subTest(earlier=name):
                await self.start()
                await getattr(self, name)()
                self.manager.set_key_ranges([GRANTED_KEYS])
                self.manager.start()
                self.assertTrue(await wait_until(lambda: self.manager.holds(5), 2.0))
                self.assertGreater(self.server.granted, 0)


if __name__ == "__main__":
    unittest.main()
