"""Decisions on slices, as functions of what the coordinator knows."""

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
    """The appointment whose end was proved for a slice."""

    owner: str
    fence: int


def server_reports(statuses: Iterable[HostStatus], back_end: str) -> dict[str, ServerStatus]:
    """Returns the report on each server of a back end; the best state counts."""
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
    """Returns the load of a back end for the planners."""
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
    """Returns loads in which servers of the own zone without a dispatcher are not up."""
    servers = dict(loads.server_loads)
    for name, server in back_end.servers.items():
        if server.zone == own_zone and name not in reports:
            servers[name] = ServerLoad(0.0, 0.0, 0.0, up=False)
    return loads._replace(server_loads=servers)


def managed_zones(
    config: RoutingConfig, own_zone: str, lost_for_s: Mapping[str, float], takeover_delay_s: float
) -> set[str]:
    """Returns the zones whose slices this coordinator moves.

    These are its own, and a lost one if it is the first zone that is in. The coordinators
    of later zones step in after ``takeover_delay_s`` for each zone before them.

    Args:
        config: The configuration in force.
        own_zone: Zone of the coordinator.
        lost_for_s: Seconds for which each lost zone has been known as lost.
        takeover_delay_s: Delay for each zone that goes before.
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
    """Returns the position of a zone among those that are in, None if it is not."""
    names = sorted(name for name, state in config.zones.items() if state == ZONE_IN)
    return names.index(zone) if zone in names else None


def zone_of_range(run: SliceRange, back_end: BackEnd) -> str:
    """Returns the zone in which a run's owner stands, or its home zone."""
    server = back_end.servers.get(run.owner)
    return server.zone if server else run.home_zone


def is_managed(run: SliceRange, back_end: BackEnd, zones: Collection[str]) -> bool:
    """Returns whether a run is this coordinator's to move."""
    return zone_of_range(run, back_end) in zones


def slices_of_lost_servers(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    reports: Mapping[str, ServerStatus],
    zone_states: Mapping[str, str],
) -> Bounds:
    """Returns slices of driven servers that are down or lost, which are released at once."""

    def is_lost(run: SliceRange) -> bool:
        report = reports.get(run.owner)
        down = report is not None and report.state == STATE_DOWN
        return down or zone_states.get(zone_of_range(run, back_end)) == ZONE_LOST

    return [
        (run.first, run.last)
        for run in slice_map.ranges()
        if run.state == SLICE_OWNED and is_managed(run, back_end, zones) and is_lost(run)
    ]


def evacuation_moves(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    loads: BackEndLoad,
    zone_states: Mapping[str, str],
    policy: ZoneMovePolicy,
) -> list[Move]:
    """Returns the next step of driven slices off servers that must not own any."""
    moves = policy.plan(slice_map, back_end.servers, loads, zone_states)
    return _driven_moves(moves, slice_map, back_end, zones)


def balancing_moves(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    loads: BackEndLoad,
    zone_states: Mapping[str, str],
    placement: Placement,
    max_slices: int,
) -> list[Move]:
    """Returns up to ``max_slices`` of the moves that balance asks for."""
    moves = placement.plan_moves(slice_map, back_end.servers, loads, zone_states)
    return _limited(_driven_moves(moves, slice_map, back_end, zones), max_slices)


def _driven_moves(
    moves: Iterable[Move], slice_map: SliceMap, back_end: BackEnd, zones: Collection[str]
) -> list[Move]:
    return [
        move
        for move in moves
        if slice_map.lookup(move.first).state == SLICE_OWNED
        and is_managed(slice_map.lookup(move.first), back_end, zones)
    ]


def _limited(moves: list[Move], max_slices: int) -> list[Move]:
    kept = []
    left = max_slices
    for move in moves:
        if left <= 0:
            break
        last = min(move.last, move.first + left - 1)
        kept.append(move._replace(last=last))
        left -= last - move.first + 1
    return kept


def assignable_ranges(
    slice_map: SliceMap,
    back_end: BackEnd,
    zones: Collection[str],
    proofs: Mapping[int, ReleaseProof],
    include_free: bool,
) -> list[SliceRange]:
    """Returns free runs, and the proved parts of driven runs in state ``releasing``.

    Args:
        slice_map: The map in force.
        back_end: The back end.
        zones: Driven zones.
        proofs: Proof by slice.
        include_free: Whether free slices at home in other zones are taken as well.
    """
    found = []
    for run in slice_map.ranges():
        if run.state == SLICE_FREE and (include_free or run.home_zone in zones):
            found.append(run)
        if run.state == SLICE_RELEASING and is_managed(run, back_end, zones):
            found.extend(_proved_parts(run, proofs))
    return found


def _proved_parts(run: SliceRange, proofs: Mapping[int, ReleaseProof]) -> list[SliceRange]:
    parts = []
    first = None
    for slice_id in range(run.first, run.last + 2):
        proved = slice_id <= run.last and proofs.get(slice_id) == ReleaseProof(run.owner, run.fence)
        if proved and first is None:
            first = slice_id
        if not proved and first is not None:
            parts.append(run._replace(first=first, last=slice_id - 1))
            first = None
    return parts


def choose_owners(
    runs: list[SliceRange],
    slice_map: SliceMap,
    back_end: BackEnd,
    loads: BackEndLoad,
    zone_states: Mapping[str, str],
    planned_owners: Mapping[int, str],
) -> list[Move]:
    """Returns the next owner of each run.

    A planned owner is kept if it is still usable. Otherwise slices go to the emptiest
    servers of the zone they leave, and to other zones only if it has none.

    Args:
        runs: Runs to assign.
        slice_map: The map in force.
        back_end: The back end.
        loads: Observed load; says which servers answer.
        zone_states: State of each availability zone.
        planned_owners: Planned owner by first slice of a chunk.
    """
    usable = usable_servers(back_end.servers, loads, zone_states)
    if not usable:
        return []
    estimate = estimate_loads(slice_map.ranges(), back_end.servers, loads)
    moves = []
    by_zone: dict[str, list[SliceRange]] = {}
    for piece in _pieces(runs, planned_owners):
        target = planned_owners.get(piece.first, "")
        if target in usable:
            moves.append(Move(piece.first, piece.last, piece.owner, target))
            continue
        by_zone.setdefault(zone_of_range(piece, back_end), []).append(piece)
    for zone, pieces in sorted(by_zone.items()):
        at_home = [name for name in usable if back_end.servers[name].zone == zone]
        moves += moves_to_least_utilised(pieces, estimate, at_home or usable)
    return merge_moves(moves)


def _pieces(runs: list[SliceRange], wanted: Mapping[int, str]) -> list[SliceRange]:
    """Cuts runs where a planned owner begins or ends, and into chunks."""
    pieces = []
    for run in runs:
        first = run.first
        for slice_id in range(run.first + 1, run.last + 2):
            at_end = slice_id > run.last
            if at_end or wanted.get(slice_id, "") != wanted.get(first, ""):
                part = run._replace(first=first, last=slice_id - 1)
                pieces += (
                    [part] if first in wanted else split_range(part, DEFAULT_LEAVE_CHUNK_SLICES)
                )
                first = slice_id
    return pieces


def assigned_ranges(
    moves: Iterable[Move], slice_map: SliceMap, back_end: BackEnd, fence: int
) -> list[SliceRange]:
    """Returns the entries that appoint the owners; the home zone stays if there is one."""
    runs = []
    for move in moves:
        for run in slice_map.overlapping(move.first, move.last):
            home_zone = run.home_zone or back_end.servers[move.target].zone
            runs.append(SliceRange(run.first, run.last, SLICE_OWNED, move.target, fence, home_zone))
    return runs
