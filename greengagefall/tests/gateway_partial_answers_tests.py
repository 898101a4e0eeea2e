"""Tests that callers get no part of a server's answer as a whole one, on real connections."""

from __future__ import annotations

from greengagefall.tests.dispatch_connection_pool_tests import ScriptedAnswer, ScriptedServer
from greengagefall.tests.one_server_gateway import OneServerGatewayTests

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nUpstream-Signature: signed\r\n"
HTTP_BAD_GATEWAY = 502
HTTP_GATEWAY_TIMEOUT = 504
SHORT_TIMEOUT_MS = 400
SPARE_ANSWERS = 20


class PartialAnswerTests(OneServerGatewayTests):
    async def start(self, *answers: ScriptedAnswer) -> None:
        self.answers = list(answers)
        server = ScriptedServer(self.answers)
        address = await server.start()
        self.addAsyncCleanup(server.close)
        await self.start_host(address)

    async def test_answer_that_ends_within_its_head_is_no_success(self):
        heads = [
            HEAD,
            HEAD + b"Content-Le",
            HEAD + b"Content-Length: 5\r\n",
            HEAD + b"Content-Length: 5\r\n\r",
            HEAD + b"Content-Le\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\nRequest-Id: r-1\r\n\r\n" + HEAD,
        ]
        await self.start()
        for head in heads:
            # Health checks of the host may use some of the answers.
            self.answers[:] = [ScriptedAnswer(head, ending="close")] * SPARE_ANSWERS
            with self.subTest(head=head):
                self.assertEqual((await self.send("r-1")).status, HTTP_BAD_GATEWAY)

    async def test_answer_without_length_that_does_not_end_in_time_is_no_success(self):
        await self.start(ScriptedAnswer(HEAD + b"\r\nhel"))
        answer = await self.send("r-1", SHORT_TIMEOUT_MS)
        self.assertEqual(answer.status, HTTP_GATEWAY_TIMEOUT, answer.body)

    async def test_answer_without_length_that_ends_with_its_connection_is_whole(self):
        await self.start(ScriptedAnswer(HEAD + b"\r\nhello", ending="close"))
        answer = await self.send("r-1")
        self.assertEqual((answer.status, answer.body), (200, b"hello"))
