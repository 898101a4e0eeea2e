"""Slice map of one back end: which backend server owns which slices, as slice ranges.

A slice changes its owner through ``free`` -> ``owned`` or ``owned`` -> ``releasing`` -> ``owned``;
a released slice may also become ``free``.
The fence of an owner is the version of the delta that made it the owner, so fences increase with
each new owner.
"""

from __future__ import annotations

import logging
from bisect import bisect_right
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagefall.coordination.exceptions import (
    CoordinationError,
    InvalidDeltaError,
    InvalidDocumentError,
    VersionGapError,
)
from greengagefall.coordination.model import (
    SLICE_FREE,
    SLICE_OWNED,
    SLICE_RELEASING,
    SliceDelta,
    SliceRange,
)
from greengagefall.utils.invariants import check

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

SLICE_STATES = (SLICE_FREE, SLICE_OWNED, SLICE_RELEASING)


class SliceMap:
    """Slices of one back end with their owners, in one version.

    Attributes:
        back_end: Name of the back end.
        slice_count: Number of slices; the slice ranges cover 0 to ``slice_count`` - 1 exactly.
        version: Version of the last delta that was applied.
    """

    def __init__(
        self, back_end: str, slice_count: int, version: int, ranges: Iterable[SliceRange]
    ) -> None:
        """Creates a map from slice ranges in order.

        Raises:
            InvalidDocumentError: If the ranges do not cover the slices exactly.
        """
        self.back_end = back_end
        self.slice_count = slice_count
        self.version = version
        self._ranges = merge_ranges(ranges)
        self._firsts = [slice_range.first for slice_range in self._ranges]
        self._by_owner: dict[str, list[SliceRange]] | None = None
        _check_cover(self._ranges, slice_count)

    def lookup(self, slice_id: int) -> SliceRange:
        """Returns the slice range that contains ``slice_id``."""
        return self._ranges[bisect_right(self._firsts, slice_id) - 1]

    def ranges(self) -> list[SliceRange]:
        """Returns all slice ranges in order."""
        return list(self._ranges)

    def overlapping(self, first: int, last: int) -> list[SliceRange]:
        """Returns the slice ranges from ``first`` to ``last``, cut to these bounds."""
        index = bisect_right(self._firsts, first) - 1
        found = []
        while index < len(self._ranges) and self._ranges[index].first <= last:
            slice_range = self._ranges[index]
            found.append(
                slice_range._replace(
                    first=max(slice_range.first, first), last=min(slice_range.last, last)
                )
            )
            index += 1
        return found

    def owned_by(self, server: str) -> list[SliceRange]:
        """Returns the slice ranges in state ``owned`` of a backend server."""
        return [
            slice_range
            for slice_range in self._ranges_of(server)
            if slice_range.state == SLICE_OWNED
        ]

    def releasing_from(self, server: str) -> list[SliceRange]:
        """Returns the slice ranges in state ``releasing`` of a backend server."""
        return [
            slice_range
            for slice_range in self._ranges_of(server)
            if slice_range.state == SLICE_RELEASING
        ]

    def apply(self, delta: SliceDelta) -> Result[None, CoordinationError]:
        """Applies the next delta in place; nothing changes on an error.

        Args:
            delta: The change from the current version to the next one.

        Returns:
            ``VersionGapError`` if the delta is not the next one, ``InvalidDeltaError`` if it
            violates a rule of ownership.
        """
        if delta.version != self.version + 1:
            return Err(VersionGapError(self.version, delta.version))
        ranges = sorted(delta.ranges)
        error = self._find_error(delta, ranges)
        if error:
            return Err(InvalidDeltaError(error))
        for slice_range in ranges:
            self._replace_entry(slice_range)
        self.version = delta.version
        self._by_owner = None
        return Ok(None)

    def copy(self) -> SliceMap:
        """Returns an independent copy."""
        return SliceMap(self.back_end, self.slice_count, self.version, self._ranges)

    def to_json(self) -> dict[str, Any]:
        """Returns the full map as a JSON document."""
        return {
            "back_end": self.back_end,
            "slice_count": self.slice_count,
            "version": self.version,
            "runs": [list(slice_range) for slice_range in self._ranges],
        }

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> Result[SliceMap, InvalidDocumentError]:
        """Reads a map from a JSON document made by ``to_json``."""
        try:
            ranges = _ranges_from_json(document["runs"])
            count, version = int(document["slice_count"]), int(document["version"])
            return Ok(cls(str(document["back_end"]), count, version, ranges))
        except InvalidDocumentError as error:
            return Err(error)
        except (KeyError, TypeError, ValueError) as error:
            return Err(InvalidDocumentError(f"slice map: {error!r}"))

    def _ranges_of(self, server: str) -> list[SliceRange]:
        if self._by_owner is None:
            self._by_owner = {}
            for slice_range in self._ranges:
                self._by_owner.setdefault(slice_range.owner, []).append(slice_range)
        return self._by_owner.get(server, []) if server else []

    def _find_error(self, delta: SliceDelta, ranges: list[SliceRange]) -> str:
        next_free = 0
        for slice_range in ranges:
            if not next_free <= slice_range.first <= slice_range.last < self.slice_count:
                return (
                    f"slices {slice_range.first} to {slice_range.last} overlap or are out of range"
                )
            next_free = slice_range.last + 1
            for old in self.overlapping(slice_range.first, slice_range.last):
                if not _check_transition(self.back_end, old, slice_range, delta.version):
                    return f"slices {old.first} to {old.last}: {old} may not become {slice_range}"
        return ""

    def _replace_entry(self, slice_range: SliceRange) -> None:
        start = bisect_right(self._firsts, slice_range.first) - 1
        end = bisect_right(self._firsts, slice_range.last)
        before, after = self._ranges[start], self._ranges[end - 1]
        pieces = [slice_range]
        if before.first < slice_range.first:
            pieces.insert(0, before._replace(last=slice_range.first - 1))
        if after.last > slice_range.last:
            pieces.append(after._replace(first=slice_range.last + 1))
        start, end = max(start - 1, 0), min(end + 1, len(self._ranges))
        kept_left = [old for old in self._ranges[start:end] if old.last < pieces[0].first]
        kept_right = [old for old in self._ranges[start:end] if old.first > pieces[-1].last]
        pieces = merge_ranges([*kept_left, *pieces, *kept_right])
        self._ranges[start:end] = pieces
        self._firsts[start:end] = [piece.first for piece in pieces]


def merge_ranges(ranges: Iterable[SliceRange]) -> list[SliceRange]:
    """Joins adjacent slice ranges that differ only in their bounds."""
    merged: list[SliceRange] = []
    for slice_range in ranges:
        if (
            merged
            and merged[-1].last + 1 == slice_range.first
            and merged[-1][2:] == slice_range[2:]
        ):
            merged[-1] = merged[-1]._replace(last=slice_range.last)
            continue
        merged.append(slice_range)
    return merged


def delta_to_json(delta: SliceDelta) -> dict[str, Any]:
    """Returns a delta as a JSON document."""
    return {
        "back_end": delta.back_end,
        "version": delta.version,
        "change_id": delta.change_id,
        "runs": [list(slice_range) for slice_range in delta.ranges],
    }


def delta_from_json(document: dict[str, Any]) -> Result[SliceDelta, InvalidDocumentError]:
    """Reads a delta from a JSON document made by ``delta_to_json``."""
    try:
        ranges = tuple(_ranges_from_json(document["runs"]))
        back_end, change_id = str(document["back_end"]), str(document["change_id"])
        return Ok(SliceDelta(back_end, int(document["version"]), change_id, ranges))
    except (KeyError, TypeError, ValueError) as error:
        return Err(InvalidDocumentError(f"slice delta: {error!r}"))


def _ranges_from_json(rows: list[list[Any]]) -> list[SliceRange]:
    ranges = []
    for first, last, state, owner, fence, home_zone in rows:
        if state not in SLICE_STATES or bool(owner) == (state == SLICE_FREE):
            raise ValueError(f"slices {first} to {last}: state {state!r} with owner {owner!r}")
        ranges.append(SliceRange(int(first), int(last), state, owner, int(fence), home_zone))
    return ranges


def _check_cover(ranges: list[SliceRange], slice_count: int) -> None:
    next_slice = 0
    for slice_range in ranges:
        if slice_range.first != next_slice or slice_range.last < slice_range.first:
            raise InvalidDocumentError(f"runs leave out or repeat slice {next_slice}")
        next_slice = slice_range.last + 1
    if next_slice != slice_count or slice_count < 1:
        raise InvalidDocumentError(f"runs cover {next_slice} slices of {slice_count}")


def _check_transition(back_end: str, old: SliceRange, new: SliceRange, version: int) -> bool:
    """Checks one entry of a delta against the entry it replaces.

    Only ``free`` or ``releasing`` slices get a new owner, always with the version of the delta as
    its fence. A server that becomes the owner again after its release began gets a new fence too,
    so that an earlier release proof cannot be used for its later ownership.
    """
    facts = {"back_end": back_end, "old": old, "new": new, "version": version}
    is_new_owner = new.state == SLICE_OWNED and old.state != SLICE_OWNED
    has_expected_fence = new.fence == (version if is_new_owner else old.fence)
    if not check(has_expected_fence and old.fence < version, "fence_monotone", **facts):
        return False
    same_owner = new.owner == old.owner
    allowed_by_old_state = {
        SLICE_FREE: new.state in (SLICE_FREE, SLICE_OWNED),
        SLICE_OWNED: new.state in (SLICE_OWNED, SLICE_RELEASING) and same_owner,
        SLICE_RELEASING: new.state != SLICE_RELEASING or same_owner,
    }
    return check(allowed_by_old_state[old.state], "one_owner", **facts)
