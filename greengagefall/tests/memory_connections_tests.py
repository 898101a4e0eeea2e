"""Tests of which connections of clients are closed, and of limits that change."""

from __future__ import annotations

import unittest

from greengagefall.memory.account import PROGRESS_BYTES
from greengagefall.memory.budget import BODIES, FILE_DESCRIPTORS, plan_budget
from greengagefall.memory.client_limits import (
    DEFAULT_LIMITS,
    KEEP_FORMER_S,
    ClientLimits,
    LimitHistory,
)
from greengagefall.memory.connections import (
    HEADER_TIMEOUT,
    HEADS_MEMORY,
    IDLE_TIMEOUT,
    MIN_SILENT_S,
    MIN_TRANSFER_STALL_S,
    ConnectionRegister,
    State,
)
from greengagefall.memory.host_memory import open_host_memory
from greengagefall.utils.clock import ManualClock

LIMITS = ClientLimits(16_384, 1_000_000, 20.0, 5.0)
MEMORY_BYTES = 100_000_000
MAX_DESCRIPTORS = 400
MAX_CONNECTIONS = 8
MAX_HEADS_BYTES = 100_000
# Well-behaved clients use connections again up to this share of the idle timeout.
USED_SHARE = 0.8


class ConnectionRegisterTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.register = ConnectionRegister(self.clock, MAX_CONNECTIONS, MAX_HEADS_BYTES)

    def open(self, state):
        connection = self.register.open()
        connection.enter(state, self.clock.now_s())
        return connection

    def overdue(self):
        return {closing.connection: closing.reason for closing in self.register.overdue(LIMITS)}

    def test_a_connection_in_use_again_in_time_is_not_cut(self):
        # Guards against cutting a client that keeps to the configuration.
        idle = self.open(State.IDLE)
        self.clock.advance(USED_SHARE * LIMITS.idle_timeout_s)
        self.assertEqual(self.overdue(), {})
        self.clock.advance(LIMITS.idle_timeout_s)
        self.assertEqual(self.overdue(), {idle: IDLE_TIMEOUT})

    def test_half_a_head_is_closed_after_the_header_timeout(self):
        # Guards against header blocks that never end.
        half = self.open(State.HEAD)
        self.clock.advance(LIMITS.header_timeout_s + 0.1)
        self.assertEqual(self.overdue(), {half: HEADER_TIMEOUT})

    def test_a_request_that_is_being_executed_has_no_timeout_here(self):
        # Guards against cutting requests that wait for a slow server.
        self.open(State.SERVING)
        self.clock.advance(1000.0)
        self.assertEqual(self.overdue(), {})

    def test_the_largest_heads_are_closed_beyond_their_share(self):
        # Guards against many heads that are each below the limit.
        heads = [self.open(State.HEAD) for _ in range(4)]
        for connection, size_bytes in zip(heads, (10_000, 60_000, 20_000, 30_000), strict=True):
            connection.head_bytes = size_bytes
        self.assertEqual(self.overdue(), {heads[1]: HEADS_MEMORY})

    def test_room_is_made_by_the_oldest_connection_without_a_request(self):
        # Guards against closing connections that clients use.
        used = self.open(State.IDLE)
        silent = self.open(State.SILENT)
        self.clock.advance(MIN_SILENT_S)
        self.open(State.SILENT)
        self.assertIs(self.register.find_removable(), silent)
        self.register.remove(silent)
        self.assertIsNone(self.register.find_removable())
        self.assertIn(used, self.register.connections())

    def test_room_is_made_by_a_body_without_progress(self):
        # Guards against small unfinished bodies that hold all connections until their timeout.
        memory = open_host_memory(MEMORY_BYTES, MAX_DESCRIPTORS, self.clock)
        stalled, working = (memory.account.open(BODIES, None) for _ in range(2))
        connection = self.register.open()
        connection.enter(State.BODY, self.clock.now_s(), stalled)
        self.register.open().enter(State.BODY, self.clock.now_s(), working)
        self.assertIsNone(self.register.find_removable())
        self.clock.advance(MIN_TRANSFER_STALL_S)
        working.advance(PROGRESS_BYTES)
        self.assertIs(self.register.find_removable(), connection)

    def test_answers_ask_to_close_before_the_last_connection_is_used(self):
        # Guards against idle connections that leave no room for new ones.
        while not self.register.nearly_full:
            self.open(State.IDLE)
        self.assertTrue(self.register.has_room)

    def test_connections_leave_descriptors_for_servers_and_files(self):
        # Guards against clients that take the descriptors of the store and the servers.
        budget = plan_budget(552_000_000, 1638)
        self.assertLess(budget.connections, 0.8 * (1638 - FILE_DESCRIPTORS))


class LimitHistoryTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.history = LimitHistory(self.clock)

    def test_a_lowered_limit_waits_for_clients_of_the_former_configuration(self):
        # Guards against cutting clients that have not heard of the newest configuration.
        self.history.update(LIMITS._replace(idle_timeout_s=60.0))
        self.clock.advance(KEEP_FORMER_S)
        self.history.update(LIMITS._replace(max_body_bytes=2_000_000))
        mixed = self.history.current()
        self.assertEqual((mixed.idle_timeout_s, mixed.max_body_bytes), (60.0, 2_000_000))
        self.clock.advance(KEEP_FORMER_S)
        self.history.update(LIMITS._replace(max_body_bytes=2_000_000))
        self.assertEqual(self.history.current().idle_timeout_s, LIMITS.idle_timeout_s)

    def test_defaults_are_in_force_before_the_first_configuration(self):
        # Guards against a host that rejects everything while it starts.
        self.assertEqual(self.history.current(), DEFAULT_LIMITS)


if __name__ == "__main__":
    unittest.main()
