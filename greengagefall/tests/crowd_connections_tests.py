"""Tests of crowds that hold connections: silent, with half a head, or with heads without end.

At its limit of descriptors a host used a whole processor core and answered nobody.
"""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from greengagefall.tests import crowd_clients as clients
from greengagefall.tests.crowd_host import CrowdTestCase

CONNECTIONS = 700
HALF_HEAD_EVERY = 3
ENDLESS_HEADS = 250
OPENED_AGAIN = 300
HEAD_PAUSE_S = 0.01
SMALL_BODIES = 320
SMALL_BODY_BYTES = 200


async def silent(address):
    """Opens a connection and sends nothing."""
    async with clients.connection(address):
        await clients.stay_open()


async def half_head(address):
    """Sends the first half of a head."""
    async with clients.connection(address) as sock:
        await clients.send(sock, clients.head("GET", "/orders/1")[:40])
        await clients.stay_open()


async def endless_head(address):
    """Sends heads that never end, over new connections when one is closed."""
    while True:
        with contextlib.suppress(OSError):
            async with clients.connection(address) as sock:
                await clients.send(sock, clients.head("GET", "/orders/1")[:-2])
                while True:
                    await clients.send(sock, clients.ENDLESS_FIELD)
                    await asyncio.sleep(HEAD_PAUSE_S)
        await asyncio.sleep(clients.RETRY_PAUSE_S)


async def small_body(address):
    """Sends a small body but for its last byte."""
    async with clients.connection(address) as sock:
        await clients.send_whole(sock, SMALL_BODY_BYTES, left_out_bytes=1)
        await clients.stay_open()


async def stays_after_an_answer(address):
    """Gets an answer and stays connected; connects again when the connection is closed."""
    while True:
        with contextlib.suppress(OSError):
            async with clients.connection(address) as sock:
                await clients.send(sock, clients.head("GET", "/orders/1"))
                await clients.read_answer(sock)
                await clients.read(sock)
        await asyncio.sleep(clients.SLOW_PAUSE_S)


class CrowdOfConnectionsTests(CrowdTestCase):
    async def test_more_connections_than_descriptors_do_not_shut_others_out(self):
        # Guards against a host that can accept no connection any more.
        crowd = [silent if number % HALF_HEAD_EVERY else half_head for number in range(CONNECTIONS)]
        await self.check_crowd(crowd)

    async def test_heads_without_end_do_not_use_up_the_memory(self):
        # Guards against heads that are kept while they grow.
        await self.check_crowd([endless_head] * ENDLESS_HEADS)

    async def test_small_bodies_one_byte_short_do_not_shut_others_out(self):
        # Guards against unfinished bodies that need no memory but hold all connections.
        await self.check_crowd([small_body] * SMALL_BODIES)

    async def test_connections_that_stay_open_after_an_answer_do_not_shut_others_out(self):
        # Guards against idle connections that keep their descriptors.
        await self.check_crowd([stays_after_an_answer] * OPENED_AGAIN)


if __name__ == "__main__":
    unittest.main()
