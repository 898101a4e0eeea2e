"""What this entry host knows: configuration, backend servers, hosts and ownership."""

from __future__ import annotations

import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.gateway.model import EMPTY_TABLE, HostFacts, RoutingTable, ServerEntry, Service
from greengagefall.ownership.model import EMPTY_ASSIGNMENT, Assignment, Incarnation, Life
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# How long grants are renewed by an assignment that nobody has confirmed meanwhile. Longer spans
# outlast longer outages of the store; shorter ones let others take over sooner.
CONFIRMED_FOR_S = 8.0


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
    def incarnation(self) -> Incarnation:
        """The process that registered."""
        return Incarnation(self.host, self.start_ms)


class HostView:
    """All that decisions of this host rest on.

    Attributes:
        facts: Settings of this host.
        me: This process.
        table: Newest routing configuration.
        servers: Entries of backend servers by id.
        evacuated: Zones that are to get nothing, with the time at which this was learnt.
        hosts: Entry hosts by name.
        leader: The host that coordinates, by the store.
        assignment: Newest assignment.
        left_s: When each server that leaves or left was first known to, by id.
        entry_listed: Whether the store has a server's entry now, as far as this host can know.
        entries_lag_s: How late a change of an entry may be learnt while they are.
    """

    def __init__(self, facts: HostFacts, me: Incarnation, clock: Clock) -> None:
        self.facts = facts
        self.me = me
        self.table: RoutingTable = EMPTY_TABLE
        self.servers: dict[str, ServerEntry] = {}
        self.evacuated: dict[str, float] = {}
        self.hosts: dict[str, HostRecord] = {}
        self.leader: Incarnation | None = None
        self.assignment: Assignment = EMPTY_ASSIGNMENT
        self.left_s: dict[str, float] = {}
        self._clock = clock
        self._latest_born_ms: dict[str, int] = {}
        self._latest_at: dict[str, Life] = {}
        self.entry_listed: Callable[[str], bool] = lambda server_id: True
        self.entries_lag_s: Callable[[], float] = lambda: 0.0
        self._confirmed_until_s = 0.0
        self._listeners: list[Callable[[], None]] = []
        self._batches = 0
        self._changed_in_batch = False

    def on_change(self, listener: Callable[[], None]) -> None:
        """Has ``listener`` called after each change."""
        self._listeners.append(listener)

    def off_change(self, listener: Callable[[], None]) -> None:
        """Ends the calls of a listener."""
        self._listeners.remove(listener)

    @contextmanager
    def batch(self) -> Iterator[None]:
        """Has listeners told once of all changes that are made inside, without an ``await``."""
        self._batches += 1
        try:
            yield
        finally:
            self._batches -= 1
            if self._changed_in_batch and not self._batches:
                self._changed_in_batch = False
                self.changed()

    def changed(self) -> None:
        """Tells all listeners."""
        if self._batches:
            self._changed_in_batch = True
            return
        for listener in list(self._listeners):
            listener()

    def take_table(self, table: RoutingTable) -> None:
        """Takes a routing configuration unless it is older than the present one."""
        if table.version <= self.table.version:
            return
        log.info(
            "New routing configuration.",
            extra={"version": table.version, "before": self.table.version},
        )
        count("configurations")
        self.table = table
        self.changed()

    def take_server(self, entry: ServerEntry) -> None:
        """Takes a new or changed entry of a backend server."""
        before = self.servers.get(entry.server_id)
        self.servers[entry.server_id] = entry
        latest_ms = self._latest_born_ms.get(entry.server_id, 0)
        self._latest_born_ms[entry.server_id] = max(latest_ms, entry.born_ms)
        self._note_address(entry)
        if before is None or before.born_ms != entry.born_ms or before.draining != entry.draining:
            log.info("Backend server's entry changed.", extra=_entry_facts(entry))
        if not entry.draining:
            self.left_s.pop(entry.server_id, None)
        elif entry.server_id not in self.left_s:
            self.left_s[entry.server_id] = self._clock.now_s()
        self.changed()

    def drop_server(self, server_id: str) -> None:
        """Removes a backend server whose entry is gone."""
        if self.servers.pop(server_id, None) is None:
            return
        log.info("Backend server's entry is gone.", extra={"server": server_id})
        self.left_s.setdefault(server_id, self._clock.now_s())
        self.changed()

    def entry_current(self, server_id: str) -> bool:
        """Returns whether the present life of a server would be known by now."""
        entry = self.servers.get(server_id)
        if entry is None:
            return False
        latest = self._latest_at.get(entry.address)
        if latest is not None and latest.born_ms > entry.born_ms:
            return False
        return self.entry_listed(server_id)

    def has_ended(self, life: Life) -> bool:
        """Returns whether a later life of a server has been seen, even if it left again."""
        return self._latest_born_ms.get(life.server_id, 0) > life.born_ms

    def _note_address(self, entry: ServerEntry) -> None:
        """Notes which of the servers that had an address started last."""
        life = Life(entry.server_id, entry.born_ms)
        latest = self._latest_at.setdefault(entry.address, life)
        if latest.born_ms == life.born_ms:
            return
        older, newer = sorted((latest, life), key=lambda one: one.born_ms)
        log.info(
            "A server has the address of an earlier one.",
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
        self.changed()

    def take_assignment(self, assignment: Assignment) -> None:
        """Takes an assignment unless it is older than the present one."""
        if assignment.version <= self.assignment.version:
            return
        self.assignment = assignment
        self.changed()

    def confirm(self, version: int, at_s: float) -> None:
        """Notes that ``version`` was the newest assignment at a time of this host's clock."""
        if version > self.assignment.version:
            return
        self._confirmed_until_s = max(self._confirmed_until_s, at_s + CONFIRMED_FOR_S)

    def is_current(self) -> bool:
        """Whether grants may be renewed by the present assignment."""
        return self._clock.now_s() < self._confirmed_until_s

    def service(self, name: str) -> Service | None:
        """Returns a service of the configuration."""
        return self.table.services.get(name)

    def usable(self, entry: ServerEntry) -> bool:
        """Whether new work and keys may go to a server, as far as records tell."""
        return not entry.draining and entry.zone not in self.evacuated


def _entry_facts(entry: ServerEntry) -> dict[str, object]:
    return {
        "server": entry.server_id,
        "service": entry.service,
        "address": entry.address,
        "zone": entry.zone,
        "draining": entry.draining,
        "born_ms": entry.born_ms,
        "cold_left_s": entry.cold_left_s,
    }
