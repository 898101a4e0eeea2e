"""Tests of the connections between the processes of greengagefall."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import cbor2
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from greengagefall.limits.backoff import full_jitter
from greengagefall.protocol import codec, faults, link
from greengagefall.protocol.exceptions import (
    PeerLostError,
    PeerMemoryError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.memory_budget import DEFAULT_BUDGET_BYTES
from greengagefall.protocol.messages import (
    PROTOCOL_VERSION,
    Documents,
    Failure,
    Fetch,
    Forward,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Refusal,
)
from greengagefall.protocol.server import PeerServer
from greengagefall.tests.waiting import eventually
from greengagefall.utils.metrics import snapshot

CLOSE_TIMEOUT_S = 20.0
SHORT_TIMEOUT_S = 0.05


def hello_of(host: str, role: str = "entry", version: int = PROTOCOL_VERSION) -> Hello:
    return Hello(version, role, host, "ee-north-a", f"{host}-1", "127.0.0.1:0", "")


def heartbeat(host: str = "a") -> Heartbeat:
    return Heartbeat(0, host, 0, "", 0, 0, {})


def forward(request_id: str) -> Forward:
    return Forward(0, request_id, "b", "s", 1, 1, 1, "GET", "/", [], b"", 1000, True, 0, "c", "")


def counted(name: str, **labels: str) -> int:
    rows = [row for row in snapshot() if row["name"] == name and row["labels"] == labels]
    return sum(row["value"] for row in rows)


class LinkTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = []
        self.release_replies = asyncio.Event()
        self.cancelled = []
        self.server = await self.start_server("127.0.0.1:0")
        self.link = await self.start_link()

    async def start_server(self, listen: str) -> PeerServer:
        server = PeerServer(listen, hello_of("b"), self.handle)
        await server.start()
        self.addAsyncCleanup(server.close)
        return server

    async def start_link(self, **options) -> PeerLink:
        peer_link = PeerLink(self.server.address, hello_of("a"), **options)
        await peer_link.start()
        self.addAsyncCleanup(peer_link.close)
        await eventually(lambda: peer_link.connected)
        return peer_link

    async def asyncTearDown(self):
        faults.heal()

    def handle(self, peer, message):
        self.received.append((peer.host, message))
        if isinstance(message, Heartbeat):
            return HeartbeatReply(0, "b", "b-1", 0, "", 0, 0, {})
        if isinstance(message, Fetch):
            raise ValueError("planted")
        return self.refuse_after_release(message)

    async def refuse_after_release(self, message):
        try:
            await self.release_replies.wait()
        except asyncio.CancelledError:
            self.cancelled.append(message.request_id)
            raise
        return Refusal(0, message.request_id, "shed", True, 0, "", 0)


class CallTests(LinkTestCase):
    async def test_reply_matches_its_call(self):
        self.assertEqual(self.link.peer.host, "b")
        self.assertEqual(self.link.peer.address, self.server.address)
        calls = [asyncio.create_task(self.link.call(forward(str(i)), 20)) for i in range(50)]
        await eventually(lambda: len(self.received) == 50)
        reply = await self.link.call(heartbeat(), 20)
        self.assertIsInstance(reply, HeartbeatReply)
        self.release_replies.set()
        replies = await asyncio.gather(*calls)
        self.assertEqual([reply.request_id for reply in replies], [str(i) for i in range(50)])
        self.assertEqual(self.link.outstanding, 0)

    async def test_unconnected_link_refuses_to_send(self):
        unconnected = PeerLink("127.0.0.1:1", hello_of("a"))
        await unconnected.start()
        self.addAsyncCleanup(unconnected.close)
        with self.assertRaises(PeerUnreachableError):
            await unconnected.call(heartbeat(), 1)
        self.assertFalse(unconnected.send(heartbeat()))

    async def test_lost_connection_fails_outstanding_calls_and_reconnects(self):
        call = asyncio.create_task(self.link.call(forward("1"), 20))
        await eventually(lambda: self.received)
        await self.server.close()
        with self.assertRaises(PeerLostError):
            await call
        await self.start_server(self.server.address)
        await eventually(lambda: self.link.connected)
        self.assertIsInstance(await self.link.call(heartbeat(), 20), HeartbeatReply)

    async def test_silent_peer_fails_outstanding_calls_before_their_deadline(self):
        # Without a probe, calls to a peer that is cut off would end only at their deadline, with an
        # unknown outcome.
        call = asyncio.create_task(self.link.call(forward("1"), 3600))
        await eventually(lambda: self.received)
        self.link.blocked = True
        with self.assertRaises(PeerLostError):
            await call

    async def test_late_reply_is_dropped_and_counted(self):
        before = counted("peer_late_replies")
        with self.assertRaises(PeerTimeoutError):
            await self.link.call(forward("1"), SHORT_TIMEOUT_S)
        self.release_replies.set()
        await eventually(lambda: counted("peer_late_replies") == before + 1)
        self.assertTrue(self.link.connected)
        await eventually(lambda: not self.link.suspect)

    async def test_cancelled_forward_is_cancelled_at_the_peer(self):
        call = asyncio.create_task(self.link.call(forward("7"), 20))
        await eventually(lambda: self.received)
        call.cancel()
        await eventually(lambda: self.cancelled == ["7"])

    async def test_cancel_by_call_id(self):
        call_id = self.link.next_call_id()
        call = asyncio.create_task(self.link.call(forward("8"), 20, call_id=call_id))
        await eventually(lambda: self.received)
        await self.link.cancel(call_id)
        with self.assertRaises(PeerTimeoutError):
            await call
        await eventually(lambda: self.cancelled == ["8"])

    async def test_failing_handler_is_answered_with_failure(self):
        with self.assertLogs("greengagefall.protocol.server", "ERROR"):
            reply = await self.link.call(Fetch(0, {}), 20)
        self.assertIsInstance(reply, Failure)
        self.assertTrue(self.link.connected)

    async def test_outstanding_calls_are_bounded(self):
        previous, link.MAX_OUTSTANDING_CALLS = link.MAX_OUTSTANDING_CALLS, 2
        self.addCleanup(setattr, link, "MAX_OUTSTANDING_CALLS", previous)
        calls = [asyncio.create_task(self.link.call(forward(str(i)), 20)) for i in range(2)]
        await eventually(lambda: len(self.received) == 2)
        with self.assertRaisesRegex(PeerUnreachableError, "overloaded"):
            await self.link.call(heartbeat(), 1)
        self.release_replies.set()
        await asyncio.gather(*calls)

    async def test_message_that_the_peer_cannot_take_is_not_sent(self):
        body = bytes(DEFAULT_BUDGET_BYTES + 1)
        with self.assertRaises(PeerMemoryError):
            await self.link.call(forward("1")._replace(body=body), 20)
        self.assertEqual(self.received, [])
        self.assertIsInstance(await self.link.call(heartbeat(), 20), HeartbeatReply)

    async def test_server_pushes_to_a_host(self):
        pushed = []
        await self.start_link(on_message=pushed.append)
        # A link counts as connected before the server has read its hello.
        await eventually(lambda: len(self.server.peers()) == 2)
        documents = Documents(0, [["config", 1, "whole", "{}"]])
        self.assertTrue(self.server.send_to("a", documents))
        self.assertFalse(self.server.send_to("nobody", documents))
        await eventually(lambda: pushed == [documents])


class FaultTests(LinkTestCase):
    async def test_calls_to_a_cut_peer_time_out_until_it_is_healed(self):
        faults.cut(["b"])
        with self.assertRaises(PeerTimeoutError):
            await self.link.call(heartbeat(), SHORT_TIMEOUT_S)
        self.assertEqual(self.received, [])
        await eventually(lambda: not self.link.connected)
        faults.heal()
        await eventually(lambda: self.link.connected)
        self.assertIsInstance(await self.link.call(heartbeat(), 20), HeartbeatReply)

    async def test_blocked_link_sends_nothing(self):
        self.link.blocked = True
        with self.assertRaises(PeerTimeoutError):
            await self.link.call(heartbeat(), SHORT_TIMEOUT_S)
        self.assertEqual(self.received, [])

    async def test_reconnect_delays_of_many_links_are_spread_out(self):
        delays_ms = []

        def recorded(attempt, base_ms, cap_ms, rng):
            delay_ms = full_jitter(attempt, base_ms, cap_ms, rng)
            delays_ms.append(delay_ms)
            return delay_ms

        with mock.patch.object(link, "full_jitter", recorded):
            links = [PeerLink("127.0.0.1:1", hello_of("a")) for _ in range(12)]
            for peer_link in links:
                await peer_link.start()
                self.addAsyncCleanup(peer_link.close)
            await eventually(lambda: len(delays_ms) >= 60)
        self.assertGreater(len({round(delay_ms) for delay_ms in delays_ms}), 12)
        self.assertLessEqual(max(delays_ms), link.RECONNECT_CAP_MS)


class HeldUpMessageTests(LinkTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.passes = True
        self.ended_by_reset = asyncio.get_running_loop().create_future()
        relay = await asyncio.start_server(self.relay, "127.0.0.1", 0)
        self.addCleanup(relay.close)
        address = f"127.0.0.1:{relay.sockets[0].getsockname()[1]}"
        self.link = PeerLink(address, hello_of("a"))
        await self.link.start()
        self.addAsyncCleanup(self.link.close)
        await eventually(lambda: self.link.connected)

    async def relay(self, reader, writer) -> None:
        """Passes the bytes of both sides on until the test stops that."""
        host, _, port = self.server.address.rpartition(":")
        peer_reader, peer_writer = await asyncio.open_connection(host, int(port))

        async def answer() -> None:
            while data := await peer_reader.read(65_536):
                writer.write(data)

        answering = asyncio.create_task(answer())
        reset = False
        try:
            while data := await reader.read(65_536):
                if self.passes:
                    peer_writer.write(data)
        except ConnectionResetError:
            reset = True
        finally:
            answering.cancel()
            peer_writer.close()
            writer.close()
        if not self.ended_by_reset.done():
            self.ended_by_reset.set_result(reset)

    async def test_what_a_silent_peer_did_not_receive_does_not_arrive_later(self):
        self.passes = False
        with self.assertRaises(PeerLostError):
            await self.link.call(heartbeat(), CLOSE_TIMEOUT_S)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            self.assertTrue(await self.ended_by_reset)


class BadPeerTests(LinkTestCase):
    async def send_raw(self, *frames) -> None:
        """Sends raw frames and waits until the server closes the connection."""
        async with connect(f"ws://{self.server.address}/", proxy=None) as raw:
            try:
                for frame in frames:
                    await raw.send(frame)
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    while True:
                        await raw.recv()
            except ConnectionClosed:
                return

    async def test_malformed_frames_close_only_the_sending_peer(self):
        good = codec.encode(hello_of("x"))
        bad = [b"\xff", "text", cbor2.dumps(["cancel", -1]), cbor2.dumps(["cancel", [1]])]
        bad.append(codec.encode(hello_of("y")))
        before = counted("peer_frame_errors", reason="malformed")
        for frame in bad:
            with self.subTest(frame=frame):
                await self.send_raw(good, frame)
        await self.send_raw(b"no hello")
        await self.send_raw(cbor2.dumps(["hello", 1, 2, 3, 4, 5, 6, 7]))
        self.assertEqual(counted("peer_frame_errors", reason="malformed"), before + len(bad) + 2)
        self.assertIsInstance(await self.link.call(heartbeat(), 20), HeartbeatReply)

    async def test_other_version_is_refused_by_both_sides(self):
        before = counted("peer_frame_errors", reason="version")
        old = PeerLink(self.server.address, hello_of("old", version=0))
        await old.start()
        self.addAsyncCleanup(old.close)
        await eventually(lambda: counted("peer_frame_errors", reason="version") > before)
        self.assertNotIn("old", [peer.host for peer in self.server.peers()])
        new = PeerServer("127.0.0.1:0", hello_of("new", version=9), self.handle)
        await new.start()
        self.addAsyncCleanup(new.close)
        refused = PeerLink(new.address, hello_of("a"))
        await refused.start()
        self.addAsyncCleanup(refused.close)
        before = counted("peer_frame_errors", reason="version")
        await eventually(lambda: counted("peer_frame_errors", reason="version") > before)
        self.assertFalse(refused.connected)
