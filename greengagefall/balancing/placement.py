"""Placement of slices on the servers of a keyed back end."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from greengagefall.balancing.loads import (
    NO_LOADS,
    LoadEstimate,
    LoadModel,
    Loads,
    SliceRuns,
    capacity,
    usable_servers,
)
from greengagefall.balancing.moves import Move, merge_moves
from greengagefall.coordination.model import SLICE_OWNED, SliceRun
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from greengagefall.routing.model import BackendServer
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_MIN_IMBALANCE = 0.10
SETTLE_SHARE_OF_MIN_IMBALANCE = 0.5
DEFAULT_CHURN_COST = 0.3
DEFAULT_MAX_MOVES_PER_PLAN = 128
DEFAULT_HOT_SLICE_FACTOR = 8.0


class Placement(Protocol):
    """Decides which server owns which slices of one back end."""

    def initial(
        self,
        slice_count: int,
        servers: Mapping[str, BackendServer],
        zones: Mapping[str, str],
        fence: int = 1,
    ) -> list[SliceRun]:
        """Returns the first map: each slice owned, at home in its owner's zone."""

    def plan_moves(
        self,
        slice_map: SliceRuns,
        servers: Mapping[str, BackendServer],
        loads: Loads,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns moves between usable servers; plan again once they are done."""


PLACEMENTS: Registry[type[Placement]] = Registry("placement")


def runs_by_capacity(
    slice_count: int,
    servers: Mapping[str, BackendServer],
    zones: Mapping[str, str],
    fence: int,
) -> list[SliceRun]:
    """Returns one run per usable server, its length by the server's capacity."""
    names = usable_servers(servers, NO_LOADS, zones)
    total = sum(capacity(servers[name]) for name in names)
    runs = []
    first = 0
    reached = 0.0
    for name in names:
        reached += capacity(servers[name])
        end = round(slice_count * reached / total)
        if end > first:
            runs.append(SliceRun(first, end - 1, SLICE_OWNED, name, fence, servers[name].zone))
        first = end
    return runs


@PLACEMENTS.register("by_weight")
class WeightPlacement:
    """Slices by the servers' settings alone; the baseline.

    A plan restores the initial map of the servers that are usable now.
    """

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        pass

    def initial(
        self,
        slice_count: int,
        servers: Mapping[str, BackendServer],
        zones: Mapping[str, str],
        fence: int = 1,
    ) -> list[SliceRun]:
        """Returns one run per usable server."""
        return runs_by_capacity(slice_count, servers, zones, fence)

    def plan_moves(
        self,
        slice_map: SliceRuns,
        servers: Mapping[str, BackendServer],
        loads: Loads,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns each move towards the map that the settings ask for."""
        runs = slice_map.runs()
        usable = set(usable_servers(servers, loads, zones))
        wanted = runs_by_capacity(runs[-1].last + 1, servers, zones, 0)
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


@PLACEMENTS.register("load_aware")
class LoadAwarePlacement:
    """Moves slices from servers with observed load above the balanced level.

    Tuning:
        ``min_imbalance``: excess over the balanced utilisation that starts a move.
        ``settle_imbalance``: excess at which a server stops giving slices away; half of
        ``min_imbalance`` if not set.
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
            "settle_imbalance", self._min_imbalance * SETTLE_SHARE_OF_MIN_IMBALANCE
        )
        self._churn_cost = tuning.get("churn_cost", DEFAULT_CHURN_COST)
        self._max_moves = int(tuning.get("max_moves_per_plan", DEFAULT_MAX_MOVES_PER_PLAN))
        self._hot_factor = tuning.get("hot_slice_factor", DEFAULT_HOT_SLICE_FACTOR)
        self._model = LoadModel(clock, tuning)

    def initial(
        self,
        slice_count: int,
        servers: Mapping[str, BackendServer],
        zones: Mapping[str, str],
        fence: int = 1,
    ) -> list[SliceRun]:
        """Returns one run per usable server."""
        return runs_by_capacity(slice_count, servers, zones, fence)

    def plan_moves(
        self,
        slice_map: SliceRuns,
        servers: Mapping[str, BackendServer],
        loads: Loads,
        zones: Mapping[str, str],
    ) -> list[Move]:
        """Returns bounded moves from the fullest servers to the emptiest."""
        runs = slice_map.runs()
        estimate = self._model.update(runs, servers, loads)
        usable = usable_servers(servers, loads, zones)
        if len(usable) < 2:
            return []
        balance = _Balance(usable, estimate, self._settle_imbalance)
        owned: dict[str, list[SliceRun]] = {}
        for run in runs:
            if run.state == SLICE_OWNED:
                owned.setdefault(run.owner, []).append(run)
        left = self._max_moves
        moves: list[Move] = []
        planned: set[int] = set()
        sources = set(usable)
        while left > 0:
            pair = balance.widest(sources, self._min_imbalance)
            if pair is None:
                break
            source, target, rate_wanted = pair
            candidates = self._candidates(owned.get(source, []), servers[target].zone, estimate)
            taken = _take(candidates, planned, estimate.rates, rate_wanted, left)
            if not taken:
                sources.discard(source)
                continue
            planned.update(taken)
            left -= len(taken)
            moves += [Move(slice_id, slice_id, source, target) for slice_id in taken]
            balance.shift(source, target, sum(estimate.rates[item] for item in taken))
        return merge_moves(moves)

    def _candidates(self, runs: list[SliceRun], zone: str, estimate: LoadEstimate) -> Iterator[int]:
        """Yields the slices that may move to ``zone``, those that suit best first."""
        for run in sorted(runs, key=lambda run: _order_of_leaving(run, zone)):
            mean_rate = estimate.mean_slice_rate[run.owner]
            too_cold = self._churn_cost * mean_rate
            too_hot = self._hot_factor * mean_rate
            for slice_id in range(run.last, run.first - 1, -1):
                if too_cold <= estimate.rates[slice_id] <= too_hot:
                    yield slice_id


def _take(
    candidates: Iterator[int],
    planned: set[int],
    rates: list[float],
    rate_wanted: float,
    most: int,
) -> list[int]:
    """Returns candidates whose rates add up to at most ``rate_wanted``."""
    taken: list[int] = []
    for slice_id in candidates:
        if len(taken) >= most:
            break
        if slice_id in planned or rates[slice_id] > rate_wanted:
            continue
        taken.append(slice_id)
        rate_wanted -= rates[slice_id]
    return taken


def _order_of_leaving(run: SliceRun, zone: str) -> tuple[bool, int, int]:
    """Slices that would come home go first, then short runs."""
    return run.home_zone != zone, run.last - run.first, run.first


class _Balance:
    """Utilisation of each usable server while moves are planned."""

    def __init__(
        self,
        usable: list[str],
        estimate: LoadEstimate,
        settle_imbalance: float,
    ) -> None:
        self._cost = {name: estimate.cost[name] for name in usable}
        self._rate = {name: estimate.rate_per_s[name] for name in usable}
        speed = sum(1.0 / self._cost[name] for name in usable)
        self._level = sum(self._rate.values()) / speed
        self._settled_level = self._level * (1.0 + settle_imbalance)

    def widest(self, sources: set[str], min_imbalance: float) -> tuple[str, str, float] | None:
        """Returns the fullest source, the emptiest server and the rate to move."""
        if not sources or self._level <= 0.0:
            return None
        source = max(sorted(sources), key=self._utilisation)
        target = min(sorted(self._rate), key=self._utilisation)
        if self._utilisation(source) <= self._level * (1.0 + min_imbalance):
            return None
        excess = (self._utilisation(source) - self._settled_level) / self._cost[source]
        deficit = (self._level - self._utilisation(target)) / self._cost[target]
        if deficit <= 0.0:
            return None
        return source, target, min(excess, deficit)

    def shift(self, source: str, target: str, rate_per_s: float) -> None:
        """Takes a planned move into account."""
        self._rate[source] -= rate_per_s
        self._rate[target] += rate_per_s

    def _utilisation(self, name: str) -> float:
        return self._rate[name] * self._cost[name]
