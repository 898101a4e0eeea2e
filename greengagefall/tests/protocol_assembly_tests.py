"""Tests of putting fragments of large messages together."""

from __future__ import annotations

import unittest

from greengagefall.protocol import assembly
from greengagefall.protocol.assembly import Assembler
from greengagefall.protocol.codec import encode
from greengagefall.protocol.exceptions import AssemblyError, FrameError
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.protocol.messages import Answer, Documents, Failure
from greengagefall.protocol.send_queue import FRAGMENT_BYTES, SendQueue

BODY = bytes(range(256)) * (FRAGMENT_BYTES // 256 * 3)
LIMIT_BYTES = 2 * len(BODY)


def parts_of(call_id: int, body: bytes = BODY) -> list:
    queue = SendQueue(MemoryBudget())
    queue.add(Answer(call_id, "r", 200, [], body, 0, 0.0), 0.0)
    parts = []
    while part := queue.next(0.0):
        parts.append(part.message)
    return parts


class AssemblerTests(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget(LIMIT_BYTES)
        self.assembler = Assembler(self.budget)

    def add_all(self, parts) -> list:
        return [self.assembler.add(part, 0.0) for part in parts]

    def assert_fails(self, reason, fragments, end):
        """Checks that a message fails somewhere, for good, and returns its memory."""
        reasons = []
        for step in [*((self.assembler.add, (part, 0.0)) for part in fragments), None]:
            try:
                step[0](*step[1]) if step else self.assembler.finish(end)
            except AssemblyError as error:
                reasons.append(error.reason)
        self.assertEqual(reasons[0], reason)
        self.assertEqual(reasons[-1], assembly.INCOMPLETE if len(reasons) > 1 else reason)
        self.assertEqual((len(self.assembler), self.budget.reserved_bytes), (0, 0))

    def test_interleaved_messages_are_complete_and_keep_their_memory(self):
        first, second = parts_of(1), parts_of(2, BODY[::-1])
        second = [part._replace(message_id=2) for part in second]
        for pair in zip(first[:-1], second[:-1], strict=True):
            self.add_all(pair)
        for end, body in ((second[-1], BODY[::-1]), (first[-1], BODY)):
            whole = self.assembler.finish(end)
            self.assertEqual(whole.message, Answer(end.call_id, "r", 200, [], body, 0, 0.0))
            self.assertEqual(whole.reserved_bytes, len(BODY))
        self.assertEqual(self.budget.reserved_bytes, LIMIT_BYTES)

    def test_a_message_without_a_body_is_split_as_a_whole(self):
        documents = Documents(0, [["a", 1, "whole", "x" * 3 * FRAGMENT_BYTES]])
        queue = SendQueue(MemoryBudget())
        queue.add_control(documents, encode(documents), 0.0)
        parts = [queue.next(0.0).message for _ in range(5)]
        self.add_all(parts[:-1])
        self.assertEqual(self.assembler.finish(parts[-1]).message, documents)

    def test_wrong_fragments_fail_the_message_and_nothing_else(self):
        # Guards against a body that lacks a part, has one twice or has one of another message.
        one, two, three, end = parts_of(1)
        wrong = {
            "missing": [one, three],
            "repeated": [one, one, two, three],
            "swapped": [one, three, two],
            "foreign call": [one, two._replace(call_id=9), three],
            "foreign kind": [one, two._replace(kind="forward"), three],
            "other size": [one, two._replace(payload_bytes=len(BODY) + 1), three],
            "too long": [one, two, three, three._replace(offset=len(BODY))],
        }
        for name, fragments in wrong.items():
            with self.subTest(name):
                self.assert_fails(assembly.OUT_OF_ORDER, fragments, end)
        with self.subTest("truncated"):
            self.assert_fails(assembly.INCOMPLETE, [one, two], end)
        with self.subTest("end only"):
            self.assert_fails(assembly.INCOMPLETE, [], end)
        with self.subTest("end of another call"):
            self.assert_fails(assembly.INCOMPLETE, [one, two, three], end._replace(call_id=9))
        self.assertEqual(self.add_all([two, three]), [False, False])

    def test_an_end_that_does_not_fit_fails_the_message(self):
        # Guards against a body that is passed on under the headers of another message.
        *fragments, end = parts_of(1)
        frames = [b"\xff", b"", encode(Failure(1, "x"))]
        frames.append(encode(Answer(2, "r", 200, [], b"", 0, 0.0)))
        frames.append(encode(Answer(1, "r", 200, [], b"body", 0, 0.0)))
        for frame in frames:
            with self.subTest(frame=frame[:20]):
                self.assert_fails(assembly.MALFORMED, fragments, end._replace(frame=frame))

    def test_fields_of_a_wrong_type_end_the_connection(self):
        one = parts_of(1)[0]
        changes = [{"offset": -1}, {"offset": True}, {"message_id": "1"}, {"payload_bytes": 1.0}]
        changes += [{"data": "text"}, {"data": b""}, {"kind": "no such"}, {"kind": ["a"]}]
        for change in changes:
            with self.subTest(change=change), self.assertRaises(FrameError):
                self.assembler.add(one._replace(**change), 0.0)

    def test_a_message_over_the_budget_fails_and_others_go_on(self):
        # Guards against large messages that use up the memory of the host.
        *kept, end = parts_of(1)
        self.add_all(kept[:1])
        with self.assertRaises(AssemblyError) as caught:
            self.assembler.add(parts_of(2, BODY * 2)[0]._replace(message_id=2), 0.0)
        self.assertEqual(caught.exception.reason, assembly.OVER_BUDGET)
        self.add_all(kept[1:])
        self.assertEqual(self.assembler.finish(end).message.body, BODY)

    def test_cancelled_and_silent_messages_return_their_memory(self):
        # Guards against a budget that is used up by senders that stop in the middle.
        self.add_all(parts_of(1)[:2])
        self.assembler.drop_call(1)
        self.assertEqual(self.budget.reserved_bytes, 0)
        self.add_all(parts_of(3)[:2])
        self.assertEqual(self.assembler.drop_silent(assembly.MAX_SILENCE_S), [])
        self.assertEqual(len(self.assembler.drop_silent(assembly.MAX_SILENCE_S + 0.1)), 1)
        self.add_all(parts_of(4)[:2])
        self.assembler.clear()
        self.assertEqual(self.budget.reserved_bytes, 0)
