"""Types of the store's requests and answers, and the interface of its clients."""

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
        mod_revision: Store revision of its last change.
        create_revision: Store revision of its creation.
        lease_id: Lease that the key is attached to, or 0.
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
        operand: Number to compare with, or for ``VALUE`` the JSON object.
        relation: ``EQUAL``, ``NOT_EQUAL``, ``GREATER`` or ``LESS``.
    """

    key: str
    target: str
    operand: Any
    relation: str = "EQUAL"


class Put(NamedTuple):
    """A key to write in a transaction; ``lease_id`` is 0 for a key without a lease."""

    key: str
    value: dict[str, Any]
    lease_id: int = 0


class TxnOutcome(NamedTuple):
    """Result of a transaction.

    Attributes:
        succeeded: Whether its conditions held and its writes took effect.
        revision: Store revision after the transaction.
    """

    succeeded: bool
    revision: int


class WatchEvent(NamedTuple):
    """A change that a watch reports.

    Attributes:
        kind: ``put`` or ``delete``.
        key_value: The key after the change.
        revision: Store revision of the change.
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
    """Interface of the platform's key-value service."""

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Returns a key, or None if it does not exist."""

    async def range(self, prefix: str) -> Result[tuple[list[KeyValue], int], StoreError]:
        """Returns the keys with a prefix in order, and the store revision of the read."""

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
        """Deletes the keys from ``first`` to ``end``, exclusive; returns their number."""

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Returns the id of a new lease."""

    async def lease_keepalive(self, lease_id: int) -> Result[float, StoreError]:
        """Renews a lease; returns its remaining seconds, 0 if it does not exist."""

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease, which deletes its keys."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields changes under a prefix; raises a ``StoreError`` when the watch ends."""
