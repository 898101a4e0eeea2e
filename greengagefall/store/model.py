"""Values that go into and come out of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from result import Result

    from greengagefall.store.exceptions import StoreError

COMPARE_CREATE = "CREATE"
COMPARE_MOD = "MOD"
COMPARE_VERSION = "VERSION"
COMPARE_VALUE = "VALUE"

EVENT_PUT = "put"
EVENT_DELETE = "delete"


class KeyValue(NamedTuple):
    """A key with its parsed value and revisions.

    Attributes:
        key: The key.
        value: The parsed JSON object; empty for a deleted key.
        mod_revision: Revision of its last change.
        create_revision: Revision in which it was created.
        lease_id: Lease that it goes with, or 0.
    """

    key: str
    value: dict[str, Any]
    mod_revision: int
    create_revision: int
    lease_id: int


class Compare(NamedTuple):
    """A condition of a transaction.

    Attributes:
        key: The key.
        target: ``CREATE``, ``MOD``, ``VERSION`` or ``VALUE``.
        operand: Number, or for ``VALUE`` the JSON object.
        relation: ``EQUAL``, ``NOT_EQUAL``, ``GREATER`` or ``LESS``.
    """

    key: str
    target: str
    operand: Any
    relation: str = "EQUAL"


class Put(NamedTuple):
    """A write of a transaction."""

    key: str
    value: dict[str, Any]
    lease_id: int = 0


class TxnOutcome(NamedTuple):
    """Answer to a transaction.

    Attributes:
        succeeded: Whether its conditions held and its writes took effect.
        revision: Revision of the store after it.
    """

    succeeded: bool
    revision: int


class WatchEvent(NamedTuple):
    """A change seen by a watch.

    Attributes:
        kind: ``put`` or ``delete``.
        key_value: The key as it is now.
        revision: Revision of the change.
    """

    kind: str
    key_value: KeyValue
    revision: int


def absent(key: str) -> Compare:
    """Returns the condition that a key does not exist."""
    return Compare(key, COMPARE_CREATE, 0)


def exists(key: str) -> Compare:
    """Returns the condition that a key exists."""
    return Compare(key, COMPARE_CREATE, 0, "GREATER")


def unchanged(key: str, mod_revision: int) -> Compare:
    """Returns the condition that a key was last changed in ``mod_revision``."""
    return Compare(key, COMPARE_MOD, mod_revision)


class Store(Protocol):
    """The platform's key-value service as the project uses it."""

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Returns a key, or None if it does not exist."""

    async def range(self, prefix: str) -> Result[tuple[list[KeyValue], int], StoreError]:
        """Returns the keys with a prefix in order, and the revision they were read at."""

    async def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Result[TxnOutcome, StoreError]:
        """Applies all writes if all conditions hold."""

    async def create(
        self, key: str, value: dict[str, Any], lease_id: int = 0
    ) -> Result[bool, StoreError]:
        """Creates a key; returns False if it exists."""

    async def replace(
        self, key: str, value: dict[str, Any], mod_revision: int, lease_id: int = 0
    ) -> Result[bool, StoreError]:
        """Replaces a value; returns False if the key changed since ``mod_revision``."""

    async def delete_range(self, first: str, end: str) -> Result[int, StoreError]:
        """Deletes the keys from ``first`` up to but without ``end``; returns their number."""

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Returns the id of a new lease."""

    async def lease_keepalive(self, lease_id: int) -> Result[float, StoreError]:
        """Renews a lease; returns its seconds to live, 0 if it does not exist."""

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """Ends a lease and deletes its keys."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields changes under a prefix; raises a ``StoreError`` when it breaks."""
