"""Tests of large messages over a link between two hosts."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from unittest import mock

from websockets.asyncio.client import connect

from greengagefall.protocol import channel, codec, link, server
from greengagefall.protocol.exceptions import (
    FrameError,
    PeerLostError,
    PeerMemoryError,
    PeerTimeoutError,
    PeerUnreachableError,
    ReplyLostError,
)
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.protocol.messages import (
    Answer,
    Cancel,
    Failure,
    Forward,
    Fragment,
    FragmentsEnd,
    Heartbeat,
    HeartbeatReply,
)
from greengagefall.protocol.server import PeerServer
from greengagefall.tests.link_tests import forward, heartbeat, hello_of
from greengagefall.tests.waiting import eventually

MB = 1_000_000
TIMEOUT_S = 20.0
BUDGET_BYTES = 60 * MB
SMALL_BUFFER_BYTES = 16 * 1024


def body_of(size_bytes: int, seed: int = 1) -> bytes:
    """Returns a body in which no two fragments are equal."""
    return random.Random(seed).randbytes(size_bytes)


def large(call: str, body: bytes) -> Forward:
    return forward(call)._replace(body=body, remaining_ms=60_000)


class LargeMessageTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # What is dropped at once must not be found dropped only after the silence of its sender.
        patient = mock.patch.object(channel, "MAX_SILENCE_S", 10 * TIMEOUT_S)
        patient.start()
        self.addCleanup(patient.stop)
        self.handled = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.server_budget = MemoryBudget(BUDGET_BYTES)
        self.link_budget = MemoryBudget(BUDGET_BYTES)
        self.server = PeerServer(
            "127.0.0.1:0", hello_of("b"), self.handle, budget=self.server_budget
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.link = await self.start_link(self.server.address)

    async def start_link(self, address: str, version: int = 2) -> PeerLink:
        peer_link = PeerLink(address, hello_of("a", version=version), budget=self.link_budget)
        await peer_link.start()
        self.addAsyncCleanup(peer_link.close)
        await eventually(lambda: peer_link.connected)
        return peer_link

    def handle(self, peer, message):
        if isinstance(message, Heartbeat):
            return HeartbeatReply(0, "b", "b-1", 0, "", 0, 0, {})
        self.handled.append(message)
        return self.answer(message)

    async def answer(self, message):
        """Answers with the body of the request, or of the size that its path names."""
        await self.gate.wait()
        size = message.path.removeprefix("/")
        body = body_of(int(size)) if size else message.body
        return Answer(0, message.request_id, 200, [], body, 0, 0.0)

    def sized(self, call: str, size_bytes: int) -> Forward:
        return forward(call)._replace(path=f"/{size_bytes}", remaining_ms=60_000)

    def assert_no_memory_is_held(self):
        self.assertEqual(self.server_budget.reserved_bytes, 0)
        self.assertEqual(self.link_budget.reserved_bytes, 0)


class LargeMessageTests(LargeMessageTestCase):
    async def test_bodies_and_answers_larger_than_a_frame_arrive_whole(self):
        # Guards against mixed bodies of messages that are sent at the same time.
        bodies = [body_of(5 * MB, seed) for seed in range(4)]
        calls = [self.link.call(large(str(i), body), TIMEOUT_S) for i, body in enumerate(bodies)]
        answers = await asyncio.gather(*calls)
        self.assertEqual([answer.body for answer in answers], bodies)
        await eventually(lambda: self.server_budget.reserved_bytes == 0)
        self.assert_no_memory_is_held()

    async def test_a_body_beyond_the_peers_memory_is_refused_before_it_is_handled(self):
        with self.assertRaises(PeerMemoryError):
            await self.link.call(large("1", bytes(BUDGET_BYTES + 1)), TIMEOUT_S)
        self.assertEqual(self.handled, [])
        self.assertIsInstance(await self.link.call(heartbeat(), TIMEOUT_S), HeartbeatReply)
        self.assert_no_memory_is_held()

    async def test_an_answer_beyond_the_memory_of_either_side_is_lost_and_the_link_stays(self):
        for budget in (self.server_budget, self.link_budget):
            with self.subTest(side="server" if budget is self.server_budget else "link"):
                self.assertTrue(budget.reserve(BUDGET_BYTES))
                with self.assertRaises(ReplyLostError):
                    await self.link.call(self.sized("1", MB), TIMEOUT_S)
                budget.release(BUDGET_BYTES)
                await eventually(lambda: self.server_budget.reserved_bytes == 0)
                answer = await self.link.call(self.sized("2", MB), TIMEOUT_S)
                self.assertEqual(answer.body, body_of(MB))
        self.assert_no_memory_is_held()

    def count_received(self, on_first=lambda: None) -> list[int]:
        """Returns a list that gets the size of each fragment that the link receives."""
        receive_part = self.link._receive_part
        sizes = []

        def receive(part):
            receive_part(part)
            sizes.append(len(getattr(part, "data", b"")))
            if len(sizes) == 1:
                on_first()

        self.link._receive_part = receive
        return sizes

    async def test_a_reply_to_a_call_that_timed_out_is_not_sent_to_its_end(self):
        # Guards against megabytes on a slow link that their receiver ignores.
        sizes = self.count_received()
        self.gate.clear()
        with self.assertRaises(PeerTimeoutError):
            await self.link.call(self.sized("1", 40 * MB), 0.2)
        self.gate.set()
        await eventually(lambda: sizes)
        await eventually(lambda: not self.server_budget.reserved_bytes)
        self.assertLess(sum(sizes), 20 * MB)

    async def test_a_reply_that_arrives_during_the_timeout_is_not_sent_to_its_end(self):
        # As above, for a reply of which a part had arrived.
        sizes = self.count_received(on_first=lambda: self.link._expire(1))
        with self.assertRaises(PeerTimeoutError):
            await self.link.call(self.sized("1", 40 * MB), TIMEOUT_S)
        await eventually(lambda: not self.server_budget.reserved_bytes)
        self.assertLess(sum(sizes), 20 * MB)
        self.assert_no_memory_is_held()

    async def test_a_message_that_cannot_be_written_ends_its_call_and_those_behind_it(self):
        # Guards against messages that wait until their timeout because the writing task ended.
        bad = large("1", bytes(MB))._replace(headers=[["a", "b" * 5 * MB]])
        with self.assertLogs("greengagefall", "ERROR"):
            outcomes = await asyncio.gather(
                self.link.call(bad, TIMEOUT_S),
                self.link.call(large("2", bytes(20 * MB)), TIMEOUT_S),
                return_exceptions=True,
            )
        self.assertEqual([type(one) for one in outcomes], [PeerLostError, PeerUnreachableError])
        self.assert_no_memory_is_held()

    async def test_peers_of_version_1_get_one_frame_for_each_message(self):
        # Guards against hosts that cannot talk to each other during a rolling upgrade.
        old_server = PeerServer("127.0.0.1:0", hello_of("b", version=1), self.handle)
        await old_server.start()
        self.addAsyncCleanup(old_server.close)
        newer = await self.start_link(old_server.address)
        older = await self.start_link(self.server.address, version=1)
        for peer_link in (newer, older):
            self.assertEqual(peer_link.peer.version, 1)
            answer = await peer_link.call(large("1", body_of(MB)), TIMEOUT_S)
            self.assertEqual(answer.body, body_of(MB))
            with self.assertRaises(FrameError):
                await peer_link.call(large("1", bytes(codec.MAX_FRAME_BYTES)), TIMEOUT_S)
        address = old_server.address
        await old_server.close()
        upgraded = PeerServer(address, hello_of("b"), self.handle)
        await upgraded.start()
        self.addAsyncCleanup(upgraded.close)
        await eventually(lambda: newer.connected)
        self.assertEqual(newer.peer.version, 2)


class SlowPeerTests(LargeMessageTestCase):
    """Raw peers that read only what a test tells them to."""

    async def connect_raw(self):
        """Returns a connection to the server whose receive buffer is small."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        host, _, port = self.server.address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        raw = await connect(
            f"ws://{self.server.address}/", sock=sock, proxy=None, max_queue=2, compression=None
        )
        self.addCleanup(raw.transport.abort)
        await raw.send(codec.encode(hello_of("slow")))
        codec.decode(await raw.recv())
        return raw

    async def read_until(self, raw, done) -> list:
        """Reads messages up to the first for which ``done`` is true."""
        messages = []
        async with asyncio.timeout(TIMEOUT_S):
            while not messages or not done(messages[-1]):
                messages.append(codec.decode(await raw.recv()))
        return messages

    async def test_control_messages_pass_any_load_of_answers_to_a_slow_reader(self):
        # Guards against heartbeats and grants that arrive after megabytes of answers: on a link of
        # 10 Mbit/s a host learned of a configuration 4 s late.
        raw = await self.connect_raw()
        self.gate.clear()
        for call_id in range(1, 5):
            await raw.send(codec.encode(self.sized("r", 4 * MB)._replace(call_id=call_id)))
        for call_id in range(5, 205):
            await raw.send(codec.encode(self.sized("r", 20_000)._replace(call_id=call_id)))
        await eventually(lambda: len(self.handled) == 204)
        self.gate.set()
        await asyncio.sleep(0.2)
        await raw.send(codec.encode(heartbeat()._replace(call_id=900)))
        # The server has handled it before the reader goes on.
        await asyncio.sleep(0.2)
        messages = await self.read_until(raw, lambda one: isinstance(one, HeartbeatReply))
        before_bytes = sum(
            len(one.data if isinstance(one, Fragment) else one.body) for one in messages[:-1]
        )
        # What the two buffers of the operating system and the server's window hold.
        self.assertLess(before_bytes, 300_000)
        rest = await self.read_until(raw, lambda one: getattr(one, "call_id", 0) == 204)
        small = [one.call_id for one in messages + rest if isinstance(one, Answer)]
        self.assertEqual(small, list(range(5, 205)))
        self.assertFalse([one for one in rest if isinstance(one, FragmentsEnd)])

    async def test_a_cancelled_call_gets_no_more_fragments(self):
        raw = await self.connect_raw()
        await raw.send(codec.encode(self.sized("r", 20 * MB)._replace(call_id=1)))
        await eventually(lambda: self.server_budget.reserved_bytes)
        await raw.send(codec.encode(Cancel(1)))
        await eventually(lambda: not self.server_budget.reserved_bytes)
        await raw.send(codec.encode(heartbeat()._replace(call_id=2)))
        messages = await self.read_until(raw, lambda one: isinstance(one, HeartbeatReply))
        self.assertLess(sum(len(one.data) for one in messages[:-1]), 600_000)

    async def test_a_peer_that_does_not_read_blocks_only_what_is_sent_to_it(self):
        # Guards against a stopped peer that keeps the memory for answers of all others.
        with mock.patch.object(channel, "STALL_TIMEOUT_S", 0.5):
            raw = await self.connect_raw()
            await raw.send(codec.encode(self.sized("r", 20 * MB)._replace(call_id=1)))
            await eventually(lambda: self.server_budget.reserved_bytes)
            answer = await self.link.call(self.sized("2", 5 * MB), TIMEOUT_S)
            self.assertEqual(len(answer.body), 5 * MB)
            with self.assertLogs("greengagefall.protocol.channel", "WARNING"):
                await eventually(lambda: not self.server_budget.reserved_bytes)
        self.assertEqual([peer.host for peer in self.server.peers()], ["a"])

    async def test_a_wrong_fragment_fails_its_call_only(self):
        raw = await self.connect_raw()
        first = Fragment(1, 1, "forward", 10, 0, b"12345")
        for part in (first, first, FragmentsEnd(1, 1, b""), heartbeat()._replace(call_id=2)):
            await raw.send(codec.encode(part))
        messages = await self.read_until(raw, lambda one: isinstance(one, HeartbeatReply))
        self.assertEqual({type(one) for one in messages[:-1]}, {Failure})
        self.assertEqual(self.handled, [])
        self.assert_no_memory_is_held()

    async def test_requests_cancelled_before_they_start_return_their_slots(self):
        # Guards against a connection that is not read any more once all slots are lost.
        with mock.patch.object(server, "MAX_CONCURRENT_REQUESTS", 2):
            raw = await self.connect_raw()
        frames = []
        for call_id in range(1, 6):
            frames.append(codec.encode(forward("r")._replace(call_id=call_id)))
            frames.append(codec.encode(Cancel(call_id)))
        for frame in frames:
            raw.protocol.send_binary(frame)
        raw.send_data()
        await raw.send(codec.encode(heartbeat()._replace(call_id=9)))
        await self.read_until(raw, lambda one: isinstance(one, HeartbeatReply))

    async def test_an_ended_connection_drops_its_incomplete_messages(self):
        raw = await self.connect_raw()
        await raw.send(codec.encode(Fragment(1, 1, "forward", 10, 0, b"12345")))
        await eventually(lambda: self.server_budget.reserved_bytes == 10)
        await raw.close()
        await eventually(lambda: not self.server_budget.reserved_bytes)
        self.assertEqual(self.handled, [])


class UnreadRequestTests(LargeMessageTestCase):
    """Requests to a peer that does not read beyond its small buffers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.reads = asyncio.Event()
        self.peer_writer = None
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        listening.bind(("127.0.0.1", 0))
        proxy = await asyncio.start_server(self.pass_on, sock=listening, limit=SMALL_BUFFER_BYTES)
        self.addCleanup(proxy.close)
        self.reads.set()
        self.addCleanup(self.reads.set)
        self.slow = await self.start_link(f"127.0.0.1:{listening.getsockname()[1]}")

    async def pass_on(self, reader, writer) -> None:
        """Passes bytes to the server while ``reads`` is set, and those of the server always."""
        host, _, port = self.server.address.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        self.peer_writer = writer

        async def answer() -> None:
            while data := await server_reader.read(65_536):
                writer.write(data)

        answering = asyncio.create_task(answer())
        try:
            while data := await reader.read(4096):
                await self.reads.wait()
                server_writer.write(data)
        except ConnectionError:
            pass
        finally:
            answering.cancel()
            server_writer.close()
            writer.close()

    async def begin_call(self, timeout_s: float = TIMEOUT_S) -> asyncio.Task:
        """Begins a large call of which the peer gets only the beginning."""
        quiet = mock.patch.object(link, "PROBE_AFTER_SILENCE_S", TIMEOUT_S)
        quiet.start()
        self.addCleanup(quiet.stop)
        begun = asyncio.create_task(self.slow.call(large("1", bytes(20 * MB)), timeout_s))
        await eventually(lambda: self.server_budget.reserved_bytes)
        self.reads.clear()
        await asyncio.sleep(0.1)
        return begun

    async def test_a_call_that_times_out_before_its_end_is_written_was_not_sent(self):
        # Guards against 502 for a request of which no server can have got anything.
        call = await self.begin_call(timeout_s=0.3)
        with self.assertRaises(PeerUnreachableError):
            await call
        self.reads.set()
        await eventually(lambda: not self.server_budget.reserved_bytes)
        self.assertEqual(self.handled, [])
        self.assertIsInstance(await self.slow.call(heartbeat(), TIMEOUT_S), HeartbeatReply)

    async def test_a_cancelled_call_drops_its_remaining_fragments_at_both_sides(self):
        call = await self.begin_call()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.reads.set()
        await eventually(lambda: not self.server_budget.reserved_bytes)
        self.assertEqual(self.handled, [])
        self.assertTrue(self.slow.connected)

    async def test_a_link_that_ends_in_the_middle_of_a_call_has_not_sent_it(self):
        call = await self.begin_call()
        self.peer_writer.transport.abort()
        with self.assertRaises(PeerUnreachableError):
            await call
        self.reads.set()
        await eventually(lambda: not self.server_budget.reserved_bytes)
        self.assertEqual(self.handled, [])

    async def test_closing_ends_although_the_peer_does_not_read(self):
        # Guards against a host that never stops: the WebSocket library waits for the peer to read.
        call = await self.begin_call()
        async with asyncio.timeout(TIMEOUT_S / 4):
            await self.slow.close()
        with self.assertRaises(PeerUnreachableError):
            await call

    async def test_closing_a_server_ends_although_its_peer_does_not_read(self):
        raw = await connect(f"ws://{self.server.address}/", proxy=None, max_queue=2)
        self.addCleanup(raw.transport.abort)
        await raw.send(codec.encode(hello_of("slow")))
        await raw.send(codec.encode(self.sized("r", 40 * MB)._replace(call_id=1)))
        await eventually(lambda: self.server_budget.reserved_bytes)
        async with asyncio.timeout(TIMEOUT_S / 4):
            await self.server.close()

    async def test_a_link_that_ends_in_the_middle_of_an_answer_has_sent_the_call(self):
        self.gate.clear()
        call = asyncio.create_task(self.slow.call(large("1", bytes(MB)), TIMEOUT_S))
        await eventually(lambda: self.handled)
        self.peer_writer.transport.abort()
        with self.assertRaises(PeerLostError):
            await call
        self.gate.set()
        await eventually(lambda: not self.server_budget.reserved_bytes)
