"""In-memory store for tests with the interface of the store client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagefall.standins.kv_json import compare_holds, event_json, key_value_json
from greengagefall.standins.kv_state import (
    CompactedError,
    DeleteOp,
    Event,
    KvState,
    LeaseNotFoundError,
    PutOp,
)
from greengagefall.store import etcd_json
from greengagefall.store.exceptions import (
    StoreCompactedError,
    StoreError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRecordError,
    StoreRefusedError,
    StoreUnavailableError,
)
from greengagefall.store.model import (
    Compare,
    KeyValue,
    Put,
    TxnOutcome,
    WatchEvent,
    absent,
    unchanged,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence


class MemoryStore:
    """One client of an in-memory store.

    Attributes:
        state: Data of the store; pass it to another ``MemoryStore`` to share it.
        down: Whether calls and new watches fail without effect.
        lose_next_answers: Number of next writes that take effect but get no answer.
        lose_next_writes: Number of next writes that have no effect and get no answer.
        slow_s: Delay of each call in seconds.
        calls: Number of calls made so far.

    Args:
        state: Data shared with another client; None creates an empty store.
    """

    def __init__(self, state: KvState | None = None) -> None:
        self.state = state or KvState()
        self.down = False
        self.lose_next_answers = 0
        self.lose_next_writes = 0
        self.slow_s = 0.0
        self.calls = 0
        self._watches: set[asyncio.Queue[list[Event] | None]] = set()

    async def start(self) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Ends the watches."""
        self.end_watches()

    def end_watches(self) -> None:
        """Ends every watch of this client with an error."""
        for batches in self._watches:
            batches.put_nowait(None)

    def put_raw(self, key: str, value: bytes) -> None:
        """Writes a value of any bytes, also one that isn't valid JSON."""
        self.state.write([PutOp(key.encode(), value, 0)])

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Returns the key-value of a key, or None if the key does not exist."""
        read = await self._read(key.encode(), b"")
        return read.map(lambda key_values: key_values[0] if key_values else None)

    async def range(self, prefix: str) -> Result[tuple[list[KeyValue], int], StoreError]:
        """Returns the key-values under a prefix, sorted by key, and the revision of the read."""
        read = await self._read(prefix.encode(), _prefix_end(prefix))
        return read.map(lambda key_values: (key_values, self.state.revision))

    async def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Result[TxnOutcome, StoreError]:
        """Applies all writes if all compares hold."""
        try:
            body = etcd_json.txn_body(compares, puts, deletes)
        except StoreRefusedError as error:
            return Err(error)
        ops: list[PutOp | DeleteOp] = [
            PutOp(put.key.encode(), etcd_json.dump_value(put.value), put.lease_id) for put in puts
        ]
        ops += [DeleteOp(key.encode(), b"") for key in deletes]

        def apply() -> TxnOutcome:
            holds = all(compare_holds(self.state, row) for row in body["compare"])
            if holds:
                self.state.write(ops)
            return TxnOutcome(holds, self.state.revision)

        return await self._write(apply)

    async def create(
        self, key: str, value: dict[str, Any], lease_id: int = 0
    ) -> Result[bool, StoreError]:
        """Creates a key; returns False if it already exists."""
        outcome = await self.txn([absent(key)], [Put(key, value, lease_id)])
        return outcome.map(lambda row: row.succeeded)

    async def replace(
        self, key: str, value: dict[str, Any], mod_revision: int, lease_id: int = 0
    ) -> Result[bool, StoreError]:
        """Replaces a value; returns False if the key changed since ``mod_revision``."""
        outcome = await self.txn([unchanged(key, mod_revision)], [Put(key, value, lease_id)])
        return outcome.map(lambda row: row.succeeded)

    async def delete_range(self, first: str, end: str) -> Result[int, StoreError]:
        """Deletes the keys from ``first`` up to, excluding, ``end``; returns their number."""
        op = DeleteOp(first.encode(), end.encode())
        return await self._write(lambda: self.state.write([op])[0])

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Creates a lease and returns its id."""
        return await self._write(lambda: self.state.grant_lease(ttl_s).lease_id)

    async def lease_keepalive(self, lease_id: int) -> Result[float, StoreError]:
        """Renews a lease; returns its time to live in seconds, 0 if it does not exist."""
        return await self._write(lambda: float(self.state.keep_lease(lease_id)))

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease and deletes its keys."""

        def revoke() -> None:
            if not self.state.revoke_lease(lease_id):
                raise LeaseNotFoundError

        return await self._write(revoke)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields changes under a prefix; raises a ``StoreError`` when the watch ends."""
        await self._begin_call()
        first, end = prefix.encode(), _prefix_end(prefix)
        batches: asyncio.Queue[list[Event] | None] = asyncio.Queue()
        self._watches.add(batches)
        self.state.watch(batches.put_nowait)
        try:
            for event in self._events_since(from_revision, first, end):
                yield etcd_json.parse_event(event_json(event))
                from_revision = event.key_value.mod_revision
            while (batch := await batches.get()) is not None:
                for event in batch:
                    key, revision = event.key_value.key, event.key_value.mod_revision
                    if key.startswith(first) and revision >= from_revision:
                        yield etcd_json.parse_event(event_json(event))
            raise StoreUnavailableError(f"watch of prefix {prefix!r} was ended")
        finally:
            self.state.unwatch(batches.put_nowait)
            self._watches.discard(batches)

    def _events_since(self, revision: int, first: bytes, end: bytes) -> list[Event]:
        try:
            return self.state.events_since(revision, first, end)
        except CompactedError as error:
            raise StoreCompactedError(
                f"events from revision {revision} on were compacted"
            ) from error

    async def _begin_call(self) -> None:
        self.calls += 1
        await asyncio.sleep(self.slow_s)
        if self.down:
            raise StoreUnavailableError("store is down; the call has no effect")
        self.state.expire_leases(self.state.clock.now_s())

    async def _read(self, first: bytes, end: bytes) -> Result[list[KeyValue], StoreError]:
        try:
            await self._begin_call()
            return Ok(
                [
                    etcd_json.parse_key_value(key_value_json(key_value))
                    for key_value in self.state.range(first, end)
                ]
            )
        except (StoreUnavailableError, StoreRecordError) as error:
            return Err(error)

    async def _write(self, apply: Callable[[], Any]) -> Result[Any, StoreError]:
        try:
            await self._begin_call()
            if self.lose_next_writes > 0:
                self.lose_next_writes -= 1
                return Err(StoreOutcomeUnknownError("write got no answer and was not applied"))
            outcome = apply()
        except StoreUnavailableError as error:
            return Err(error)
        except ValueError as error:
            return Err(StoreRefusedError(str(error)))
        except LeaseNotFoundError:
            return Err(StoreLeaseLostError("lease does not exist"))
        if self.lose_next_answers > 0:
            self.lose_next_answers -= 1
            return Err(StoreOutcomeUnknownError("write was applied but got no answer"))
        return Ok(outcome)


def _prefix_end(prefix: str) -> bytes:
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1]) if raw else b"\0"
