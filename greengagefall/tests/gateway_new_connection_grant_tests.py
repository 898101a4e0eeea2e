"""Tests of grants over new connections to a server that restarted under its id and address."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.gateway.grants import GrantManager
from greengagefall.gateway.server_health import ServerHealth
from greengagefall.gateway.server_knowledge import ServerKnowledge
from greengagefall.ownership.model import KeyRange, ServerIncarnation
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.waiting import wait_until

HEARTBEAT_S = 1.0
ANSWER_LIMIT_BYTES = 10_000
# Shorter than the interval of renewals, so that no call finds the server away.
DOWN_S = 0.05
WATCH_S = 1.5
RANGES = 4
KEYS_PER_RANGE = 10


class NewConnectionGrantTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PlatformServerStandIn("s1", "orders", "a", keyed=True)
        self.taken: list[tuple[int, int]] = []
        self.server.on_grant = lambda server, grant: self.taken.append(
            (server.start_ms, grant.fence)
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        clock = SystemClock()
        incarnation = ServerIncarnation("s1", self.server.start_ms)
        self.pool = ConnectionPool(self.server.address, ANSWER_LIMIT_BYTES)
        self.addCleanup(self.pool.close)
        # The store lists the entry of the former process all the while.
        knowledge = ServerKnowledge(
            restart_detection_s=1.3 * HEARTBEAT_S, entry_expiry_s=3.3 * HEARTBEAT_S
        )
        self.manager = GrantManager(incarnation, self.pool, ServerHealth(clock), clock, knowledge)
        self.pool.on_idle_close = self.manager.on_connection_lost
        self.manager.set_key_ranges(
            [
                KeyRange(
                    number * KEYS_PER_RANGE,
                    (number + 1) * KEYS_PER_RANGE - 1,
                    incarnation,
                    number + 1,
                )
                for number in range(RANGES)
            ]
        )
        self.addCleanup(self.manager.close)

    async def fences_after_a_restart(self) -> list[int]:
        """Returns the former fences that the server takes after it restarted unseen."""
        self.manager.start()
        self.assertTrue(await wait_until(lambda: len(self.taken) == RANGES, 2.0))
        await asyncio.sleep(DOWN_S)
        former_ms = self.server.start_ms
        await self.server.close()
        self.server.restart()
        await asyncio.sleep(DOWN_S)
        await self.server.start()
        await asyncio.sleep(WATCH_S)
        return [fence for start_ms, fence in self.taken if start_ms != former_ms]

    async def test_a_restart_that_a_kept_connection_shows_gets_no_former_fence(self):
        self.assertEqual(await self.fences_after_a_restart(), [])

    async def test_a_restart_that_no_kept_connection_shows_gets_no_former_fence(self):
        # Answers had ended every connection, so that the next renewals opened new ones.
        self.server.closes_after_orders = True
        self.assertEqual(await self.fences_after_a_restart(), [])


if __name__ == "__main__":
    unittest.main()
