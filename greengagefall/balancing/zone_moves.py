"""Moves of slices while servers and availability zones leave and return."""

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
    """Moves slices off servers that must not own them, and back home."""

    def plan(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
        lost: Collection[str] = (),
    ) -> list[Move]:
        """Returns the next moves; plan again once they are done.

        Args:
            slice_map: The slice map in force.
            servers: Servers of the back end.
            loads: Observed load.
            zones: State of each availability zone.
            lost: Servers that certainly hold nothing and do not answer.
        """


ZONE_MOVE_POLICIES: Registry[type[ZoneMovePolicy]] = Registry("zone_move")


def ranges_to_evacuate(
    runs: list[SliceRange],
    servers: Mapping[str, BackendServer],
    zones: Mapping[str, str],
    lost: Collection[str],
) -> list[SliceRange]:
    """Returns the runs that are free or whose owner must not own slices."""
    allowed = set(usable_servers(servers, NO_BACK_END_LOAD, zones)) - set(lost)
    return [
        run
        for run in runs
        if run.state != SLICE_RELEASING and (run.state == SLICE_FREE or run.owner not in allowed)
    ]


def split_range(run: SliceRange, size: int) -> list[SliceRange]:
    """Returns the run in pieces of at most ``size`` slices."""
    firsts = range(run.first, run.last + 1, size)
    return [run._replace(first=first, last=min(first + size - 1, run.last)) for first in firsts]


def balanced_utilisation(estimate: LoadEstimate, usable: list[str], rate_per_s: float) -> float:
    """Returns the utilisation up to which the emptiest servers take ``rate_per_s``."""
    speed = 0.0
    taken_per_s = 0.0
    level = 0.0
    for name in sorted(usable, key=lambda name: (estimate.utilisation(name), name)):
        if speed and estimate.utilisation(name) >= level:
            break
        speed += 1.0 / estimate.server_cost[name]
        taken_per_s += estimate.server_rate_per_s[name]
        level = (rate_per_s + taken_per_s) / speed
    return level


def moves_to_least_utilised(
    pieces: list[SliceRange], estimate: LoadEstimate, usable: list[str]
) -> list[Move]:
    """Returns moves that bring the emptiest servers to one level."""
    total = sum(estimate.range_rate(piece.first, piece.last) for piece in pieces)
    level = balanced_utilisation(estimate, usable, total)
    room = {
        name: (level - estimate.utilisation(name)) / estimate.server_cost[name]
        for name in sorted(usable)
        if estimate.utilisation(name) < level
    }
    moves = []
    for piece in pieces:
        for slice_id in range(piece.first, piece.last + 1):
            target = next(iter(room), usable[-1])
            moves.append(Move(slice_id, slice_id, piece.owner, target))
            if target not in room:
                continue
            room[target] -= estimate.slice_rates[slice_id]
            if room[target] <= estimate.slice_rates[slice_id] / 2 and len(room) > 1:
                del room[target]
    return merge_moves(moves)


@ZONE_MOVE_POLICIES.register("all_at_once")
class AllAtOnceZoneMoves:
    """Empties a zone in one plan and brings all its slices back in one; the baseline."""

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
        """Returns all moves off forbidden servers and all moves home."""
        runs = slice_map.ranges()
        estimate = self._model.update(runs, servers, loads)
        usable = [name for name in usable_servers(servers, loads, zones) if name not in lost]
        if not usable:
            return []
        leaving = ranges_to_evacuate(runs, servers, zones, lost)
        moves = moves_to_least_utilised(leaving, estimate, usable)
        moves += self._homeward(runs, leaving, servers, usable, estimate)
        return merge_moves(moves)

    def _homeward(
        self,
        runs: list[SliceRange],
        leaving: list[SliceRange],
        servers: Mapping[str, BackendServer],
        usable: list[str],
        estimate: LoadEstimate,
    ) -> list[Move]:
        moves = []
        skipped = set(leaving)
        for zone in sorted({servers[name].zone for name in usable}):
            away = [
                run
                for run in runs
                if run not in skipped
                and run.state != SLICE_RELEASING
                and run.home_zone == zone
                and servers[run.owner].zone != zone
            ]
            at_home = [name for name in usable if servers[name].zone == zone]
            moves += moves_to_least_utilised(away, estimate, at_home)
        return moves


@ZONE_MOVE_POLICIES.register("paced")
class PacedZoneMoves:
    """Empties a zone in small steps; slices come back only through the placement policy.

    Each plan moves ``leave_share_per_plan`` of all slices, in chunks of
    ``leave_chunk_slices`` taken in turn from the servers that leave. Slices stay where they
    are when their zone returns: the placement policy moves home as many as balance needs.
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
        """Returns the next step off forbidden servers."""
        runs = slice_map.ranges()
        estimate = self._model.update(runs, servers, loads)
        usable = [name for name in usable_servers(servers, loads, zones) if name not in lost]
        leaving = ranges_to_evacuate(runs, servers, zones, lost)
        if not usable or not leaving:
            return []
        budget = math.ceil(self._share * (runs[-1].last + 1))
        pieces = self._in_turn(leaving, budget)
        return moves_to_least_utilised(pieces, estimate, usable)

    def _in_turn(self, leaving: list[SliceRange], budget: int) -> list[SliceRange]:
        """Returns chunks up to the budget, one of each owner in turn, free ones first."""
        by_owner: dict[str, list[SliceRange]] = {}
        for run in leaving:
            owner = run.owner if run.state != SLICE_FREE else ""
            by_owner.setdefault(owner, []).extend(split_range(run, self._chunk))
        pieces: list[SliceRange] = []
        left = budget
        while left > 0 and by_owner:
            for owner in sorted(by_owner):
                piece = by_owner[owner].pop(0)
                if not by_owner[owner]:
                    del by_owner[owner]
                pieces.append(piece)
                left -= piece.last - piece.first + 1
                if left <= 0:
                    break
        return pieces
