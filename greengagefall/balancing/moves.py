"""Moves of slices between servers, and the slice ranges that result."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination.model import SLICE_OWNED, SliceRange

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)


class Move(NamedTuple):
    """Consecutive slices that move to another owner.

    Attributes:
        first: First slice.
        last: Last slice, inclusive.
        source: Former owner, empty for free slices.
        target: New owner.
    """

    first: int
    last: int
    source: str
    target: str


def count_moved_slices(moves: Iterable[Move]) -> int:
    """Returns the number of slices in all moves."""
    return sum(move.last - move.first + 1 for move in moves)


def merge_moves(moves: Iterable[Move]) -> list[Move]:
    """Returns the moves in order; adjacent ones with the same source and target are merged."""
    merged: list[Move] = []
    for move in sorted(moves):
        last = merged[-1] if merged else None
        if last and last.last + 1 == move.first and last[2:] == move[2:]:
            merged[-1] = last._replace(last=move.last)
        else:
            merged.append(move)
    return merged


def apply_moves(
    ranges: Iterable[SliceRange], moves: Iterable[Move], fence: int
) -> list[SliceRange]:
    """Returns the slice ranges after all moves are completed."""
    pending = sorted(moves)
    result: list[SliceRange] = []
    for slice_range in ranges:
        first = slice_range.first
        while pending and pending[0].first <= slice_range.last:
            move = pending.pop(0)
            last = min(move.last, slice_range.last)
            if move.first > first:
                result.append(slice_range._replace(first=first, last=move.first - 1))
            result.append(
                SliceRange(move.first, last, SLICE_OWNED, move.target, fence, slice_range.home_zone)
            )
            first = last + 1
            if last < move.last:
                pending.insert(0, move._replace(first=last + 1))
        if first <= slice_range.last:
            result.append(slice_range._replace(first=first))
    return result
