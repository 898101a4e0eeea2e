"""Reads fields of JSON records that any writer of the store may have written.

Each function returns a value that the rest of the program can compute with, encode and send, or
raises ``RecordError``. Messages are short, whatever the record holds.
"""

from __future__ import annotations

import ipaddress
import json
import reprlib
from typing import Any

from greengagefall.platform.exceptions import RecordError

# Larger numbers can't be meant, and can't be computed with as floats.
MAX_NUMBER = 1e12
# Integers up to here are exact as floats, and fit into 64 bits.
MAX_WHOLE_NUMBER = 2**53
MAX_PORT = 65_535
MAX_TEXT_CHARS = 1000

_short = reprlib.Repr()
_short.maxstring = _short.maxother = 100
_short.maxlevel = 3


def shown(value: object) -> str:
    """Returns a short description of any decoded value, however deeply nested, for messages."""
    return _short.repr(value)


def read_object(key: str, value: bytes) -> dict[str, Any]:
    """Returns the JSON object in a record."""
    try:
        fields = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"{key}: value is not JSON: {shown(str(error))}") from error
    if not isinstance(fields, dict):
        raise RecordError(f"{key}: value is a JSON {type(fields).__name__}; expected an object")
    return fields


def read_rows(key: str, fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns a list of JSON objects, which may be missing."""
    rows = fields.get(name, [])
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise RecordError(f"{key}: {name} is malformed; expected a list of JSON objects")
    return rows


def read_text(key: str, fields: dict[str, Any], name: str) -> str:
    """Returns a text that is not empty and can be encoded."""
    value = fields.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARS or not _encodable(value):
        raise RecordError(
            f"{key}: {name} is {shown(value)}; expected up to {MAX_TEXT_CHARS} characters"
        )
    return value


def check_token(key: str, name: str, value: object) -> str:
    """Returns a text that can be sent in a header or a request line: ASCII without spaces."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise RecordError(f"{key}: {name} is {shown(value)}; expected a text")
    if not value.isascii() or not value.isprintable() or " " in value:
        raise RecordError(f"{key}: {name} is {shown(value)}; expected ASCII without spaces")
    return value


def read_number(
    key: str,
    fields: dict[str, Any],
    name: str,
    default: float | None = None,
    *,
    minimum: float = 0.0,
    maximum: float = MAX_NUMBER,
) -> float:
    """Returns a finite number within bounds, or the default if the field is missing."""
    if name not in fields and default is not None:
        return default
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise RecordError(f"{key}: {name} is {shown(value)}; expected a number")
    # Not a number compares as False, so it is refused, too.
    if not minimum <= value <= maximum:
        raise RecordError(f"{key}: {name} is {shown(value)}; expected {minimum:g} to {maximum:g}")
    return value


def read_whole_number(
    key: str, fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns a whole number that is not negative, or the default if the field is missing."""
    if name not in fields and default is not None:
        return default
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise RecordError(f"{key}: {name} is {shown(value)}; expected a whole number")
    if not 0 <= value <= MAX_WHOLE_NUMBER:
        raise RecordError(f"{key}: {name} is {shown(value)}; expected 0 to {MAX_WHOLE_NUMBER}")
    return value


def read_address(key: str, fields: dict[str, Any], name: str) -> str:
    """Returns an ``IP:port`` to which a connection can be opened."""
    value = read_text(key, fields, name)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise RecordError(f"{key}: {name} is {shown(value)}; expected IP:port") from error
    valid = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not valid or not 0 < int(port) <= MAX_PORT:
        raise RecordError(f"{key}: {name} is {shown(value)}; expected IP:port")
    return value


def _encodable(value: str) -> bool:
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
