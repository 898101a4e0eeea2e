"""Records of pending notices in the store, which outlive every host and every server's entry.

The coordinator writes a record before keys that their former owner did not release are granted to
another server. ``notice_delivery`` sends the notices and deletes the record.
"""

from __future__ import annotations

import asyncio
import json
import logging
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from result import Err

from greengagefall.ownership.model import LAST_KEY, ServerIncarnation
from greengagefall.ownership.pending_notices import NoticeRecord, PendingNotice
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import (
    read_address,
    read_object,
    read_text,
    read_whole_number,
)
from greengagefall.platform.store import Put
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import log_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.gateway.view import ClusterView
    from greengagefall.platform.store import PlatformStore

log = logging.getLogger(__name__)

# Below the prefix of hosts and coordinator, which all hosts follow.
NOTICES_PREFIX = "gateway/members/notices/"
# Ranges of several servers go on at almost the same time.
BATCH_DELAY_S = 0.02
# The store takes 32 entries in one transaction: a condition and a value for each record.
MAX_RECORDS_PER_WRITE = 16
RETRY_DELAY_S = 0.3
# Keys do not wait longer for the store, since they go on without it otherwise, too.
MAX_WAIT_S = 0.5


class StoredNotices(NamedTuple):
    """A record as the store has it, and the revision of its last change."""

    record: NoticeRecord
    revision: int


class NoticeRecords:
    """Writes records on behalf of one coordinator.

    Args:
        store: The store.
        view: The cluster view of this host.
        find_address: Returns the address of a server's incarnation, empty if it is not known.
    """

    def __init__(
        self,
        store: PlatformStore,
        view: ClusterView,
        find_address: Callable[[ServerIncarnation], str],
    ) -> None:
        self._store = store
        self._view = view
        self._find_address = find_address
        self._queued: dict[str, NoticeRecord] = {}
        self._read: dict[str, StoredNotices | None] = {}
        self._writing: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stops writing."""
        if self._writing is not None:
            self._writing.cancel()

    async def add(self, server: ServerIncarnation, service: str, notice: PendingNotice) -> None:
        """Records a notice; returns once it is stored, or soon if the store does not answer."""
        address = self._find_address(server)
        if not address:
            count("pending_notices", change="no_address")
            log.error(
                "Former owner of keys has no known address; it is told of no newer fencing token.",
                extra={"server": server.server_id, **notice._asdict()},
            )
            return
        if self._view.is_replaced(server, address):
            # The connections of a process end with it, so that it can get no grant any more.
            return
        queued = self._queued.get(server.server_id)
        if queued is None or queued.server != server:
            queued = NoticeRecord(server, service, address)
        self._queued[server.server_id] = queued.add(notice)
        if self._writing is None or self._writing.done():
            self._writing = asyncio.create_task(self._write_all(), name="pending notices")
            self._writing.add_done_callback(log_failure)
        _, unfinished = await asyncio.wait({self._writing}, timeout=MAX_WAIT_S)
        if unfinished:
            log.warning(
                "Pending notices are not stored yet; keys go on without them.",
                extra={"server": server.server_id, **notice._asdict()},
            )

    async def _write_all(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        while self._queued:
            batch = dict(islice(self._queued.items(), MAX_RECORDS_PER_WRITE))
            if not await self._write(batch):
                await asyncio.sleep(RETRY_DELAY_S)

    async def _write(self, batch: dict[str, NoticeRecord]) -> bool:
        """Writes some queued records; returns whether the store answered."""
        expected: dict[str, int] = {}
        puts: list[Put] = []
        written: dict[str, NoticeRecord] = {}
        for server_id, queued in batch.items():
            stored = self._stored(server_id)
            record = queued
            if stored is not None and stored.record.server == queued.server:
                record = stored.record.add_all(queued.notices)
            key = NOTICES_PREFIX + server_id
            expected[key] = stored.revision if stored is not None else 0
            puts.append(Put(key, encode_notices(record)))
            written[server_id] = record
        done = await self._store.txn(expected, puts)
        if isinstance(done, Err):
            return False
        if done.ok_value is None:
            return await self._read_again(batch)
        for server_id, record in written.items():
            self._read[server_id] = StoredNotices(record, done.ok_value)
            if self._queued.get(server_id) == batch[server_id]:
                del self._queued[server_id]
            count("pending_notices", change="recorded")
            log.info(
                "Former owner of keys has to be told of newer fencing tokens.",
                extra={"server": server_id, "notices": len(record.notices)},
            )
        return True

    def _stored(self, server_id: str) -> StoredNotices | None:
        """Returns what the store has of a server, as far as this host knows.

        The revision shows whether that is still so.
        """
        return self._read.get(server_id, self._view.pending_notices.get(server_id))

    async def _read_again(self, batch: dict[str, NoticeRecord]) -> bool:
        """Reads records that others have changed; returns whether the store answered."""
        for server_id in batch:
            key = NOTICES_PREFIX + server_id
            read = await self._store.get(key)
            if isinstance(read, Err):
                return False
            found = read.ok_value
            self._read[server_id] = None
            if found is not None:
                record = _decode_or_none(key, found.value)
                placeholder = record or batch[server_id]._replace(notices=())
                self._read[server_id] = StoredNotices(placeholder, found.mod_revision)
        return True


def encode_notices(record: NoticeRecord) -> bytes:
    """Encodes a record for the store."""
    fields = {
        **record.server._asdict(),
        "service": record.service,
        "address": record.address,
        "notices": record.notices,
    }
    return json.dumps(fields).encode()


def decode_notices(key: str, value: bytes) -> NoticeRecord:
    """Decodes a record.

    Raises:
        RecordError: The record is malformed, or that of another server.
    """
    fields = read_object(key, value)
    server_id = read_text(key, fields, "server_id")
    if key != NOTICES_PREFIX + server_id:
        raise RecordError(f"{key}: the server is not the end of the key")
    rows = fields.get("notices")
    if not isinstance(rows, list):
        raise RecordError(f"{key}: notices are not a list")
    return NoticeRecord(
        ServerIncarnation(server_id, read_whole_number(key, fields, "start_ms")),
        read_text(key, fields, "service"),
        read_address(key, fields, "address"),
        tuple(_decode_notice(key, row) for row in rows),
    )


def _decode_notice(key: str, row: object) -> PendingNotice:
    if not isinstance(row, list) or [type(value) for value in row] != [int] * 3:
        raise RecordError(f"{key}: a notice is not three whole numbers")
    notice = PendingNotice(*row)
    if not 0 <= notice.first <= notice.last <= LAST_KEY or notice.fence < 0:
        raise RecordError(f"{key}: a notice has keys or a fencing token out of range")
    return notice


def _decode_or_none(key: str, value: bytes) -> NoticeRecord | None:
    try:
        return decode_notices(key, value)
    except RecordError:
        return None
