"""Moves of slices and the slice runs that they lead to."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination.model import SLICE_OWNED, SliceRange

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)


class Move(NamedTuple):
    """Consecutive slices that change their owner.

    Attributes:
        first: First slice.
        last: Last slice, inclusive.
        source: Owner until now, empty for free slices.
        target: Next owner.
    """

    first: int
    last: int
    source: str
    target: str


def count_moved_slices(moves: Iterable[Move]) -> int:
    """Returns the number of slices in all moves."""
    return sum(move.last - move.first + 1 for move in moves)


def merge_moves(moves: Iterable[Move]) -> list[Move]:
    """Returns the moves in order, adjoining ones of the same servers joined."""
    merged: list[Move] = []
    for move in sorted(moves):
        last = merged[-1] if merged else None
        if last and last.last + 1 == move.first and last[2:] == move[2:]:
            merged[-1] = last._replace(last=move.last)
        else:
            merged.append(move)
    return merged


def apply_moves(runs: Iterable[SliceRange], moves: Iterable[Move], fence: int) -> list[SliceRange]:
    """Returns the runs after all moves are completed."""
    pending = sorted(moves)
    result: list[SliceRange] = []
    for run in runs:
        first = run.first
        while pending and pending[0].first <= run.last:
            move = pending.pop(0)
            last = min(move.last, run.last)
            if move.first > first:
                result.append(run._replace(first=first, last=move.first - 1))
            result.append(
                SliceRange(move.first, last, SLICE_OWNED, move.target, fence, run.home_zone)
            )
            first = last + 1
            if last < move.last:
                pending.insert(0, move._replace(first=last + 1))
        if first <= run.last:
            result.append(run._replace(first=first))
    return result
