"""Applies the store's records to the view of this host."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from greengagefall.gateway.view import HostRecord
from greengagefall.ownership.model import HostIncarnation
from greengagefall.platform import records as platform_records
from greengagefall.platform.exceptions import RecordError
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from greengagefall.gateway.view import ClusterView
    from greengagefall.platform.store import KeyValue

log = logging.getLogger(__name__)

MEMBERS_PREFIX = "gateway/members/"
COORDINATOR_KEY = "gateway/members/leader"
HOST_PREFIX = "gateway/members/host/"
ASSIGNMENT_KEY = "gateway/assignment"


class ServerRecords:
    """Entries of backend servers."""

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    def put(self, item: KeyValue) -> None:
        """Takes an entry; one that can't be read names no server."""
        try:
            entry = platform_records.decode_server_entry(item.key, item.value)
        except RecordError as error:
            _reject(item.key, error)
            self.delete(item.key)
            return
        self._view.update_server(entry)

    def delete(self, key: str) -> None:
        """Drops an entry."""
        self._view.remove_server(platform_records.server_id_of_key(key))


class OperatorRecords:
    """Routing configuration and evacuations."""

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    def put(self, item: KeyValue) -> None:
        """Takes a record of the operators."""
        zone = platform_records.zone_of_evacuation_key(item.key)
        if zone:
            self._view.set_evacuated(zone, True)
            return
        if item.key != platform_records.ROUTING_KEY:
            return
        try:
            table = platform_records.decode_routing_table(item.value)
        except RecordError as error:
            _reject(item.key, error)
            return
        self._view.update_routing_table(table)

    def delete(self, key: str) -> None:
        """Ends an evacuation; a configuration stays in force."""
        zone = platform_records.zone_of_evacuation_key(key)
        if zone:
            self._view.set_evacuated(zone, False)


class MemberRecords:
    """Entry hosts and the coordinator among them."""

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    def put(self, item: KeyValue) -> None:
        """Takes a record of a host or of the coordinator."""
        try:
            if item.key == COORDINATOR_KEY:
                self._view.coordinator = decode_coordinator(item.value)
            elif item.key.startswith(HOST_PREFIX):
                record = decode_host(item.value)
                self._view.hosts[record.host] = record
        except (ValueError, KeyError, TypeError) as error:
            _reject(item.key, error)
            return
        log.info("Member record changed.", extra={"key": item.key, "revision": item.mod_revision})
        self._view.notify_listeners()

    def delete(self, key: str) -> None:
        """Drops a record."""
        if key == COORDINATOR_KEY:
            self._view.coordinator = None
        else:
            self._view.hosts.pop(key.removeprefix(HOST_PREFIX), None)
        log.info("Member record is gone.", extra={"key": key})
        self._view.notify_listeners()


def encode_host(record: HostRecord) -> bytes:
    """Returns the stored form of a host's record."""
    return json.dumps(record._asdict()).encode()


def decode_host(value: bytes) -> HostRecord:
    """Returns a host's record; raises ``ValueError`` or the like if it is malformed."""
    fields = json.loads(value)
    return HostRecord(
        str(fields["host"]),
        int(fields["start_ms"]),
        str(fields["address"]),
        str(fields["zone"]),
        float(fields["weight"]),
    )


def encode_coordinator(me: HostIncarnation) -> bytes:
    """Returns the stored form of the coordinator's record."""
    return json.dumps(me._asdict()).encode()


def decode_coordinator(value: bytes) -> HostIncarnation:
    """Returns the coordinator; raises ``ValueError`` or the like if it is malformed."""
    fields = json.loads(value)
    return HostIncarnation(str(fields["host"]), int(fields["start_ms"]))


def _reject(key: str, error: Exception) -> None:
    count("bad_records")
    log.warning("Record cannot be read.", extra={"key": key, "error": str(error)})
