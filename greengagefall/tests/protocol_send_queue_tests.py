"""Tests of the decision what a link writes next."""

from __future__ import annotations

import unittest

from greengagefall.protocol.codec import decode
from greengagefall.protocol.exceptions import PeerUnreachableError, SendMemoryError
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.protocol.messages import Answer, Documents, Forward, Fragment, FragmentsEnd
from greengagefall.protocol.send_queue import (
    FRAGMENT_BYTES,
    MAX_WAITING_BYTES,
    WINDOW_BYTES,
    SendQueue,
)


def answer(call_id: int, size_bytes: int) -> Answer:
    return Answer(call_id, "r", 200, [], bytes(size_bytes), 0, 0.0)


def forward(call_id: int, size_bytes: int) -> Forward:
    body = bytes(size_bytes)
    return Forward(call_id, "r", "b", "s", 1, 1, 1, "PUT", "/", [], body, 900, True, 0, "c", "")


class SendQueueTests(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget(10 * FRAGMENT_BYTES)
        self.queue = SendQueue(self.budget)

    def written(self, now_s: float = 0.0) -> list:
        parts = []
        while (part := self.queue.next(now_s)) is not None:
            parts.append(part)
        return parts

    def call_ids(self) -> list[int]:
        return [part.message.call_id for part in self.written()]

    def test_bodies_wait_for_the_write_buffer(self):
        # Guards against answers that precede control messages, and that wait needlessly.
        full_bytes = WINDOW_BYTES + 1
        self.assertFalse(self.queue.must_wait(b"x", WINDOW_BYTES))
        self.assertTrue(self.queue.must_wait(b"x", full_bytes))
        self.assertTrue(self.queue.must_wait(bytes(FRAGMENT_BYTES + 1), 0))
        self.queue.add(answer(1, 1), 0.0)
        self.assertTrue(self.queue.must_wait(b"x", 0))

    def test_messages_take_turns_and_fragments_keep_their_order(self):
        # Guards against large messages that hold up each other or the small ones beside them.
        self.queue.add(answer(1, 2 * FRAGMENT_BYTES + 1), 0.0)
        self.queue.add(answer(2, 2 * FRAGMENT_BYTES), 0.0)
        self.queue.add(answer(3, 10), 0.0)
        parts = [part.message for part in self.written()]
        self.assertEqual([part.call_id for part in parts], [1, 2, 3, 1, 2, 1, 2, 1])
        offsets = [part.offset for part in parts if isinstance(part, Fragment) and part.call_id < 2]
        self.assertEqual(offsets, [0, FRAGMENT_BYTES, 2 * FRAGMENT_BYTES])

    def test_large_control_messages_go_before_bodies(self):
        # Guards against an assignment that waits for all answers of a connection.
        self.queue.add(answer(1, 2 * FRAGMENT_BYTES), 0.0)
        documents = Documents(5, [])
        self.queue.add_control(documents, bytes(FRAGMENT_BYTES + 1), 0.0)
        self.assertEqual(self.call_ids(), [5, 5, 5, 1, 1, 1])

    def test_a_wait_is_taken_off_the_remaining_time(self):
        # Guards against a dispatcher that counts the deadline from the arrival of a late request.
        for size_bytes in (1, FRAGMENT_BYTES + 1):
            with self.subTest(size_bytes=size_bytes):
                self.queue.add(forward(1, size_bytes), 10.0)
                last = self.written(10.5)[-1]
                self.assertEqual(last.waited_s, 0.5)
                frame = last.message.frame if size_bytes > 1 else None
                message = last.message if frame is None else decode(frame)
                self.assertEqual(message.remaining_ms, 400)

    def test_a_dropped_message_is_not_continued_and_tells_what_was_written(self):
        # Guards against fragments of cancelled calls, and a refusal "not sent" that is not true.
        self.queue.add(answer(1, 3 * FRAGMENT_BYTES), 0.0, reserve=True)
        self.assertEqual(self.budget.reserved_bytes, 3 * FRAGMENT_BYTES)
        self.queue.next(0.0)
        self.assertTrue(self.queue.holds(1))
        self.assertEqual(self.queue.drop(1), FRAGMENT_BYTES)
        self.assertIsNone(self.queue.drop(1))
        self.assertEqual(self.written(), [])
        self.assertEqual(self.budget.reserved_bytes, 0)

    def test_a_message_is_held_until_its_last_part_is_written(self):
        # Guards against a call that is reported as not sent after the peer could handle it.
        self.queue.add(answer(1, FRAGMENT_BYTES + 1), 0.0)
        held = []
        while part := self.queue.next(0.0):
            held.append((type(part.message), self.queue.holds(1)))
        self.assertEqual(held, [(Fragment, True), (Fragment, True), (FragmentsEnd, False)])

    def test_memory_is_bounded_and_returned(self):
        # Guards against replies to a peer that does not read, which would use up the memory.
        self.queue.add(answer(1, 6 * FRAGMENT_BYTES), 0.0, reserve=True)
        with self.assertRaises(SendMemoryError):
            self.queue.add(answer(2, 6 * FRAGMENT_BYTES), 0.0, reserve=True)
        self.queue.add(answer(4, FRAGMENT_BYTES), 0.0, reserve=True)
        self.assertEqual(self.budget.reserved_bytes, 7 * FRAGMENT_BYTES)
        self.queue.drop(4)
        size_bytes = FRAGMENT_BYTES // 2
        for number in range(MAX_WAITING_BYTES // size_bytes):
            self.queue.add(answer(10 + number, size_bytes), 0.0)
        with self.assertRaises(PeerUnreachableError):
            self.queue.add(answer(3, 1), 0.0)
        self.queue.clear()
        self.assertEqual(self.budget.reserved_bytes, 0)
        self.queue.add(answer(3, 1), 0.0)

    def test_messages_with_the_same_call_id_are_all_written(self):
        # Guards against memory that stays reserved if a peer uses a call id twice.
        for _ in range(2):
            self.queue.add(answer(4, FRAGMENT_BYTES + 1), 0.0, reserve=True)
        self.assertEqual(self.call_ids(), [4] * 6)
        self.assertEqual(self.budget.reserved_bytes, 0)
