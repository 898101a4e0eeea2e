"""The copy of the store's keys with a prefix that a host keeps."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.gateway.held_back import HeldBackKeys
    from greengagefall.platform.store import KeyValue

log = logging.getLogger(__name__)

# Keys in one log line.
MAX_LOGGED_KEYS = 10
# Deletions that are remembered, so that they can be passed on to other hosts.
MAX_DELETIONS = 2000


class PrefixChanges(NamedTuple):
    """Changes of the keys with a prefix.

    Attributes:
        revision: Revision of the store up to which the keys are known.
        complete: Whether ``puts`` holds all keys, also unchanged ones.
        puts: New and changed keys.
        deletions: Deleted keys with the revision of their deletion.
    """

    revision: int
    complete: bool
    puts: list[KeyValue]
    deletions: list[tuple[str, int]]


class FollowedKeys:
    """The known keys with a prefix, and the deletions that other hosts may not know yet.

    Args:
        prefix: Prefix of the keys.
        on_put: Called with each new or changed key-value.
        on_delete: Called with each deleted key.
        held_back: The keys that are not applied yet after a restore of the store.
        keep_s: Returns for how long from now a deleted key is kept, 0 or less for not at all.

    Attributes:
        last_change: Revision of the last known change of a key.
    """

    def __init__(
        self,
        prefix: str,
        on_put: Callable[[KeyValue], None],
        on_delete: Callable[[str], None],
        held_back: HeldBackKeys,
        keep_s: Callable[[], float],
    ) -> None:
        self.last_change = 0
        self._prefix = prefix
        self._on_put = on_put
        self._on_delete = on_delete
        self._held_back = held_back
        self._keep_s = keep_s
        self._key_values: dict[str, KeyValue] = {}
        self._deletions: dict[str, int] = {}
        self._complete_since = 0
        self._pending_removals: dict[str, asyncio.TimerHandle] = {}

    def close(self) -> None:
        """Stops the timers of pending removals."""
        for timer in self._pending_removals.values():
            timer.cancel()

    def is_settled(self, key: str) -> bool:
        """Returns whether a key is known and neither about to be removed nor held back."""
        unsettled = key in self._pending_removals or key in self._held_back.keys
        return key in self._key_values and not unsettled

    def changes_since(self, revision: int, known_revision: int) -> PrefixChanges:
        """Returns the changes after a revision; all keys if the deletions are not known.

        Args:
            revision: The revision.
            known_revision: Revision up to which the keys are known.
        """
        complete = revision < self._complete_since or not revision
        puts = [
            key_value
            for key_value in self._key_values.values()
            if (complete or key_value.mod_revision > revision)
            and key_value.key not in self._pending_removals
        ]
        deletions = [
            (key, deleted)
            for key, deleted in self._deletions.items()
            if not complete and deleted > revision
        ]
        return PrefixChanges(known_revision, complete, puts, deletions)

    def apply(self, changes: PrefixChanges) -> None:
        """Applies changes, except what looks like an earlier state after a restore."""
        if changes.complete:
            self._apply_all(changes)
            return
        for key_value in changes.puts:
            self.put(key_value)
        for key, revision in changes.deletions:
            self.delete(key, revision)

    def note_known(self, revision: int) -> None:
        """Records up to which revision the keys are known."""
        if not self._complete_since:
            self._complete_since = revision

    def put(self, key_value: KeyValue) -> None:
        """Applies a new or changed key."""
        timer = self._pending_removals.pop(key_value.key, None)
        if timer is not None:
            timer.cancel()
        known = self._key_values.get(key_value.key)
        if known is not None and key_value.mod_revision <= known.mod_revision:
            return
        self._deletions.pop(key_value.key, None)
        self._held_back.note_put(key_value.key)
        self._key_values[key_value.key] = key_value
        self.last_change = max(self.last_change, key_value.mod_revision)
        unchanged = known is not None and not known.mod_revision and known.value == key_value.value
        if not unchanged:
            self._report(key_value.key, partial(self._on_put, key_value))

    def delete(self, key: str, revision: int) -> None:
        """Applies the deletion of a key."""
        known = self._key_values.get(key)
        if known is None or revision < known.mod_revision:
            return
        self._note_deletion(key, revision)
        self._held_back.note_deletion(key)
        keep_s = self._keep_s()
        if keep_s > 0:
            if key not in self._pending_removals:
                loop = asyncio.get_running_loop()
                self._pending_removals[key] = loop.call_later(keep_s, self._remove, key)
            return
        self._remove(key)

    def forget_revisions(self) -> None:
        """Keeps the keys, but no revision, since the store gives revisions out again."""
        self._held_back.begin_grace(self._deletions)
        self._key_values = {
            key: known._replace(mod_revision=0) for key, known in self._key_values.items()
        }
        self._deletions.clear()
        self._complete_since = 0
        self.last_change = 0

    def _apply_all(self, changes: PrefixChanges) -> None:
        """Applies a read of all keys."""
        found = {key_value.key: key_value for key_value in changes.puts}
        missing = self._key_values.keys() - found.keys()
        self._held_back.choose(self._key_values, found)
        if self._held_back.keys:
            log.info(
                "Keys that look older than known after a restore are left as they are for now.",
                extra={
                    "prefix": self._prefix,
                    "keys": sorted(self._held_back.keys)[:MAX_LOGGED_KEYS],
                },
            )
        for key, key_value in found.items():
            if key not in self._held_back.keys:
                self.put(key_value)
        for key in missing - self._held_back.keys:
            self.delete(key, changes.revision)

    def _remove(self, key: str) -> None:
        self._pending_removals.pop(key, None)
        if self._key_values.pop(key, None) is not None:
            self._report(key, partial(self._on_delete, key))

    def _report(self, key: str, call: Callable[[], None]) -> None:
        """Reports a change of a key; an error must not keep those of other keys from arriving."""
        try:
            call()
        except Exception:
            log.exception("A change of a key could not be applied.", extra={"key": key})
            count("record_errors", prefix=self._prefix)

    def _note_deletion(self, key: str, revision: int) -> None:
        self._deletions.setdefault(key, revision)
        self.last_change = max(self.last_change, revision)
        while len(self._deletions) > MAX_DELETIONS:
            oldest = next(iter(self._deletions))
            self._complete_since = max(self._complete_since, self._deletions.pop(oldest))
