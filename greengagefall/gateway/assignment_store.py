"""Reads and writes the assignment in the store on behalf of the coordinator.

Each write is conditional on the revision before it. Revisions count only until the store is
restored from an older copy: it then gives them out again, and what it holds may be older than what
hosts know. The stored value therefore tells after how many restores it was written.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from result import Err

from greengagefall.gateway.records import ASSIGNMENT_KEY
from greengagefall.ownership import rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.model import UNKNOWN_RESTORES
from greengagefall.platform.store import Put
from greengagefall.store.exceptions import StoreOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from greengagefall.ownership.model import Assignment, HostIncarnation
    from greengagefall.platform.store import PlatformStore

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.2
# The store's count before its first restore.
FIRST_RESTORES = 1
# Delay after a write that certainly failed.
WRITE_RETRY_DELAY_S = 0.5


class StoredAssignment(NamedTuple):
    """An assignment as the store holds it.

    Attributes:
        assignment: The assignment.
        restores: Restores of the store since it was written; hosts may know a newer one if there
            were any.
    """

    assignment: Assignment
    restores: int


class AssignmentStore:
    """The stored assignment, as one coordinator reads and writes it.

    Args:
        store: The store.
        writer: The host that writes.
        known_restores: Returns the restores of the store that the rest of the host knows of.
    """

    def __init__(
        self, store: PlatformStore, writer: HostIncarnation, known_restores: Callable[[], int]
    ) -> None:
        self._store = store
        self._writer = writer
        self._known_restores = known_restores
        self._revision = 0
        self._restores = UNKNOWN_RESTORES

    @property
    def restores(self) -> int:
        """All restores of the store, as of the last read."""
        return self._restores

    @property
    def restored(self) -> bool:
        """Whether the store was restored since the last read or write."""
        return max(self._store.restores, self._known_restores()) > self._restores

    async def read(self) -> StoredAssignment:
        """Reads the assignment; retries until the store returns a valid one."""
        while True:
            read = await self._store.get(ASSIGNMENT_KEY)
            if isinstance(read, Err):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            key_value = read.ok_value
            try:
                stored = rows.decode_stored(key_value.value if key_value else b"")
            except AssignmentError as error:
                log.error(
                    "Stored assignment is malformed; reading it again.",
                    extra={"error": str(error)},
                )
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._revision = key_value.mod_revision if key_value else 0
            self._restores = self._store.restores
            if key_value is None:
                # The copy may be from before the first assignment was written.
                restores = max(0, self._restores - FIRST_RESTORES)
            else:
                restores = restores_since(stored, self._restores)
            return StoredAssignment(stored.assignment, restores)

    async def write(self, assignment: Assignment, more: Sequence[Put] = ()) -> bool:
        """Writes an assignment and retries until the outcome of the write is known.

        Args:
            assignment: The assignment.
            more: What is written together with it.

        Returns:
            Whether it was written. If not, the write certainly failed, another writer changed the
            assignment, or the store was restored.
        """
        value = rows.encode(
            assignment, f"{self._writer.host}/{self._writer.start_ms}", self._restores
        )
        write = Put(ASSIGNMENT_KEY, value)
        while not self.restored:
            done = await self._store.txn({ASSIGNMENT_KEY: self._revision}, [write, *more])
            if not isinstance(done, Err) and done.ok_value is not None:
                self._revision = done.ok_value
                return True
            unknown = isinstance(done, Err) and isinstance(done.err_value, StoreOutcomeUnknownError)
            if isinstance(done, Err) and not unknown:
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
                return False
            read = await self._store.get(ASSIGNMENT_KEY)
            if isinstance(read, Err):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            found = read.ok_value
            if self.restored:
                break
            if (found.mod_revision if found else 0) == self._revision:
                # The write has not been applied so far. Repeating it is safe: the condition on the
                # revision lets only one of the writes succeed.
                continue
            if found is not None and found.value == value:
                self._revision = found.mod_revision
                return True
            log.warning("Another writer changed the assignment; reading it again from the store.")
            return False
        return False


def restores_since(stored: rows.StoredRows, restores: int) -> int:
    """Returns how often the store was restored since a value was written, 0 if unknown.

    Args:
        stored: The decoded value.
        restores: Restores of the store until now.
    """
    if stored.restores == UNKNOWN_RESTORES:
        return 0
    return max(0, restores - stored.restores)
