"""Converts key-values, events, compares and operations to and from etcd's v3 JSON form."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Any

from greengagefall.standins.kv_state import (
    EVENT_DELETE,
    MAX_TXN_OPS,
    DeleteOp,
    Event,
    PutOp,
    StoredKeyValue,
)

if TYPE_CHECKING:
    from greengagefall.standins.kv_state import KvState

MAX_VALUE_BYTES = 1024 * 1024

RESULTS = {
    "EQUAL": lambda left, right: left == right,
    "NOT_EQUAL": lambda left, right: left != right,
    "GREATER": lambda left, right: left > right,
    "LESS": lambda left, right: left < right,
}
TARGETS = {
    "VERSION": ("version", "version"),
    "CREATE": ("create_revision", "create_revision"),
    "MOD": ("mod_revision", "mod_revision"),
    "LEASE": ("lease", "lease_id"),
}


def from_base64(text: Any) -> bytes:
    """Decodes a base64 field; an absent field is empty.

    Raises:
        ValueError: The field is not valid base64.
    """
    try:
        return base64.b64decode(text or "", validate=True)
    except (binascii.Error, TypeError) as error:
        raise ValueError(f"illegal base64 data: {text!r}") from error


def without_zeros(fields: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields as etcd's gateway writes them: no zero values, integers as strings."""
    return {
        name: str(value) if type(value) is int else value for name, value in fields.items() if value
    }


def key_value_json(key_value: StoredKeyValue) -> dict[str, Any]:
    """Returns the JSON form of a key-value."""
    return without_zeros(
        {
            "key": base64.b64encode(key_value.key).decode(),
            "value": base64.b64encode(key_value.value).decode(),
            "create_revision": key_value.create_revision,
            "mod_revision": key_value.mod_revision,
            "version": key_value.version,
            "lease": key_value.lease_id,
        }
    )


def event_json(event: Event) -> dict[str, Any]:
    """Returns the JSON form of an event; the default type ``PUT`` is omitted."""
    kind = {"type": event.kind} if event.kind == EVENT_DELETE else {}
    return {**kind, "kv": key_value_json(event.key_value)}


def read_put(body: dict[str, Any]) -> PutOp:
    """Parses the put operation in a request.

    Raises:
        ValueError: The operation is malformed, has no key or has too large a value.
    """
    key, value = from_base64(body.get("key")), from_base64(body.get("value"))
    if not key:
        raise ValueError("etcdserver: key is not provided")
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError("etcdserver: request is too large")
    return PutOp(key, value, int(body.get("lease", 0)))


def read_delete(body: dict[str, Any]) -> DeleteOp:
    """Parses the delete operation in a request."""
    return DeleteOp(from_base64(body.get("key")), from_base64(body.get("range_end")))


def read_ops(rows: list[dict[str, Any]]) -> list[PutOp | DeleteOp]:
    """Parses the operations of one branch of a transaction.

    Raises:
        ValueError: An operation is malformed or unsupported, or there are too many.
    """
    if len(rows) > MAX_TXN_OPS:
        raise ValueError("etcdserver: too many operations in txn request")
    ops: list[PutOp | DeleteOp] = []
    for row in rows:
        put = row.get("request_put") or row.get("requestPut")
        delete = row.get("request_delete_range") or row.get("requestDeleteRange")
        if put is not None:
            ops.append(read_put(put))
        elif delete is not None:
            ops.append(read_delete(delete))
        else:
            raise ValueError(f"unsupported operation {sorted(row)}")
    return ops


def compare_holds(state: KvState, compare: dict[str, Any]) -> bool:
    """Returns whether one compare of a transaction is satisfied.

    Raises:
        ValueError: The compare is malformed or unsupported.
    """
    key_value = state.key_values.get(from_base64(compare.get("key")))
    holds = RESULTS.get(compare.get("result", "EQUAL"))
    target = compare.get("target", "VERSION")
    if holds is None:
        raise ValueError(f"unknown result {compare.get('result')!r}")
    if target == "VALUE":
        return key_value is not None and holds(key_value.value, from_base64(compare.get("value")))
    if target not in TARGETS:
        raise ValueError(f"unknown target {target!r}")
    field, attribute = TARGETS[target]
    return holds(getattr(key_value, attribute) if key_value else 0, int(compare.get(field, 0)))
