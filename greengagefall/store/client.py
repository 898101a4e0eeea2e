"""Client of the platform's key-value service, over etcd's v3 JSON gateway.

The rate of calls is bounded and each call is counted by its kind. Calls after a failure are
delayed with full jitter, so that many hosts do not call a recovered store at the same time.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagefall.store import etcd_json
from greengagefall.store.backoff import Backoff
from greengagefall.store.exceptions import (
    StoreCompactedError,
    StoreError,
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
from greengagefall.store.transport import HttpTransport
from greengagefall.store.watch_stream import WatchStream
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.metrics import count
from greengagefall.utils.token_bucket import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Sequence

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0
CALLS_PER_S = 50.0
MAX_RATE_WAIT_S = 1.0
WATCH_RENEW_S = 30.0


class StoreClient:
    """Calls the store for one process.

    Args:
        address: ``IP:port`` of the gateway.
        call_timeout_s: Timeout of one call.
        calls_per_s: Maximum number of calls a second, and of calls in a burst.
        host: Name of this host, sent with each call.
        zone: Availability zone of this host, sent with each call.
        watch_renew_s: Age at which a watch is reopened, to detect a dead connection.
        rng: Random number generator for the jitter.
    """

    def __init__(
        self,
        address: str,
        *,
        call_timeout_s: float = CALL_TIMEOUT_S,
        calls_per_s: float = CALLS_PER_S,
        host: str = "",
        zone: str = "",
        watch_renew_s: float = WATCH_RENEW_S,
        rng: random.Random | None = None,
    ) -> None:
        self._address = address
        self._headers = {"Content-Type": "application/json", "X-Host": host, "X-Zone": zone}
        self._call_timeout_s = call_timeout_s
        self._watch_renew_s = watch_renew_s
        self._transport = HttpTransport(address, call_timeout_s, self._headers)
        self._bucket = TokenBucket(calls_per_s, calls_per_s, SystemClock())
        self._backoff = Backoff(rng)

    async def start(self) -> None:
        """Creates the HTTP client; it connects at the first call."""
        await self._transport.start()

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._transport.close()

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Returns a key, or None if it does not exist."""
        body = {"key": etcd_json.encode_key(key)}
        answer = await self._call("range", "/v3/kv/range", body, is_write=False)
        return answer.and_then(_parse_key_values).map(
            lambda key_values: key_values[0] if key_values else None
        )

    async def range(self, prefix: str) -> Result[tuple[list[KeyValue], int], StoreError]:
        """Returns the keys with a prefix in order, and the store revision of the read."""
        body = etcd_json.range_body(prefix)
        answer = await self._call("range", "/v3/kv/range", body, is_write=False)
        if isinstance(answer, Err):
            return answer
        revision = etcd_json.header_revision(answer.ok_value)
        return _parse_key_values(answer.ok_value).map(lambda key_values: (key_values, revision))

    async def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Result[TxnOutcome, StoreError]:
        """Applies all writes if all conditions hold."""
        try:
            body = etcd_json.txn_body(compares, puts, deletes)
        except StoreRefusedError as error:
            return Err(error)
        answer = await self._call("txn", "/v3/kv/txn", body, is_write=True)
        return answer.map(
            lambda row: TxnOutcome(bool(row.get("succeeded")), etcd_json.header_revision(row))
        )

    async def create(
        self, key: str, value: dict[str, Any], lease_id: int = 0
    ) -> Result[bool, StoreError]:
        """Creates a key; returns False if it exists."""
        outcome = await self.txn([absent(key)], [Put(key, value, lease_id)])
        return outcome.map(lambda row: row.succeeded)

    async def replace(
        self, key: str, value: dict[str, Any], mod_revision: int, lease_id: int = 0
    ) -> Result[bool, StoreError]:
        """Replaces a value; returns False if the key changed since ``mod_revision``."""
        outcome = await self.txn([unchanged(key, mod_revision)], [Put(key, value, lease_id)])
        return outcome.map(lambda row: row.succeeded)

    async def delete_range(self, first: str, end: str) -> Result[int, StoreError]:
        """Deletes the keys from ``first`` to ``end``, exclusive; returns their number."""
        body = {"key": etcd_json.encode_key(first), "range_end": etcd_json.encode_key(end)}
        answer = await self._call("delete", "/v3/kv/deleterange", body, is_write=True)
        return answer.map(lambda row: int(row.get("deleted", 0)))

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Returns the id of a new lease."""
        answer = await self._call(
            "lease_grant", "/v3/lease/grant", {"TTL": str(ttl_s)}, is_write=True
        )
        return answer.map(lambda row: int(row.get("ID", 0)))

    async def lease_keepalive(self, lease_id: int) -> Result[float, StoreError]:
        """Renews a lease; returns its remaining seconds, 0 if it does not exist."""
        body = {"ID": str(lease_id)}
        answer = await self._call("lease_keepalive", "/v3/lease/keepalive", body, is_write=True)
        return answer.map(lambda row: float(row.get("result", row).get("TTL", 0)))

    async def lease_revoke(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease, which deletes its keys."""
        body = {"ID": str(lease_id)}
        answer = await self._call("lease_revoke", "/v3/lease/revoke", body, is_write=True)
        return answer.map(lambda row: None)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yields the changes under a prefix from a revision onwards.

        Close the generator (``aclose``) to end the watch.

        Raises:
            StoreUnavailableError: The watch ended; read the range and watch again.
            StoreCompactedError: The revisions were compacted; read the range and watch again.
            StoreRecordError: A value is not a JSON object.
        """
        while True:
            stream = WatchStream(self._address, self._headers, self._call_timeout_s)
            try:
                await self._admit("watch")
                await stream.start("/v3/watch", etcd_json.watch_body(prefix, from_revision))
                now_s = asyncio.get_running_loop().time()
                first_deadline_s, until_s = (
                    now_s + self._call_timeout_s,
                    now_s + self._watch_renew_s,
                )
                async with contextlib.aclosing(stream.lines(first_deadline_s, until_s)) as lines:
                    async for line in lines:
                        self._backoff.reset()
                        for event in _parse_events(line):
                            yield event
                            from_revision = max(from_revision, event.revision)
                        from_revision = _next_revision(line, from_revision)
            except StoreUnavailableError as error:
                self._record_failure("watch", error)
                raise
            finally:
                await stream.close()

    async def _call(
        self, kind: str, path: str, body: dict[str, Any], *, is_write: bool
    ) -> Result[dict[str, Any], StoreError]:
        try:
            await self._admit(kind)
        except StoreUnavailableError as error:
            return Err(error)
        answer = await self._transport.call(path, body, is_write=is_write)
        if isinstance(answer, Ok):
            self._backoff.reset()
            return answer
        self._record_failure(kind, answer.err_value)
        return answer

    async def _admit(self, kind: str) -> None:
        """Waits for the backoff and the rate limit, and counts the call."""
        await self._backoff.wait()
        wait_s = self._bucket.reserve()
        if wait_s > MAX_RATE_WAIT_S:
            self._bucket.refund()
            count("store_calls_refused", kind=kind)
            raise StoreUnavailableError(
                f"rate limit reached: the call would wait {wait_s:.1f} s, over {MAX_RATE_WAIT_S} s"
            )
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        count("store_calls", kind=kind)

    def _record_failure(self, kind: str, error: StoreError) -> None:
        count("store_errors", kind=kind, error=type(error).__name__)
        if isinstance(error, (StoreUnavailableError, StoreOutcomeUnknownError)):
            self._backoff.record_failure()
        else:
            self._backoff.reset()


def _parse_key_values(answer: dict[str, Any]) -> Result[list[KeyValue], StoreError]:
    try:
        return Ok([etcd_json.parse_key_value(row) for row in answer.get("kvs", [])])
    except StoreRecordError as error:
        count("store_bad_records")
        log.error("A record of the store is malformed: %s. The read fails.", error)
        return Err(error)


def _parse_events(line: dict[str, Any]) -> list[WatchEvent]:
    if line.get("canceled"):
        raise StoreCompactedError(
            f"watch cancelled: the store keeps revisions from {line.get('compact_revision', '?')}"
        )
    return [etcd_json.parse_event(row) for row in line.get("events", [])]


def _next_revision(line: dict[str, Any], from_revision: int) -> int:
    """Returns the revision from which a watch continues after a line of events."""
    return from_revision + 1 if line.get("events") else from_revision
