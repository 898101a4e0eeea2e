"""What this entry host knows: configuration, backend servers, hosts and ownership."""

from __future__ import annotations

import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.gateway.model import (
    EMPTY_ROUTING_TABLE,
    PlatformSettings,
    RoutingTable,
    ServerEntry,
    Service,
)
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    Assignment,
    HostIncarnation,
    ServerIncarnation,
)
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# How long grants are renewed by an assignment that nobody has confirmed meanwhile. Longer spans
# outlast longer outages of the store; shorter ones let others take over sooner.
ASSIGNMENT_VALIDITY_S = 8.0


class HostRecord(NamedTuple):
    """An entry host as it registered itself.

    Attributes:
        host: Its name.
        start_ms: Unix time of its process's start.
        address: ``IP:port`` for other entry hosts.
        zone: Its availability zone.
        weight: Processor cores' worth that it may use.
    """

    host: str
    start_ms: int
    address: str
    zone: str
    weight: float

    @property
    def incarnation(self) -> HostIncarnation:
        """The process that registered."""
        return HostIncarnation(self.host, self.start_ms)


class ClusterView:
    """All that decisions of this host rest on.

    Attributes:
        settings: Settings of this host.
        host_incarnation: This process.
        routing_table: Newest routing configuration.
        servers: Entries of backend servers by id.
        evacuated: Zones that are to get nothing, with the time at which this was learnt.
        hosts: Entry hosts by name.
        coordinator: The host that coordinates, by the store.
        assignment: Newest assignment.
        draining_since_s: When each server that leaves or left was first known to, by id.
        is_entry_in_store: Whether the store has a server's entry now, as far as this host can know.
        entry_lag_s: How late a change of an entry may be learnt while they are.
    """

    def __init__(self, facts: PlatformSettings, me: HostIncarnation, clock: Clock) -> None:
        self.settings = facts
        self.host_incarnation = me
        self.routing_table: RoutingTable = EMPTY_ROUTING_TABLE
        self.servers: dict[str, ServerEntry] = {}
        self.evacuated: dict[str, float] = {}
        self.hosts: dict[str, HostRecord] = {}
        self.coordinator: HostIncarnation | None = None
        self.assignment: Assignment = EMPTY_ASSIGNMENT
        self.draining_since_s: dict[str, float] = {}
        self._clock = clock
        self._latest_born_ms: dict[str, int] = {}
        self._latest_at: dict[str, ServerIncarnation] = {}
        self.is_entry_in_store: Callable[[str], bool] = lambda server_id: True
        self.entry_lag_s: Callable[[], float] = lambda: 0.0
        self._confirmed_until_s = 0.0
        self._listeners: list[Callable[[], None]] = []
        self._batches = 0
        self._changed_in_batch = False

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Has ``listener`` called after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Ends the calls of a listener."""
        self._listeners.remove(listener)

    @contextmanager
    def batch_notifications(self) -> Iterator[None]:
        """Has listeners told once of all changes that are made inside, without an ``await``."""
        self._batches += 1
        try:
            yield
        finally:
            self._batches -= 1
            if self._changed_in_batch and not self._batches:
                self._changed_in_batch = False
                self.notify_listeners()

    def notify_listeners(self) -> None:
        """Tells all listeners."""
        if self._batches:
            self._changed_in_batch = True
            return
        for listener in list(self._listeners):
            listener()

    def update_routing_table(self, table: RoutingTable) -> None:
        """Takes a routing configuration unless it is older than the present one."""
        if table.version <= self.routing_table.version:
            return
        log.info(
            "New routing configuration.",
            extra={"version": table.version, "before": self.routing_table.version},
        )
        count("configurations")
        self.routing_table = table
        self.notify_listeners()

    def update_server(self, entry: ServerEntry) -> None:
        """Takes a new or changed entry of a backend server."""
        before = self.servers.get(entry.server_id)
        self.servers[entry.server_id] = entry
        latest_ms = self._latest_born_ms.get(entry.server_id, 0)
        self._latest_born_ms[entry.server_id] = max(latest_ms, entry.start_ms)
        self._note_address(entry)
        if before is None or before.start_ms != entry.start_ms or before.draining != entry.draining:
            log.info("Backend server's entry changed.", extra=_entry_facts(entry))
        if not entry.draining:
            self.draining_since_s.pop(entry.server_id, None)
        elif entry.server_id not in self.draining_since_s:
            self.draining_since_s[entry.server_id] = self._clock.now_s()
        self.notify_listeners()

    def remove_server(self, server_id: str) -> None:
        """Removes a backend server whose entry is gone."""
        if self.servers.pop(server_id, None) is None:
            return
        log.info("Backend server's entry was removed from the store.", extra={"server": server_id})
        self.draining_since_s.setdefault(server_id, self._clock.now_s())
        self.notify_listeners()

    def is_entry_current(self, server_id: str) -> bool:
        """Returns whether the present life of a server would be known by now."""
        entry = self.servers.get(server_id)
        if entry is None:
            return False
        latest = self._latest_at.get(entry.address)
        if latest is not None and latest.start_ms > entry.start_ms:
            return False
        return self.is_entry_in_store(server_id)

    def has_newer_incarnation(self, life: ServerIncarnation) -> bool:
        """Returns whether a later life of a server has been seen, even if it left again."""
        return self._latest_born_ms.get(life.server_id, 0) > life.start_ms

    def _note_address(self, entry: ServerEntry) -> None:
        """Notes which of the servers that had an address started last."""
        life = ServerIncarnation(entry.server_id, entry.start_ms)
        latest = self._latest_at.setdefault(entry.address, life)
        if latest.start_ms == life.start_ms:
            return
        older, newer = sorted((latest, life), key=lambda one: one.start_ms)
        log.info(
            "Backend server reuses the address of an earlier one.",
            extra={"server": newer.server_id, "before": older.server_id},
        )
        self._latest_at[entry.address] = newer

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Notes that a zone is to get nothing, or may again."""
        if evacuated == (zone in self.evacuated):
            return
        log.info("Zone evacuation changed.", extra={"zone": zone, "evacuated": evacuated})
        if evacuated:
            self.evacuated[zone] = self._clock.now_s()
        else:
            del self.evacuated[zone]
        self.notify_listeners()

    def update_assignment(self, assignment: Assignment) -> None:
        """Takes an assignment unless it is older than the present one."""
        if assignment.version <= self.assignment.version:
            return
        self.assignment = assignment
        self.notify_listeners()

    def confirm_assignment(self, version: int, at_s: float) -> None:
        """Notes that ``version`` was the newest assignment at a time of this host's clock."""
        if version > self.assignment.version:
            return
        self._confirmed_until_s = max(self._confirmed_until_s, at_s + ASSIGNMENT_VALIDITY_S)

    def is_assignment_current(self) -> bool:
        """Whether grants may be renewed by the present assignment."""
        return self._clock.now_s() < self._confirmed_until_s

    def find_service(self, name: str) -> Service | None:
        """Returns a service of the configuration."""
        return self.routing_table.services.get(name)

    def is_usable(self, entry: ServerEntry) -> bool:
        """Whether new work and keys may go to a server, as far as records tell."""
        return not entry.draining and entry.zone not in self.evacuated


def _entry_facts(entry: ServerEntry) -> dict[str, object]:
    return {
        "server": entry.server_id,
        "service": entry.service,
        "address": entry.address,
        "zone": entry.zone,
        "draining": entry.draining,
        "born_ms": entry.start_ms,
        "cold_left_s": entry.cold_remaining_s,
    }
