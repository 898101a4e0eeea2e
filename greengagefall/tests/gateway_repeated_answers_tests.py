"""Tests of backend servers that write an earlier refusal once more, on real connections."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.gateway.model import NO_KEY, ServerEntry
from greengagefall.gateway.server_channel import ServerChannel
from greengagefall.protocol.gateway_messages import Dispatch, Dispatched, NotDispatched
from greengagefall.tests.connection_server import ConnectionServer
from greengagefall.tests.one_server_gateway import (
    BODY_LIMIT,
    POOLED,
    SERVER_ID,
    TIMEOUT_MS,
    ZONE,
    OneServerGatewayTests,
)
from greengagefall.utils.clock import SystemClock

WORK_S = 0.05
SETTLE_S = 0.1
STATUS_LINES = {
    400: "400 Bad Request",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


def refusal(status: int, request_id: str) -> bytes:
    """Returns a server's refusal, without an id if ``request_id`` is empty."""
    echoed = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {STATUS_LINES[status]}\r\nNot-Executed: 1\r\n{echoed}"
    return f"{head}Content-Length: 2\r\n\r\n{{}}".encode()


class RepeatingServer(ConnectionServer):
    """Refuses the first requests, executes the others and repeats refusals.

    Args:
        status: Status of its refusals.
        with_id: Whether refusals carry the id of the refused request.
        refused: Number of requests that it refuses.
        repeats_late: Whether it repeats a refusal when the next request has arrived on the
            connection.

    Attributes:
        executed: Ids of the executed requests.
    """

    def __init__(
        self, status: int, *, with_id: bool, refused: int = 1, repeats_late: bool = False
    ) -> None:
        super().__init__()
        self.executed: list[str] = []
        self._status = status
        self._with_id = with_id
        self._refused = refused
        self._repeats_late = repeats_late
        self._last: tuple[asyncio.StreamWriter, bytes] | None = None

    def repeat(self) -> None:
        """Writes the last refusal once more."""
        writer, data = self._last
        writer.write(data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        repeated = b""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            await reader.readexactly(int(fields.get("Content-Length", 0)))
            if repeated and self._repeats_late:
                writer.write(repeated)
            repeated = await self._answer(fields.get("Request-Id", ""), writer)

    async def _answer(self, request_id: str, writer: asyncio.StreamWriter) -> bytes:
        """Refuses or executes a request; returns the refusal."""
        if self._refused:
            self._refused -= 1
            data = refusal(self._status, request_id if self._with_id else "")
            self._last = (writer, data)
            writer.write(data)
            return data
        self.executed.append(request_id)
        await asyncio.sleep(WORK_S)
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nUpstream-Signature: signed\r\n"
        writer.write(f"{head}Content-Length: 4\r\n\r\ndone".encode())
        return b""


def dispatch(request_id: str) -> Dispatch:
    return Dispatch(
        call_id=0,
        request_id=request_id,
        service=POOLED.name,
        server_id=SERVER_ID,
        key=NO_KEY,
        method="POST",
        host_name="shop.example",
        target="/orders/1",
        headers=[],
        body=b"order",
        remaining_ms=TIMEOUT_MS,
        objective_ms=TIMEOUT_MS,
        idempotent=False,
        priority=1,
    )


class RepeatedRefusalTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, status: int, **options) -> ServerChannel:
        self.server = RepeatingServer(status, **options)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        entry = ServerEntry(SERVER_ID, POOLED.name, self.server.address, ZONE, 6, False, 0.0, 1)
        self.clock = SystemClock()
        pool = ConnectionPool(self.server.address, BODY_LIMIT)
        self.addCleanup(pool.close)
        return ServerChannel(entry, POOLED, self.clock, pool)

    async def submit(self, channel: ServerChannel, request_id: str) -> Dispatched | NotDispatched:
        return await channel.submit(dispatch(request_id), self.clock.now_s())

    async def assert_refused(self, channel: ServerChannel, request_id: str) -> None:
        outcome = await self.submit(channel, request_id)
        self.assertEqual((outcome.reason, outcome.not_run), ("server_refused", True))

    async def assert_not_run_is_true(self, channel: ServerChannel, request_id: str) -> None:
        outcome = await self.submit(channel, request_id)
        await asyncio.sleep(WORK_S + SETTLE_S)
        if isinstance(outcome, NotDispatched) and outcome.not_run:
            self.assertNotIn(request_id, self.server.executed, outcome)

    async def test_repeated_refusal_before_the_next_request_is_never_its_answer(self):
        for status in STATUS_LINES:
            for with_id in (True, False):
                with self.subTest(status=status, with_id=with_id):
                    channel = await self.start(status, with_id=with_id)
                    await self.assert_refused(channel, "r-1")
                    self.server.repeat()
                    await asyncio.sleep(SETTLE_S)
                    self.assertIsInstance(await self.submit(channel, "r-2"), Dispatched)

    async def test_repeated_refusal_together_with_the_next_request_is_never_its_answer(self):
        for status in STATUS_LINES:
            for with_id in (True, False):
                with self.subTest(status=status, with_id=with_id):
                    channel = await self.start(status, with_id=with_id)
                    await self.assert_refused(channel, "r-1")
                    self.server.repeat()
                    await self.assert_not_run_is_true(channel, "r-2")
                    self.assertEqual(self.server.connections, 1)

    async def test_repeated_refusal_after_the_next_request_is_never_its_answer(self):
        for status in STATUS_LINES:
            for with_id in (True, False):
                with self.subTest(status=status, with_id=with_id):
                    channel = await self.start(status, with_id=with_id, repeats_late=True)
                    await self.assert_refused(channel, "r-1")
                    await self.assert_not_run_is_true(channel, "r-2")
                    self.assertEqual(self.server.connections, 1)

    async def test_request_sent_again_is_not_refused_by_the_refusal_of_its_earlier_send(self):
        for status in STATUS_LINES:
            for with_id in (True, False):
                with self.subTest(status=status, with_id=with_id):
                    channel = await self.start(status, with_id=with_id, repeats_late=True)
                    await self.assert_refused(channel, "r-1")
                    await self.assert_not_run_is_true(channel, "r-1")

    async def test_refusal_with_the_own_id_is_believed_on_a_kept_connection(self):
        for status in STATUS_LINES:
            with self.subTest(status=status):
                channel = await self.start(status, with_id=True, refused=3)
                for number in range(3):
                    await self.assert_refused(channel, f"r-{number}")
                self.assertEqual(self.server.connections, 1)


class RepeatedRefusalEndToEndTests(OneServerGatewayTests):
    async def start(self, **options) -> None:
        self.server = RepeatingServer(503, repeats_late=True, **options)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        await self.start_host(self.server.address)

    async def test_request_that_runs_is_not_sent_again_after_a_refusal_of_another(self):
        await self.start(with_id=False, refused=1)
        outcomes = {}
        for number in range(4):
            outcomes[f"r-{number}"] = (await self.send(f"r-{number}")).status
        await asyncio.sleep(SETTLE_S)
        for request_id, status in outcomes.items():
            runs = self.server.executed.count(request_id)
            self.assertLessEqual(runs, 1, outcomes)
            if status == 503:
                self.assertEqual(runs, 0, outcomes)

    async def test_request_sent_again_after_a_refusal_gets_its_own_answer(self):
        await self.start(with_id=True, refused=1)
        answer = await self.send("r-1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(self.server.executed, ["r-1"])


if __name__ == "__main__":
    unittest.main()
