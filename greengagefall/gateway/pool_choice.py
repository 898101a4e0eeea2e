"""Chooses among the dispatchers of a service whose servers can all execute any request.

A dispatcher in this host's zone is chosen while it has spare capacity, since traffic between zones
costs money; otherwise the one that reported the least load with its last reply.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.protocol.gateway_messages import NotDispatched

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from greengagefall.protocol.gateway_messages import Dispatched
    from greengagefall.utils.clock import Clock

# Requests per slot below which a dispatcher in the same zone is chosen, in percent.
SAME_ZONE_LIMIT_PERCENT = 85
# Age after which a reported load is ignored.
LOAD_VALIDITY_S = 1.0
# Load assumed for a dispatcher whose host is unreachable, and minimum load assumed for one that
# refused a request.
UNREACHABLE_PERCENT = 1000
FULL_PERCENT = 100
REFUSED_PERCENT = 200


class ServerLoad(NamedTuple):
    """Load of one server.

    Attributes:
        percent: Its requests in flight and queued, in percent of its slots.
        slots: Requests that it executes at once.
    """

    percent: int
    slots: int


class _Load(NamedTuple):
    percent: int
    recorded_s: float


def mean_load_percent(loads: Iterable[ServerLoad]) -> int:
    """Returns the load of several servers together; that of a full one if there is none.

    The server that executes a request is often the fastest one, which is busy while others are
    idle. Its load alone would make hosts send their requests to another zone without need.
    """
    known = list(loads)
    slots = sum(load.slots for load in known)
    if not slots:
        return FULL_PERCENT
    return sum(load.percent * load.slots for load in known) // slots


class DispatcherLoads:
    """Loads of dispatchers by service, as reported with their last replies."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[tuple[str, str], _Load] = {}

    def record_reply(self, service: str, host: str, reply: Dispatched | NotDispatched) -> None:
        """Records the load reported in a dispatcher's reply."""
        percent = reply.load_percent
        if isinstance(reply, NotDispatched) and not reply.sent:
            percent = max(percent, REFUSED_PERCENT)
        self._loads[service, host] = _Load(percent, self._clock.now_s())

    def record_unreachable(self, service: str, host: str) -> None:
        """Records that a dispatcher's host is unreachable."""
        self._loads[service, host] = _Load(UNREACHABLE_PERCENT, self._clock.now_s())

    def choose(
        self, service: str, slots: Mapping[str, int], same_zone_hosts: set[str]
    ) -> str | None:
        """Returns the host to send to, None if there is none.

        Args:
            service: The service.
            slots: Slots of the servers that each host dispatches.
            same_zone_hosts: Hosts that dispatch servers in this host's zone.
        """
        if not slots:
            return None
        loads = {host: self._percent(service, host) for host in slots}
        preferred = [
            host
            for host in same_zone_hosts
            if loads.get(host, UNREACHABLE_PERCENT) < SAME_ZONE_LIMIT_PERCENT
        ]
        candidates = preferred or list(slots)
        return min(candidates, key=lambda host: (loads[host], -slots[host], host))

    def _percent(self, service: str, host: str) -> int:
        load = self._loads.get((service, host))
        if load is None or self._clock.now_s() - load.recorded_s > LOAD_VALIDITY_S:
            return 0
        return load.percent
