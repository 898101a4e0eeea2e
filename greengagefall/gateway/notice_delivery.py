"""Sends the notices that are recorded in the store, until the server has answered each.

Which hosts do so follows from the names of the hosts and the server. A host that starts knows the
records as soon as it knows the other hosts, before it has an assignment.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from result import Err

from greengagefall.dispatch.exceptions import DispatchError
from greengagefall.gateway.fence_notices import NOTICE_TIMEOUT_S
from greengagefall.gateway.notice_records import NOTICES_PREFIX, StoredNotices
from greengagefall.gateway.stand_in_notices import MAX_ASSIGNMENT_AGE_S, is_stand_in
from greengagefall.ownership.key_spans import KeySpan, without_all
from greengagefall.platform import grants as calls
from greengagefall.utils.metrics import count, set_level
from greengagefall.utils.supervision import log_failure, start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.dispatch.connection_pool import ConnectionPool
    from greengagefall.gateway.view import ClusterView
    from greengagefall.ownership.pending_notices import NoticeRecord, PendingNotice
    from greengagefall.platform.store import PlatformStore
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# A server that was not reached for this long is tried at the longer interval.
FAST_RETRIES_S = 30.0
SLOW_INTERVAL_S = 1.0
# Several hosts try, not all at the same moment. Operators excuse an outdated grant that arrives
# within 0.3 s after the end of a cut.
FAST_INTERVAL_S = 0.2
CHECK_INTERVAL_S = 0.1
# Some of them may be cut off, or have been killed a moment ago.
HOSTS_PER_SERVER = 3
# Calls without an answer yet, at one of which each interval begins.
MAX_ATTEMPTS_AT_ONCE = 6
# A server takes a limited number of connections.
MAX_NOTICES_AT_ONCE = 4
DELETE_RETRY_S = 0.5


class NoticeDelivery:
    """Delivers the records for which this host is responsible.

    Args:
        view: The cluster view of this host.
        store: The store.
        clock: Clock that counts suspended time.
        open_pool: Creates the connection pool of a server from its address.
        is_lost: Returns whether the link to a host is broken.
    """

    def __init__(
        self,
        view: ClusterView,
        store: PlatformStore,
        clock: Clock,
        open_pool: Callable[[str], ConnectionPool],
        is_lost: Callable[[str], bool],
    ) -> None:
        self._view = view
        self._store = store
        self._clock = clock
        self._open_pool = open_pool
        self._is_lost = is_lost
        self._since_s: dict[str, float] = {}
        self._alive: set[str] = set()
        self._responsible: dict[str, bool] = {}
        self._deliveries: dict[str, tuple[StoredNotices, asyncio.Task[None]]] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to look for records."""
        self._view.add_listener(self._update)
        self._task = start_supervised(self._run, "notice delivery")

    def close(self) -> None:
        """Stops sending notices; the records stay."""
        if self._task is None:
            return
        self._view.remove_listener(self._update)
        self._task.cancel()
        self._task = None
        for _, delivery in self._deliveries.values():
            delivery.cancel()
        self._deliveries.clear()

    async def _run(self) -> None:
        while True:
            self._update()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _update(self) -> None:
        """Begins and ends deliveries as the records and the hosts require."""
        records = self._view.pending_notices
        if not records and not self._since_s:
            return
        now_s = self._clock.now_s()
        self._since_s = {server_id: self._since_s.get(server_id, now_s) for server_id in records}
        set_level("pending_notices", len(records))
        set_level("pending_notices_age_s", now_s - min(self._since_s.values(), default=now_s))
        self._note_alive()
        for server_id, (stored, delivery) in list(self._deliveries.items()):
            is_wanted = records.get(server_id) == stored and self._is_responsible(server_id)
            if not is_wanted or _has_failed(delivery):
                delivery.cancel()
                del self._deliveries[server_id]
        for server_id, stored in records.items():
            if server_id not in self._deliveries and self._is_responsible(server_id):
                delivery = asyncio.create_task(self._deliver(stored), name=f"notices {server_id}")
                delivery.add_done_callback(log_failure)
                self._deliveries[server_id] = (stored, delivery)

    def _note_alive(self) -> None:
        """Forgets for which servers this host is responsible if other hosts are alive now."""
        alive = {host for host in self._view.hosts if not self._is_lost(host)}
        alive.add(self._view.host_incarnation.host)
        if alive != self._alive:
            self._alive = alive
            self._responsible.clear()

    def _is_responsible(self, server_id: str) -> bool:
        if server_id not in self._responsible:
            own = self._view.host_incarnation.host
            found = is_stand_in(own, server_id, self._alive, HOSTS_PER_SERVER)
            self._responsible[server_id] = found
        return self._responsible[server_id]

    async def _deliver(self, stored: StoredNotices) -> None:
        record = stored.record
        pool = self._open_pool(record.address)
        reached = asyncio.Event()
        limit = asyncio.Semaphore(MAX_NOTICES_AT_ONCE)
        try:
            async with asyncio.TaskGroup() as group:
                for notice in record.notices:
                    group.create_task(self._tell(pool, record, notice, limit, reached))
                    # The first notice finds out when the server is reached.
                    await reached.wait()
        finally:
            pool.close()
        await self._delete(stored)

    async def _tell(
        self,
        pool: ConnectionPool,
        record: NoticeRecord,
        notice: PendingNotice,
        limit: asyncio.Semaphore,
        reached: asyncio.Event,
    ) -> None:
        """Sends one notice until the server, or another process at its address, answers it."""
        attempts: list[asyncio.Task[bool]] = []
        try:
            async with limit:
                while not any(attempt.result() for attempt in attempts if attempt.done()):
                    attempts = [attempt for attempt in attempts if not attempt.done()]
                    if self._is_over(record, notice):
                        break
                    spans = self._spans_to_tell(record, notice)
                    if spans and len(attempts) < MAX_ATTEMPTS_AT_ONCE and self._may_tell(record):
                        attempt = self._release(pool, record, spans, notice.fence, reached)
                        attempts.append(asyncio.create_task(attempt))
                    await self._wait(record, attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()
            reached.set()

    async def _wait(self, record: NoticeRecord, attempts: list[asyncio.Task[bool]]) -> None:
        """Waits until the next attempt is due, or one of the present ones succeeded."""
        since_s = self._since_s.get(record.server.server_id, self._clock.now_s())
        is_slow = self._clock.now_s() - since_s > FAST_RETRIES_S
        end_s = self._clock.now_s() + (SLOW_INTERVAL_S if is_slow else FAST_INTERVAL_S)
        waiting = set(attempts)
        while waiting and self._clock.now_s() < end_s:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=end_s - self._clock.now_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(attempt.result() for attempt in done):
                return
        await asyncio.sleep(max(0.0, end_s - self._clock.now_s()))

    async def _release(
        self,
        pool: ConnectionPool,
        record: NoticeRecord,
        spans: list[KeySpan],
        fence: int,
        reached: asyncio.Event,
    ) -> bool:
        """Sends the releases of one notice; returns whether the server needs no other."""

        def may_send() -> bool:
            reached.set()
            return self._may_tell(record)

        for span in spans:
            request = calls.release_request(record.server.server_id, *span, fence)
            try:
                answer = await pool.exchange(
                    request, NOTICE_TIMEOUT_S, may_send, calls.may_answer_release
                )
            except DispatchError as error:
                count("fence_notice_failures", error=type(error).__name__)
                return False
            if answer.status not in (calls.HTTP_OK, calls.HTTP_MISDIRECTED):
                return False
        return True

    def _may_tell(self, record: NoticeRecord) -> bool:
        """Returns whether a release hardly ends a grant that the server got since.

        A server that is listed may have been given keys by an assignment that this host lacks. A
        host that starts tells it all the same: an outdated grant would do more harm.
        """
        is_listed = record.server.server_id in self._view.servers
        if not is_listed or not self._view.assignment.version:
            return self._view.knows_entries()
        return self._view.assignment_age_s() < MAX_ASSIGNMENT_AGE_S

    def _is_over(self, record: NoticeRecord, notice: PendingNotice) -> bool:
        """Returns whether the server's process has ended, or its dispatcher tells it all keys."""
        if self._view.is_replaced(record.server, record.address):
            return True
        is_listed = record.server.server_id in self._view.servers
        is_owner = not self._spans_to_tell(record, notice)
        return is_owner and is_listed and self._may_tell(record)

    def _spans_to_tell(self, record: NoticeRecord, notice: PendingNotice) -> list[KeySpan]:
        """Returns the keys of a notice that the server does not own."""
        owned = self._view.assignment.key_ranges_of(record.service, record.server.server_id)
        return without_all([notice.span], [key_range.span for key_range in owned])

    async def _delete(self, stored: StoredNotices) -> None:
        """Deletes a delivered record unless it was changed meanwhile."""
        server_id = stored.record.server.server_id
        age_s = self._clock.now_s() - self._since_s.get(server_id, self._clock.now_s())
        count("pending_notices", change="delivered")
        log.info(
            "Former owner of keys was told of all newer fencing tokens, or has ended.",
            extra={
                "server": server_id,
                "notices": len(stored.record.notices),
                "known_for_s": round(age_s, 3),
            },
        )
        key = NOTICES_PREFIX + server_id
        while True:
            deleted = await self._store.txn({key: stored.revision}, [], [key])
            if not isinstance(deleted, Err):
                return
            await asyncio.sleep(DELETE_RETRY_S)


def _has_failed(delivery: asyncio.Task[None]) -> bool:
    """Returns whether a delivery ended by an error, so that it has to begin again."""
    return delivery.done() and not delivery.cancelled() and delivery.exception() is not None
