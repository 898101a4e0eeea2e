"""Decides which entry host dispatches which backend server.

A server keeps its dispatcher while that one is alive. A new one stands in the server's zone if
possible, so that a request crosses zones once at most, and is the one with the fewest slots for its
processor. The servers of a service without keys share one dispatcher in each zone, so that their
requests wait in one place. The coordinator dispatches nothing where others can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.model import DispatcherRecord, HostIncarnation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from greengagefall.gateway.model import ServerEntry


class DispatcherCandidate(NamedTuple):
    """An entry host that may dispatch.

    Attributes:
        incarnation: Its process.
        zone: Its availability zone.
        weight: Processor cores' worth that it may use.
    """

    incarnation: HostIncarnation
    zone: str
    weight: float


def plan_dispatchers(
    present: Mapping[str, DispatcherRecord],
    servers: Mapping[str, ServerEntry],
    owners: Iterable[str],
    hosts: list[DispatcherCandidate],
    coordinator: HostIncarnation,
    keyed: Iterable[str],
) -> dict[str, DispatcherRecord]:
    """Returns the dispatching of each server.

    Args:
        present: The dispatching so far.
        servers: Entries of backend servers by id.
        owners: Ids of servers that own or may still hold keys.
        hosts: Hosts that may dispatch.
        coordinator: The coordinator's process.
        keyed: Services that are divided by key.
    """
    by_incarnation = {host.incarnation: host for host in hosts}
    slots = {host.incarnation: 0 for host in hosts}
    keyed_services = set(keyed)
    needed = set(owners)
    planned: dict[str, DispatcherRecord] = {}
    homeless: list[ServerEntry] = []
    pooled: dict[tuple[str, str], HostIncarnation] = {}
    for server_id, dispatching in present.items():
        entry = servers.get(server_id)
        if entry is None:
            if server_id in needed:
                planned[server_id] = dispatching
            continue
        host = by_incarnation.get(dispatching.dispatcher)
        if host is None or _misplaced(host, entry, hosts):
            homeless.append(entry)
            continue
        planned[server_id] = dispatching
        slots[host.incarnation] += entry.slots
        if entry.service not in keyed_services:
            pooled.setdefault((entry.service, entry.zone), host.incarnation)
    homeless += [entry for entry in servers.values() if entry.server_id not in present]
    for entry in sorted(homeless, key=lambda entry: entry.server_id):
        group = (entry.service, entry.zone)
        chosen = pooled.get(group) or _least_loaded(entry.zone, hosts, slots, coordinator)
        former = present.get(entry.server_id)
        if chosen is None:
            if former is not None:
                planned[entry.server_id] = former
            continue
        if entry.service not in keyed_services:
            pooled[group] = chosen
        slots[chosen] += entry.slots
        granters = former.granters if former is not None else ()
        earlier = tuple(granter for granter in granters if granter != chosen)
        planned[entry.server_id] = DispatcherRecord(chosen, earlier)
    return planned


def _misplaced(
    host: DispatcherCandidate, entry: ServerEntry, hosts: list[DispatcherCandidate]
) -> bool:
    """Returns whether a host of the server's own zone could take over."""
    if host.zone == entry.zone:
        return False
    return any(other.zone == entry.zone for other in hosts)


def _least_loaded(
    zone: str,
    hosts: list[DispatcherCandidate],
    slots: Mapping[HostIncarnation, int],
    coordinator: HostIncarnation,
) -> HostIncarnation | None:
    others = [host for host in hosts if host.incarnation != coordinator] or hosts
    candidates = [host for host in others if host.zone == zone] or others
    if not candidates:
        return None
    chosen = min(
        candidates, key=lambda host: (slots[host.incarnation] / host.weight, host.incarnation)
    )
    return chosen.incarnation
