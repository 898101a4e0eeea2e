"""Follows keys of the store with a prefix: one read of all, then watches."""

from __future__ import annotations

import asyncio
import logging
import math
from contextlib import nullcontext
from typing import TYPE_CHECKING

from result import Err

from greengagefall.store.backoff import Backoff
from greengagefall.store.exceptions import StoreCompactedError
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from greengagefall.platform.store import KeyValue, PlatformStore
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# Part of the time for which the store keeps changes that a watch lasts; a longer one could not be
# followed by another.
WATCH_RETENTION_SHARE = 0.7
DEFAULT_RETENTION_S = 20.0
# Changes that come close together are read by one call. The more hosts watch, the longer each
# waits, so that calls grow more slowly than the fleet.
BATCH_DELAY_S = 0.12
MAX_BATCH_DELAY_S = 0.5
HOSTS_PER_BATCH_DELAY = 12
# A watch that begins while the store drops its history may miss changes; all keys are read once
# more this long after a watch broke.
RESYNC_DELAY_S = 1.5
# After the store was away, entries of servers that live are back within this time.
OUTAGE_RECOVERY_GRACE_S = 2.2


class PrefixWatcher:
    """Keeps a copy of all keys with a prefix.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        on_put: Called with each new or changed item.
        on_delete: Called with each key that went.
        clock: Clock that counts suspended time.
        keep_through_outage: Whether keys that vanish during an outage are kept until
            ``OUTAGE_RECOVERY_GRACE_S`` after it.
        host_count: Number of hosts that follow the prefix.
        batch: Entered around the calls for all items of one answer.
        retention_s: How long the store keeps changes.
    """

    def __init__(
        self,
        store: PlatformStore,
        prefix: str,
        on_put: Callable[[KeyValue], None],
        on_delete: Callable[[str], None],
        clock: Clock,
        *,
        keep_through_outage: bool = False,
        host_count: Callable[[], int] = lambda: 1,
        batch: Callable[[], AbstractContextManager[None]] = nullcontext,
        retention_s: float = DEFAULT_RETENTION_S,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_put = on_put
        self._on_delete = on_delete
        self._clock = clock
        self._keep_lapsed = keep_through_outage
        self._host_count = host_count
        self._batch = batch
        self._wait_s = WATCH_RETENTION_SHARE * retention_s
        self._revisions: dict[str, int] = {}
        self._lapsed: dict[str, asyncio.TimerHandle] = {}
        self._task: asyncio.Task | None = None
        self._back_s = -math.inf
        self._check_s = math.inf
        self._lost = False
        self.loaded = asyncio.Event()

    def is_current(self, key: str) -> bool:
        """Returns whether the store has a key now and no change of it can have been missed.

        Until ``OUTAGE_RECOVERY_GRACE_S`` after an outage, those who write the keys may not have
        told yet what became of them meanwhile.
        """
        if self._lost or self._check_s != math.inf:
            return False
        if self._clock.now_s() < self._back_s + OUTAGE_RECOVERY_GRACE_S:
            return False
        return key in self._revisions and key not in self._lapsed

    def start(self) -> None:
        """Begins to follow."""
        self._task = asyncio.create_task(self._run(), name=f"follow {self._prefix}")

    def close(self) -> None:
        """Stops."""
        if self._task is not None:
            self._task.cancel()
        for timer in self._lapsed.values():
            timer.cancel()

    async def _run(self) -> None:
        backoff = Backoff()
        revision: int | None = None
        while True:
            await backoff.wait()
            if revision is None or self._clock.now_s() >= self._check_s:
                revision = await self._read_all()
            else:
                revision = await self._read_changes(revision)
            if self._lost:
                backoff.record_failure()
            else:
                backoff.reset()

    async def _read_all(self) -> int | None:
        read = await self._store.range(self._prefix)
        if isinstance(read, Err):
            self._note_lost(read.err_value)
            return None
        self._note_back()
        if self._clock.now_s() >= self._check_s:
            self._check_s = math.inf
        found = {item.key for item in read.ok_value.key_values}
        with self._batch():
            for item in read.ok_value.key_values:
                self._put(item)
            for key in [key for key in self._revisions if key not in found]:
                self._delete(key, read.ok_value.revision)
        self.loaded.set()
        return read.ok_value.revision

    async def _read_changes(self, revision: int) -> int | None:
        wait_s = min(self._wait_s, max(0.0, self._check_s - self._clock.now_s()))
        read = await self._store.watch(self._prefix, revision, wait_s)
        if isinstance(read, Err):
            self._check_s = self._clock.now_s() + RESYNC_DELAY_S
            if isinstance(read.err_value, StoreCompactedError):
                log.info(
                    "Store history was compacted; reading all keys again.",
                    extra={"prefix": self._prefix},
                )
                return None
            self._note_lost(read.err_value)
            return None
        self._note_back()
        with self._batch():
            for change in read.ok_value.events:
                if change.deleted:
                    self._delete(change.key_value.key, change.key_value.mod_revision)
                else:
                    self._put(change.key_value)
        if read.ok_value.events:
            await asyncio.sleep(self.batch_delay_s())
        return read.ok_value.revision

    def batch_delay_s(self) -> float:
        """Returns how long changes are gathered before the next call."""
        return min(
            MAX_BATCH_DELAY_S, BATCH_DELAY_S * max(1.0, self._host_count() / HOSTS_PER_BATCH_DELAY)
        )

    def _put(self, item: KeyValue) -> None:
        timer = self._lapsed.pop(item.key, None)
        if timer is not None:
            timer.cancel()
        if item.mod_revision <= self._revisions.get(item.key, 0):
            return
        self._revisions[item.key] = item.mod_revision
        self._on_put(item)

    def _delete(self, key: str, revision: int) -> None:
        if revision < self._revisions.get(key, 0):
            return
        grace_s = self._back_s + OUTAGE_RECOVERY_GRACE_S - self._clock.now_s()
        if self._keep_lapsed and grace_s > 0:
            if key not in self._lapsed:
                loop = asyncio.get_running_loop()
                self._lapsed[key] = loop.call_later(grace_s, self._drop, key)
            return
        self._drop(key)

    def _drop(self, key: str) -> None:
        self._lapsed.pop(key, None)
        if self._revisions.pop(key, None) is not None:
            self._on_delete(key)

    def _note_lost(self, error: Exception) -> None:
        if not self._lost:
            log.warning(
                "Store is unreachable; retrying.",
                extra={"prefix": self._prefix, "error": str(error)},
            )
            count("store_lost")
        self._lost = True

    def _note_back(self) -> None:
        if self._lost:
            log.info("Store is reachable again.", extra={"prefix": self._prefix})
            self._back_s = self._clock.now_s()
        self._lost = False
