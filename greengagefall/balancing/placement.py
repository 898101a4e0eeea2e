"""Placement of slices on the servers of a keyed back end."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple, Protocol

from greengagefall.balancing.loads import (
    NO_BACK_END_LOAD,
    BackEndLoad,
    LoadEstimate,
    LoadModel,
    ReadableSliceMap,
    capacity,
    usable_servers,
)
from greengagefall.balancing.moves import Move, merge_moves
from greengagefall.coordination.model import SLICE_OWNED, SliceRange
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from greengagefall.routing.model import BackendServer
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_MIN_IMBALANCE = 0.10
DEFAULT_ZONE_IMBALANCE = 0.10
DEFAULT_SETTLE_SHARE = 0.5
DEFAULT_EXCESS_OBSERVATIONS = 2
DEFAULT_CHURN_COST = 0.3
DEFAULT_MAX_MOVES_PER_PLAN = 128
DEFAULT_HOT_SLICE_FACTOR = 8.0


class Placement(Protocol):
    """Decides which server owns which slices of one back end."""

    def initial_ranges(
        self,
        slice_count: int,
        servers: Mapping[str, BackendServer],
        zones: Mapping[str, str],
        fence: int = 1,
    ) -> list[SliceRange]:
        """Returns the initial slice ranges: all are owned, with the owner's zone as home zone."""

    def plan_moves(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns moves between usable servers; call it again once they are completed."""


PLACEMENTS: Registry[type[Placement]] = Registry("placement")


def ranges_by_capacity(
    slice_count: int,
    servers: Mapping[str, BackendServer],
    zones: Mapping[str, str],
    fence: int,
) -> list[SliceRange]:
    """Returns one slice range per usable server, of a length proportional to its capacity."""
    names = usable_servers(servers, NO_BACK_END_LOAD, zones)
    total = sum(capacity(servers[name]) for name in names)
    ranges = []
    first = 0
    cumulative = 0.0
    for name in names:
        cumulative += capacity(servers[name])
        end = round(slice_count * cumulative / total)
        if end > first:
            ranges.append(SliceRange(first, end - 1, SLICE_OWNED, name, fence, servers[name].zone))
        first = end
    return ranges


@PLACEMENTS.register("by_weight")
class WeightPlacement:
    """Places slices by the servers' settings alone; the baseline.

    A plan restores the initial slice ranges of the servers that are usable now.
    """

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        pass

    def initial_ranges(
        self,
        slice_count: int,
        servers: Mapping[str, BackendServer],
        zones: Mapping[str, str],
        fence: int = 1,
    ) -> list[SliceRange]:
        """Returns one slice range per usable server."""
        return ranges_by_capacity(slice_count, servers, zones, fence)

    def plan_moves(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns all moves towards the initial slice ranges."""
        ranges = slice_map.ranges()
        usable = set(usable_servers(servers, loads, zones))
        target_ranges = ranges_by_capacity(ranges[-1].last + 1, servers, zones, 0)
        moves = []
        index = 0
        for slice_range in ranges:
            while index < len(target_ranges) and target_ranges[index].last < slice_range.first:
                index += 1
            position = index
            while (
                position < len(target_ranges) and target_ranges[position].first <= slice_range.last
            ):
                target = target_ranges[position]
                position += 1
                if slice_range.state != SLICE_OWNED or target.owner == slice_range.owner:
                    continue
                if target.owner not in usable or slice_range.owner not in usable:
                    continue
                first = max(slice_range.first, target.first)
                last = min(slice_range.last, target.last)
                moves.append(Move(first, last, slice_range.owner, target.owner))
        return merge_moves(moves)


class _Plan:
    """Moves planned so far, and the utilisation of each server after them."""

    def __init__(self, estimate: LoadEstimate, usable: list[str], max_slices: int) -> None:
        self.estimate = estimate
        self.remaining_slices = max_slices
        self.moves: list[Move] = []
        self._planned: set[int] = set()
        self._rate = {name: estimate.server_rate_per_s[name] for name in usable}

    def utilisation(self, name: str) -> float:
        """Returns the utilisation of a server after the planned moves."""
        return self._rate[name] * self.estimate.server_cost[name]

    def balanced_utilisation(self, names: list[str]) -> float:
        """Returns the utilisation of each of these servers if their load were balanced."""
        capacity_per_s = sum(1.0 / self.estimate.server_cost[name] for name in names)
        return sum(self._rate[name] for name in names) / capacity_per_s

    def move(
        self, candidates: Iterator[int], source: str, target: str, remaining_rate: float
    ) -> bool:
        """Plans moves of candidates until their rates use up ``remaining_rate``.

        Returns:
            Whether at least one slice moves.
        """
        rates = self.estimate.slice_rates
        planned = 0
        for slice_id in candidates:
            if self.remaining_slices <= 0:
                break
            if slice_id in self._planned or rates[slice_id] > remaining_rate:
                continue
            remaining_rate -= rates[slice_id]
            self._planned.add(slice_id)
            self.moves.append(Move(slice_id, slice_id, source, target))
            self._rate[source] -= rates[slice_id]
            self._rate[target] += rates[slice_id]
            self.remaining_slices -= 1
            planned += 1
        return planned > 0


class _ExcessHistory:
    """Counts for how many observations in a row servers had too high a utilisation.

    A server is above if its utilisation exceeds the stop bound of its zone.
    """

    def __init__(self, observations: int) -> None:
        self._observations = observations
        self._observed_s: float | None = None
        self._above: dict[str, int] = {}

    def record(self, observed_s: float, above: set[str]) -> None:
        """Records the servers that are above, once for each observation."""
        if observed_s == self._observed_s:
            return
        self._observed_s = observed_s
        self._above = {name: self._above.get(name, 0) + 1 for name in above}

    def persistent(self, names: list[str]) -> list[str]:
        """Returns the servers that were above for long enough to rule out sampling noise."""
        return [name for name in names if self._above.get(name, 0) >= self._observations]


class _Bounds(NamedTuple):
    """Utilisation bounds for moving slices.

    Attributes:
        start: A server above it starts to move slices away.
        stop: A server moves slices away until it is down to this utilisation.
        target_max: A server gets slices up to this utilisation.
    """

    start: float
    stop: float
    target_max: float


@PLACEMENTS.register("load_aware")
class LoadAwarePlacement:
    """Moves slices away from servers with an observed load above the balanced utilisation.

    Slices move between zones only if the servers of a zone together are above the balanced
    utilisation, for example when another zone has returned to service. After that, the servers of
    each zone are balanced among themselves.

    Tuning:
        ``zone_imbalance``: excess of a zone over the balanced utilisation that starts moves
        to other zones.
        ``zone_settle_imbalance``: excess at which such moves stop; half of
        ``zone_imbalance`` if not set.
        ``min_imbalance``: excess over the balanced utilisation of the zone that starts moves
        inside it.
        ``settle_imbalance``: excess at which those stop; half of ``min_imbalance`` if not set.
        ``excess_observations``: observations in a row in which a server must be above
        ``settle_imbalance`` before slices move away from it.
        ``churn_cost``: a slice moves only if its rate, relative to the mean rate, is at
        least this; larger values mean fewer moves.
        ``max_moves_per_plan``: maximum number of slices that one plan moves.
        ``hot_slice_factor``: slices above this many times the mean rate stay, and other slices
        of the server move instead.
        ``straggler_hold_s``: how long a server must be slow before its cost is updated.
    """

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._min_imbalance = tuning.get("min_imbalance", DEFAULT_MIN_IMBALANCE)
        self._settle_imbalance = tuning.get(
            "settle_imbalance", self._min_imbalance * DEFAULT_SETTLE_SHARE
        )
        self._zone_imbalance = tuning.get("zone_imbalance", DEFAULT_ZONE_IMBALANCE)
        self._zone_settle = tuning.get(
            "zone_settle_imbalance", self._zone_imbalance * DEFAULT_SETTLE_SHARE
        )
        self._churn_cost = tuning.get("churn_cost", DEFAULT_CHURN_COST)
        self._max_moves = int(tuning.get("max_moves_per_plan", DEFAULT_MAX_MOVES_PER_PLAN))
        self._hot_factor = tuning.get("hot_slice_factor", DEFAULT_HOT_SLICE_FACTOR)
        observations = tuning.get("excess_observations", DEFAULT_EXCESS_OBSERVATIONS)
        self._excess = _ExcessHistory(int(observations))
        self._model = LoadModel(clock, tuning)

    def initial_ranges(
        self,
        slice_count: int,
        servers: Mapping[str, BackendServer],
        zones: Mapping[str, str],
        fence: int = 1,
    ) -> list[SliceRange]:
        """Returns one slice range per usable server."""
        return ranges_by_capacity(slice_count, servers, zones, fence)

    def plan_moves(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns a bounded number of moves from the most to the least utilised servers."""
        ranges = slice_map.ranges()
        estimate = self._model.update(ranges, servers, loads)
        usable = usable_servers(servers, loads, zones)
        if not usable:
            return []
        owned: dict[str, list[SliceRange]] = {}
        for slice_range in ranges:
            if slice_range.state == SLICE_OWNED:
                owned.setdefault(slice_range.owner, []).append(slice_range)
        plan = _Plan(estimate, usable, self._max_moves)
        by_zone: dict[str, list[str]] = {}
        for name in usable:
            by_zone.setdefault(servers[name].zone, []).append(name)
        self._balance_zones(plan, by_zone, servers, owned)
        above: set[str] = set()
        for names in by_zone.values():
            bounds = self._bounds_in_zone(plan, names)
            above.update(name for name in names if plan.utilisation(name) > bounds.stop)
        self._excess.record(loads.observed_s, above)
        for names in by_zone.values():
            bounds = self._bounds_in_zone(plan, names)
            self._balance(plan, self._excess.persistent(names), names, bounds, servers, owned)
        return merge_moves(plan.moves)

    def _bounds_in_zone(self, plan: _Plan, names: list[str]) -> _Bounds:
        balanced = plan.balanced_utilisation(names)
        start = balanced * (1.0 + self._min_imbalance)
        return _Bounds(start, balanced * (1.0 + self._settle_imbalance), balanced)

    def _balance_zones(
        self,
        plan: _Plan,
        by_zone: Mapping[str, list[str]],
        servers: Mapping[str, BackendServer],
        owned: Mapping[str, list[SliceRange]],
    ) -> None:
        balanced = plan.balanced_utilisation([name for names in by_zone.values() for name in names])
        start = balanced * (1.0 + self._zone_imbalance)
        overloaded = [
            names for names in by_zone.values() if plan.balanced_utilisation(names) > start
        ]
        underloaded = [
            names for names in by_zone.values() if plan.balanced_utilisation(names) < balanced
        ]
        sources = [name for names in overloaded for name in names]
        targets = [name for names in underloaded for name in names]
        stop = balanced * (1.0 + self._zone_settle)
        self._balance(plan, sources, targets, _Bounds(stop, stop, balanced), servers, owned)

    def _balance(
        self,
        plan: _Plan,
        sources: list[str],
        targets: list[str],
        bounds: _Bounds,
        servers: Mapping[str, BackendServer],
        owned: Mapping[str, list[SliceRange]],
    ) -> None:
        """Plans moves from the most utilised source to the least utilised target, repeatedly."""
        cost = plan.estimate.server_cost
        open_sources = list(sources)
        while open_sources and targets and plan.remaining_slices > 0:
            source = max(open_sources, key=plan.utilisation)
            target = min(targets, key=plan.utilisation)
            if plan.utilisation(source) <= bounds.start:
                return
            excess = (plan.utilisation(source) - bounds.stop) / cost[source]
            spare_per_s = (bounds.target_max - plan.utilisation(target)) / cost[target]
            candidates = self._candidates(
                owned.get(source, []), servers[target].zone, plan.estimate
            )
            if spare_per_s <= 0.0 or not plan.move(
                candidates, source, target, min(excess, spare_per_s)
            ):
                open_sources.remove(source)

    def _candidates(
        self, ranges: list[SliceRange], zone: str, estimate: LoadEstimate
    ) -> Iterator[int]:
        """Yields the slices that may move to ``zone``, in order of preference."""
        min_rate = self._churn_cost * estimate.mean_slice_rate
        max_rate = self._hot_factor * estimate.mean_slice_rate
        for slice_range in sorted(ranges, key=lambda slice_range: _move_order(slice_range, zone)):
            for slice_id in range(slice_range.last, slice_range.first - 1, -1):
                if min_rate <= estimate.slice_rates[slice_id] <= max_rate:
                    yield slice_id


def _move_order(slice_range: SliceRange, zone: str) -> tuple[bool, int, int]:
    """Returns a sort key: ranges with home zone ``zone`` first, then short ones."""
    return slice_range.home_zone != zone, slice_range.last - slice_range.first, slice_range.first
