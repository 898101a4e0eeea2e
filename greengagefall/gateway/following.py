"""Follows the keys of the store with a prefix: reads all of them, then watches for changes.

While another host passes the changes on, a host does not watch by itself; see
``relay_following``.
"""

from __future__ import annotations

import asyncio
import logging
import math
from contextlib import nullcontext
from typing import TYPE_CHECKING

from result import Err

from greengagefall.gateway.followed_keys import FollowedKeys, PrefixChanges
from greengagefall.gateway.held_back import HeldBackKeys
from greengagefall.gateway.reachability import StoreReachability
from greengagefall.gateway.watch_call import WatchCall
from greengagefall.ownership.model import UNKNOWN_RESTORES
from greengagefall.store.backoff import Backoff
from greengagefall.store.exceptions import (
    StoreCompactedError,
    StoreConnectionLostError,
    StoreError,
    StoreUnavailableError,
)
from greengagefall.utils.supervision import start_supervised

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
# Time after a restore in which the store may still show what was withdrawn since its copy was made,
# by default and as a number of heartbeats: the store drops entries after three without one.
DEFAULT_RESTORE_GRACE_S = 3.5
RESTORE_GRACE_HEARTBEATS = 4.0


class _WatchRefreshedError(StoreError):
    """This host ended its watch to read all keys."""


def _never_reverts(known: KeyValue | None, found: KeyValue | None) -> bool:
    return False


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
        reverts: Returns whether the value that the store has of a key after a restore, None for
            none, looks like an earlier state than the known one, None for a withdrawn key. Such a
            state is not applied within ``restore_grace_s`` after the restore.
        restore_grace_s: Time in which the writers of withdrawn keys withdraw them again.
        batch: Context manager entered around the calls for all changes of one answer.
        retention_s: How long the store keeps changes.

    Attributes:
        on_change: Called after each change of the keys or of the known revision.
        revision: Revision of the store up to which the keys are known; 0 before the first read.
        restores: Restores of the store up to which the revisions count, ``UNKNOWN_RESTORES`` if it
            does not tell.
        loaded: Set once all keys were read.
        prefix: The prefix.
        proved_s: Time at which this host certainly knew all changes, by the newest proof.
        max_proof_age_s: Age of a proof after which this host may have missed changes.
        max_watch_s: Returns the longest duration of a watch that begins now.
        refreshing: Whether this host is about to read what it may have missed since ``proved_s``.
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
        reverts: Callable[[KeyValue | None, KeyValue | None], bool] = _never_reverts,
        restore_grace_s: float = DEFAULT_RESTORE_GRACE_S,
        host_count: Callable[[], int] = lambda: 1,
        batch: Callable[[], AbstractContextManager[None]] = nullcontext,
        retention_s: float = DEFAULT_RETENTION_S,
    ) -> None:
        self._store = store
        self.prefix = prefix
        self._clock = clock
        self._keep_through_outage = keep_through_outage
        self._held_back = HeldBackKeys(clock, reverts, restore_grace_s)
        self._keys = FollowedKeys(prefix, on_put, on_delete, self._held_back, self._keep_s)
        self._host_count = host_count
        self._batch = batch
        self._watch_timeout_s = WATCH_RETENTION_SHARE * retention_s
        self._task: asyncio.Task | None = None
        self._watch_call = WatchCall()
        self._reachability = StoreReachability(prefix, clock)
        self._resync_s = math.inf
        self._watching = False
        self.on_change: Callable[[], None] = lambda: None
        self.revision = 0
        self.restores = UNKNOWN_RESTORES
        self.loaded = asyncio.Event()
        self.proved_s = -math.inf
        self.max_proof_age_s = math.inf
        self.max_watch_s: Callable[[], float] = lambda: math.inf
        self.refreshing = False

    @property
    def watching(self) -> bool:
        """Whether this host itself watches the keys and a recent proof covers what it knows."""
        is_settled = self._resync_s == math.inf and not self._held_back.keys
        return self._watching and is_settled and not self._is_proof_outdated()

    @property
    def following(self) -> bool:
        """Whether this host reads and watches the keys itself and has read them."""
        return self._task is not None and self.loaded.is_set()

    @property
    def last_change(self) -> int:
        """Revision of the last known change of a key."""
        return self._keys.last_change

    @property
    def reachable_since_s(self) -> float:
        """When the store was reached again after the last outage."""
        return self._reachability.since_s

    def is_current(self, key: str) -> bool:
        """Returns whether the store has a key, as far as a recent proof covers.

        This is false until ``OUTAGE_RECOVERY_GRACE_S`` after an outage, since the writers of the
        keys may not have written their current state yet.
        """
        if not self._reachability.reached or self._resync_s != math.inf:
            return False
        if self._is_proof_outdated() or self._clock.now_s() < self._grace_ends_s():
            return False
        return self._keys.is_settled(key)

    def start(self) -> None:
        """Starts the task that reads and watches the keys, unless it runs."""
        if self._task is None:
            self._task = start_supervised(self._run, f"follow {self.prefix}", self._on_failure)

    def pause(self) -> None:
        """Stops watching; the known keys stay."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._watching = False
        self.refreshing = False
        self._resync_s = math.inf
        if self._held_back.keys:
            # Has a relay send all keys, those that were held back included.
            self._held_back.release()
            self.revision = 0

    def close(self) -> None:
        """Stops the task and the timers of pending removals."""
        self.pause()
        self._keys.close()

    def _on_failure(self) -> None:
        """Counts nothing as current until all keys were read again."""
        self._watching = False
        self._resync_s = self._clock.now_s()

    async def _run(self) -> None:
        backoff = Backoff()
        revision: int | None = None
        while True:
            await backoff.wait()
            if revision is None or self._clock.now_s() >= self._next_full_read_s():
                revision = await self._read_all()
            else:
                revision = await self._read_changes(revision)
            if self._reachability.reached:
                backoff.reset()
            else:
                backoff.record_failure()

    async def _read_all(self) -> int | None:
        started_s = self._clock.now_s()
        read = await self._store.range(self.prefix)
        if isinstance(read, Err):
            self._watching = False
            self._reachability.note_failure(read.err_value)
            return None
        self._reachability.note_answer()
        if self._clock.now_s() >= self._resync_s:
            self._resync_s = math.inf
        self._note_restores(self._store.restores)
        revision = read.ok_value.revision
        self._apply(PrefixChanges(revision, True, read.ok_value.key_values, []))
        self.refreshing = False
        self.note_proof(started_s)
        self._watching = True
        return revision

    def _next_full_read_s(self) -> float:
        """Returns when all keys have to be read again, apart from failures."""
        return min(self._resync_s, self._held_back.next_read_s())

    async def _read_changes(self, revision: int) -> int | None:
        remaining_s = self._next_full_read_s() - self._clock.now_s()
        # Until all keys were read again, an answer to a watch proves nothing.
        max_watch_s = self.max_watch_s() if self._resync_s == math.inf else math.inf
        timeout_s = min(self._watch_timeout_s, max_watch_s, max(0.0, remaining_s))
        started_s = self._clock.now_s()
        read = await self._watch_call.run(self._store.watch(self.prefix, revision, timeout_s))
        if isinstance(read, Err):
            if isinstance(read.err_value, _WatchRefreshedError):
                return None
            self._watching = False
            self._resync_s = self._clock.now_s() + RESYNC_DELAY_S
            if isinstance(read.err_value, StoreCompactedError):
                log.info(
                    "Store history was compacted; reading all keys again.",
                    extra={"prefix": self.prefix},
                )
                return None
            if not isinstance(read.err_value, StoreConnectionLostError):
                # A watch that was cut is no outage unless the read that follows fails, too.
                self._reachability.note_failure(read.err_value)
            return None
        self._reachability.note_answer()
        if self._store.restores != self.restores:
            # The store's history does not continue at the revision that was asked for.
            self._watching = False
            self._resync_s = self._clock.now_s() + RESYNC_DELAY_S
            return None
        events = read.ok_value.events
        self._note_watch_proof(started_s, 0.0 if events else timeout_s)
        with self._batch():
            for change in events:
                if change.deleted:
                    self._keys.delete(change.key_value.key, change.key_value.mod_revision)
                else:
                    self._keys.put(change.key_value)
        self._advance(read.ok_value.revision)
        if events:
            await asyncio.sleep(self.batch_delay_s())
        return read.ok_value.revision

    def _note_watch_proof(self, started_s: float, quiet_s: float) -> None:
        """Notes what the answer to a watch proves.

        Args:
            started_s: When the watch was sent.
            quiet_s: For how long the store certainly had no change after it got the watch.
        """
        if self._resync_s == math.inf:
            self.note_proof(min(started_s + quiet_s, self._clock.now_s()))

    def note_proof(self, proved_s: float) -> None:
        """Notes that this host certainly knew all changes at a time."""
        self.proved_s = max(self.proved_s, proved_s)

    def _is_proof_outdated(self) -> bool:
        return self._clock.now_s() - self.proved_s > self.max_proof_age_s

    def give_up_watch(self) -> None:
        """Begins anew, since the store does not answer and the present watch may be lost."""
        self._watch_call.give_up(StoreUnavailableError("the watch was given up"))

    def refresh(self) -> bool:
        """Ends the present watch and reads all keys; returns whether there was one."""
        given_up = self._watch_call.give_up(_WatchRefreshedError("the watch was refreshed"))
        self.refreshing = self.refreshing or given_up
        return given_up

    def changes_since(self, revision: int) -> PrefixChanges:
        """Returns the changes after a revision; all keys if the deletions are not known."""
        return self._keys.changes_since(revision, self.revision)

    def apply_relayed(
        self,
        changes: PrefixChanges,
        reachable_since_s: float,
        restores: int = UNKNOWN_RESTORES,
    ) -> None:
        """Applies changes that another host passed on.

        Args:
            changes: The changes since ``revision``, or all keys after a restore.
            reachable_since_s: When that host reached the store again after its last outage.
            restores: Restores of the store, as that host knows them.
        """
        self._reachability.note_answer()
        if restores > self.restores:
            self._note_restores(restores)
        # A relay passes keys on only once none is held back.
        self._held_back.end_grace()
        self._reachability.since_s = max(self._reachability.since_s, reachable_since_s)
        if changes.revision >= self.revision:
            self._apply(changes)

    def _apply(self, changes: PrefixChanges) -> None:
        with self._batch():
            self._keys.apply(changes)
        self._advance(changes.revision)
        self.loaded.set()

    def _advance(self, revision: int) -> None:
        self._keys.note_known(revision)
        self.revision = max(self.revision, revision)
        self.on_change()

    def batch_delay_s(self) -> float:
        """Returns the delay before the next watch call, in which changes accumulate."""
        return min(
            MAX_BATCH_DELAY_S, BATCH_DELAY_S * max(1.0, self._host_count() / HOSTS_PER_BATCH_DELAY)
        )

    def _keep_s(self) -> float:
        """Returns for how long a deleted key is kept, as its writer may not have written again."""
        if not self._keep_through_outage:
            return 0.0
        return self._grace_ends_s() - self._clock.now_s()

    def _grace_ends_s(self) -> float:
        """Returns when the writers of the keys have written their current state again."""
        return max(self._reachability.since_s, self._held_back.restored_s) + OUTAGE_RECOVERY_GRACE_S

    def _note_restores(self, restores: int) -> None:
        """Forgets all revisions if the store was restored since they were read."""
        before, self.restores = self.restores, restores
        if before in (UNKNOWN_RESTORES, restores):
            return
        log.warning(
            "Reading all keys again, since the store was restored.",
            extra={"prefix": self.prefix, "restores": restores, "revision": self.revision},
        )
        self._keys.forget_revisions()
        self.revision = 0
