"""Tests of grants over new connections to a server that restarted under its id and address."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.gateway.grants import GrantManager
from greengagefall.gateway.server_health import ServerHealth
from greengagefall.gateway.server_knowledge import ServerKnowledge
from greengagefall.ownership.key_spans import KeySpan
from greengagefall.ownership.model import Assignment, KeyRange, ServerIncarnation
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
OTHER_KEYS = KeySpan(100, 109)
NEWEST_FENCE = 50
RELEASE_WORK_S = 0.4
# The store lists the former process for up to 3 s after it ended.
RESTART_AFTER_LOSS_S = 2.0


class NewConnectionGrantTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PlatformServerStandIn("s1", "orders", "a", keyed=True)
        self.taken: list[tuple[int, int]] = []
        self.server.on_grant = lambda server, grant: self.taken.append(
            (server.start_ms, grant.fence)
        )
        self.releases = 0
        self.server.on_release = self.count_release
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        clock = SystemClock()
        self.incarnation = ServerIncarnation("s1", self.server.start_ms)
        self.pool = ConnectionPool(self.server.address, ANSWER_LIMIT_BYTES)
        self.addCleanup(self.pool.close)
        # The store lists the entry of the former process all the while.
        knowledge = ServerKnowledge(
            restart_detection_s=1.3 * HEARTBEAT_S, entry_expiry_s=3.3 * HEARTBEAT_S
        )
        self.manager = GrantManager(
            self.incarnation, self.pool, ServerHealth(clock), clock, knowledge
        )
        self.pool.on_idle_close = self.manager.on_connection_lost
        self.addCleanup(self.manager.close)

    def count_release(self, server: PlatformServerStandIn, first: int, last: int) -> None:
        self.releases += 1

    def key_range(self, number: int) -> KeyRange:
        first = number * KEYS_PER_RANGE
        return KeyRange(first, first + KEYS_PER_RANGE - 1, self.incarnation, number + 1)

    async def grant(self, ranges: int) -> None:
        """Has a number of ranges granted for the first time."""
        self.manager.set_key_ranges([self.key_range(number) for number in range(ranges)])
        self.manager.start()
        self.assertTrue(await wait_until(lambda: len(self.taken) == ranges, 2.0))
        await asyncio.sleep(DOWN_S)

    async def fences_after_a_restart(self) -> list[int]:
        """Restarts the server unseen by the store; returns the fences that it takes then."""
        former_ms = self.server.start_ms
        await self.server.close()
        self.server.restart()
        self.server.release_work_s = 0.0
        await asyncio.sleep(DOWN_S)
        await self.server.start()
        await asyncio.sleep(WATCH_S)
        return [fence for start_ms, fence in self.taken if start_ms != former_ms]

    async def test_a_restart_that_a_kept_connection_shows_gets_no_former_fence(self):
        await self.grant(RANGES)
        self.assertEqual(await self.fences_after_a_restart(), [])

    async def test_a_restart_that_no_kept_connection_shows_gets_no_former_fence(self):
        # Answers had ended every connection, so that the next renewals opened new ones.
        self.server.closes_after_orders = True
        await self.grant(RANGES)
        self.assertEqual(await self.fences_after_a_restart(), [])

    async def test_a_restart_that_ends_a_release_gets_no_former_fence(self):
        # A release that lost its answer, on the only connection, was no sign of a restart.
        await self.grant(1)
        self.server.release_work_s = RELEASE_WORK_S
        release = asyncio.create_task(self.manager.release(*OTHER_KEYS, NEWEST_FENCE))
        self.addCleanup(release.cancel)
        self.assertTrue(await wait_until(lambda: self.releases, 1.0))
        self.assertEqual(await self.fences_after_a_restart(), [])

    async def test_a_restart_that_ends_a_notice_gets_no_former_fence(self):
        # The same for a notice of a newer fence.
        await self.grant(1)
        self.server.release_work_s = RELEASE_WORK_S
        owned = {"orders": (self.key_range(0),)}
        assignment = Assignment(1, NEWEST_FENCE, owned, {})
        self.manager.notices.set_assignment(assignment, "orders")
        self.assertTrue(await wait_until(lambda: self.releases, 1.0))
        self.assertEqual(await self.fences_after_a_restart(), [])

    async def test_a_restart_while_no_connection_is_kept_gets_no_former_fence(self):
        # The proof by an entry counted from the loss of all connections, none was opened since.
        await self.grant(1)
        await self.server.drop_connections()
        await asyncio.sleep(RESTART_AFTER_LOSS_S)
        self.assertEqual(await self.fences_after_a_restart(), [])


if __name__ == "__main__":
    unittest.main()
