"""Applies records of the store to the cluster view of this host."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from greengagefall.gateway.notice_records import NOTICES_PREFIX, StoredNotices, decode_notices
from greengagefall.gateway.view import HostRecord
from greengagefall.ownership.model import HostIncarnation
from greengagefall.platform import records as platform_records
from greengagefall.platform.configuration import decode_routing_table
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import (
    read_address,
    read_number,
    read_object,
    read_text,
    read_whole_number,
    shown,
)
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from greengagefall.gateway.view import ClusterView
    from greengagefall.platform.store import KeyValue

log = logging.getLogger(__name__)

MEMBERS_PREFIX = "gateway/members/"
COORDINATOR_KEY = "gateway/members/leader"
HOST_PREFIX = "gateway/members/host/"
ASSIGNMENT_KEY = "gateway/assignment"
# Fewest processor cores that a host can have; loads are divided by them.
MIN_WEIGHT = 0.001


class ServerRecords:
    """Applies entries of backend servers."""

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    def put(self, key_value: KeyValue) -> None:
        """Applies an entry; a malformed entry removes the server."""
        try:
            entry = platform_records.decode_server_entry(key_value.key, key_value.value)
        except RecordError as error:
            _reject(key_value.key, error)
            self.delete(key_value.key)
            return
        self._view.update_server(entry)

    def delete(self, key: str) -> None:
        """Removes the server of a deleted entry."""
        self._view.remove_server(platform_records.server_id_of_key(key))

    def reverts(self, known: KeyValue | None, found: KeyValue | None) -> bool:
        """Returns whether a server that left, drains or restarted looks as it did before."""
        if found is None:
            # Entries that are missing are kept by the watcher anyhow.
            return False
        if known is None:
            return True
        try:
            before = platform_records.decode_server_entry(known.key, known.value)
            after = platform_records.decode_server_entry(found.key, found.value)
        except RecordError:
            return False
        if after.start_ms != before.start_ms:
            return after.start_ms < before.start_ms
        return before.draining and not after.draining


class OperatorRecords:
    """Applies the routing configuration and zone evacuations."""

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    def put(self, key_value: KeyValue) -> None:
        """Applies a record written by operators."""
        zone = platform_records.zone_of_evacuation_key(key_value.key)
        if zone:
            self._view.set_evacuated(zone, True)
            return
        if key_value.key != platform_records.ROUTING_KEY:
            return
        try:
            table = decode_routing_table(key_value.value)
        except RecordError as error:
            _reject(key_value.key, error)
            return
        self._view.update_routing_table(table)

    def delete(self, key: str) -> None:
        """Ends a zone's evacuation; a deleted routing configuration stays in use."""
        zone = platform_records.zone_of_evacuation_key(key)
        if zone:
            self._view.set_evacuated(zone, False)

    def reverts(self, known: KeyValue | None, found: KeyValue | None) -> bool:
        """Returns whether an evacuation begins or ends; older configurations are ignored anyhow."""
        present = known or found
        if present is None or not platform_records.zone_of_evacuation_key(present.key):
            return False
        return known is None or found is None


class MemberRecords:
    """Applies the records of entry hosts, of the coordinator and of pending notices."""

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    def put(self, key_value: KeyValue) -> None:
        """Applies a record of a host, of the coordinator or of pending notices."""
        try:
            if key_value.key == COORDINATOR_KEY:
                self._view.coordinator = decode_coordinator(key_value.value)
            elif key_value.key.startswith(HOST_PREFIX):
                record = decode_host(key_value.key, key_value.value)
                self._view.hosts[record.host] = record
            elif key_value.key.startswith(NOTICES_PREFIX):
                self._put_notices(key_value)
        except RecordError as error:
            _reject(key_value.key, error)
            return
        log.info(
            "Member record changed.",
            extra={"key": key_value.key, "revision": key_value.mod_revision},
        )
        self._view.notify_listeners()

    def _put_notices(self, key_value: KeyValue) -> None:
        record = decode_notices(key_value.key, key_value.value)
        stored = StoredNotices(record, key_value.mod_revision)
        self._view.pending_notices[record.server.server_id] = stored

    def delete(self, key: str) -> None:
        """Removes a host, the coordinator or pending notices from the view."""
        if key == COORDINATOR_KEY:
            self._view.coordinator = None
        elif key.startswith(NOTICES_PREFIX):
            self._view.pending_notices.pop(key.removeprefix(NOTICES_PREFIX), None)
        else:
            self._view.hosts.pop(key.removeprefix(HOST_PREFIX), None)
        log.info("Member record was removed from the store.", extra={"key": key})
        self._view.notify_listeners()

    def reverts(self, known: KeyValue | None, found: KeyValue | None) -> bool:
        """Returns whether a host's record is missing or of an earlier process."""
        if known is None or not known.key.startswith(HOST_PREFIX):
            return False
        if found is None:
            return True
        try:
            before = decode_host(known.key, known.value)
            return decode_host(found.key, found.value).start_ms < before.start_ms
        except RecordError:
            return False


def encode_host(record: HostRecord) -> bytes:
    """Encodes a host's record for the store."""
    return json.dumps(record._asdict()).encode()


def decode_host(key: str, value: bytes) -> HostRecord:
    """Decodes a host's record.

    Raises:
        RecordError: The record is malformed, or that of another host.
    """
    fields = read_object(key, value)
    host = read_text(key, fields, "host")
    if key != HOST_PREFIX + host:
        raise RecordError(f"{key}: host is {shown(host)}; expected the end of the key")
    return HostRecord(
        host,
        read_whole_number(key, fields, "start_ms"),
        read_address(key, fields, "address"),
        read_text(key, fields, "zone"),
        read_number(key, fields, "weight", minimum=MIN_WEIGHT),
        fields.get("relays") is True,
        read_number(key, fields, "link_mbps", 0.0),
        fields.get("reads_kinds") is True,
        fields.get("reads_proofs") is True,
    )


def encode_coordinator(incarnation: HostIncarnation) -> bytes:
    """Encodes the coordinator's record for the store."""
    return json.dumps(incarnation._asdict()).encode()


def decode_coordinator(value: bytes) -> HostIncarnation:
    """Decodes the coordinator; raises ``RecordError`` if the record is malformed."""
    fields = read_object(COORDINATOR_KEY, value)
    return HostIncarnation(
        read_text(COORDINATOR_KEY, fields, "host"),
        read_whole_number(COORDINATOR_KEY, fields, "start_ms"),
    )


def _reject(key: str, error: Exception) -> None:
    count("bad_records")
    log.warning(
        "Record in the store is malformed; a server entry is removed, others are ignored.",
        extra={"key": key, "error": str(error)},
    )
