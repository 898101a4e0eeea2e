"""Tests of granting keys after a connection to the server was lost."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from greengagefall.gateway.grants import GrantManager
from greengagefall.gateway.server_health import ServerHealth
from greengagefall.ownership.model import KeyRange, ServerIncarnation
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.waiting import wait_until

LIFE = ServerIncarnation("s1", 1)
RUN = KeyRange(0, 9, LIFE, 1)
# A server that beats each 1.5 s, with changes that are learnt up to 0.5 s late.
DOUBT_S = 1.3 * 1.5 + 0.5


class GrantingPool:
    """Connections to a server that takes every grant; notes when each one was sent."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.sent_s: list[float] = []

    async def exchange(self, request, timeout_s, may_send, matches=None):
        if may_send():
            self.sent_s.append(self._clock.now_s())
        return SimpleNamespace(status=200, headers={})


class DoubtTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        clock = SystemClock()
        self.clock = clock
        self.pool = GrantingPool(clock)
        health = ServerHealth(clock)
        self.keeper = GrantManager(
            LIFE, self.pool, health, clock, lambda: True, lambda: True, DOUBT_S
        )
        self.keeper.set_key_ranges([RUN])
        self.keeper.start()
        self.addCleanup(self.keeper.close)
        self.assertTrue(await wait_until(lambda: self.pool.sent_s, 2.0))

    async def lose_connection(self) -> float:
        self.keeper.on_connection_lost()
        lost_s = self.clock.now_s()
        self.pool.sent_s.clear()
        return lost_s

    async def test_nothing_is_granted_until_another_life_would_be_known(self):
        lost_s = await self.lose_connection()
        self.assertTrue(await wait_until(lambda: self.pool.sent_s, DOUBT_S + 2.0))
        self.assertGreaterEqual(self.pool.sent_s[0] - lost_s, DOUBT_S)

    async def test_a_run_for_a_held_key_ends_the_doubt(self):
        lost_s = await self.lose_connection()
        await asyncio.sleep(0.1)
        self.keeper.on_request_executed(self.clock.now_s())
        self.assertTrue(await wait_until(lambda: self.pool.sent_s, 1.0))
        self.assertLess(self.pool.sent_s[0] - lost_s, 1.0)


if __name__ == "__main__":
    unittest.main()
