"""Observed load of backend servers and slices, used to plan moves."""

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
        """Returns all slice ranges in order of slices."""


class ServerLoad(NamedTuple):
    """Load of one backend server, measured by its dispatcher over the last seconds.

    Attributes:
        busy_share: Mean share of the server's slots in use, 0 to 1.
        offered_per_s: Requests per second that arrived, including refused ones; 0 if unknown.
        served_per_s: Requests per second that were answered; 0 if unknown.
        up: Whether the dispatcher gets answers from the server.
    """

    busy_share: float
    offered_per_s: float
    served_per_s: float
    up: bool


class BackEndLoad(NamedTuple):
    """Load of a back end.

    Attributes:
        server_loads: Load by server; a server without an entry counts as up, its load as unknown.
        slice_rates: Requests per second of the busiest slices.
        observed_s: Time of the observation; planners use each observation once.
    """

    server_loads: dict[str, ServerLoad]
    slice_rates: dict[int, float]
    observed_s: float


NO_BACK_END_LOAD = BackEndLoad({}, {}, 0.0)
UNKNOWN_SERVER_LOAD = ServerLoad(0.0, 0.0, 0.0, True)


def capacity(server: BackendServer) -> float:
    """Returns the relative capacity of a server by its settings: weight times slots."""
    return max(server.weight * server.slots, MIN_CAPACITY)


def usable_servers(
    servers: Mapping[str, BackendServer], loads: BackEndLoad, zones: Mapping[str, str]
) -> list[str]:
    """Returns the servers that may own slices, in order of name.

    They are active, in an availability zone in state ``in``, and up.
    """
    return [
        name
        for name, server in sorted(servers.items())
        if server.state == SERVER_ACTIVE
        and zones.get(server.zone, ZONE_IN) == ZONE_IN
        and loads.server_loads.get(name, UNKNOWN_SERVER_LOAD).up
    ]


class LoadEstimate:
    """Request rates by slice, and the cost of a request by server.

    Attributes:
        slice_rates: Requests per second by slice.
        server_cost: Share of a server's slots that one request per second takes, by server.
        server_rate_per_s: Requests per second by server, for the slices it owns now.
        mean_slice_rate: Mean of ``slice_rates``.
    """

    def __init__(
        self,
        owned: Mapping[str, SliceBounds],
        slice_rates: list[float],
        server_cost: Mapping[str, float],
    ) -> None:
        self.slice_rates = slice_rates
        self.server_cost = server_cost
        self.server_rate_per_s = dict.fromkeys(server_cost, 0.0)
        self.mean_slice_rate = sum(slice_rates) / len(slice_rates)
        for name, bounds in owned.items():
            if name not in server_cost:
                continue
            self.server_rate_per_s[name] = sum(
                self.range_rate(first, last) for first, last in bounds
            )

    def range_rate(self, first: int, last: int) -> float:
        """Returns the requests per second of slices ``first`` to ``last``."""
        return sum(self.slice_rates[first : last + 1])

    def utilisation(self, name: str) -> float:
        """Returns the share of a server's slots that its slices need."""
        return self.server_rate_per_s[name] * self.server_cost[name]


class LoadModel:
    """Estimates request rates by slice from observations by server.

    An observation lags behind the slice map: part of it may come from slices that have moved
    since. It therefore changes slice rates only for servers that own the same slices as at the
    previous observation. Until a rate has been observed, all slices have the same rate and the
    cost of a server follows from its settings.
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
        self, ranges: list[SliceRange], servers: Mapping[str, BackendServer], loads: BackEndLoad
    ) -> LoadEstimate:
        """Updates the model if the observation is new; returns the estimate for ``ranges``."""
        owned = bounds_by_owner(ranges)
        slice_count = ranges[-1].last + 1
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
        for name, bounds in owned.items():
            load = loads.server_loads.get(name)
            if load is None or not load.up:
                continue
            if self._rates_observed and self._owned.get(name) != bounds:
                continue
            self._spread_rate(load.offered_per_s, bounds, loads.slice_rates, weight)
        self._owned = owned
        self._rates_observed = True

    def _spread_rate(
        self, rate_per_s: float, bounds: SliceBounds, known: Mapping[int, float], weight: float
    ) -> None:
        """Uses known rates for their slices; the other slices share the rest equally."""
        slices = [slice_id for first, last in bounds for slice_id in range(first, last + 1)]
        known_rates = {slice_id: known[slice_id] for slice_id in slices if slice_id in known}
        other_rate = max(0.0, rate_per_s - sum(known_rates.values())) / max(
            1, len(slices) - len(known_rates)
        )
        for slice_id in slices:
            self._rates[slice_id] += weight * (
                known_rates.get(slice_id, other_rate) - self._rates[slice_id]
            )

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
        median_work = statistics.median(work) if work else 1.0
        return {
            name: observed.get(name, median_work / capacity(server))
            for name, server in servers.items()
        }


def estimate_loads(
    ranges: list[SliceRange], servers: Mapping[str, BackendServer], loads: BackEndLoad
) -> LoadEstimate:
    """Returns an estimate from a single observation."""
    return LoadModel(SystemClock()).update(ranges, servers, loads)


def bounds_by_owner(ranges: list[SliceRange]) -> dict[str, SliceBounds]:
    """Returns the bounds of each owner's slice ranges."""
    owned: dict[str, list[tuple[int, int]]] = {}
    for slice_range in ranges:
        owned.setdefault(slice_range.owner, []).append((slice_range.first, slice_range.last))
    return {name: tuple(bounds) for name, bounds in owned.items()}
