"""Decides which entry host dispatches which backend server.

A server keeps its dispatcher while that host may dispatch. The exception is a dispatcher of another
zone: it is replaced once a host of the server's zone may dispatch. A new dispatcher is chosen from
the server's zone if possible, so that a request crosses zones at most once. In a zone with many
hosts only the strongest ones dispatch, as many as its servers need, since every host keeps a link
to each dispatcher. Among these hosts, the one with the fewest slots per processor core is chosen.
The servers of a service without keys share one dispatcher in each zone, so that their requests wait
in one queue. If such a service has large answers, its dispatcher is a host with a fast network
link, since all its answers in the zone pass through that link, and a full link also delays the
host's control traffic. The coordinator dispatches only if no other host can.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.model import DispatcherRecord, HostIncarnation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from greengagefall.gateway.model import ServerEntry


# Servers that a dispatcher should have before another host of the zone dispatches too.
SERVERS_PER_DISPATCHER = 6
# Hosts of a zone that always share its servers, so that the loss of one costs a small part of them.
MIN_ZONE_DISPATCHERS = 6
# A link with at least this share of the bandwidth of the zone's fastest one counts as fast.
FAST_LINK_SHARE = 0.5


class DispatcherCandidate(NamedTuple):
    """An entry host that may become a dispatcher.

    Attributes:
        incarnation: Its incarnation.
        zone: Its availability zone.
        weight: Number of processor cores that it may use.
        link_mbps: Bandwidth of its network link; 0 if unknown.
    """

    incarnation: HostIncarnation
    zone: str
    weight: float
    link_mbps: float = 0.0


def plan_dispatchers(
    current: Mapping[str, DispatcherRecord],
    servers: Mapping[str, ServerEntry],
    holders: Iterable[str],
    hosts: list[DispatcherCandidate],
    coordinator: HostIncarnation,
    keyed: Iterable[str],
    large_answers: Iterable[str] = (),
) -> dict[str, DispatcherRecord]:
    """Returns the dispatcher record of each server by id.

    Args:
        current: The current dispatcher records by server id.
        servers: Entries of backend servers by id.
        holders: Ids of servers that own or may still hold keys.
        hosts: Hosts that may dispatch.
        coordinator: The coordinator's incarnation.
        keyed: Names of services whose servers own keys exclusively.
        large_answers: Names of services with large answers.
    """
    by_incarnation = {host.incarnation: host for host in hosts}
    slots = {host.incarnation: 0 for host in hosts}
    keyed_services = set(keyed)
    large_answer_services = set(large_answers)
    needed = set(holders)
    planned: dict[str, DispatcherRecord] = {}
    unplaced: list[ServerEntry] = []
    pool_dispatchers: dict[tuple[str, str], HostIncarnation] = {}
    for server_id, dispatching in current.items():
        entry = servers.get(server_id)
        if entry is None:
            if server_id in needed:
                planned[server_id] = dispatching
            continue
        host = by_incarnation.get(dispatching.dispatcher)
        if host is None or _should_change_zone(host, entry, hosts):
            unplaced.append(entry)
            continue
        planned[server_id] = dispatching
        slots[host.incarnation] += entry.slots
        if entry.service not in keyed_services:
            pool_dispatchers.setdefault((entry.service, entry.zone), host.incarnation)
    unplaced += [entry for entry in servers.values() if entry.server_id not in current]
    strongest = _strongest_hosts(hosts, servers, coordinator)
    fast = _hosts_with_fast_links(hosts, coordinator)
    for entry in sorted(unplaced, key=lambda entry: entry.server_id):
        group = (entry.service, entry.zone)
        candidates = strongest
        if entry.service in large_answer_services - keyed_services:
            candidates = fast or strongest
        chosen = pool_dispatchers.get(group) or _least_loaded(entry.zone, candidates, slots)
        previous = current.get(entry.server_id)
        if chosen is None:
            if previous is not None:
                planned[entry.server_id] = previous
            continue
        if entry.service not in keyed_services:
            pool_dispatchers[group] = chosen
        slots[chosen] += entry.slots
        granters = previous.granters if previous is not None else ()
        former_granters = tuple(granter for granter in granters if granter != chosen)
        planned[entry.server_id] = DispatcherRecord(chosen, former_granters)
    return planned


def _should_change_zone(
    host: DispatcherCandidate, entry: ServerEntry, hosts: list[DispatcherCandidate]
) -> bool:
    """Returns whether a host in the server's zone can replace one of another zone."""
    if host.zone == entry.zone:
        return False
    return any(other.zone == entry.zone for other in hosts)


def _strongest_hosts(
    hosts: list[DispatcherCandidate],
    servers: Mapping[str, ServerEntry],
    coordinator: HostIncarnation,
) -> list[DispatcherCandidate]:
    """Returns the hosts of each zone that should dispatch its servers."""
    others = [host for host in hosts if host.incarnation != coordinator] or hosts
    ranked = sorted(others, key=lambda host: (-host.weight, host.incarnation))
    server_counts = Counter(entry.zone for entry in servers.values())
    chosen_counts: Counter[str] = Counter()
    chosen = []
    for host in ranked:
        needed = math.ceil(server_counts[host.zone] / SERVERS_PER_DISPATCHER)
        if chosen_counts[host.zone] < max(MIN_ZONE_DISPATCHERS, needed):
            chosen_counts[host.zone] += 1
            chosen.append(host)
    return chosen


def _hosts_with_fast_links(
    hosts: list[DispatcherCandidate], coordinator: HostIncarnation
) -> list[DispatcherCandidate]:
    """Returns the hosts of each zone whose links are about as fast as the fastest there.

    Hosts of which no bandwidth is known are left out.
    """
    others = [host for host in hosts if host.incarnation != coordinator] or hosts
    fastest_mbps: dict[str, float] = {}
    for host in others:
        fastest_mbps[host.zone] = max(host.link_mbps, fastest_mbps.get(host.zone, 0.0))
    return [
        host
        for host in others
        if host.link_mbps and host.link_mbps >= FAST_LINK_SHARE * fastest_mbps[host.zone]
    ]


def _least_loaded(
    zone: str, hosts: list[DispatcherCandidate], slots: Mapping[HostIncarnation, int]
) -> HostIncarnation | None:
    candidates = [host for host in hosts if host.zone == zone] or hosts
    if not candidates:
        return None
    chosen = min(
        candidates, key=lambda host: (slots[host.incarnation] / host.weight, host.incarnation)
    )
    return chosen.incarnation
