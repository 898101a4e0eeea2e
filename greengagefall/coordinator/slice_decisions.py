"""Decisions about slices as functions of the state known to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.balancing.loads import BackEndLoad, ServerLoad, estimate_loads, usable_servers
from greengagefall.balancing.moves import Move, merge_moves
from greengagefall.balancing.zone_moves import (
    DEFAULT_LEAVE_CHUNK_SLICES,
    moves_to_least_utilised,
    split_range,
)
from greengagefall.coordination.model import (
    SLICE_FREE,
    SLICE_OWNED,
    SLICE_RELEASING,
    SliceRange,
)
from greengagefall.protocol.messages import ServerStatus
from greengagefall.routing.model import ZONE_IN, ZONE_LOST

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from greengagefall.balancing.placement import Placement
    from greengagefall.balancing.zone_moves import ZoneMovePolicy
    from greengagefall.coordination.slice_map import SliceMap
    from greengagefall.protocol.messages import HostStatus
    from greengagefall.routing.model import BackEnd, RoutingConfig

STATE_UP = "up"
STATE_COLD = "cold"
STATE_DOWN = "down"
USABLE_STATES = (STATE_UP, STATE_COLD)

Bounds = list[tuple[int, int]]


class ReleaseProof(NamedTuple):
    """Owner and fencing token of an assignment that has certainly ended for a slice."""

    owner: str
    fence: int


def server_reports(statuses: Iterable[HostStatus], back_end: str) -> dict[str, ServerStatus]:
    """Returns a report for each server of a back end; any state takes precedence over ``down``."""
    reports: dict[str, ServerStatus] = {}
    for status in statuses:
        for row in map(ServerStatus._make, status.servers):
            name, _, server = row.server_key.partition("/")
            if name != back_end:
                continue
            known = reports.get(server)
            if known is None or known.state == STATE_DOWN:
                reports[server] = row
    return reports


def collect_loads(
    reports: Mapping[str, ServerStatus],
    statuses: Iterable[HostStatus],
    back_end: str,
    observed_s: float,
) -> BackEndLoad:
    """Returns the load of a back end as input for placement and zone moves."""
    servers = {
        name: ServerLoad(
            report.busy_share,
            report.offered_per_s,
            report.served_per_s,
            report.state in USABLE_STATES,
        )
        for name, report in reports.items()
    }
    slices: dict[int, float] = {}
    for status in statuses:
        for key, rate_per_s in status.slice_load.items():
            name, _, number = key.partition("/")
            if name == back_end and number.isdigit():
                slices[int(number)] = rate_per_s
    return BackEndLoad(servers, slices, observed_s)


def mark_unreported_down(
    loads: BackEndLoad, reports: Mapping[str, ServerStatus], back_end: BackEnd, own_zone: str
) -> BackEndLoad:
    """Returns loads in which servers of the own zone that no host reports are not up."""
    servers = dict(loads.server_loads)
    for name, server in back_end.servers.items():
        if server.zone == own_zone and name not in reports:
            servers[name] = ServerLoad(0.0, 0.0, 0.0, up=False)
    return loads._replace(server_loads=servers)


def managed_zones(
    config: RoutingConfig, own_zone: str, lost_for_s: Mapping[str, float], takeover_delay_s: float
) -> set[str]:
    """Returns the zones whose slices this coordinator moves.

    These are its own zone and the lost zones. The coordinator of the first zone in state ``in``
    manages a lost zone at once, those of the following zones after ``takeover_delay_s`` for each
    zone before them.

    Args:
        config: The current configuration.
        own_zone: Zone of the coordinator.
        lost_for_s: Seconds since each lost zone became known as lost.
        takeover_delay_s: Delay for each zone of a lower rank.
    """
    zones = {own_zone}
    rank = zone_rank(config, own_zone)
    if rank is None:
        return zones
    for zone, state in config.zones.items():
        if state == ZONE_LOST and lost_for_s.get(zone, 0.0) >= rank * takeover_delay_s:
            zones.add(zone)
    return zones


def zone_rank(config: RoutingConfig, zone: str) -> int | None:
    """Returns the position of a zone among those in state ``in``, None if it has another state."""
    names = sorted(name for name, state in config.zones.items() if state == ZONE_IN)
    return names.index(zone) if zone in names else None


def zone_of_range(slice_range: SliceRange, back_end: BackEnd) -> str:
    """Returns the zone of a range's owner, or the range's home zone if the owner is unknown."""
    server = back_end.servers.get(slice_range.owner)
    return server.zone if server else slice_range.home_zone


def is_managed(slice_range: SliceRange, back_end: BackEnd, zones: Collection[str]) -> bool:
    """Returns whether a range belongs to one of the managed zones."""
    return zone_of_range(slice_range, back_end) in zones


def slices_of_lost_servers(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    reports: Mapping[str, ServerStatus],
    zone_states: Mapping[str, str],
) -> Bounds:
    """Returns the owned slices in managed zones whose server is down or in a lost zone.

    These slices are released at once, without waiting for a step of the evacuation plan.
    """

    def is_lost(slice_range: SliceRange) -> bool:
        report = reports.get(slice_range.owner)
        down = report is not None and report.state == STATE_DOWN
        return down or zone_states.get(zone_of_range(slice_range, back_end)) == ZONE_LOST

    return [
        (slice_range.first, slice_range.last)
        for slice_range in slice_map.ranges()
        if slice_range.state == SLICE_OWNED
        and is_managed(slice_range, back_end, zones)
        and is_lost(slice_range)
    ]


def evacuation_moves(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    loads: BackEndLoad,
    zone_states: Mapping[str, str],
    policy: ZoneMovePolicy,
) -> list[Move]:
    """Returns the next moves of managed slices off servers that must not own any."""
    moves = policy.plan(slice_map, back_end.servers, loads, zone_states)
    return _managed_moves(moves, slice_map, back_end, zones)


def balancing_moves(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    loads: BackEndLoad,
    zone_states: Mapping[str, str],
    placement: Placement,
    max_slices: int,
) -> list[Move]:
    """Returns the moves that balance the load, cut off after ``max_slices`` slices."""
    moves = placement.plan_moves(slice_map, back_end.servers, loads, zone_states)
    return _limit_moves(_managed_moves(moves, slice_map, back_end, zones), max_slices)


def _managed_moves(
    moves: Iterable[Move], slice_map: SliceMap, back_end: BackEnd, zones: Collection[str]
) -> list[Move]:
    return [
        move
        for move in moves
        if slice_map.lookup(move.first).state == SLICE_OWNED
        and is_managed(slice_map.lookup(move.first), back_end, zones)
    ]


def _limit_moves(moves: list[Move], max_slices: int) -> list[Move]:
    kept = []
    remaining = max_slices
    for move in moves:
        if remaining <= 0:
            break
        last = min(move.last, move.first + remaining - 1)
        kept.append(move._replace(last=last))
        remaining -= last - move.first + 1
    return kept


def assignable_ranges(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    proofs: Mapping[int, ReleaseProof],
    include_free: bool,
) -> list[SliceRange]:
    """Returns free ranges, and the released parts of managed ranges in state ``releasing``.

    Args:
        slice_map: The current map.
        back_end: The back end.
        zones: Managed zones.
        proofs: Release proof by slice.
        include_free: Whether free slices without a home zone in ``zones`` are included as well.
    """
    assignable = []
    for slice_range in slice_map.ranges():
        if slice_range.state == SLICE_FREE and (include_free or slice_range.home_zone in zones):
            assignable.append(slice_range)
        if slice_range.state == SLICE_RELEASING and is_managed(slice_range, back_end, zones):
            assignable.extend(_proved_parts(slice_range, proofs))
    return assignable


def _proved_parts(slice_range: SliceRange, proofs: Mapping[int, ReleaseProof]) -> list[SliceRange]:
    parts = []
    first = None
    for slice_id in range(slice_range.first, slice_range.last + 2):
        proved = slice_id <= slice_range.last and proofs.get(slice_id) == ReleaseProof(
            slice_range.owner, slice_range.fence
        )
        if proved and first is None:
            first = slice_id
        if not proved and first is not None:
            parts.append(slice_range._replace(first=first, last=slice_id - 1))
            first = None
    return parts


def choose_owners(
    slice_ranges: list[SliceRange],
    slice_map: SliceMap,
    back_end: BackEnd,
    loads: BackEndLoad,
    zone_states: Mapping[str, str],
    planned_owners: Mapping[int, str],
) -> list[Move]:
    """Returns moves to the next owner of each slice range.

    A planned owner is kept if it is still usable. Otherwise slices go to the least utilised
    servers of their former owner's zone, and to other zones only if it has no usable server.

    Args:
        slice_ranges: Slice ranges to assign.
        slice_map: The current map.
        back_end: The back end.
        loads: Observed load, which also shows which servers are up.
        zone_states: State of each availability zone.
        planned_owners: Planned owner by slice.
    """
    usable = usable_servers(back_end.servers, loads, zone_states)
    if not usable:
        return []
    estimate = estimate_loads(slice_map.ranges(), back_end.servers, loads)
    moves = []
    by_zone: dict[str, list[SliceRange]] = {}
    for chunk in _split_into_chunks(slice_ranges, planned_owners):
        target = planned_owners.get(chunk.first, "")
        if target in usable:
            moves.append(Move(chunk.first, chunk.last, chunk.owner, target))
            continue
        by_zone.setdefault(zone_of_range(chunk, back_end), []).append(chunk)
    for zone, chunks in sorted(by_zone.items()):
        in_same_zone = [name for name in usable if back_end.servers[name].zone == zone]
        moves += moves_to_least_utilised(chunks, estimate, in_same_zone or usable)
    return merge_moves(moves)


def _split_into_chunks(
    slice_ranges: list[SliceRange], planned_owners: Mapping[int, str]
) -> list[SliceRange]:
    """Splits ranges where the planned owner changes, and parts without one by size."""
    chunks = []
    for slice_range in slice_ranges:
        first = slice_range.first
        for slice_id in range(slice_range.first + 1, slice_range.last + 2):
            at_end = slice_id > slice_range.last
            if at_end or planned_owners.get(slice_id, "") != planned_owners.get(first, ""):
                part = slice_range._replace(first=first, last=slice_id - 1)
                chunks += (
                    [part]
                    if first in planned_owners
                    else split_range(part, DEFAULT_LEAVE_CHUNK_SLICES)
                )
                first = slice_id
    return chunks


def assigned_ranges(
    moves: Iterable[Move], slice_map: SliceMap, back_end: BackEnd, fence: int
) -> list[SliceRange]:
    """Returns the entries that assign the owners; a range without a home zone gets its owner's."""
    slice_ranges = []
    for move in moves:
        for slice_range in slice_map.overlapping(move.first, move.last):
            home_zone = slice_range.home_zone or back_end.servers[move.target].zone
            slice_ranges.append(
                SliceRange(
                    slice_range.first, slice_range.last, SLICE_OWNED, move.target, fence, home_zone
                )
            )
    return slice_ranges
