"""Tests of a backend server that repeats an earlier refusal, against the dispatcher's outcomes."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from greengagefall.coordination.grants import GrantTracker
from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.dispatch.server_control import ControlReply
from greengagefall.dispatch.server_dispatcher import ServerDispatcher
from greengagefall.protocol import refusals
from greengagefall.protocol.messages import Answer, Refusal
from greengagefall.tests.connection_server import ConnectionServer
from greengagefall.tests.request_outcome_tests import BACK_END, CONFIG, forward_message
from greengagefall.utils.clock import SystemClock

BODY_LIMIT = 1_000_000
WORK_S = 0.05


class RepeatingServer(ConnectionServer):
    """Refuses the first request and repeats the refusal when the next one arrives there.

    Attributes:
        executed: Ids of the executed requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.executed: list[str] = []
        self._refused = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        refusal = b""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
            writer.write(refusal)
            refusal = b""
            if self._refused:
                self.executed.append(request_id)
                await asyncio.sleep(WORK_S)
                writer.write(_answer_bytes("200 OK", request_id))
                continue
            self._refused = True
            refusal = _answer_bytes("503 Unavailable", request_id, "X-Not-Run: shedding\r\n")
            writer.write(refusal)


def _answer_bytes(status: str, request_id: str, fields: str = "") -> bytes:
    head = f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n{fields}"
    return f"{head}Content-Length: 2\r\n\r\n{{}}".encode()


class RepeatedRefusalTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = RepeatingServer()
        address = await self.server.start()
        self.addAsyncCleanup(self.server.close)
        clock = SystemClock()
        self.dispatcher = ServerDispatcher(
            BACK_END,
            BACK_END.servers["b1"],
            CONFIG.limits,
            SimpleNamespace(fence=7, may_send=lambda: True),
            GrantTracker("benchline/b1", clock),
            lambda: None,
            clock,
        )
        self.addAsyncCleanup(self.dispatcher.close)
        self.dispatcher._pool = ConnectionPool(address, BODY_LIMIT)
        self.dispatcher.health.on_answer(False)
        self.dispatcher._on_control_reply(ControlReply("i1", 1, False, 0, True, "", 0, 0))
        outcome = await self.submit("write-1")
        self.assertEqual(outcome.reason, refusals.SERVER_REFUSED)

    async def submit(self, request_id: str) -> Answer | Refusal:
        return await self.dispatcher.submit(forward_message(request_id))

    async def test_request_sent_again_is_not_refused_by_the_refusal_of_its_earlier_send(self):
        self.assertIsInstance(await self.submit("write-1"), Answer)
        self.assertEqual(self.server.executed, ["write-1"])

    async def test_repeated_refusal_is_not_the_answer_of_the_next_request(self):
        outcome = await self.submit("write-2")
        self.assertEqual((outcome.reason, outcome.not_run), (refusals.CROSSED_ANSWER, False))

    async def test_request_after_a_crossed_answer_gets_its_own_answer(self):
        await self.submit("write-2")
        self.assertIsInstance(await self.submit("write-3"), Answer)


if __name__ == "__main__":
    unittest.main()
