"""Observed load of backend servers and slices, as planners use it."""

from __future__ import annotations

import logging
import statistics
from typing import TYPE_CHECKING, NamedTuple, Protocol

from greengagefall.routing.model import SERVER_ACTIVE, ZONE_IN, BackendServer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.coordination.model import SliceRun

log = logging.getLogger(__name__)

IDLE_UTILISATION = 1e-6
MIN_SERVED_PER_S = 1e-3


class SliceRuns(Protocol):
    """The part of a slice map that planners read."""

    def runs(self) -> list[SliceRun]:
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


class Loads(NamedTuple):
    """Load of a back end.

    Attributes:
        servers: Load by server; a server without an entry counts as up and unknown.
        slices: Requests per second of the busiest slices.
    """

    servers: dict[str, ServerLoad]
    slices: dict[int, float]


NO_LOADS = Loads({}, {})
UNKNOWN_LOAD = ServerLoad(0.0, 0.0, 0.0, True)


def capacity(server: BackendServer) -> float:
    """Returns the server's share of work by its settings."""
    return server.weight * server.slots


def usable_servers(
    servers: Mapping[str, BackendServer], loads: Loads, zones: Mapping[str, str]
) -> list[str]:
    """Returns the servers that may be given slices, in order of name."""
    return [
        name
        for name, server in sorted(servers.items())
        if server.state == SERVER_ACTIVE
        and zones.get(server.zone, ZONE_IN) == ZONE_IN
        and loads.servers.get(name, UNKNOWN_LOAD).up
    ]


class LoadEstimate:
    """Rates of slices and the share of its slots that a server needs per request rate.

    Without rates each slice counts alike; without any load at all the servers' settings
    alone decide.
    """

    def __init__(
        self, runs: list[SliceRun], servers: Mapping[str, BackendServer], loads: Loads
    ) -> None:
        self._loads = loads
        self._servers = servers
        self._slice_counts: dict[str, int] = {}
        for run in runs:
            size = run.last - run.first + 1
            self._slice_counts[run.owner] = self._slice_counts.get(run.owner, 0) + size
        self._known_rates = any(load.offered_per_s > 0 for load in loads.servers.values())
        self.rate_per_s = {name: self._server_rate(name) for name in servers}
        self._hot_of = self._slices_by_owner(runs)
        self._base_rate = {name: self._rest_rate(name) for name in servers}
        self.cost = self._costs()

    def slice_rate(self, owner: str, slice_id: int) -> float:
        """Returns the requests per second of a slice."""
        known = self._hot_of.get(owner, {}).get(slice_id)
        return known if known is not None else self._base_rate.get(owner, 0.0)

    def busy_slices(self, owner: str) -> dict[int, float]:
        """Returns the slices of a server with a rate of their own."""
        return self._hot_of.get(owner, {})

    def mean_slice_rate(self, owner: str) -> float:
        """Returns the mean rate of a server's slices."""
        count = self._slice_counts.get(owner, 0)
        return self.rate_per_s.get(owner, 0.0) / count if count else 0.0

    def _server_rate(self, name: str) -> float:
        if self._known_rates:
            return self._loads.servers.get(name, UNKNOWN_LOAD).offered_per_s
        return float(self._slice_counts.get(name, 0))

    def _slices_by_owner(self, runs: list[SliceRun]) -> dict[str, dict[int, float]]:
        by_owner: dict[str, dict[int, float]] = {}
        if not self._known_rates:
            return by_owner
        ordered = sorted(self._loads.slices.items())
        index = 0
        for run in runs:
            while index < len(ordered) and ordered[index][0] <= run.last:
                slice_id, rate = ordered[index]
                by_owner.setdefault(run.owner, {})[slice_id] = rate
                index += 1
        return by_owner

    def _rest_rate(self, name: str) -> float:
        hot = self._hot_of.get(name, {})
        rest = self._slice_counts.get(name, 0) - len(hot)
        if rest <= 0:
            return 0.0
        return max(0.0, self.rate_per_s[name] - sum(hot.values())) / rest

    def _costs(self) -> dict[str, float]:
        """Returns the share of its slots that one request per second takes, by server."""
        observed = {}
        for name in self._servers:
            load = self._loads.servers.get(name, UNKNOWN_LOAD)
            served = load.served_per_s if self._known_rates else self.rate_per_s[name]
            if served > MIN_SERVED_PER_S and load.busy_share > IDLE_UTILISATION:
                observed[name] = load.busy_share / served
        work = [cost * capacity(self._servers[name]) for name, cost in observed.items()]
        typical = statistics.median(work) if work else 1.0
        return {
            name: observed.get(name, typical / max(capacity(server), 1e-9))
            for name, server in self._servers.items()
        }
