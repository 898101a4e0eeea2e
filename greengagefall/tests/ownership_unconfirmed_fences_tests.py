"""Tests of which keys a backend server has to be told the newest fencing token of."""

from __future__ import annotations

import random
import unittest

from greengagefall.ownership.key_spans import KeySpan, without_all
from greengagefall.ownership.model import LAST_KEY
from greengagefall.ownership.unconfirmed_fences import MAX_HELD_UP_S, UnconfirmedFences
from greengagefall.utils.clock import ManualClock

START_S = 10.0


class UnconfirmedFencesTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START_S)
        self.fences = UnconfirmedFences(self.clock)

    def test_at_first_the_server_has_to_be_told_of_all_keys_but_its_own(self):
        spans = self.fences.spans_to_tell([KeySpan(100, 199), KeySpan(300, LAST_KEY)])
        self.assertEqual(spans, [KeySpan(0, 99), KeySpan(200, 299)])

    def test_own_keys_have_to_be_told_once_they_are_lost_without_a_grant(self):
        self.assertEqual(self.fences.spans_to_tell([KeySpan(0, LAST_KEY)]), [])
        self.assertEqual(self.fences.spans_to_tell([]), [KeySpan(0, LAST_KEY)])

    def test_an_answered_call_confirms_its_keys(self):
        self.fences.confirm(KeySpan(100, 199), START_S)
        expected = [KeySpan(0, 99), KeySpan(200, LAST_KEY)]
        self.assertEqual(self.fences.spans_to_tell([]), expected)

    def test_a_call_that_was_sent_before_keys_were_lost_confirms_nothing(self):
        # An answer to an older call says nothing about the token of the keys' next owner.
        self.fences.confirm(KeySpan(0, LAST_KEY), START_S)
        self.clock.advance(1.0)
        self.fences.add(KeySpan(5, 9))
        self.fences.confirm(KeySpan(0, LAST_KEY), START_S + 0.5)
        self.assertEqual(self.fences.spans_to_tell([]), [KeySpan(5, 9)])
        self.fences.confirm(KeySpan(0, LAST_KEY), START_S + 1.0)
        self.assertEqual(self.fences.spans_to_tell([]), [])

    def test_lost_keys_are_told_only_after_their_release_is_late(self):
        self.fences.confirm(KeySpan(0, LAST_KEY), START_S)
        self.fences.add(KeySpan(5, 9), delay_s=1.0)
        self.assertEqual(self.fences.spans_to_tell([]), [])
        self.assertEqual(self.fences.next_due_s(), START_S + 1.0)
        self.clock.advance(1.0)
        self.assertEqual(self.fences.spans_to_tell([]), [KeySpan(5, 9)])
        self.assertIsNone(self.fences.next_due_s())

    def test_keys_that_were_lost_last_are_told_first(self):
        # The notice for the keys that had gone on came after another one, and too late.
        self.clock.advance(1.0)
        self.fences.add(KeySpan(100, 199))
        spans = self.fences.spans_to_tell([])
        self.assertEqual(spans, [KeySpan(100, 199), KeySpan(0, 99), KeySpan(200, LAST_KEY)])

    def test_nothing_is_told_once_no_grant_can_be_on_its_way(self):
        self.clock.advance(MAX_HELD_UP_S)
        self.assertEqual(self.fences.spans_to_tell([]), [])

    def test_keys_that_are_lost_again_count_from_the_last_time(self):
        self.clock.advance(MAX_HELD_UP_S - 1.0)
        self.fences.add(KeySpan(5, 9))
        self.clock.advance(1.0)
        self.assertEqual(self.fences.spans_to_tell([]), [KeySpan(5, 9)])

    def test_a_process_that_ended_has_to_be_told_nothing(self):
        self.fences.clear()
        self.assertEqual(self.fences.spans_to_tell([]), [])

    def test_keys_agree_with_a_set_of_single_keys(self):
        rng = random.Random(37)
        for _ in range(200):
            spans = [random_span(rng) for _ in range(3)]
            holes = [random_span(rng) for _ in range(4)]
            expected = {
                (number, key)
                for number, span in enumerate(spans)
                for key in keys_of(span) - set().union(*map(keys_of, holes))
            }
            found = {
                (number, key)
                for number, span in enumerate(spans)
                for part in without_all([span], holes)
                for key in keys_of(part)
            }
            self.assertEqual(found, expected)
            self.assertEqual(len(without_all(spans, holes)), len(set_parts(spans, holes)))


def random_span(rng: random.Random) -> KeySpan:
    first, last = sorted(rng.choices(range(20), k=2))
    return KeySpan(first, last)


def keys_of(span: KeySpan) -> set[int]:
    return set(range(span.first, span.last + 1))


def set_parts(spans: list[KeySpan], holes: list[KeySpan]) -> list[KeySpan]:
    """Returns the runs of keys of each span that are in no hole, found key by key."""
    parts = []
    for span in spans:
        kept = sorted(keys_of(span) - set().union(*map(keys_of, holes)))
        starts = [key for key in kept if key - 1 not in kept]
        ends = [key for key in kept if key + 1 not in kept]
        parts += [KeySpan(*bounds) for bounds in zip(starts, ends, strict=True)]
    return parts


if __name__ == "__main__":
    unittest.main()
