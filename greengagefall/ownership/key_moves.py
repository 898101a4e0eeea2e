"""Planned changes of owners, and the assignment with them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.model import Assignment, KeyRange, ServerIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


REASON_NO_OWNER = "no_usable_owner"
REASON_NEW_SERVER = "new_server"
REASON_OVERLOAD = "overload"
REASON_EXCESS = "more_than_share"


class KeyMove(NamedTuple):
    """A planned change of owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        source: Present owner; ``NO_INCARNATION`` for keys without one.
        target: New owner.
        load_per_s: Requests per second of the keys, as planned.
        reason: Why the keys move.
    """

    first: int
    last: int
    source: ServerIncarnation
    target: ServerIncarnation
    load_per_s: float = 0.0
    reason: str = REASON_NO_OWNER


def apply_moves(assignment: Assignment, service: str, moves: Iterable[KeyMove]) -> Assignment:
    """Returns the assignment with the moves begun.

    Each move gets its own fencing token, higher than all earlier ones.
    """
    key_ranges = list(assignment.key_ranges.get(service, ()))
    fence = assignment.last_fence
    for move in moves:
        fence += 1
        key_ranges = _apply_move(key_ranges, move, fence)
    by_service = {**assignment.key_ranges, service: tuple(sorted(key_ranges))}
    return assignment._replace(last_fence=fence, key_ranges=by_service)


def _apply_move(key_ranges: list[KeyRange], move: KeyMove, fence: int) -> list[KeyRange]:
    kept = []
    for key_range in key_ranges:
        if key_range.last < move.first or move.last < key_range.first:
            kept.append(key_range)
            continue
        if key_range.first < move.first:
            kept.append(key_range._replace(last=move.first - 1))
        if move.last < key_range.last:
            kept.append(key_range._replace(first=move.last + 1))
    kept.append(KeyRange(move.first, move.last, move.target, fence, move.source))
    return kept


def replace_fences(assignment: Assignment, is_outdated: Callable[[KeyRange], bool]) -> Assignment:
    """Gives key ranges a new highest fence each; their owners and sources stay.

    A server accepts a grant with a higher fencing token for keys that it already holds.

    Args:
        assignment: The assignment.
        is_outdated: Returns whether a key range needs a new fence. One that moves may have been
            granted to its new owner already.
    """
    fence = assignment.last_fence
    by_service = {}
    for service, key_ranges in assignment.key_ranges.items():
        replaced = []
        for key_range in key_ranges:
            if is_outdated(key_range):
                fence += 1
                key_range = key_range._replace(fence=fence)
            replaced.append(key_range)
        by_service[service] = tuple(replaced)
    if fence == assignment.last_fence:
        return assignment
    return assignment._replace(last_fence=fence, key_ranges=by_service)


def merge_adjacent_ranges(assignment: Assignment, service: str) -> Assignment:
    """Joins adjacent key ranges of one owner that are not moving, under a new highest fence.

    A server accepts a grant with a higher fencing token for keys that it already holds.
    """
    key_ranges: list[KeyRange] = []
    fence = assignment.last_fence
    for key_range in assignment.key_ranges.get(service, ()):
        before = key_ranges[-1] if key_ranges else None
        if before is None or key_range.moving or before.moving or before.owner != key_range.owner:
            key_ranges.append(key_range)
            continue
        fence += 1
        key_ranges[-1] = KeyRange(before.first, key_range.last, key_range.owner, fence)
    if fence == assignment.last_fence:
        return assignment
    return assignment._replace(
        last_fence=fence, key_ranges={**assignment.key_ranges, service: tuple(key_ranges)}
    )
