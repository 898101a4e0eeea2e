"""Client of the platform's store.

Values are opaque bytes here. A write without an answer may have taken effect, or may still take
effect seconds later; such calls return ``StoreOutcomeUnknownError``.
"""

from __future__ import annotations

import base64
import json
import logging
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpAnswer
from greengagefall.dispatch.exceptions import AnswerTimeoutError, DispatchError, NotSentError
from greengagefall.ownership.model import UNKNOWN_RESTORES
from greengagefall.platform.fields import shown
from greengagefall.platform.requests import json_request
from greengagefall.store.exceptions import (
    StoreBusyError,
    StoreCompactedError,
    StoreConnectionLostError,
    StoreError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    StoreUnavailableError,
)
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0
WATCH_TIMEOUT_MARGIN_S = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MS_PER_S = 1000.0

# Counts in all answers how often the store came back from an older copy of its data.
ERA_HEADER = "Store-Era"

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVICE_UNAVAILABLE = 503

# What decoding an answer may raise.
MALFORMED = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)


class KeyValue(NamedTuple):
    """A key with its value.

    Attributes:
        key: The key.
        value: Its bytes.
        mod_revision: Store revision of its last change.
    """

    key: str
    value: bytes
    mod_revision: int

    def __repr__(self) -> str:
        """Describes the key without its value, which may hold secrets."""
        return f"KeyValue({self.key!r}, {len(self.value)} bytes, revision {self.mod_revision})"


class WatchEvent(NamedTuple):
    """A change of a key; ``key_value.value`` is empty if the key was deleted."""

    key_value: KeyValue
    deleted: bool


class RangeResult(NamedTuple):
    """All keys with a prefix, and the revision after which to watch them."""

    key_values: list[KeyValue]
    revision: int


class WatchResult(NamedTuple):
    """Changes after a revision, and the revision after which to continue the watch."""

    events: list[WatchEvent]
    revision: int


class Put(NamedTuple):
    """A key to write; ``lease_id`` is 0 for a key without a lease."""

    key: str
    value: bytes
    lease_id: int = 0


class PlatformStore:
    """Calls the store over persistent connections.

    Args:
        address: ``IP:port``.

    Attributes:
        restores: How often the store came back from an older copy of its data, according to the
            newest answer; ``UNKNOWN_RESTORES`` before the first one. Revisions of different counts
            are not comparable.
    """

    def __init__(self, address: str) -> None:
        self.restores = UNKNOWN_RESTORES
        self._pool = ConnectionPool(address, MAX_ANSWER_BYTES)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    async def get(self, key: str) -> Result[KeyValue | None, StoreError]:
        """Returns a key-value, or None if the key does not exist."""
        called = await self._call("get", "GET", "/greengagefall/kv-key", {"key": key})
        if isinstance(called, Err):
            return called
        answer = called.ok_value
        if answer.status == HTTP_NOT_FOUND:
            return Ok(None)
        return _parsed(answer, lambda fields: _key_value(fields))

    async def is_reachable(self, key: str) -> bool:
        """Returns whether the store serves a cheap read of a key that may be out of date."""
        return not isinstance(await self._probe(key), Err)

    async def answers(self, key: str) -> bool:
        """Returns whether the store answers such a read, be it with a refusal."""
        probed = await self._probe(key)
        return not isinstance(probed, Err) or isinstance(probed.err_value, StoreBusyError)

    async def _probe(self, key: str) -> Result[HttpAnswer, StoreError]:
        query = {"key": key, "allowStale": 1}
        return await self._call("probe", "GET", "/greengagefall/kv-key", query)

    async def range(self, prefix: str) -> Result[RangeResult, StoreError]:
        """Returns all keys with a prefix, page by page; all pages are from the same restore."""
        key_values: list[KeyValue] = []
        revision = 0
        restores = UNKNOWN_RESTORES
        query = {"prefix": prefix}
        while True:
            called = await self._call("range", "GET", "/greengagefall/kv-range", query)
            if isinstance(called, Err):
                return called
            parsed = _parsed(called.ok_value, _range_page)
            if isinstance(parsed, Err):
                return parsed
            page, has_more = parsed.ok_value
            if revision and self.restores != restores:
                key_values, revision = [], 0
                query = {"prefix": prefix}
                continue
            restores = self.restores
            key_values.extend(page.key_values)
            # The pages are not one snapshot. Watching from the revision of the first page reports
            # all changes that were made while later pages were read.
            revision = revision or page.revision
            if not has_more:
                return Ok(RangeResult(key_values, revision))
            if not page.key_values:
                return self._failed(
                    "range", StoreUnavailableError("range: no key of a page can be read")
                )
            query = {"prefix": prefix, "after": page.key_values[-1].key}

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> Result[WatchResult, StoreError]:
        """Waits up to ``wait_s`` for changes under a prefix after a revision and returns them."""
        query = {"prefix": prefix, "after": revision, "waitMs": int(wait_s * MS_PER_S)}
        called = await self._call(
            "watch",
            "GET",
            "/greengagefall/kv-watch",
            query,
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        if isinstance(called, Err):
            return called
        if called.ok_value.status == HTTP_GONE:
            return Err(StoreCompactedError(f"{prefix}: history after {revision} was compacted"))
        return _parsed(called.ok_value, _watch_result)

    async def txn(
        self,
        expected: dict[str, int],
        writes: Sequence[Put],
        deletes: Sequence[str] = (),
    ) -> Result[int | None, StoreError]:
        """Applies all writes if every key has the expected revision (0 if absent).

        Returns:
            The new revision, or None if a key has another revision.
        """
        body = {
            "expected": [{"key": key, "revision": value} for key, value in expected.items()],
            "puts": [_put(write) for write in writes],
            "deletes": list(deletes),
        }
        called = await self._call("txn", "POST", "/greengagefall/kv-txn", body=body)
        if isinstance(called, Err):
            return called
        answer = called.ok_value
        if answer.status == HTTP_PRECONDITION_FAILED:
            return Ok(None)
        if answer.status == HTTP_NOT_FOUND:
            return Err(StoreLeaseLostError("txn: the lease of a write has expired"))
        return _parsed(answer, lambda fields: int(fields["revision"]))

    async def lease_grant(self, ttl_s: float) -> Result[int, StoreError]:
        """Returns the id of a new lease."""
        called = await self._call(
            "lease_grant", "POST", "/greengagefall/kv-lease", body={"ttlS_time": ttl_s}
        )
        if isinstance(called, Err):
            return called
        return _parsed(called.ok_value, lambda fields: int(fields["lease"]))

    async def lease_keep(self, lease_id: int) -> Result[bool, StoreError]:
        """Renews a lease; returns False if it has expired."""
        path = f"/greengagefall/kv-keep/{lease_id}"
        called = await self._call("lease_keep", "POST", path)
        if isinstance(called, Err):
            return called
        if called.ok_value.status == HTTP_NOT_FOUND:
            return Ok(False)
        return _parsed(called.ok_value, lambda fields: True)

    async def lease_end(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease, which deletes its keys."""
        called = await self._call("lease_end", "DELETE", f"/greengagefall/kv-lease-end/{lease_id}")
        if isinstance(called, Err):
            return called
        return Ok(None)

    async def _call(
        self,
        name: str,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[HttpAnswer, StoreError]:
        """Returns the answer to a call, or the error that tells whether it may have an effect."""
        target = f"{path}?{urlencode(query)}" if query else path
        request = json_request(method, target, body)
        count("store_calls", call=name)
        try:
            answer = await self._pool.exchange(request, timeout_s, lambda: True)
        except NotSentError as error:
            return self._failed(name, StoreUnavailableError(f"{name}: {error}"))
        except DispatchError as error:
            if method != "GET":
                return self._failed(name, StoreOutcomeUnknownError(f"{name}: {error}"))
            ended = not isinstance(error, AnswerTimeoutError)
            unanswered = StoreConnectionLostError if ended else StoreUnavailableError
            return self._failed(name, unanswered(f"{name}: {error}"))
        self._record_restores(name, answer.headers.get(ERA_HEADER))
        if answer.status in (HTTP_TOO_MANY_REQUESTS, HTTP_SERVICE_UNAVAILABLE):
            return self._failed(name, StoreBusyError(f"{name}: HTTP status {answer.status}"))
        if answer.status not in (HTTP_OK, HTTP_NOT_FOUND, HTTP_GONE, HTTP_PRECONDITION_FAILED):
            return self._failed(
                name, StoreRefusedError(f"{name}: unexpected HTTP status {answer.status}")
            )
        return Ok(answer)

    def _record_restores(self, name: str, value: str | None) -> None:
        """Records the number of restores that an answer states."""
        if value is None:
            return
        if not value.isdecimal():
            log.warning("Malformed number of restores is ignored.", extra={"value": value})
            return
        restores = int(value)
        if restores <= self.restores:
            return
        if self.restores != UNKNOWN_RESTORES:
            count("store_restores", call=name)
            log.warning(
                "Store came back from an older copy of its data.",
                extra={"restores": restores, "before": self.restores, "call": name},
            )
        self.restores = restores

    def _failed(self, name: str, error: StoreError) -> Err[StoreError]:
        count("store_call_failures", call=name, error=type(error).__name__)
        return Err(error)


def _parsed(answer: HttpAnswer, parse: Any) -> Result[Any, StoreError]:
    try:
        return Ok(parse(json.loads(answer.body)))
    except MALFORMED as error:
        log.warning(
            "Answer of the store is malformed; treating the store as unavailable for this call.",
            extra={"error": shown(str(error))},
        )
        return Err(StoreUnavailableError(f"malformed answer: {type(error).__name__}"))


def _key_value(fields: dict[str, Any]) -> KeyValue:
    value = base64.b64decode(fields.get("value", ""))
    key = str(fields["key"])
    # Hosts pass keys on to each other in messages.
    key.encode()
    return KeyValue(key, value, int(fields["revision"]))


def _readable_key_values(rows: Iterable[dict[str, Any]]) -> Iterator[tuple[KeyValue, bool]]:
    """Yields the key-values that can be read, and whether each is a deletion.

    One that cannot be read must not keep the others from being known.
    """
    for row in rows:
        try:
            yield _key_value(row), bool(row.get("tombstone"))
        except MALFORMED as error:
            count("bad_records")
            log.warning(
                "A key-value of the store cannot be read; it is ignored.",
                extra={"error": shown(str(error))},
            )


def _range_page(fields: dict[str, Any]) -> tuple[RangeResult, bool]:
    key_values = [key_value for key_value, _ in _readable_key_values(fields["items"])]
    return RangeResult(key_values, int(fields["at"])), bool(fields.get("hasMore"))


def _watch_result(fields: dict[str, Any]) -> WatchResult:
    events = [WatchEvent(*event) for event in _readable_key_values(fields.get("events", []))]
    return WatchResult(events, int(fields["at"]))


def _put(write: Put) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    fields: dict[str, Any] = {"key": write.key, "value": value}
    if write.lease_id:
        fields["lease"] = write.lease_id
    return fields
