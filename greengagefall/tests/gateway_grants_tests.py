"""Tests of granting keys after a connection to the server was lost."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from greengagefall.dispatch.exceptions import AnswerTimeoutError, SendRefusedError
from greengagefall.gateway.grants import MAX_FIRST_GRANT_AGE_S, GrantManager
from greengagefall.gateway.server_health import ServerHealth
from greengagefall.gateway.server_knowledge import ServerKnowledge
from greengagefall.ownership.key_grants import max_grant_lifetime_s
from greengagefall.ownership.model import KeyRange, ServerIncarnation
from greengagefall.utils.clock import ManualClock, SystemClock
from greengagefall.utils.waiting import wait_until

INCARNATION = ServerIncarnation("s1", 1)
KEY_RANGE = KeyRange(0, 9, INCARNATION, 1)
# The server renews its entry every 1.5 s, and changes arrive up to 0.5 s late.
RESTART_DETECTION_S = 1.3 * 1.5 + 0.5
STALL_S = 1.0


class GrantingPool:
    """Connections to a server that accepts every grant; records when each one was sent.

    Attributes:
        status: HTTP status of the answers.
    """

    def __init__(self, clock) -> None:
        self._clock = clock
        self.sent_s: list[float] = []
        self.requests = []
        self.status = 200

    async def exchange(self, request, timeout_s, may_send, matches=None):
        if not may_send():
            raise SendRefusedError("the grant is no longer current")
        self.requests.append(request)
        self.sent_s.append(self._clock.now_s())
        return SimpleNamespace(status=self.status, headers={})


class UnverifiedIncarnationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        clock = SystemClock()
        self.clock = clock
        self.pool = GrantingPool(clock)
        health = ServerHealth(clock)
        self.manager = GrantManager(
            INCARNATION,
            self.pool,
            health,
            clock,
            ServerKnowledge(restart_detection_s=RESTART_DETECTION_S),
        )
        self.manager.set_key_ranges([KEY_RANGE])
        self.manager.start()
        self.addCleanup(self.manager.close)
        self.assertTrue(await wait_until(lambda: self.pool.sent_s, 2.0))

    async def lose_connection(self) -> float:
        self.manager.on_connection_lost()
        lost_s = self.clock.now_s()
        self.pool.sent_s.clear()
        return lost_s

    async def test_nothing_is_granted_until_a_restart_would_be_known(self):
        lost_s = await self.lose_connection()
        self.assertTrue(await wait_until(lambda: self.pool.sent_s, RESTART_DETECTION_S + 2.0))
        self.assertGreaterEqual(self.pool.sent_s[0] - lost_s, RESTART_DETECTION_S)

    async def test_executed_request_for_a_held_key_verifies_the_incarnation(self):
        lost_s = await self.lose_connection()
        await asyncio.sleep(0.1)
        self.manager.on_request_executed(KEY_RANGE.first, self.clock.now_s())
        self.assertTrue(await wait_until(lambda: self.pool.sent_s, 1.0))
        self.assertLess(self.pool.sent_s[0] - lost_s, 1.0)

    async def test_a_grant_names_its_server_and_ends_at_another_one(self):
        self.assertIn(["Expected-Instance", "s1"], self.pool.requests[0].headers)
        self.pool.status = 421
        self.pool.sent_s.clear()
        self.assertTrue(await wait_until(lambda: self.pool.sent_s, 2.0))
        self.assertTrue(await wait_until(lambda: not self.manager.holds(5), 4.0))
        self.assertEqual(len(self.pool.sent_s), 1)


class FirstGrantTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.pool = GrantingPool(self.clock)
        self.age_s = 0.0
        self.manager = GrantManager(
            INCARNATION,
            self.pool,
            ServerHealth(self.clock),
            self.clock,
            ServerKnowledge(assignment_age_s=lambda: self.age_s),
        )
        self.manager.set_key_ranges([KEY_RANGE])

    async def grant(self) -> bool:
        return await self.manager.grant(*KEY_RANGE[:2], KEY_RANGE.fence, "")

    async def test_a_former_dispatcher_grants_no_fence_for_the_first_time_by_an_old_assignment(
        self,
    ):
        # A later process of the server took it, although the keys had moved on meanwhile.
        self.age_s = MAX_FIRST_GRANT_AGE_S + 0.1
        self.assertFalse(await self.grant())
        self.assertEqual(self.pool.requests, [])

    async def test_a_fence_that_was_granted_is_renewed_by_an_older_assignment(self):
        self.assertTrue(await self.grant())
        self.age_s = MAX_FIRST_GRANT_AGE_S + 0.1
        self.assertTrue(await self.grant())


class RefusedGrantTests(unittest.IsolatedAsyncioTestCase):
    async def test_keys_whose_fence_the_server_refuses_need_a_new_one(self):
        # They had no owner for good after an outdated notice under a higher fence.
        clock = ManualClock()
        pool = GrantingPool(clock)
        pool.status = 409
        manager = GrantManager(INCARNATION, pool, ServerHealth(clock), clock)
        manager.set_key_ranges([KEY_RANGE])
        self.assertFalse(await manager.grant(*KEY_RANGE[:2], KEY_RANGE.fence, ""))
        self.assertEqual(manager.fence_to_replace(), KEY_RANGE.fence)
        manager.set_key_ranges([KEY_RANGE._replace(fence=KEY_RANGE.fence + 1)])
        self.assertEqual(manager.fence_to_replace(), 0)


class LateTimeoutTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_timeout_that_fires_late_prolongs_the_wait_for_the_grant(self):
        clock = ManualClock()

        class StalledPool:
            async def exchange(self, request, timeout_s, may_send, matches=None):
                may_send()
                clock.advance(timeout_s + STALL_S)
                raise AnswerTimeoutError("the event loop was busy")

        manager = GrantManager(INCARNATION, StalledPool(), ServerHealth(clock), clock)
        manager.set_key_ranges([KEY_RANGE])
        await manager.grant(*KEY_RANGE[:2], KEY_RANGE.fence, "")
        expires_s = manager._tracker.grants_expired_by_s(KEY_RANGE.first, KEY_RANGE.last)
        self.assertAlmostEqual(expires_s, clock.now_s() + max_grant_lifetime_s())


if __name__ == "__main__":
    unittest.main()
