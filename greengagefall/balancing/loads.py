"""Observed load of backend servers and slices, as planners use it."""

from __future__ import annotations

import logging
import statistics
from typing import TYPE_CHECKING, NamedTuple, Protocol

from greengagefall.balancing.straggler import CostHistory
from greengagefall.routing.model import SERVER_ACTIVE, ZONE_IN, BackendServer
from greengagefall.utils.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.coordination.model import SliceRange
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MIN_BUSY_SHARE = 1e-6
MIN_SERVED_PER_S = 1e-3
MIN_CAPACITY = 1e-9
DEFAULT_RATE_WEIGHT = 0.6

SliceBounds = tuple[tuple[int, int], ...]


class ReadableSliceMap(Protocol):
    """The part of a slice map that planners read."""

    def ranges(self) -> list[SliceRange]:
        """Returns all runs in order of slices."""


class ServerLoad(NamedTuple):
    """Load of one backend server, seen by its dispatcher over the last seconds.

    Attributes:
        busy_share: Mean share of its slots in use, 0 to 1.
        offered_per_s: Requests that arrived, refused ones included; 0 if unknown.
        served_per_s: Requests that were answered; 0 if unknown.
        up: Whether its dispatcher gets answers from it.
    """

    busy_share: float
    offered_per_s: float
    served_per_s: float
    up: bool


class BackEndLoad(NamedTuple):
    """Load of a back end.

    Attributes:
        server_loads: Load by server; a server without an entry counts as up and unknown.
        slice_rates: Requests per second of the busiest slices.
        observed_s: When it was observed; planners take in each observation once.
    """

    server_loads: dict[str, ServerLoad]
    slice_rates: dict[int, float]
    observed_s: float


NO_BACK_END_LOAD = BackEndLoad({}, {}, 0.0)
UNKNOWN_SERVER_LOAD = ServerLoad(0.0, 0.0, 0.0, True)


def capacity(server: BackendServer) -> float:
    """Returns the server's share of work by its settings."""
    return max(server.weight * server.slots, MIN_CAPACITY)


def usable_servers(
    servers: Mapping[str, BackendServer], loads: BackEndLoad, zones: Mapping[str, str]
) -> list[str]:
    """Returns the servers that may be given slices, in order of name."""
    return [
        name
        for name, server in sorted(servers.items())
        if server.state == SERVER_ACTIVE
        and zones.get(server.zone, ZONE_IN) == ZONE_IN
        and loads.server_loads.get(name, UNKNOWN_SERVER_LOAD).up
    ]


class LoadEstimate:
    """Request rates by slice, and what a request costs each server.

    Attributes:
        slice_rates: Requests per second by slice.
        server_cost: Share of its slots that one request per second takes, by server.
        server_rate_per_s: Requests per second by server, for the slices it owns now.
        mean_slice_rate: Mean of ``slice_rates``.
    """

    def __init__(
        self, owned: Mapping[str, SliceBounds], rates: list[float], cost: Mapping[str, float]
    ) -> None:
        self.slice_rates = rates
        self.server_cost = cost
        self.server_rate_per_s = dict.fromkeys(cost, 0.0)
        self.mean_slice_rate = sum(rates) / len(rates)
        for name, ranges in owned.items():
            if name not in cost:
                continue
            self.server_rate_per_s[name] = sum(
                self.range_rate(first, last) for first, last in ranges
            )

    def range_rate(self, first: int, last: int) -> float:
        """Returns the requests per second of consecutive slices."""
        return sum(self.slice_rates[first : last + 1])

    def utilisation(self, name: str) -> float:
        """Returns the share of its slots that a server's slices need."""
        return self.server_rate_per_s[name] * self.server_cost[name]


class LoadModel:
    """Turns observations of servers into rates of slices, which move with the slices.

    An observation lags: part of it may stem from slices that have moved since. So it
    changes the rates only of servers that own the same slices as at the one before.
    Until a rate was observed all slices count alike, and servers by their settings.
    """

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._rate_weight = tuning.get("rate_weight", DEFAULT_RATE_WEIGHT)
        self._costs = CostHistory(clock, tuning)
        self._rates: list[float] = []
        self._owned: dict[str, SliceBounds] = {}
        self._rates_observed = False
        self._observed_s: float | None = None
        self._cost: dict[str, float] = {}

    def update(
        self, runs: list[SliceRange], servers: Mapping[str, BackendServer], loads: BackEndLoad
    ) -> LoadEstimate:
        """Takes in an observation, if it is new, and returns the estimate for ``runs``."""
        owned = bounds_by_owner(runs)
        slice_count = runs[-1].last + 1
        if len(self._rates) != slice_count:
            self._rates = [1.0] * slice_count
            self._rates_observed = False
        if loads.observed_s != self._observed_s:
            self._observe_rates(owned, loads)
            self._observed_s = loads.observed_s
            self._cost = self._costs.update(self._observed_costs(owned, servers, loads))
        elif self._cost.keys() != servers.keys():
            self._cost = self._costs.update(self._observed_costs(owned, servers, loads))
        return LoadEstimate(owned, self._rates, self._cost)

    def _observe_rates(self, owned: dict[str, SliceBounds], loads: BackEndLoad) -> None:
        if not any(load.offered_per_s > 0 for load in loads.server_loads.values()):
            return
        weight = self._rate_weight if self._rates_observed else 1.0
        for name, ranges in owned.items():
            load = loads.server_loads.get(name)
            if load is None or not load.up:
                continue
            if self._rates_observed and self._owned.get(name) != ranges:
                continue
            self._spread_rate(load.offered_per_s, ranges, loads.slice_rates, weight)
        self._owned = owned
        self._rates_observed = True

    def _spread_rate(
        self, rate_per_s: float, ranges: SliceBounds, known: Mapping[int, float], weight: float
    ) -> None:
        """Gives known slices their own rate and the others equal shares of the rest."""
        slices = [item for first, last in ranges for item in range(first, last + 1)]
        own = {item: known[item] for item in slices if item in known}
        rest = max(0.0, rate_per_s - sum(own.values())) / max(1, len(slices) - len(own))
        for item in slices:
            self._rates[item] += weight * (own.get(item, rest) - self._rates[item])

    def _observed_costs(
        self,
        owned: dict[str, SliceBounds],
        servers: Mapping[str, BackendServer],
        loads: BackEndLoad,
    ) -> dict[str, float]:
        observed = {}
        for name in servers:
            load = loads.server_loads.get(name, UNKNOWN_SERVER_LOAD)
            if load.served_per_s > MIN_SERVED_PER_S and load.busy_share > MIN_BUSY_SHARE:
                observed[name] = load.busy_share / load.served_per_s
        work = [cost * capacity(servers[name]) for name, cost in observed.items()]
        typical = statistics.median(work) if work else 1.0
        return {
            name: observed.get(name, typical / capacity(server)) for name, server in servers.items()
        }


def estimate_loads(
    runs: list[SliceRange], servers: Mapping[str, BackendServer], loads: BackEndLoad
) -> LoadEstimate:
    """Returns an estimate from one observation alone."""
    return LoadModel(SystemClock()).update(runs, servers, loads)


def bounds_by_owner(runs: list[SliceRange]) -> dict[str, SliceBounds]:
    """Returns the first and last slices of each owner's runs."""
    owned: dict[str, list[tuple[int, int]]] = {}
    for run in runs:
        owned.setdefault(run.owner, []).append((run.first, run.last))
    return {name: tuple(ranges) for name, ranges in owned.items()}
