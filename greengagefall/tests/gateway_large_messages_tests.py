"""Tests of large bodies and answers through two gateway processes."""

from __future__ import annotations

import unittest

from greengagefall.bench.large_messages import CONCURRENT, HOSTS, MB, OK, LargeMessageFleet

# The two hosts may use 552 MB each; callers' bodies are bounded by another part.
PEAK_LIMIT_MIB = 1500
REFUSED = {502, 503}


class LargeMessageTests(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, **options) -> None:
        self.fleet = LargeMessageFleet(**options)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.entry = await self.fleet.entry_host()

    async def send(self, size_bytes: int, count: int) -> list[int]:
        """Sends bodies at once, checks the answers, and returns their statuses."""
        outcomes = await self.fleet.exchange_at_once(self.entry, size_bytes, count)
        for outcome in outcomes:
            self.assertTrue(outcome.is_right or outcome.status in REFUSED, outcome.status)
        return [outcome.status for outcome in outcomes]

    def assert_hosts_are_alive(self):
        for host in HOSTS:
            self.assertTrue(self.fleet.is_running(host))
            self.assertLess(self.fleet.peak_mib(host), PEAK_LIMIT_MIB)

    async def test_large_bodies_and_answers_pass_two_hosts(self):
        # Guards against 503 for a legal body and 502 for a legal answer of more than one frame.
        await self.start_fleet()
        for size_bytes in (1 * MB, 5 * MB, 20 * MB, 50 * MB):
            with self.subTest(size_bytes=size_bytes):
                self.assertEqual(await self.send(size_bytes, 1), [OK])
        for size_bytes in (1 * MB, 5 * MB):
            with self.subTest(size_bytes=size_bytes, at_once=CONCURRENT):
                self.assertEqual(await self.send(size_bytes, CONCURRENT), [OK] * CONCURRENT)
        for size_bytes in (20 * MB, 50 * MB):
            with self.subTest(size_bytes=size_bytes, at_once=CONCURRENT):
                self.assertIn(OK, await self.send(size_bytes, CONCURRENT))
                # All memory is returned afterwards.
                self.assertEqual(await self.send(size_bytes, 1), [OK])
        self.assert_hosts_are_alive()

    async def test_what_exceeds_the_memory_of_a_host_is_refused(self):
        # Guards against a process that ends because of one message.
        await self.start_fleet(memory_mb=160)
        self.assertEqual(await self.send(50 * MB, 1), [503])
        self.assertEqual(await self.send(20 * MB, 1), [OK])
        self.fleet.server.echoes = False
        self.fleet.server.answer_bytes = 50 * MB
        for host in HOSTS:
            self.assertEqual((await self.fleet.exchange(host, b"x")).status, 502)
        self.assert_hosts_are_alive()
