"""Tests of the proxy that holds data back as a network partition does."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest

from greengagefall.bench.tcp_proxy import REPETITIONS_S, TcpProxy
from greengagefall.utils.sockets import reset_on_close

LATE_S = 0.3
SHORT_S = 0.1
TIMEOUT_S = 2.0


class HoldTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received: list[bytes] = []
        self.ends: list[str] = []
        self.peers: list[asyncio.StreamWriter] = []
        self.changed = asyncio.Event()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.proxy = TcpProxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.peers.append(writer)
        self.changed.set()
        try:
            while data := await reader.read(100):
                self.received.append(data)
                self.changed.set()
            self.ends.append("closed")
        except ConnectionError:
            self.ends.append("reset")
        self.changed.set()
        writer.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def connect_to_target(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        ends = await self.connect()
        await self.until(lambda: self.peers)
        return ends

    async def until(self, happened) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not happened():
                self.changed.clear()
                await self.changed.wait()

    def reset(self, writer: asyncio.StreamWriter) -> None:
        reset_on_close(writer.get_extra_info("socket"))
        writer.transport.abort()

    async def test_holds_data_and_delivers_it_late_in_order(self):
        _, writer = await self.connect_to_target()
        self.proxy.hold()
        for data in (b"a", b"b"):
            writer.write(data)
            await asyncio.sleep(SHORT_S)
        self.assertEqual(self.received, [])
        released_s = time.monotonic()
        self.proxy.release(lambda: LATE_S)
        writer.write(b"c")
        await self.until(lambda: len(b"".join(self.received)) == 3)
        self.assertEqual(b"".join(self.received), b"abc")
        self.assertGreaterEqual(time.monotonic() - released_s, LATE_S)

    async def test_holds_one_direction_only(self):
        reader, writer = await self.connect_to_target()
        self.proxy.hold(to_target=False)
        writer.write(b"a")
        await self.until(lambda: self.received)
        self.peers[0].write(b"b")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(SHORT_S):
                await reader.read(1)
        self.proxy.release()
        self.assertEqual(await reader.read(1), b"b")

    async def test_holds_only_the_connections_concerned(self):
        _, held = await self.connect_to_target()
        _, free = await self.connect()
        held_port = held.get_extra_info("sockname")[1]
        self.proxy.hold(concerns=lambda port: port == held_port)
        held.write(b"a")
        free.write(b"b")
        await self.until(lambda: self.received)
        _, new = await self.connect()
        new.write(b"c")
        await self.until(lambda: self.received == [b"b", b"c"])
        self.proxy.release()
        await self.until(lambda: len(self.received) == 3)
        self.assertEqual(self.received, [b"b", b"c", b"a"])

    async def test_delivers_the_close_after_the_data(self):
        _, writer = await self.connect_to_target()
        self.proxy.hold()
        writer.write(b"a")
        writer.close()
        await asyncio.sleep(SHORT_S)
        self.assertEqual((self.received, self.ends), ([], []))
        self.proxy.release()
        await self.until(lambda: self.ends)
        self.assertEqual((self.received, self.ends), ([b"a"], ["closed"]))

    async def test_reset_by_the_sender_discards_held_data(self):
        for released_first in (False, True):
            with self.subTest(released_first=released_first):
                self.received.clear()
                self.ends.clear()
                self.peers.clear()
                _, writer = await self.connect_to_target()
                self.proxy.hold()
                writer.write(b"a")
                await asyncio.sleep(SHORT_S)
                if released_first:
                    self.proxy.release(lambda: LATE_S)
                self.reset(writer)
                await asyncio.sleep(SHORT_S)
                self.assertEqual((self.received, self.ends), ([], []))
                self.proxy.release()
                await self.until(lambda: self.ends)
                self.assertEqual((self.received, self.ends), ([], ["reset"]))
        self.assertEqual(self.proxy.discarded, 2)

    # A proxy that takes a kill for a reset hides that a grant arrives long after its sender's end.
    async def test_what_a_killed_caller_wrote_is_repeated_after_the_hold(self):
        _, killed = await self.connect_to_target()
        _, gave_up = await self.connect()
        await self.until(lambda: len(self.peers) == 2)
        killed_port = killed.get_extra_info("sockname")[1]
        self.proxy.hold()
        written_s = time.monotonic()
        killed.write(b"a")
        gave_up.write(b"b")
        await asyncio.sleep(SHORT_S)
        self.proxy.outlive(lambda port: port == killed_port)
        self.reset(killed)
        self.reset(gave_up)
        await asyncio.sleep(REPETITIONS_S[0])
        self.proxy.release()
        await self.until(lambda: len(self.ends) == 2)
        self.assertGreaterEqual(time.monotonic() - written_s, REPETITIONS_S[1])
        self.assertEqual((self.received, self.ends), ([b"a"], ["reset", "closed"]))
        self.assertEqual(self.proxy.discarded, 1)

    async def test_what_a_killed_caller_wrote_does_not_reach_a_restarted_target(self):
        _, writer = await self.connect_to_target()
        self.proxy.hold()
        writer.write(b"a")
        await asyncio.sleep(SHORT_S)
        self.proxy.outlive(lambda port: True)
        self.reset(writer)
        self.proxy.reset()
        self.proxy.release()
        await asyncio.sleep(REPETITIONS_S[1])
        self.assertEqual((self.received, self.ends), ([], ["reset"]))

    async def test_a_new_connection_of_a_killed_caller_never_reaches_the_target(self):
        self.proxy.hold(from_target=False)
        _, writer = await self.connect()
        writer.write(b"a")
        await asyncio.sleep(SHORT_S)
        self.proxy.outlive(lambda port: True)
        self.reset(writer)
        self.proxy.release()
        await asyncio.sleep(REPETITIONS_S[1])
        self.assertEqual((self.peers, self.received), ([], []))

    async def test_a_new_connection_never_reaches_the_target(self):
        self.proxy.hold()
        reader, writer = await self.connect()
        writer.write(b"a")
        _, ended = await self.connect()
        ended.write(b"b")
        ended.close()
        await asyncio.sleep(SHORT_S)
        self.proxy.release()
        with self.assertRaises(ConnectionResetError):
            await reader.read(1)
        await asyncio.sleep(SHORT_S)
        self.assertEqual((self.peers, self.received), ([], []))

    async def test_the_end_of_the_target_shows_only_after_the_release(self):
        reader, writer = await self.connect_to_target()
        self.proxy.hold()
        writer.write(b"a")
        await asyncio.sleep(SHORT_S)
        self.proxy.reset()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(SHORT_S):
                await reader.read(1)
        self.proxy.release()
        with contextlib.suppress(ConnectionError):
            self.assertEqual(await reader.read(1), b"")
        self.assertEqual((self.received, self.ends), ([], ["reset"]))

    async def test_open_connections_live_on_while_new_ones_are_refused(self):
        _, writer = await self.connect_to_target()
        port = writer.get_extra_info("sockname")[1]
        self.proxy.refuses_from = lambda caller_port: True
        reader, _ = await self.connect()
        with contextlib.suppress(ConnectionError):
            self.assertEqual(await reader.read(1), b"")
        writer.write(b"still open")
        await self.until(lambda: self.received)
        self.assertEqual(len(self.peers), 1)
        self.proxy.refuses_from = lambda caller_port: caller_port == port
        await self.connect()
        await self.until(lambda: len(self.peers) == 2)

    async def test_resets_only_the_connections_concerned(self):
        _, writer = await self.connect_to_target()
        _, other = await self.connect()
        await self.until(lambda: len(self.peers) == 2)
        port = writer.get_extra_info("sockname")[1]
        self.proxy.reset(lambda caller_port: caller_port == port)
        await self.until(lambda: self.ends)
        other.write(b"still open")
        await self.until(lambda: self.received)
        self.assertEqual(self.ends, ["reset"])


if __name__ == "__main__":
    unittest.main()
