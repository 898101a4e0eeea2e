"""Follows the keys of the store with a prefix: reads all of them, then watches for changes."""

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

# Duration of a watch as a share of the time for which the store keeps changes. After a longer
# watch, the revision to continue from could already be dropped from the store's history.
WATCH_RETENTION_SHARE = 0.7
DEFAULT_RETENTION_S = 20.0
# Delay between watch calls, so that one call reads several changes. It grows with the number of
# hosts that watch, so that the number of calls grows more slowly than the number of hosts.
BATCH_DELAY_S = 0.12
MAX_BATCH_DELAY_S = 0.5
HOSTS_PER_BATCH_DELAY = 12
# A watch that begins while the store drops its history may miss changes. All keys are therefore
# read again this long after a watch failed.
RESYNC_DELAY_S = 1.5
# Running servers have written their entries again within this time after a store outage.
OUTAGE_RECOVERY_GRACE_S = 2.2


class PrefixWatcher:
    """Keeps a copy of all keys with a prefix.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        on_put: Called with each new or changed key-value.
        on_delete: Called with each deleted key.
        clock: Clock that counts suspended time.
        keep_through_outage: Whether keys that are deleted during an outage are kept until
            ``OUTAGE_RECOVERY_GRACE_S`` after it.
        host_count: Number of hosts that follow the prefix.
        batch: Context manager entered around the calls for all changes of one answer.
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
        self._keep_through_outage = keep_through_outage
        self._host_count = host_count
        self._batch = batch
        self._watch_timeout_s = WATCH_RETENTION_SHARE * retention_s
        self._revisions: dict[str, int] = {}
        self._pending_removals: dict[str, asyncio.TimerHandle] = {}
        self._task: asyncio.Task | None = None
        self._reachable_since_s = -math.inf
        self._resync_s = math.inf
        self._unreachable = False
        self.loaded = asyncio.Event()

    def is_current(self, key: str) -> bool:
        """Returns whether the store has a key now and no change of it can have been missed.

        This is false until ``OUTAGE_RECOVERY_GRACE_S`` after an outage, since the writers of the
        keys may not have written their current state yet.
        """
        if self._unreachable or self._resync_s != math.inf:
            return False
        if self._clock.now_s() < self._reachable_since_s + OUTAGE_RECOVERY_GRACE_S:
            return False
        return key in self._revisions and key not in self._pending_removals

    def start(self) -> None:
        """Starts the task that reads and watches the keys."""
        self._task = asyncio.create_task(self._run(), name=f"follow {self._prefix}")

    def close(self) -> None:
        """Stops the task and the timers of pending removals."""
        if self._task is not None:
            self._task.cancel()
        for timer in self._pending_removals.values():
            timer.cancel()

    async def _run(self) -> None:
        backoff = Backoff()
        revision: int | None = None
        while True:
            await backoff.wait()
            if revision is None or self._clock.now_s() >= self._resync_s:
                revision = await self._read_all()
            else:
                revision = await self._read_changes(revision)
            if self._unreachable:
                backoff.record_failure()
            else:
                backoff.reset()

    async def _read_all(self) -> int | None:
        read = await self._store.range(self._prefix)
        if isinstance(read, Err):
            self._note_unreachable(read.err_value)
            return None
        self._note_reachable()
        if self._clock.now_s() >= self._resync_s:
            self._resync_s = math.inf
        found = {key_value.key for key_value in read.ok_value.key_values}
        with self._batch():
            for key_value in read.ok_value.key_values:
                self._put(key_value)
            for key in [key for key in self._revisions if key not in found]:
                self._delete(key, read.ok_value.revision)
        self.loaded.set()
        return read.ok_value.revision

    async def _read_changes(self, revision: int) -> int | None:
        timeout_s = min(self._watch_timeout_s, max(0.0, self._resync_s - self._clock.now_s()))
        read = await self._store.watch(self._prefix, revision, timeout_s)
        if isinstance(read, Err):
            self._resync_s = self._clock.now_s() + RESYNC_DELAY_S
            if isinstance(read.err_value, StoreCompactedError):
                log.info(
                    "Store history was compacted; reading all keys again.",
                    extra={"prefix": self._prefix},
                )
                return None
            self._note_unreachable(read.err_value)
            return None
        self._note_reachable()
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
        """Returns the delay before the next watch call, in which changes accumulate."""
        return min(
            MAX_BATCH_DELAY_S, BATCH_DELAY_S * max(1.0, self._host_count() / HOSTS_PER_BATCH_DELAY)
        )

    def _put(self, key_value: KeyValue) -> None:
        timer = self._pending_removals.pop(key_value.key, None)
        if timer is not None:
            timer.cancel()
        if key_value.mod_revision <= self._revisions.get(key_value.key, 0):
            return
        self._revisions[key_value.key] = key_value.mod_revision
        self._on_put(key_value)

    def _delete(self, key: str, revision: int) -> None:
        if revision < self._revisions.get(key, 0):
            return
        grace_s = self._reachable_since_s + OUTAGE_RECOVERY_GRACE_S - self._clock.now_s()
        if self._keep_through_outage and grace_s > 0:
            if key not in self._pending_removals:
                loop = asyncio.get_running_loop()
                self._pending_removals[key] = loop.call_later(grace_s, self._remove, key)
            return
        self._remove(key)

    def _remove(self, key: str) -> None:
        self._pending_removals.pop(key, None)
        if self._revisions.pop(key, None) is not None:
            self._on_delete(key)

    def _note_unreachable(self, error: Exception) -> None:
        if not self._unreachable:
            log.warning(
                "Store is unreachable; retrying.",
                extra={"prefix": self._prefix, "error": str(error)},
            )
            count("store_lost")
        self._unreachable = True

    def _note_reachable(self) -> None:
        if self._unreachable:
            log.info("Store is reachable again.", extra={"prefix": self._prefix})
            self._reachable_since_s = self._clock.now_s()
        self._unreachable = False
