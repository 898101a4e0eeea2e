"""Tests of status lines that HTTP does not allow, on real connections."""

from __future__ import annotations

import asyncio

from result import is_ok

from greengagefall.dispatch.connection_pool import HttpAnswer
from greengagefall.dispatch.exceptions import AnswerMalformedError, DispatchError
from greengagefall.dispatch.server_control import ServerControl
from greengagefall.gateway.fence_notices import send_release
from greengagefall.ownership.key_spans import KeySpan
from greengagefall.tests.dispatch_connection_pool_tests import (
    COMPLETE_ANSWER,
    ScriptedAnswer,
    ScriptedPoolTests,
    ScriptedServer,
)
from greengagefall.tests.one_server_gateway import OneServerGatewayTests

FIELDS = b"\r\nRequest-Id: r-1\r\nUpstream-Signature: signed\r\nInstance-Id: b0\r\n"
LENGTH = b"Content-Length: 5\r\n\r\nhello"
NOT_ALLOWED = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 9999 OK",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/1.2 200 OK",
    b"FTP/1.1 200 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK",
)
INTERIM_STATUSES = (b"100 Continue", b"102 Processing", b"103 Early Hints")
SPARE_ANSWERS = 20
HTTP_BAD_GATEWAY = 502


def answer_with(line: bytes) -> ScriptedAnswer:
    return ScriptedAnswer(line + FIELDS + LENGTH)


class StatusLineTests(ScriptedPoolTests):
    """Guards against answers of no known meaning that count as answers of the server."""

    async def test_a_status_line_that_http_does_not_allow_is_no_answer(self):
        for line in NOT_ALLOWED:
            with self.subTest(line=line):
                pool = await self.start_server(answer_with(line), ScriptedAnswer(COMPLETE_ANSWER))
                with self.assertRaises(AnswerMalformedError):
                    await self.send(pool)
                await self.send(pool)
                self.assertEqual(self.server.connections, 2, "the connection was used again")

    async def test_it_is_no_answer_after_an_interim_one_either(self):
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        for line in NOT_ALLOWED:
            with self.subTest(line=line):
                pool = await self.start_server(answer_with(interim + line))
                with self.assertRaises(AnswerMalformedError):
                    await self.send(pool)

    async def test_interim_answers_are_skipped(self):
        for status in INTERIM_STATUSES:
            with self.subTest(status=status):
                interim = b"HTTP/1.1 " + status + b"\r\nX-Interim: yes\r\n\r\n"
                pool = await self.start_server(ScriptedAnswer(interim * 2 + COMPLETE_ANSWER))
                answer = await self.send(pool)
                self.assertEqual((answer.status, answer.body), (200, b"hello"))
                self.assertNotIn("X-Interim", answer.headers)

    async def test_an_interim_answer_alone_is_no_answer(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        await self.assert_fails(DispatchError, ScriptedAnswer(interim, ending="close"))

    async def test_the_first_and_the_last_allowed_status_are_answers(self):
        for line in (b"HTTP/1.0 200 OK", b"HTTP/1.1 599 Odd"):
            pool = await self.start_server(answer_with(line))
            self.assertIsInstance(await self.send(pool), HttpAnswer)

    async def test_a_release_is_confirmed_by_a_proper_200_only(self):
        for line in (*NOT_ALLOWED, b"HTTP/1.1 204 OK", b"HTTP/1.1 500 OK"):
            with self.subTest(line=line):
                pool = await self.start_server(
                    ScriptedAnswer(line + b"\r\nHandover: t\r\n" + LENGTH)
                )
                self.assertIsNone(await send_release(pool, "b0", KeySpan(0, 9), 3))

    async def test_a_control_call_is_answered_by_a_proper_200_only(self):
        body = b'{"incarnation": "i", "now_ms": 5, "released": true}'
        fields = b"\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for line, accepted in ((b"HTTP/1.1 200 OK", True), (b"HTTP/1.1 500 No", False)):
            pool = await self.start_server(ScriptedAnswer(line + fields))
            control = ServerControl(pool.address)
            self.addCleanup(control.close)
            result = await control.status(lambda: True)
            self.assertEqual(is_ok(result), accepted, line)


class CallerStatusLineTests(OneServerGatewayTests):
    """Guards against such a status line on its way to the caller, and to a health check."""

    async def start_scripted(self, answers: list[ScriptedAnswer]) -> None:
        server = ScriptedServer(answers)
        address = await server.start()
        self.addAsyncCleanup(server.close)
        await self.start_host(address)

    async def test_callers_get_no_answer_without_an_allowed_status(self):
        answers: list[ScriptedAnswer] = []
        await self.start_scripted(answers)
        for line in NOT_ALLOWED:
            answers[:] = [answer_with(line)] * SPARE_ANSWERS
            with self.subTest(line=line):
                answer = await self.send("r-1")
                self.assertEqual(answer.status, HTTP_BAD_GATEWAY)
                self.assertIn(b'"not_run": false', answer.body)

    async def test_a_server_without_an_allowed_status_stays_down(self):
        answers = [answer_with(b"HTTP/1.2 200 OK")] * SPARE_ANSWERS
        await self.start_scripted(answers)
        channel = next(iter(self.host._channels._channels.values()))
        for _ in range(2):
            channel.health.record_failure(refused=True)
        await asyncio.sleep(1.3)
        self.assertLess(len(answers), SPARE_ANSWERS, "no health check was sent")
        self.assertFalse(channel.health.up)
