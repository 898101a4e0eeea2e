"""Encodes requests and decodes answers of etcd's v3 JSON gateway."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

from greengagefall.store.exceptions import StoreRecordError, StoreRefusedError
from greengagefall.store.model import (
    COMPARE_VALUE,
    EVENT_DELETE,
    EVENT_PUT,
    Compare,
    KeyValue,
    Put,
    WatchEvent,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_VALUE_BYTES = 1_000_000
MAX_TXN_OPS = 128  # Default of the service's --max-txn-ops.

COMPARE_FIELDS = {"CREATE": "create_revision", "MOD": "mod_revision", "VERSION": "version"}


def encode_key(key: str) -> str:
    """Returns a key in base64."""
    return base64.b64encode(key.encode()).decode()


def dump_value(value: dict[str, Any]) -> bytes:
    """Returns a JSON object as text with sorted keys, so that equal objects give equal text."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def encode_value(key: str, value: dict[str, Any]) -> str:
    """Returns a JSON object in base64.

    Raises:
        StoreRefusedError: The value is larger than the service accepts.
    """
    text = dump_value(value)
    if len(text) > MAX_VALUE_BYTES:
        raise StoreRefusedError(
            f"{key}: value has {len(text)} bytes; expected at most {MAX_VALUE_BYTES}"
        )
    return base64.b64encode(text).decode()


def prefix_end(prefix: str) -> str:
    """Returns, in base64, the first key after all keys with a prefix."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:
        raw.pop()
    if not raw:
        return base64.b64encode(b"\0").decode()
    raw[-1] += 1
    return base64.b64encode(bytes(raw)).decode()


def range_body(prefix: str) -> dict[str, Any]:
    """Returns the request for all keys with a prefix."""
    return {"key": encode_key(prefix), "range_end": prefix_end(prefix)}


def watch_body(prefix: str, from_revision: int) -> dict[str, Any]:
    """Returns the request for changes under a prefix."""
    create = {**range_body(prefix), "start_revision": str(from_revision)}
    return {"create_request": create}


def txn_body(
    compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str]
) -> dict[str, Any]:
    """Returns the request for a transaction.

    Raises:
        StoreRefusedError: The transaction or a value is larger than the service accepts.
    """
    if len(puts) + len(deletes) > MAX_TXN_OPS:
        raise StoreRefusedError(
            f"txn has {len(puts) + len(deletes)} writes; expected at most {MAX_TXN_OPS}"
        )
    writes: list[dict[str, Any]] = [{"request_put": _put_body(put)} for put in puts]
    writes += [{"request_delete_range": {"key": encode_key(key)}} for key in deletes]
    return {"compare": [_compare_body(compare) for compare in compares], "success": writes}


def _put_body(put: Put) -> dict[str, Any]:
    body = {"key": encode_key(put.key), "value": encode_value(put.key, put.value)}
    if put.lease_id:
        body["lease"] = str(put.lease_id)
    return body


def _compare_body(compare: Compare) -> dict[str, Any]:
    body = {
        "key": encode_key(compare.key),
        "target": compare.target,
        "result": compare.relation,
    }
    if compare.target == COMPARE_VALUE:
        return {**body, "value": encode_value(compare.key, compare.operand)}
    return {**body, COMPARE_FIELDS[compare.target]: str(compare.operand)}


def header_revision(answer: dict[str, Any]) -> int:
    """Returns the store's revision from an answer's header."""
    return int(answer.get("header", {}).get("revision", 0))


def parse_key_value(row: dict[str, Any]) -> KeyValue:
    """Returns the key-value in a row of an answer; absent fields are zero.

    Raises:
        StoreRecordError: The value is not a JSON object, or a revision is malformed.
    """
    key = base64.b64decode(row.get("key", "")).decode(errors="replace")
    return _key_value(key, row, _parse_value(key, row.get("value", "")))


def parse_event(row: dict[str, Any]) -> WatchEvent:
    """Returns the event in a row of a watch.

    Raises:
        StoreRecordError: The value is not a JSON object, or a revision is malformed.
    """
    key_value_row = row.get("kv", {})
    if row.get("type") == "DELETE":
        key = base64.b64decode(key_value_row.get("key", "")).decode(errors="replace")
        key_value = _key_value(key, key_value_row, {})
        return WatchEvent(EVENT_DELETE, key_value, key_value.mod_revision)
    key_value = parse_key_value(key_value_row)
    return WatchEvent(EVENT_PUT, key_value, key_value.mod_revision)


def _key_value(key: str, row: dict[str, Any], value: dict[str, Any]) -> KeyValue:
    try:
        return KeyValue(
            key=key,
            value=value,
            mod_revision=int(row.get("mod_revision", 0)),
            create_revision=int(row.get("create_revision", 0)),
            lease_id=int(row.get("lease", 0)),
        )
    except (TypeError, ValueError) as error:
        raise StoreRecordError(key, f"malformed revision: {error}") from error


def _parse_value(key: str, encoded: str) -> dict[str, Any]:
    try:
        value = json.loads(base64.b64decode(encoded))
    except (ValueError, RecursionError) as error:
        raise StoreRecordError(key, f"value is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise StoreRecordError(key, "value is not a JSON object")
    return value
