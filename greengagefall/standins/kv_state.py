"""Keys, revisions and leases of the key-value service stand-in."""

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


class Item(NamedTuple):
    """A key with its value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class Event(NamedTuple):
    """A change of one key; a delete's item has only key and ``mod_revision``."""

    kind: str
    item: Item


class Lease(NamedTuple):
    """A lease and when it runs out, in seconds of the clock."""

    lease_id: int
    ttl_s: int
    expires_s: float


class PutOp(NamedTuple):
    """Writes a key."""

    key: bytes
    value: bytes
    lease_id: int


class DeleteOp(NamedTuple):
    """Deletes the keys from ``key`` up to ``end``, or one key if ``end`` is empty."""

    key: bytes
    end: bytes


class CompactedError(Exception):
    """A watch asked for revisions that are no longer kept."""


class LeaseNotFoundError(Exception):
    """The lease does not exist or has run out."""


def in_range(key: bytes, first: bytes, end: bytes) -> bool:
    """Returns whether ``key`` lies in an etcd key range."""
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


class KvState:
    """The service's data.

    Args:
        data_file: File that keeps every write, so that a restart finds them; empty for none.
        clock: Clock of the leases.
    """

    def __init__(self, data_file: str = "", clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.revision = 1
        self.items: dict[bytes, Item] = {}
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

    def range(self, first: bytes, end: bytes) -> list[Item]:
        """Returns the items of a key range in order."""
        if not end:
            return [self.items[first]] if first in self.items else []
        return [self.items[key] for key in sorted(self.items) if in_range(key, first, end)]

    def write(self, ops: list[PutOp | DeleteOp]) -> list[int]:
        """Applies writes under one new revision; returns the keys changed by each.

        Raises:
            LeaseNotFoundError: A put names a lease that does not exist.
            ValueError: A key is written twice.
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
        """Returns the kept events of a key range from ``revision`` on.

        Raises:
            CompactedError: Older events were dropped already.
        """
        if revision <= self._compacted_revision:
            raise CompactedError
        return [
            event
            for event in self._history
            if event.item.mod_revision >= revision and in_range(event.item.key, first, end)
        ]

    def watch(self, callback: Callable[[list[Event]], None]) -> None:
        """Calls ``callback`` with the events of each write from now on."""
        self._watchers.add(callback)

    def unwatch(self, callback: Callable[[list[Event]], None]) -> None:
        """Ends a watch."""
        self._watchers.discard(callback)

    def grant_lease(self, ttl_s: int) -> Lease:
        """Returns a new lease."""
        self._next_lease_id += 1
        lease = Lease(self._next_lease_id, ttl_s, self.clock.now_s() + ttl_s)
        self.leases[lease.lease_id] = lease
        self._append({"lease": lease.lease_id, "ttl_s": ttl_s})
        return lease

    def keep_lease(self, lease_id: int) -> int:
        """Renews a lease; returns its time to live, or 0 if there is none."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        self.leases[lease_id] = lease._replace(expires_s=self.clock.now_s() + lease.ttl_s)
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> bool:
        """Ends a lease and deletes its keys; returns whether there was one."""
        if self.leases.pop(lease_id, None) is None:
            return False
        self._append({"lease": lease_id, "ttl_s": 0})
        keys = [item.key for item in self.items.values() if item.lease_id == lease_id]
        if keys:
            self.write([DeleteOp(key, b"") for key in keys])
        return True

    def expire_leases(self, now_s: float) -> None:
        """Revokes the leases that ran out by ``now_s``."""
        ended = [lease.lease_id for lease in self.leases.values() if lease.expires_s <= now_s]
        for lease_id in ended:
            self.revoke_lease(lease_id)

    def _put(self, op: PutOp, revision: int) -> list[Event]:
        old = self.items.get(op.key)
        item = Item(
            key=op.key,
            value=op.value,
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            lease_id=op.lease_id,
        )
        self.items[op.key] = item
        return [Event(EVENT_PUT, item)]

    def _delete(self, op: DeleteOp, revision: int) -> list[Event]:
        found = self.range(op.key, op.end)
        for item in found:
            del self.items[item.key]
        return [Event(EVENT_DELETE, Item(item.key, b"", 0, revision, 0, 0)) for item in found]

    def _publish(self, events: list[Event]) -> None:
        for event in events:
            if len(self._history) == self._history.maxlen:
                self._compacted_revision = self._history[0].item.mod_revision
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
            item = Item(base64.b64decode(key), base64.b64decode(value), *numbers)
            self._history.append(Event(kind, item))
            if kind == EVENT_PUT:
                self.items[item.key] = item
            else:
                self.items.pop(item.key, None)


def _check_duplicates(ops: list[PutOp | DeleteOp]) -> None:
    puts = [op.key for op in ops if isinstance(op, PutOp)]
    deletes = [op for op in ops if isinstance(op, DeleteOp)]
    twice = len(puts) != len(set(puts))
    if twice or any(in_range(key, op.key, op.end) for key in puts for op in deletes):
        raise ValueError("etcdserver: duplicate key given in txn request")


def _event_row(event: Event) -> list[Any]:
    key, value, *numbers = event.item
    return [event.kind, base64.b64encode(key).decode(), base64.b64encode(value).decode(), *numbers]
