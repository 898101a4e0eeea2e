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
        """Returns the first map: each slice owned, at home in its owner's zone."""

    def plan_moves(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns moves between usable servers; plan again once they are done."""


PLACEMENTS: Registry[type[Placement]] = Registry("placement")


def ranges_by_capacity(
    slice_count: int,
    servers: Mapping[str, BackendServer],
    zones: Mapping[str, str],
    fence: int,
) -> list[SliceRange]:
    """Returns one run per usable server, its length by the server's capacity."""
    names = usable_servers(servers, NO_BACK_END_LOAD, zones)
    total = sum(capacity(servers[name]) for name in names)
    runs = []
    first = 0
    reached = 0.0
    for name in names:
        reached += capacity(servers[name])
        end = round(slice_count * reached / total)
        if end > first:
            runs.append(SliceRange(first, end - 1, SLICE_OWNED, name, fence, servers[name].zone))
        first = end
    return runs


@PLACEMENTS.register("by_weight")
class WeightPlacement:
    """Slices by the servers' settings alone; the baseline.

    A plan restores the initial map of the servers that are usable now.
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
        """Returns one run per usable server."""
        return ranges_by_capacity(slice_count, servers, zones, fence)

    def plan_moves(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns each move towards the map that the settings ask for."""
        runs = slice_map.ranges()
        usable = set(usable_servers(servers, loads, zones))
        wanted = ranges_by_capacity(runs[-1].last + 1, servers, zones, 0)
        moves = []
        index = 0
        for run in runs:
            while index < len(wanted) and wanted[index].last < run.first:
                index += 1
            position = index
            while position < len(wanted) and wanted[position].first <= run.last:
                want = wanted[position]
                position += 1
                if run.state != SLICE_OWNED or want.owner == run.owner:
                    continue
                if want.owner not in usable or run.owner not in usable:
                    continue
                first = max(run.first, want.first)
                last = min(run.last, want.last)
                moves.append(Move(first, last, run.owner, want.owner))
        return merge_moves(moves)


class _Plan:
    """Moves so far, and what they make of the servers' utilisation."""

    def __init__(self, estimate: LoadEstimate, usable: list[str], most: int) -> None:
        self.estimate = estimate
        self.left = most
        self.moves: list[Move] = []
        self._planned: set[int] = set()
        self._rate = {name: estimate.server_rate_per_s[name] for name in usable}

    def utilisation(self, name: str) -> float:
        """Returns the utilisation of a server after the moves so far."""
        return self._rate[name] * self.estimate.server_cost[name]

    def level(self, names: list[str]) -> float:
        """Returns the utilisation that all of these servers would have when balanced."""
        speed = sum(1.0 / self.estimate.server_cost[name] for name in names)
        return sum(self._rate[name] for name in names) / speed

    def move(self, candidates: Iterator[int], source: str, target: str, rate_wanted: float) -> bool:
        """Plans candidates with rates up to ``rate_wanted``; returns whether there were any."""
        rates = self.estimate.slice_rates
        taken = 0
        for slice_id in candidates:
            if self.left <= 0:
                break
            if slice_id in self._planned or rates[slice_id] > rate_wanted:
                continue
            rate_wanted -= rates[slice_id]
            self._planned.add(slice_id)
            self.moves.append(Move(slice_id, slice_id, source, target))
            self._rate[source] -= rates[slice_id]
            self._rate[target] += rates[slice_id]
            self.left -= 1
            taken += 1
        return taken > 0


class _ExcessHistory:
    """Servers that were above their zone's level in several observations in a row."""

    def __init__(self, observations: int) -> None:
        self._observations = observations
        self._observed_s: float | None = None
        self._above: dict[str, int] = {}

    def note(self, observed_s: float, above: set[str]) -> None:
        """Takes in who was above the level, once for each observation."""
        if observed_s == self._observed_s:
            return
        self._observed_s = observed_s
        self._above = {name: self._above.get(name, 0) + 1 for name in above}

    def lasting(self, names: list[str]) -> list[str]:
        """Returns those of the servers whose excess is not just sampling noise."""
        return [name for name in names if self._above.get(name, 0) >= self._observations]


class _Bounds(NamedTuple):
    """Utilisations between which servers give and take slices.

    Attributes:
        start: Above it a server begins to give slices away.
        settled: Down to it a server gives slices away.
        filled: Up to it a server takes slices.
    """

    start: float
    settled: float
    filled: float


@PLACEMENTS.register("load_aware")
class LoadAwarePlacement:
    """Moves slices from servers with observed load above the balanced level.

    Slices move between zones only if a whole zone is above the level, such as when another
    zone has returned; then the servers of each zone are balanced among themselves.

    Tuning:
        ``zone_imbalance``: excess of a zone over the balanced utilisation that starts moves
        to other zones.
        ``zone_settle_imbalance``: excess at which such moves end; half of it if not set.
        ``min_imbalance``: excess over the zone's utilisation that starts moves inside it.
        ``settle_imbalance``: excess at which those end; half of ``min_imbalance`` if not set.
        ``excess_observations``: observations in a row in which a server must be above that.
        ``churn_cost``: a slice moves only if its rate, relative to the mean slice, is at
        least this; larger values mean fewer moves.
        ``max_moves_per_plan``: slices per plan.
        ``hot_slice_factor``: slices with this many times the mean rate stay, their
        neighbours move instead.
        ``straggler_hold_s``: how long a slowed server must last before it counts.
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
        """Returns one run per usable server."""
        return ranges_by_capacity(slice_count, servers, zones, fence)

    def plan_moves(
        self,
        slice_map: ReadableSliceMap,
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns bounded moves from the fullest servers to the emptiest."""
        runs = slice_map.ranges()
        estimate = self._model.update(runs, servers, loads)
        usable = usable_servers(servers, loads, zones)
        if not usable:
            return []
        owned: dict[str, list[SliceRange]] = {}
        for run in runs:
            if run.state == SLICE_OWNED:
                owned.setdefault(run.owner, []).append(run)
        plan = _Plan(estimate, usable, self._max_moves)
        by_zone: dict[str, list[str]] = {}
        for name in usable:
            by_zone.setdefault(servers[name].zone, []).append(name)
        self._balance_zones(plan, by_zone, servers, owned)
        above: set[str] = set()
        for names in by_zone.values():
            bounds = self._bounds_in_zone(plan, names)
            above.update(name for name in names if plan.utilisation(name) > bounds.settled)
        self._excess.note(loads.observed_s, above)
        for names in by_zone.values():
            bounds = self._bounds_in_zone(plan, names)
            self._balance(plan, self._excess.lasting(names), names, bounds, servers, owned)
        return merge_moves(plan.moves)

    def _bounds_in_zone(self, plan: _Plan, names: list[str]) -> _Bounds:
        level = plan.level(names)
        start = level * (1.0 + self._min_imbalance)
        return _Bounds(start, level * (1.0 + self._settle_imbalance), level)

    def _balance_zones(
        self,
        plan: _Plan,
        by_zone: Mapping[str, list[str]],
        servers: Mapping[str, BackendServer],
        owned: Mapping[str, list[SliceRange]],
    ) -> None:
        level = plan.level([name for names in by_zone.values() for name in names])
        start = level * (1.0 + self._zone_imbalance)
        full = [names for names in by_zone.values() if plan.level(names) > start]
        empty = [names for names in by_zone.values() if plan.level(names) < level]
        sources = [name for names in full for name in names]
        targets = [name for names in empty for name in names]
        settled = level * (1.0 + self._zone_settle)
        self._balance(plan, sources, targets, _Bounds(settled, settled, level), servers, owned)

    def _balance(
        self,
        plan: _Plan,
        sources: list[str],
        targets: list[str],
        bounds: _Bounds,
        servers: Mapping[str, BackendServer],
        owned: Mapping[str, list[SliceRange]],
    ) -> None:
        """Plans moves from the fullest source to the emptiest target, again and again."""
        cost = plan.estimate.server_cost
        open_sources = list(sources)
        while open_sources and targets and plan.left > 0:
            source = max(open_sources, key=plan.utilisation)
            target = min(targets, key=plan.utilisation)
            if plan.utilisation(source) <= bounds.start:
                return
            excess = (plan.utilisation(source) - bounds.settled) / cost[source]
            room = (bounds.filled - plan.utilisation(target)) / cost[target]
            candidates = self._candidates(
                owned.get(source, []), servers[target].zone, plan.estimate
            )
            if room <= 0.0 or not plan.move(candidates, source, target, min(excess, room)):
                open_sources.remove(source)

    def _candidates(
        self, runs: list[SliceRange], zone: str, estimate: LoadEstimate
    ) -> Iterator[int]:
        """Yields the slices that may move to ``zone``, those that suit best first."""
        too_cold = self._churn_cost * estimate.mean_slice_rate
        too_hot = self._hot_factor * estimate.mean_slice_rate
        for run in sorted(runs, key=lambda run: _order_of_leaving(run, zone)):
            for slice_id in range(run.last, run.first - 1, -1):
                if too_cold <= estimate.slice_rates[slice_id] <= too_hot:
                    yield slice_id


def _order_of_leaving(run: SliceRange, zone: str) -> tuple[bool, int, int]:
    """Slices that would come home go first, then short runs."""
    return run.home_zone != zone, run.last - run.first, run.first
