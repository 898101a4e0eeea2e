"""Holds back keys that a restored store shows in what looks like an earlier state."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from greengagefall.platform.store import KeyValue
    from greengagefall.utils.clock import Clock


class HeldBackKeys:
    """Keeps the keys that are held back, and since when.

    Args:
        clock: Clock that counts suspended time.
        reverts: Returns whether the value that the store has of a key after a restore, None for
            none, looks like an earlier state than the known one, None for a withdrawn key.
        grace_s: Time after a restore within which such a state is not applied.

    Attributes:
        keys: The keys that are held back.
        restored_s: When the last restore was noticed, ``-math.inf`` if none counts any more.
    """

    def __init__(
        self,
        clock: Clock,
        reverts: Callable[[KeyValue | None, KeyValue | None], bool],
        grace_s: float,
    ) -> None:
        self._clock = clock
        self._reverts = reverts
        self._grace_s = grace_s
        self._withdrawn: set[str] = set()
        self.keys: set[str] = set()
        self.restored_s = -math.inf

    def begin_grace(self, withdrawn: Iterable[str]) -> None:
        """Notes a restore, and the keys that were withdrawn before it."""
        self.restored_s = self._clock.now_s()
        self._withdrawn = set(withdrawn)

    def end_grace(self) -> None:
        """Has later reads apply in full; the keys that are held back stay so until one."""
        self.restored_s = -math.inf

    def next_read_s(self) -> float:
        """Returns when the keys that are held back have to be read again."""
        return self.restored_s + self._grace_s if self.keys else math.inf

    def choose(self, known: Mapping[str, KeyValue], found: Mapping[str, KeyValue]) -> None:
        """Holds back exactly what looks like an earlier state in a read of all keys."""
        self.keys = {
            key
            for key in known.keys() | found.keys()
            if self._is_earlier_state(key, known.get(key), found.get(key))
        }

    def _is_earlier_state(self, key: str, known: KeyValue | None, found: KeyValue | None) -> bool:
        """Returns whether what the store has of a key may be from before the known state."""
        if self._clock.now_s() >= self.restored_s + self._grace_s:
            return False
        written_since = known is not None and known.mod_revision > 0
        if written_since or (known is None and key not in self._withdrawn):
            return False
        return self._reverts(known, found)

    def note_put(self, key: str) -> None:
        """Notes that a value of a key was applied."""
        self._withdrawn.discard(key)
        self.keys.discard(key)

    def note_deletion(self, key: str) -> None:
        """Notes that the deletion of a key was applied."""
        self.keys.discard(key)

    def release(self) -> None:
        """Holds back no key any more."""
        self.keys = set()
