"""Makes the runs of slice map deltas."""

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

    It depends on nothing but the arguments, so two coordinators that create it at the same
    time write the same record.
    """
    run = SliceRange(0, slice_count - 1, SLICE_FREE, "", 0, "")
    return SliceMap(back_end, slice_count, INITIAL_VERSION, [run])


def begin_release(slice_map: SliceMap, bounds: Iterable[tuple[int, int]]) -> list[SliceRange]:
    """Returns runs that put all owned slices within the bounds into state ``releasing``.

    Args:
        slice_map: The map before the change.
        bounds: Pairs of first and last slice; parts that are not owned are left out.
    """
    runs = _entries(slice_map, bounds)
    return merge_ranges(
        run._replace(state=SLICE_RELEASING) for run in runs if run.state == SLICE_OWNED
    )


def assign(
    slice_map: SliceMap, bounds: Iterable[tuple[int, int]], owner: str, home_zone: str = ""
) -> list[SliceRange]:
    """Returns runs that appoint ``owner`` for all free or releasing slices within the bounds.

    The caller holds the proof that the owner before has released the slices.

    Args:
        slice_map: The map before the change.
        bounds: Pairs of first and last slice; slices in state ``owned`` are left out.
        owner: Name of the new owner.
        home_zone: The new home zone; empty keeps the present one.
    """
    fence = slice_map.version + 1
    return merge_ranges(
        run._replace(
            state=SLICE_OWNED, owner=owner, fence=fence, home_zone=home_zone or run.home_zone
        )
        for run in _entries(slice_map, bounds)
        if run.state != SLICE_OWNED
    )


def mark_free(slice_map: SliceMap, bounds: Iterable[tuple[int, int]]) -> list[SliceRange]:
    """Returns runs that make all releasing slices within the bounds free.

    The caller holds the proof that the owner has released the slices.
    """
    return merge_ranges(
        run._replace(state=SLICE_FREE, owner="")
        for run in _entries(slice_map, bounds)
        if run.state == SLICE_RELEASING
    )


def next_delta(slice_map: SliceMap, runs: Iterable[SliceRange], change_id: str = "") -> SliceDelta:
    """Returns the delta that follows the map's version; the change id is drawn if empty."""
    change_id = change_id or uuid.uuid4().hex
    return SliceDelta(slice_map.back_end, slice_map.version + 1, change_id, tuple(sorted(runs)))


def _entries(slice_map: SliceMap, bounds: Iterable[tuple[int, int]]) -> list[SliceRange]:
    return [run for first, last in sorted(bounds) for run in slice_map.overlapping(first, last)]
