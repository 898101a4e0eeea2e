"""Plans moves of slices off servers that must not own them, and back to their home zones."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Protocol

from greengagefall.balancing.loads import (
    NO_BACK_END_LOAD,
    BackEndLoad,
    LoadEstimate,
    LoadModel,
    ReadableSliceMap,
    usable_servers,
)
from greengagefall.balancing.moves import Move, merge_moves
from greengagefall.coordination.model import SLICE_FREE, SLICE_RELEASING
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from greengagefall.coordination.model import SliceRange
    from greengagefall.routing.model import BackendServer
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_LEAVE_SHARE_PER_PLAN = 0.2
DEFAULT_LEAVE_CHUNK_SLICES = 16


class ZoneMovePolicy(Protocol):
    """Plans moves off servers that must not own slices, and back to the home zones."""

    def plan(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
        lost: Collection[str] = (),
    ) -> list[Move]:
        """Returns the next moves; call it again once they are completed.

        Args:
            slice_map: The current slice map.
            servers: Servers of the back end.
            loads: Observed load.
            zones: State of each availability zone.
            lost: Servers that do not answer and certainly hold no slice.
        """


ZONE_MOVE_POLICIES: Registry[type[ZoneMovePolicy]] = Registry("zone_move")


def ranges_to_evacuate(
    ranges: list[SliceRange],
    servers: Mapping[str, BackendServer],
    zones: Mapping[str, str],
    lost: Collection[str],
) -> list[SliceRange]:
    """Returns the slice ranges that are free or whose owner must not own slices."""
    allowed = set(usable_servers(servers, NO_BACK_END_LOAD, zones)) - set(lost)
    return [
        slice_range
        for slice_range in ranges
        if slice_range.state != SLICE_RELEASING
        and (slice_range.state == SLICE_FREE or slice_range.owner not in allowed)
    ]


def split_range(slice_range: SliceRange, size: int) -> list[SliceRange]:
    """Splits the slice range into pieces of at most ``size`` slices."""
    firsts = range(slice_range.first, slice_range.last + 1, size)
    return [
        slice_range._replace(first=first, last=min(first + size - 1, slice_range.last))
        for first in firsts
    ]


def balanced_utilisation(estimate: LoadEstimate, usable: list[str], rate_per_s: float) -> float:
    """Returns the utilisation of the least utilised servers after they take ``rate_per_s``.

    Only servers that are below that utilisation take any of it.
    """
    capacity_per_s = 0.0
    taken_per_s = 0.0
    balanced = 0.0
    for name in sorted(usable, key=lambda name: (estimate.utilisation(name), name)):
        if capacity_per_s and estimate.utilisation(name) >= balanced:
            break
        capacity_per_s += 1.0 / estimate.server_cost[name]
        taken_per_s += estimate.server_rate_per_s[name]
        balanced = (rate_per_s + taken_per_s) / capacity_per_s
    return balanced


def moves_to_least_utilised(
    pieces: list[SliceRange], estimate: LoadEstimate, usable: list[str]
) -> list[Move]:
    """Returns moves of ``pieces`` that bring the least utilised servers to equal utilisation."""
    total = sum(estimate.range_rate(piece.first, piece.last) for piece in pieces)
    balanced = balanced_utilisation(estimate, usable, total)
    spare_per_s = {
        name: (balanced - estimate.utilisation(name)) / estimate.server_cost[name]
        for name in sorted(usable)
        if estimate.utilisation(name) < balanced
    }
    moves = []
    for piece in pieces:
        for slice_id in range(piece.first, piece.last + 1):
            target = next(iter(spare_per_s), usable[-1])
            moves.append(Move(slice_id, slice_id, piece.owner, target))
            if target not in spare_per_s:
                continue
            spare_per_s[target] -= estimate.slice_rates[slice_id]
            if spare_per_s[target] <= estimate.slice_rates[slice_id] / 2 and len(spare_per_s) > 1:
                del spare_per_s[target]
    return merge_moves(moves)


@ZONE_MOVE_POLICIES.register("all_at_once")
class AllAtOnceZoneMoves:
    """Empties a zone in one plan and moves all its slices back in one; the baseline."""

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        self._model = LoadModel(clock, tuning)

    def plan(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
        lost: Collection[str] = (),
    ) -> list[Move]:
        """Returns all moves off servers that must not own slices, and all moves to home zones."""
        ranges = slice_map.ranges()
        estimate = self._model.update(ranges, servers, loads)
        usable = [name for name in usable_servers(servers, loads, zones) if name not in lost]
        if not usable:
            return []
        to_evacuate = ranges_to_evacuate(ranges, servers, zones, lost)
        moves = moves_to_least_utilised(to_evacuate, estimate, usable)
        moves += self._moves_home(ranges, to_evacuate, servers, usable, estimate)
        return merge_moves(moves)

    def _moves_home(
        self,
        ranges: list[SliceRange],
        to_evacuate: list[SliceRange],
        servers: Mapping[str, BackendServer],
        usable: list[str],
        estimate: LoadEstimate,
    ) -> list[Move]:
        moves = []
        excluded = set(to_evacuate)
        for zone in sorted({servers[name].zone for name in usable}):
            outside = [
                slice_range
                for slice_range in ranges
                if slice_range not in excluded
                and slice_range.state != SLICE_RELEASING
                and slice_range.home_zone == zone
                and servers[slice_range.owner].zone != zone
            ]
            home_servers = [name for name in usable if servers[name].zone == zone]
            moves += moves_to_least_utilised(outside, estimate, home_servers)
        return moves


@ZONE_MOVE_POLICIES.register("paced")
class PacedZoneMoves:
    """Empties a zone in small steps; only the placement policy moves slices back.

    Each plan moves ``leave_share_per_plan`` of all slices, in chunks of
    ``leave_chunk_slices`` taken in turn from the servers to be emptied. Slices stay where they
    are when their zone returns; the placement policy moves back as many as balance requires.
    """

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        self._model = LoadModel(clock, tuning)
        tuning = tuning or {}
        self._share = tuning.get("leave_share_per_plan", DEFAULT_LEAVE_SHARE_PER_PLAN)
        self._chunk = int(tuning.get("leave_chunk_slices", DEFAULT_LEAVE_CHUNK_SLICES))

    def plan(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
        lost: Collection[str] = (),
    ) -> list[Move]:
        """Returns the next moves off servers that must not own slices."""
        ranges = slice_map.ranges()
        estimate = self._model.update(ranges, servers, loads)
        usable = [name for name in usable_servers(servers, loads, zones) if name not in lost]
        to_evacuate = ranges_to_evacuate(ranges, servers, zones, lost)
        if not usable or not to_evacuate:
            return []
        budget = math.ceil(self._share * (ranges[-1].last + 1))
        pieces = self._take_in_turn(to_evacuate, budget)
        return moves_to_least_utilised(pieces, estimate, usable)

    def _take_in_turn(self, to_evacuate: list[SliceRange], budget: int) -> list[SliceRange]:
        """Returns chunks of about ``budget`` slices, one per owner in turn, free ones first."""
        by_owner: dict[str, list[SliceRange]] = {}
        for slice_range in to_evacuate:
            owner = slice_range.owner if slice_range.state != SLICE_FREE else ""
            by_owner.setdefault(owner, []).extend(split_range(slice_range, self._chunk))
        pieces: list[SliceRange] = []
        remaining = budget
        while remaining > 0 and by_owner:
            for owner in sorted(by_owner):
                piece = by_owner[owner].pop(0)
                if not by_owner[owner]:
                    del by_owner[owner]
                pieces.append(piece)
                remaining -= piece.last - piece.first + 1
                if remaining <= 0:
                    break
        return pieces
