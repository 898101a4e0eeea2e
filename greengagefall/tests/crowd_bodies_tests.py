"""Tests of crowds that send large bodies of legal size.

A host kept all that such clients had sent, and its process grew until it had to end.
"""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from functools import partial

from greengagefall.tests import crowd_clients as clients
from greengagefall.tests.crowd_host import CrowdTestCase

BODY_BYTES = 1_000_000
LARGE_BODY_BYTES = 3_000_000
CLIENTS = 240
LARGE_CLIENTS = 40
ONE_AFTER_ANOTHER_CLIENTS = 60
SENDERS = (clients.send_whole, clients.send_chunks)


async def left_open(send_body, size_bytes, address):
    """Sends a body but for its last byte, and keeps the connection open."""
    async with clients.connection(address) as sock:
        await send_body(sock, size_bytes, left_out_bytes=1)
        await clients.stay_open()


async def complete(send_body, size_bytes, address):
    """Sends complete requests over new connections until the crowd ends."""
    while True:
        with contextlib.suppress(OSError):
            async with clients.connection(address) as sock:
                await send_body(sock, size_bytes)
                await clients.read_answer(sock)
        await asyncio.sleep(clients.RETRY_PAUSE_S)


async def one_after_another(address):
    """Sends one body after another over the same connection."""
    while True:
        with contextlib.suppress(OSError):
            async with clients.connection(address) as sock:
                while True:
                    await clients.send_whole(sock, BODY_BYTES)
                    await clients.read_answer(sock)
        await asyncio.sleep(clients.RETRY_PAUSE_S)


def spread(make_client, senders, count, size_bytes):
    """Returns clients that take turns in how they send."""
    return [
        partial(make_client, senders[number % len(senders)], size_bytes) for number in range(count)
    ]


class CrowdOfBodiesTests(CrowdTestCase):
    async def test_bodies_that_stop_one_byte_short_do_not_use_up_the_memory(self):
        # Guards against bodies without an end that are kept until their connections end.
        await self.check_crowd(spread(left_open, SENDERS, CLIENTS, BODY_BYTES))

    async def test_large_bodies_piece_by_piece_do_not_use_up_the_memory(self):
        # Guards against bodies that grow slowly and look alive.
        senders = (clients.send_pieces,)
        await self.check_crowd(spread(left_open, senders, LARGE_CLIENTS, LARGE_BODY_BYTES))

    async def test_complete_bodies_at_once_do_not_use_up_the_memory(self):
        # Guards against complete bodies that wait for a backend server.
        await self.check_crowd(spread(complete, SENDERS, LARGE_CLIENTS, LARGE_BODY_BYTES))

    async def test_many_bodies_on_each_connection_do_not_use_up_the_memory(self):
        # Guards against memory that is not given back between the requests of a connection.
        await self.check_crowd([one_after_another] * ONE_AFTER_ANOTHER_CLIENTS)


if __name__ == "__main__":
    unittest.main()
