"""Tests of moves of key ranges whose fences change before they are over."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.gateway.host_reports import HostReports
from greengagefall.gateway.peers import UNREACHABLE
from greengagefall.gateway.range_moves import RangeMoves
from greengagefall.ownership.key_moves import replace_fences
from greengagefall.ownership.model import (
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.ownership.pending_notices import PendingNotice
from greengagefall.protocol.gateway_messages import GrantKeys, KeysGranted
from greengagefall.tests.virtual_time import LoopClock, VirtualTimeTestCase

SERVICE = "proofdesk"
SOURCE, OWNER = ServerIncarnation("s0", 1), ServerIncarnation("s1", 1)
MOVING = KeyRange(0, 99, OWNER, 7, SOURCE)
DISPATCHER = DispatcherRecord(HostIncarnation("h0", 1))
ASSIGNMENT = Assignment(
    4, 7, {SERVICE: (MOVING,)}, {SOURCE.server_id: DISPATCHER, OWNER.server_id: DISPATCHER}
)
# Hosts renew grants for 8 s without a coordinator, and a grant lasts for 3.1 s at most.
WAIT_S = 11.1
REPLACED_S = 6.0
STORED_S = 0.05


class LostSource:
    """Peers of which the former owner's dispatcher does not reply.

    Attributes:
        orders: The orders to grant keys, and when they came.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.orders: list[tuple[GrantKeys, float]] = []
        self._loop = loop

    async def call(self, name, message, timeout_s):
        if isinstance(message, GrantKeys):
            self.orders.append((message, self._loop.time()))
            return KeysGranted(0, True)
        await asyncio.sleep(0.1)
        return UNREACHABLE


class RangeMovesTests(VirtualTimeTestCase):
    def setUp(self):
        super().setUp()
        self.peers = LostSource(self.loop)
        clock = LoopClock(self.loop)
        self.noted: list[tuple[ServerIncarnation, PendingNotice, float]] = []
        self.moves = RangeMoves(self.peers, HostReports(clock), clock, lambda: None, self.note)
        self.replaced = replace_fences(ASSIGNMENT, lambda key_range: True)

    async def note(self, server: ServerIncarnation, service: str, notice: PendingNotice) -> None:
        await asyncio.sleep(STORED_S)
        self.noted.append((server, notice, self.loop.time()))

    async def play(self, replaced: Assignment) -> None:
        """Waits for a move whose assignment is replaced before the move is over."""
        self.moves.set_written(ASSIGNMENT)
        self.moves.start()
        await asyncio.sleep(REPLACED_S)
        self.moves.set_written(replaced)
        self.moves.start()
        await asyncio.sleep(REPLACED_S + WAIT_S)
        await self.moves.close()

    def test_a_moving_range_gets_a_new_fence_and_goes_on_to_move(self):
        # Its new owner may have been granted it under the former fence.
        self.assertEqual(self.replaced.key_ranges[SERVICE], (MOVING._replace(fence=8),))
        self.assertEqual(self.replaced.last_fence, 8)

    def test_a_move_with_a_new_fence_is_granted_under_it_alone_after_one_wait(self):
        self.loop.run_until_complete(self.play(self.replaced._replace(version=5)))
        (order, at_s), *others = self.peers.orders
        self.assertEqual(others, [])
        self.assertEqual(order.fence, 8)
        self.assertAlmostEqual(at_s, WAIT_S, delta=0.2)

    def test_what_the_former_owner_has_to_be_told_is_recorded_before_the_grant(self):
        # A record that comes later is lost with a coordinator that ends in between.
        self.loop.run_until_complete(self.play(self.replaced._replace(version=5)))
        ((server, notice, noted_s),) = self.noted
        ((_, granted_s),) = self.peers.orders
        self.assertEqual((server, notice), (SOURCE, PendingNotice(0, 99, 8)))
        self.assertLessEqual(noted_s, granted_s)

    def test_a_move_that_may_have_begun_again_meanwhile_waits_anew(self):
        # Versions of another coordinator lie between, in which the source may have owned the keys.
        self.loop.run_until_complete(self.play(self.replaced._replace(version=9)))
        (_, at_s), *others = self.peers.orders
        self.assertEqual(others, [])
        self.assertAlmostEqual(at_s, REPLACED_S + WAIT_S, delta=0.2)


if __name__ == "__main__":
    unittest.main()
