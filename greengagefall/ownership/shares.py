"""Decides how much of a service's load each server should get.

Servers may differ in speed. With equal utilisation, slow slots would get requests that finish late
there although fast slots are free. Therefore every slot keeps the same spare rate: fast servers are
filled first, slow ones get requests as the load grows, and near the total capacity all servers
have the same utilisation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.ownership.model import ServerIncarnation

# Share of its capacity that every server gets at min_target, so that its speed stays known.
MIN_SHARE = 0.05
# Number of halvings of the interval that contains the spare rate.
BISECTIONS = 30


class ServerCapacity(NamedTuple):
    """A server that may own keys.

    Attributes:
        incarnation: Incarnation of the server.
        zone: Its availability zone.
        slots: Number of requests that it executes concurrently; a fraction less if it limits the
            request rate.
        service_time_s: Time that it takes to execute a request.
        max_rate_per_s: Upper bound of the requests per second that it can serve, for example
            while it is cold.
    """

    incarnation: ServerIncarnation
    zone: str
    slots: float
    service_time_s: float
    max_rate_per_s: float

    @property
    def capacity_per_s(self) -> float:
        """Requests per second with all slots busy."""
        return min(self.max_rate_per_s, self.slots / self.service_time_s)


def target_loads(
    servers: Sequence[ServerCapacity], load_per_s: float
) -> dict[ServerIncarnation, float]:
    """Returns the requests per second that each server should get.

    Args:
        servers: Servers that may own keys.
        load_per_s: Requests per second of the service. If they exceed the capacity of all
            servers, the load of each one exceeds its capacity by the same factor.
    """
    capacity_per_s = sum(server.capacity_per_s for server in servers)
    if load_per_s >= capacity_per_s:
        factor = load_per_s / capacity_per_s if capacity_per_s else 0.0
        return {server.incarnation: factor * server.capacity_per_s for server in servers}
    bounds = [_bounds(server) for server in servers]
    spare_per_s = _spare_per_s(bounds, load_per_s)
    return {
        server.incarnation: _target(one, spare_per_s)
        for server, one in zip(servers, bounds, strict=True)
    }


class _Bounds(NamedTuple):
    """The share of a server as a function of the spare rate, prepared for many evaluations.

    Attributes:
        min_per_s: Least share.
        max_per_s: Greatest share.
        busy_per_s: Share without any spare rate.
        slots: Number of slots.
    """

    min_per_s: float
    max_per_s: float
    busy_per_s: float
    slots: float


def _bounds(server: ServerCapacity) -> _Bounds:
    capacity_per_s = server.capacity_per_s
    return _Bounds(
        MIN_SHARE * capacity_per_s,
        capacity_per_s,
        server.slots / server.service_time_s,
        server.slots,
    )


def _spare_per_s(bounds: Sequence[_Bounds], load_per_s: float) -> float:
    """Returns the spare rate of each slot when the servers share a load."""
    low = 0.0
    high = max(one.busy_per_s / one.slots for one in bounds)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if sum(_target(one, middle) for one in bounds) > load_per_s:
            low = middle
        else:
            high = middle
    return low


def _target(bounds: _Bounds, spare_per_s: float) -> float:
    min_per_s, max_per_s, busy_per_s, slots = bounds
    return min(max_per_s, max(min_per_s, busy_per_s - slots * spare_per_s))
