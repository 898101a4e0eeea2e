"""Builds slice map deltas."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from greengagefall.coordination.model import (
    SLICE_FREE,
    SLICE_OWNED,
    SLICE_RELEASING,
    SliceDelta,
    SliceRange,
)
from greengagefall.coordination.slice_map import SliceMap, merge_ranges

if TYPE_CHECKING:
    from collections.abc import Iterable

INITIAL_VERSION = 0


def initial_map(back_end: str, slice_count: int) -> SliceMap:
    """Returns version 0 of a slice map: every slice is free.

    The result depends only on the arguments, so two coordinators that create the map at the same
    time write the same record.
    """
    slice_range = SliceRange(0, slice_count - 1, SLICE_FREE, "", 0, "")
    return SliceMap(back_end, slice_count, INITIAL_VERSION, [slice_range])


def begin_release(slice_map: SliceMap, bounds: Iterable[tuple[int, int]]) -> list[SliceRange]:
    """Returns slice ranges that set all owned slices within the bounds to ``releasing``.

    Args:
        slice_map: The map before the change.
        bounds: Pairs of first and last slice; parts that are not owned are left out.
    """
    ranges = _entries(slice_map, bounds)
    return merge_ranges(
        slice_range._replace(state=SLICE_RELEASING)
        for slice_range in ranges
        if slice_range.state == SLICE_OWNED
    )


def assign(
    slice_map: SliceMap, bounds: Iterable[tuple[int, int]], owner: str, home_zone: str = ""
) -> list[SliceRange]:
    """Returns slice ranges that make ``owner`` own all free or releasing slices in the bounds.

    The caller must have a release proof of the previous owner.

    Args:
        slice_map: The map before the change.
        bounds: Pairs of first and last slice; slices in state ``owned`` are left out.
        owner: Name of the new owner.
        home_zone: The new home zone; empty keeps the current one.
    """
    fence = slice_map.version + 1
    return merge_ranges(
        slice_range._replace(
            state=SLICE_OWNED,
            owner=owner,
            fence=fence,
            home_zone=home_zone or slice_range.home_zone,
        )
        for slice_range in _entries(slice_map, bounds)
        if slice_range.state != SLICE_OWNED
    )


def mark_free(slice_map: SliceMap, bounds: Iterable[tuple[int, int]]) -> list[SliceRange]:
    """Returns slice ranges that set all releasing slices within the bounds to ``free``.

    The caller must have a release proof of the owner.
    """
    return merge_ranges(
        slice_range._replace(state=SLICE_FREE, owner="")
        for slice_range in _entries(slice_map, bounds)
        if slice_range.state == SLICE_RELEASING
    )


def next_delta(
    slice_map: SliceMap, ranges: Iterable[SliceRange], change_id: str = ""
) -> SliceDelta:
    """Returns the delta to the map's next version; draws a change id if it is empty."""
    change_id = change_id or uuid.uuid4().hex
    return SliceDelta(slice_map.back_end, slice_map.version + 1, change_id, tuple(sorted(ranges)))


def _entries(slice_map: SliceMap, bounds: Iterable[tuple[int, int]]) -> list[SliceRange]:
    return [
        slice_range
        for first, last in sorted(bounds)
        for slice_range in slice_map.overlapping(first, last)
    ]
