"""Slice map of one back end: which backend server owns which slices, run-length.

A change takes a slice through ``free`` or ``owned`` -> ``releasing`` -> ``owned``. The fence of
an owner is the number of the delta that appointed it, so that fences grow with each owner.
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
        slice_count: Number of slices; the runs cover 0 to ``slice_count`` - 1 exactly.
        version: Number of the last delta that was applied.
    """

    def __init__(
        self, back_end: str, slice_count: int, version: int, runs: Iterable[SliceRange]
    ) -> None:
        """Takes runs in order.

        Raises:
            InvalidDocumentError: If the runs do not cover the slices exactly.
        """
        self.back_end = back_end
        self.slice_count = slice_count
        self.version = version
        self._runs = merge_ranges(runs)
        self._firsts = [run.first for run in self._runs]
        self._by_owner: dict[str, list[SliceRange]] | None = None
        _check_cover(self._runs, slice_count)

    def lookup(self, slice_id: int) -> SliceRange:
        """Returns the run that holds ``slice_id``."""
        return self._runs[bisect_right(self._firsts, slice_id) - 1]

    def ranges(self) -> list[SliceRange]:
        """Returns all runs in order of slices."""
        return list(self._runs)

    def overlapping(self, first: int, last: int) -> list[SliceRange]:
        """Returns the runs from slice ``first`` to ``last``, cut to these bounds."""
        index = bisect_right(self._firsts, first) - 1
        found = []
        while index < len(self._runs) and self._runs[index].first <= last:
            run = self._runs[index]
            found.append(run._replace(first=max(run.first, first), last=min(run.last, last)))
            index += 1
        return found

    def owned_by(self, server: str) -> list[SliceRange]:
        """Returns the runs in state ``owned`` of a backend server."""
        return [run for run in self._held_by(server) if run.state == SLICE_OWNED]

    def releasing_from(self, server: str) -> list[SliceRange]:
        """Returns the runs in state ``releasing`` of a backend server."""
        return [run for run in self._held_by(server) if run.state == SLICE_RELEASING]

    def apply(self, delta: SliceDelta) -> Result[None, CoordinationError]:
        """Applies the next delta in place; nothing changes on an error.

        Args:
            delta: The change from the held version to the one after.

        Returns:
            ``VersionGapError`` if the delta is not the next one, ``InvalidDeltaError`` if it
            breaks a rule of ownership.
        """
        if delta.version != self.version + 1:
            return Err(VersionGapError(self.version, delta.version))
        runs = sorted(delta.ranges)
        error = self._why_invalid(delta, runs)
        if error:
            return Err(InvalidDeltaError(error))
        for run in runs:
            self._put(run)
        self.version = delta.version
        self._by_owner = None
        return Ok(None)

    def copy(self) -> SliceMap:
        """Returns an independent copy."""
        return SliceMap(self.back_end, self.slice_count, self.version, self._runs)

    def to_json(self) -> dict[str, Any]:
        """Returns the whole map as a JSON document."""
        return {
            "back_end": self.back_end,
            "slice_count": self.slice_count,
            "version": self.version,
            "runs": [list(run) for run in self._runs],
        }

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> Result[SliceMap, InvalidDocumentError]:
        """Reads a map out of a JSON document made by ``to_json``."""
        try:
            runs = _runs_from_json(document["runs"])
            count, version = int(document["slice_count"]), int(document["version"])
            return Ok(cls(str(document["back_end"]), count, version, runs))
        except InvalidDocumentError as error:
            return Err(error)
        except (KeyError, TypeError, ValueError) as error:
            return Err(InvalidDocumentError(f"slice map: {error!r}"))

    def _held_by(self, server: str) -> list[SliceRange]:
        if self._by_owner is None:
            self._by_owner = {}
            for run in self._runs:
                self._by_owner.setdefault(run.owner, []).append(run)
        return self._by_owner.get(server, []) if server else []

    def _why_invalid(self, delta: SliceDelta, runs: list[SliceRange]) -> str:
        next_free = 0
        for run in runs:
            if not next_free <= run.first <= run.last < self.slice_count:
                return f"slices {run.first} to {run.last} overlap or are out of range"
            next_free = run.last + 1
            for old in self.overlapping(run.first, run.last):
                if not _check_step(self.back_end, old, run, delta.version):
                    return f"slices {old.first} to {old.last}: {old} may not become {run}"
        return ""

    def _put(self, run: SliceRange) -> None:
        start = bisect_right(self._firsts, run.first) - 1
        end = bisect_right(self._firsts, run.last)
        before, after = self._runs[start], self._runs[end - 1]
        pieces = [run]
        if before.first < run.first:
            pieces.insert(0, before._replace(last=run.first - 1))
        if after.last > run.last:
            pieces.append(after._replace(first=run.last + 1))
        start, end = max(start - 1, 0), min(end + 1, len(self._runs))
        kept_left = [old for old in self._runs[start:end] if old.last < pieces[0].first]
        kept_right = [old for old in self._runs[start:end] if old.first > pieces[-1].last]
        pieces = merge_ranges([*kept_left, *pieces, *kept_right])
        self._runs[start:end] = pieces
        self._firsts[start:end] = [piece.first for piece in pieces]


def merge_ranges(runs: Iterable[SliceRange]) -> list[SliceRange]:
    """Joins adjacent runs that differ in their bounds alone."""
    merged: list[SliceRange] = []
    for run in runs:
        if merged and merged[-1].last + 1 == run.first and merged[-1][2:] == run[2:]:
            merged[-1] = merged[-1]._replace(last=run.last)
            continue
        merged.append(run)
    return merged


def delta_to_json(delta: SliceDelta) -> dict[str, Any]:
    """Returns a delta as a JSON document."""
    return {
        "back_end": delta.back_end,
        "version": delta.version,
        "change_id": delta.change_id,
        "runs": [list(run) for run in delta.ranges],
    }


def delta_from_json(document: dict[str, Any]) -> Result[SliceDelta, InvalidDocumentError]:
    """Reads a delta out of a JSON document made by ``delta_to_json``."""
    try:
        runs = tuple(_runs_from_json(document["runs"]))
        back_end, change_id = str(document["back_end"]), str(document["change_id"])
        return Ok(SliceDelta(back_end, int(document["version"]), change_id, runs))
    except (KeyError, TypeError, ValueError) as error:
        return Err(InvalidDocumentError(f"slice delta: {error!r}"))


def _runs_from_json(rows: list[list[Any]]) -> list[SliceRange]:
    runs = []
    for first, last, state, owner, fence, home_zone in rows:
        if state not in SLICE_STATES or bool(owner) == (state == SLICE_FREE):
            raise ValueError(f"slices {first} to {last}: state {state!r} with owner {owner!r}")
        runs.append(SliceRange(int(first), int(last), state, owner, int(fence), home_zone))
    return runs


def _check_cover(runs: list[SliceRange], slice_count: int) -> None:
    next_slice = 0
    for run in runs:
        if run.first != next_slice or run.last < run.first:
            raise InvalidDocumentError(f"runs leave out or repeat slice {next_slice}")
        next_slice = run.last + 1
    if next_slice != slice_count or slice_count < 1:
        raise InvalidDocumentError(f"runs cover {next_slice} slices of {slice_count}")


def _check_step(back_end: str, old: SliceRange, new: SliceRange, version: int) -> bool:
    """Checks one entry of a delta against the entry it replaces.

    An owner is appointed over ``free`` or ``releasing`` slices only, and always with the
    number of the delta as its fence. An owner appointed again after a release had begun gets a
    new fence too, so that an earlier proof of release cannot count for the later appointment.
    """
    facts = {"back_end": back_end, "old": old, "new": new, "version": version}
    appointed = new.state == SLICE_OWNED and old.state != SLICE_OWNED
    fence_kept = new.fence == (version if appointed else old.fence)
    if not check(fence_kept and old.fence < version, "fence_monotone", **facts):
        return False
    same_owner = new.owner == old.owner
    may_follow = {
        SLICE_FREE: new.state in (SLICE_FREE, SLICE_OWNED),
        SLICE_OWNED: new.state in (SLICE_OWNED, SLICE_RELEASING) and same_owner,
        SLICE_RELEASING: new.state != SLICE_RELEASING or same_owner,
    }
    return check(may_follow[old.state], "one_owner", **facts)
