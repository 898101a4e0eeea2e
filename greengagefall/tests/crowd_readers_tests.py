"""Tests of crowds that ask for large answers and read them slowly or not at all.

A host kept every answer until its client had read it.
"""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from greengagefall.tests import crowd_clients as clients
from greengagefall.tests.crowd_host import ANSWER_BYTES, CrowdTestCase

CLIENTS = 40
REQUEST_PATH = "/orders/1"


async def reads_nothing(address):
    """Asks for an answer and reads nothing of it."""
    async with clients.connection(address, clients.RECEIVE_BUFFER_BYTES) as sock:
        await clients.send(sock, clients.head("GET", REQUEST_PATH))
        await clients.stay_open()


async def reads_a_byte_a_second(address):
    """Asks for an answer and reads a byte of it each second."""
    async with clients.connection(address, clients.RECEIVE_BUFFER_BYTES) as sock:
        await clients.send(sock, clients.head("GET", REQUEST_PATH))
        while True:
            await clients.read(sock, 1)
            await asyncio.sleep(clients.SLOW_PAUSE_S)


async def reads_and_asks_again(address):
    """Reads whole answers and asks for the next one on the same connection."""
    while True:
        with contextlib.suppress(OSError):
            async with clients.connection(address, clients.RECEIVE_BUFFER_BYTES) as sock:
                while True:
                    await clients.send(sock, clients.head("GET", REQUEST_PATH))
                    await clients.read_answer(sock)
        await asyncio.sleep(clients.RETRY_PAUSE_S)


class CrowdOfReadersTests(CrowdTestCase):
    def pooled_answer_bytes(self):
        return ANSWER_BYTES

    async def test_answers_that_are_not_read_do_not_use_up_the_memory(self):
        # Guards against answers that are kept for clients that never read them.
        await self.check_crowd([reads_nothing] * CLIENTS)

    async def test_answers_read_a_byte_a_second_do_not_use_up_the_memory(self):
        # Guards against readers that are never quite without progress.
        await self.check_crowd([reads_a_byte_a_second] * CLIENTS)

    async def test_readers_that_ask_again_do_not_use_up_the_memory(self):
        # Guards against memory that is not given back between answers.
        await self.check_crowd([reads_and_asks_again] * CLIENTS)


if __name__ == "__main__":
    unittest.main()
