"""Cluster view of an entry host: configuration, backend servers, hosts and ownership."""

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
    UNKNOWN_RESTORES,
    Assignment,
    HostIncarnation,
    ServerIncarnation,
)
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from typing import Any

    from greengagefall.gateway.notice_records import StoredNotices
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# Time for which grants are renewed under an assignment after its last confirmation. A longer time
# bridges longer store outages; a shorter time lets other hosts take over sooner.
ASSIGNMENT_VALIDITY_S = 8.0


class HostRecord(NamedTuple):
    """An entry host as it registered itself.

    Attributes:
        host: Its name.
        start_ms: Unix time at which its process started.
        address: ``IP:port`` at which it accepts connections of other entry hosts.
        zone: Its availability zone.
        weight: Number of processor cores that it may use.
        relays: Whether it passes changes of the store on to hosts that ask for them.
        link_mbps: Bandwidth of its network link; 0 if unknown.
        reads_kinds: Whether it can read requests that name their kind, and messages on quotas;
            hosts of earlier versions take them as malformed and close the link.
        reads_proofs: The same for heartbeats and replies with ``store_knowledge``.
    """

    host: str
    start_ms: int
    address: str
    zone: str
    weight: float
    relays: bool = False
    link_mbps: float = 0.0
    reads_kinds: bool = False
    reads_proofs: bool = False

    @property
    def incarnation(self) -> HostIncarnation:
        """The incarnation that registered."""
        return HostIncarnation(self.host, self.start_ms)


class ClusterView:
    """Holds the state on which this host bases its decisions.

    Attributes:
        settings: Settings of this host.
        host_incarnation: The incarnation of this host.
        routing_table: Newest routing configuration.
        servers: Entries of backend servers by id.
        evacuated_since_s: Earliest time at which the evacuation of each evacuated zone can have
            begun, by zone.
        hosts: Entry hosts by name.
        coordinator: The coordinator according to the store.
        pending_notices: Recorded notices of backend servers by id.
        assignment: Newest assignment.
        rate_limits: Requests per second that servers take, as their dispatchers reported it with
            the newest assignment; for servers that this host is about to dispatch.
        draining_since_s: Earliest time at which each draining or removed server can have begun to
            leave, by id.
        is_entry_in_store: Returns whether the store has a server's entry now and no change of it
            can have been missed.
        knows_entries: Returns whether this host has read the entries of the servers.
        known_restores: Returns how often the store was restored from an older copy, as far as this
            host's watches know.
        store_lag_s: Returns how long ago this host certainly knew all changes in the store, at
            most.
    """

    def __init__(
        self, settings: PlatformSettings, host_incarnation: HostIncarnation, clock: Clock
    ) -> None:
        self.settings = settings
        self.host_incarnation = host_incarnation
        self.routing_table: RoutingTable = EMPTY_ROUTING_TABLE
        self.servers: dict[str, ServerEntry] = {}
        self.evacuated_since_s: dict[str, float] = {}
        self.hosts: dict[str, HostRecord] = {}
        self.coordinator: HostIncarnation | None = None
        self.pending_notices: dict[str, StoredNotices] = {}
        self.assignment: Assignment = EMPTY_ASSIGNMENT
        self.rate_limits: dict[ServerIncarnation, float] = {}
        self.draining_since_s: dict[str, float] = {}
        self._clock = clock
        self._latest_start_ms: dict[str, int] = {}
        self._latest_by_address: dict[str, ServerIncarnation] = {}
        self.is_entry_in_store: Callable[[str], bool] = lambda server_id: True
        self.knows_entries: Callable[[], bool] = lambda: True
        self.known_restores: Callable[[], int] = lambda: UNKNOWN_RESTORES
        self.store_lag_s: Callable[[], float] = lambda: 0.0
        self._valid_until_s = 0.0
        self._listeners: list[Callable[[], None]] = []
        self._open_batches = 0
        self._batch_has_changes = False

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes a listener."""
        self._listeners.remove(listener)

    @contextmanager
    def batch_notifications(self) -> Iterator[None]:
        """Notifies listeners once of all changes made inside; the block must not ``await``."""
        self._open_batches += 1
        try:
            yield
        finally:
            self._open_batches -= 1
            if self._batch_has_changes and not self._open_batches:
                self._batch_has_changes = False
                self.notify_listeners()

    def notify_listeners(self) -> None:
        """Calls all listeners, or defers the calls to the end of the batch."""
        if self._open_batches:
            self._batch_has_changes = True
            return
        for listener in list(self._listeners):
            try:
                listener()
            except Exception:
                # The other listeners have to know of the change, too.
                log.exception("A change could not be applied.")
                count("listener_errors")

    def update_routing_table(self, table: RoutingTable) -> None:
        """Replaces the routing configuration if the given one is newer."""
        if table.version <= self.routing_table.version:
            return
        log.info(
            "New routing configuration.",
            extra={"version": table.version, "before": self.routing_table.version},
        )
        count("configurations")
        _report_unreadable(table)
        self.routing_table = table
        self.notify_listeners()

    def update_server(self, entry: ServerEntry) -> None:
        """Records a new or changed entry of a backend server."""
        before = self.servers.get(entry.server_id)
        self.servers[entry.server_id] = entry
        latest_ms = self._latest_start_ms.get(entry.server_id, 0)
        self._latest_start_ms[entry.server_id] = max(latest_ms, entry.start_ms)
        self._note_address(entry)
        if before is None or before.start_ms != entry.start_ms or before.draining != entry.draining:
            log.info("Backend server's entry changed.", extra=_entry_fields(entry))
        if not entry.draining:
            self.draining_since_s.pop(entry.server_id, None)
        elif entry.server_id not in self.draining_since_s:
            self.draining_since_s[entry.server_id] = self._earliest_s()
        self.notify_listeners()

    def remove_server(self, server_id: str) -> None:
        """Removes a backend server whose entry was removed from the store."""
        if self.servers.pop(server_id, None) is None:
            return
        log.info("Backend server's entry was removed from the store.", extra={"server": server_id})
        self.draining_since_s.setdefault(server_id, self._earliest_s())
        self.notify_listeners()

    def is_entry_current(self, server_id: str) -> bool:
        """Returns whether a server's entry is certainly that of its newest incarnation."""
        entry = self.servers.get(server_id)
        if entry is None:
            return False
        latest = self._latest_by_address.get(entry.address)
        if latest is not None and latest.start_ms > entry.start_ms:
            return False
        return self.is_entry_in_store(server_id)

    def has_newer_incarnation(self, incarnation: ServerIncarnation) -> bool:
        """Returns whether a later incarnation of a server was seen, even if since removed."""
        return self._latest_start_ms.get(incarnation.server_id, 0) > incarnation.start_ms

    def is_replaced(self, incarnation: ServerIncarnation, address: str) -> bool:
        """Returns whether a later incarnation of a server, or at its address, was seen."""
        latest = self._latest_by_address.get(address, incarnation)
        return self.has_newer_incarnation(incarnation) or latest.start_ms > incarnation.start_ms

    def _note_address(self, entry: ServerEntry) -> None:
        """Records which of the servers that used an address started last."""
        incarnation = entry.incarnation
        latest = self._latest_by_address.setdefault(entry.address, incarnation)
        if latest.start_ms == incarnation.start_ms:
            return
        older, newer = sorted((latest, incarnation), key=lambda one: one.start_ms)
        log.info(
            "Backend server reuses the address of an earlier one.",
            extra={"server": newer.server_id, "before": older.server_id},
        )
        self._latest_by_address[entry.address] = newer

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Records the start or the end of a zone's evacuation."""
        if evacuated == (zone in self.evacuated_since_s):
            return
        log.info("Zone evacuation changed.", extra={"zone": zone, "evacuated": evacuated})
        if evacuated:
            self.evacuated_since_s[zone] = self._earliest_s()
        else:
            del self.evacuated_since_s[zone]
        self.notify_listeners()

    def update_assignment(self, assignment: Assignment) -> None:
        """Replaces the assignment if the given one is newer."""
        if assignment.version <= self.assignment.version:
            return
        self.assignment = assignment
        self.notify_listeners()

    def update_rate_limits(self, rows: Iterable[list[Any]]) -> None:
        """Replaces the rate limits; ``rows`` are as in ``AssignmentPush.rate_limits``."""
        self.rate_limits = {
            ServerIncarnation(server_id, start_ms): rate_per_s
            for server_id, start_ms, rate_per_s in rows
        }

    def confirm_assignment(self, version: int, at_s: float) -> None:
        """Records that ``version`` was the newest assignment at ``at_s`` of this host's clock."""
        if version > self.assignment.version:
            return
        self._valid_until_s = max(self._valid_until_s, at_s + ASSIGNMENT_VALIDITY_S)

    def is_assignment_current(self) -> bool:
        """Returns whether grants may be renewed under the current assignment."""
        return self._clock.now_s() < self._valid_until_s

    def assignment_age_s(self) -> float:
        """Returns how long ago the current assignment was last known to be the newest."""
        return self._clock.now_s() - self._valid_until_s + ASSIGNMENT_VALIDITY_S

    def reads_quotas(self, host: str) -> bool:
        """Returns whether a host is known to read messages on quotas."""
        record = self.hosts.get(host)
        return record is not None and record.reads_kinds

    def reads_proofs(self, host: str) -> bool:
        """Returns whether a host is known to read messages with ``store_knowledge``."""
        record = self.hosts.get(host)
        return record is not None and record.reads_proofs

    @property
    def is_coordinator(self) -> bool:
        """Whether this host is the coordinator according to the store."""
        return self.coordinator == self.host_incarnation

    def find_service(self, name: str) -> Service | None:
        """Returns a service of the routing configuration, or None if it is unknown."""
        return self.routing_table.services.get(name)

    def _earliest_s(self) -> float:
        """Returns the earliest time at which a change that is seen now can have happened."""
        return self._clock.now_s() - self.store_lag_s()

    def is_usable(self, entry: ServerEntry) -> bool:
        """Returns whether a server may get new requests and keys according to the records."""
        return not entry.draining and entry.zone not in self.evacuated_since_s


def _report_unreadable(table: RoutingTable) -> None:
    """Logs and counts what could not be read of a configuration."""
    for entry in table.unreadable.entries:
        count("unreadable_entries", section=entry.section)
        log.error(
            "Entry of the configuration is unreadable; requests that need it are refused.",
            extra={"version": table.version, **entry._asdict()},
        )


def _entry_fields(entry: ServerEntry) -> dict[str, object]:
    return {
        "server": entry.server_id,
        "service": entry.service,
        "address": entry.address,
        "zone": entry.zone,
        "draining": entry.draining,
        "born_ms": entry.start_ms,
        "cold_left_s": entry.cold_remaining_s,
    }
