"""Keys, revisions and leases of the stand-in for the key-value service."""

from __future__ import annotations

import base64
import json
import os
import time
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.utils.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.utils.clock import Clock

MAX_HISTORY_EVENTS = 20_000
MAX_TXN_OPS = 128
JOURNAL_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND

EVENT_PUT = "PUT"
EVENT_DELETE = "DELETE"


class StoredKeyValue(NamedTuple):
    """A key with its value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class Event(NamedTuple):
    """A change of one key; the key-value of a deletion has only its key and ``mod_revision``."""

    kind: str
    key_value: StoredKeyValue


class Lease(NamedTuple):
    """A lease; ``expires_s`` is a time of the clock of the state."""

    lease_id: int
    ttl_s: int
    expires_s: float


class PutOp(NamedTuple):
    """Operation that writes a key."""

    key: bytes
    value: bytes
    lease_id: int


class DeleteOp(NamedTuple):
    """Operation that deletes the keys from ``key`` up to ``end``, only ``key`` if that is empty."""

    key: bytes
    end: bytes


class CompactedError(Exception):
    """A watch requested revisions that were already compacted."""


class LeaseNotFoundError(Exception):
    """The lease does not exist or has expired."""


def in_range(key: bytes, first: bytes, end: bytes) -> bool:
    """Returns whether ``key`` lies in an etcd key range, with etcd's special values of ``end``.

    An empty ``end`` selects only ``first``, a single null byte all keys from ``first`` on.
    """
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


class KvState:
    """Data of the key-value service.

    Args:
        data_file: File to which every write is appended and from which a restarted process reads
            them; empty for none.
        clock: Clock by which leases expire.
    """

    def __init__(self, data_file: str = "", clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.revision = 1
        self.key_values: dict[bytes, StoredKeyValue] = {}
        self.leases: dict[int, Lease] = {}
        self._next_lease_id = 1000
        self._history: deque[Event] = deque(maxlen=MAX_HISTORY_EVENTS)
        self._compacted_revision = 0
        self._watchers: set[Callable[[list[Event]], None]] = set()
        self._data_fd = -1
        if data_file:
            self._load(Path(data_file))
            self._data_fd = os.open(data_file, JOURNAL_FLAGS, 0o644)

    def close(self) -> None:
        """Closes the data file."""
        if self._data_fd >= 0:
            os.close(self._data_fd)
            self._data_fd = -1

    def range(self, first: bytes, end: bytes) -> list[StoredKeyValue]:
        """Returns the key-values of a key range, sorted by key."""
        if not end:
            return [self.key_values[first]] if first in self.key_values else []
        return [
            self.key_values[key] for key in sorted(self.key_values) if in_range(key, first, end)
        ]

    def write(self, ops: list[PutOp | DeleteOp]) -> list[int]:
        """Applies writes in one new revision; returns the number of keys that each one changed.

        Raises:
            LeaseNotFoundError: A put names a lease that does not exist.
            ValueError: A key is put twice, or put and deleted.
        """
        _check_duplicates(ops)
        for op in ops:
            if isinstance(op, PutOp) and op.lease_id and op.lease_id not in self.leases:
                raise LeaseNotFoundError
        revision = self.revision + 1
        events: list[Event] = []
        counts = []
        for op in ops:
            changed = (
                self._put(op, revision) if isinstance(op, PutOp) else self._delete(op, revision)
            )
            events.extend(changed)
            counts.append(len(changed))
        if events:
            self.revision = revision
            self._publish(events)
        return counts

    def events_since(self, revision: int, first: bytes, end: bytes) -> list[Event]:
        """Returns the events of a key range from ``revision`` on.

        Raises:
            CompactedError: Events from ``revision`` on were already dropped from the history.
        """
        if revision <= self._compacted_revision:
            raise CompactedError
        return [
            event
            for event in self._history
            if event.key_value.mod_revision >= revision
            and in_range(event.key_value.key, first, end)
        ]

    def watch(self, callback: Callable[[list[Event]], None]) -> None:
        """Registers a callback that gets the events of each later write."""
        self._watchers.add(callback)

    def unwatch(self, callback: Callable[[list[Event]], None]) -> None:
        """Removes the callback of a watch."""
        self._watchers.discard(callback)

    def grant_lease(self, ttl_s: int) -> Lease:
        """Creates a lease."""
        self._next_lease_id += 1
        lease = Lease(self._next_lease_id, ttl_s, self.clock.now_s() + ttl_s)
        self.leases[lease.lease_id] = lease
        self._append({"lease": lease.lease_id, "ttl_s": ttl_s})
        return lease

    def keep_lease(self, lease_id: int) -> int:
        """Renews a lease; returns its time to live in seconds, 0 if it does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        self.leases[lease_id] = lease._replace(expires_s=self.clock.now_s() + lease.ttl_s)
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> bool:
        """Revokes a lease and deletes its keys; returns whether the lease existed."""
        if self.leases.pop(lease_id, None) is None:
            return False
        self._append({"lease": lease_id, "ttl_s": 0})
        keys = [
            key_value.key
            for key_value in self.key_values.values()
            if key_value.lease_id == lease_id
        ]
        if keys:
            self.write([DeleteOp(key, b"") for key in keys])
        return True

    def expire_leases(self, now_s: float) -> None:
        """Revokes the leases that have expired at ``now_s``."""
        expired = [lease.lease_id for lease in self.leases.values() if lease.expires_s <= now_s]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    def _put(self, op: PutOp, revision: int) -> list[Event]:
        previous = self.key_values.get(op.key)
        key_value = StoredKeyValue(
            key=op.key,
            value=op.value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease_id=op.lease_id,
        )
        self.key_values[op.key] = key_value
        return [Event(EVENT_PUT, key_value)]

    def _delete(self, op: DeleteOp, revision: int) -> list[Event]:
        found = self.range(op.key, op.end)
        for key_value in found:
            del self.key_values[key_value.key]
        return [
            Event(EVENT_DELETE, StoredKeyValue(key_value.key, b"", 0, revision, 0, 0))
            for key_value in found
        ]

    def _publish(self, events: list[Event]) -> None:
        for event in events:
            if len(self._history) == self._history.maxlen:
                self._compacted_revision = self._history[0].key_value.mod_revision
            self._history.append(event)
        rows = [_event_row(event) for event in events]
        self._append({"revision": self.revision, "at_s": time.time(), "events": rows})
        for callback in list(self._watchers):
            callback(events)

    def _append(self, row: dict[str, Any]) -> None:
        if self._data_fd >= 0:
            os.write(self._data_fd, json.dumps(row).encode() + b"\n")

    def _load(self, data_file: Path) -> None:
        if not data_file.exists():
            return
        for line in data_file.read_text().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                break
            self._replay(row)
        now_s = self.clock.now_s()
        for lease in list(self.leases.values()):
            self.leases[lease.lease_id] = lease._replace(expires_s=now_s + lease.ttl_s)

    def _replay(self, row: dict[str, Any]) -> None:
        if "lease" in row:
            self._next_lease_id = max(self._next_lease_id, row["lease"])
            self.leases.pop(row["lease"], None)
            if row["ttl_s"]:
                self.leases[row["lease"]] = Lease(row["lease"], row["ttl_s"], 0.0)
            return
        self.revision = row["revision"]
        for kind, key, value, *numbers in row["events"]:
            key_value = StoredKeyValue(base64.b64decode(key), base64.b64decode(value), *numbers)
            self._history.append(Event(kind, key_value))
            if kind == EVENT_PUT:
                self.key_values[key_value.key] = key_value
            else:
                self.key_values.pop(key_value.key, None)


def _check_duplicates(ops: list[PutOp | DeleteOp]) -> None:
    puts = [op.key for op in ops if isinstance(op, PutOp)]
    deletes = [op for op in ops if isinstance(op, DeleteOp)]
    has_duplicate_puts = len(puts) != len(set(puts))
    if has_duplicate_puts or any(in_range(key, op.key, op.end) for key in puts for op in deletes):
        raise ValueError("etcdserver: duplicate key given in txn request")


def _event_row(event: Event) -> list[Any]:
    key, value, *numbers = event.key_value
    return [event.kind, base64.b64encode(key).decode(), base64.b64encode(value).decode(), *numbers]
