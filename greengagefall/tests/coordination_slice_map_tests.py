"""Tests of slice maps, their changes and documents."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from greengagefall.coordination import slice_map_changes as changes
from greengagefall.coordination.documents import DocumentCache, split_into_batches
from greengagefall.coordination.model import SLICE_OWNED, SliceRange
from greengagefall.coordination.slice_map import SliceMap, delta_from_json, delta_to_json
from greengagefall.utils import invariants

SLICES = 12
BOUNDS = st.tuples(st.integers(0, SLICES - 1), st.integers(0, SLICES - 1)).map(
    lambda pair: (min(pair), max(pair))
)
STEPS = st.lists(
    st.tuples(st.sampled_from(["assign", "release", "free"]), BOUNDS, st.sampled_from("abc")),
    max_size=12,
)


def ranges_of_step(slice_map: SliceMap, step: tuple) -> list[SliceRange]:
    kind, bounds, owner = step
    if kind == "assign":
        return changes.assign(slice_map, [bounds], owner)
    make_ranges = changes.begin_release if kind == "release" else changes.mark_free
    return make_ranges(slice_map, [bounds])


class SliceMapTests(unittest.TestCase):
    def setUp(self) -> None:
        invariants.reset_violations()

    def tearDown(self) -> None:
        invariants.reset_violations()

    @given(STEPS)
    def test_map_agrees_with_a_plain_list(self, steps: list[tuple]) -> None:
        slice_map = changes.initial_map("proofdesk", SLICES)
        plain = [("free", "", 0)] * SLICES
        cache = DocumentCache()
        cache.put_slice_map(changes.initial_map("proofdesk", SLICES))
        for step in steps:
            delta = changes.next_delta(slice_map, ranges_of_step(slice_map, step))
            self.assertIsInstance(slice_map.apply(delta), Ok)
            self.assertTrue(cache.apply_delta(delta_from_json(delta_to_json(delta)).unwrap()))
            for slice_range in delta.ranges:
                for slice_id in range(slice_range.first, slice_range.last + 1):
                    plain[slice_id] = (slice_range.state, slice_range.owner, slice_range.fence)
        self.assertEqual([slice_map.lookup(i)[2:5] for i in range(SLICES)], plain)
        self.assertEqual(
            SliceMap.from_json(slice_map.to_json()).unwrap().ranges(), slice_map.ranges()
        )
        for behind in (-1, max(0, slice_map.version - 2)):
            other = DocumentCache()
            if behind >= 0:
                other = self.cache_after(steps[:behind])
            other.merge(cache.rows_newer_than(other.versions()))
            self.assertEqual(other.slice_map("proofdesk").ranges(), slice_map.ranges())
        self.assertEqual(invariants.violations(), {})

    def cache_after(self, steps: list[tuple]) -> DocumentCache:
        cache = DocumentCache()
        cache.put_slice_map(changes.initial_map("proofdesk", SLICES))
        for step in steps:
            slice_map = cache.slice_map("proofdesk")
            cache.apply_delta(changes.next_delta(slice_map, ranges_of_step(slice_map, step)))
        return cache

    def test_owner_does_not_change_without_release(self) -> None:
        slice_map = changes.initial_map("proofdesk", SLICES)
        slice_map.apply(changes.next_delta(slice_map, changes.assign(slice_map, [(0, 5)], "a")))
        taken_without_release = SliceRange(2, 3, SLICE_OWNED, "b", 1, "")
        outcome = slice_map.apply(changes.next_delta(slice_map, [taken_without_release]))
        self.assertIsInstance(outcome, Err)
        self.assertEqual(slice_map.lookup(2).owner, "a")
        self.assertEqual(invariants.violations(), {"one_owner": 1})

    def test_new_owner_needs_the_version_as_its_fence(self) -> None:
        slice_map = changes.initial_map("proofdesk", SLICES)
        slice_range = SliceRange(2, 3, SLICE_OWNED, "b", 0, "")
        self.assertIsInstance(slice_map.apply(changes.next_delta(slice_map, [slice_range])), Err)
        self.assertEqual(invariants.violations(), {"fence_monotone": 1})

    def test_version_gap_changes_nothing(self) -> None:
        slice_map = changes.initial_map("proofdesk", SLICES)
        delta = changes.next_delta(slice_map, changes.assign(slice_map, [(0, 5)], "a"))
        self.assertIsInstance(slice_map.apply(delta._replace(version=3)), Err)
        self.assertEqual(slice_map.version, 0)

    def test_broken_documents_are_refused(self) -> None:
        document = changes.initial_map("proofdesk", SLICES).to_json()
        rows = document["runs"]
        for runs in (
            [],
            [[0, 10, "free", "", 0, ""]],
            [*rows, *rows],
            [[0, 11, "owned", "", 0, ""]],
        ):
            self.assertIsInstance(SliceMap.from_json({**document, "runs": runs}), Err)
        self.assertEqual(DocumentCache().merge([["config", 3, "whole", "{"]]), set())


if __name__ == "__main__":
    unittest.main()


class BatchTests(unittest.TestCase):
    def test_rows_are_split_to_fit_into_messages(self):
        rows = [["config", number, "whole", "x" * 4] for number in range(5)]
        self.assertEqual([len(batch) for batch in split_into_batches(rows, 8)], [2, 2, 1])
        self.assertEqual([row for batch in split_into_batches(rows, 8) for row in batch], rows)

    def test_row_over_the_limit_is_a_batch_by_itself(self):
        rows = [["config", 1, "whole", "x" * 20], ["config", 2, "whole", "x"]]
        self.assertEqual(split_into_batches(rows, 8), [rows[:1], rows[1:]])
        self.assertEqual(split_into_batches([], 8), [])
