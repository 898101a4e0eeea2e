"""Decides how much of a service's load each server should get.

It answers servers of different speed while not all of them are full: equal utilisation would send
as many requests to a slow slot as to a fast one, and they are late there although fast slots are
free. So every slot keeps the same spare rate: fast servers fill first, slow ones join as the load
grows, and near the total capacity all are equally full.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.ownership.model import ServerIncarnation

# Share of its capacity that every server gets, so that its speed stays known.
MIN_SHARE = 0.05
# Halvings of the interval that holds the spare rate.
BISECTIONS = 30


class ServerCapacity(NamedTuple):
    """A server that may own keys.

    Attributes:
        incarnation: Which life of which server.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        service_time_s: How long it takes for a request.
        max_rate_per_s: Most requests a second that it bears, such as while it is cold.
    """

    incarnation: ServerIncarnation
    zone: str
    slots: int
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
        load_per_s: All requests per second; beyond the capacity of all servers, each one gets
            more than it bears by the same factor.
    """
    capacity_per_s = sum(server.capacity_per_s for server in servers)
    if load_per_s >= capacity_per_s:
        factor = load_per_s / capacity_per_s if capacity_per_s else 0.0
        return {server.incarnation: factor * server.capacity_per_s for server in servers}
    spare_per_s = _spare_per_s(servers, load_per_s)
    return {server.incarnation: _target(server, spare_per_s) for server in servers}


def _spare_per_s(servers: Sequence[ServerCapacity], load_per_s: float) -> float:
    """Returns the rate that each slot keeps spare when the servers take a load together."""
    low = 0.0
    high = max(1 / server.service_time_s for server in servers)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if sum(_target(server, middle) for server in servers) > load_per_s:
            low = middle
        else:
            high = middle
    return low


def _target(server: ServerCapacity, spare_per_s: float) -> float:
    wanted = server.slots * (1 / server.service_time_s - spare_per_s)
    least = MIN_SHARE * server.capacity_per_s
    return min(server.capacity_per_s, max(least, wanted))
