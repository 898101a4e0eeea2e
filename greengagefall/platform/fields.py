"""Reads fields of JSON records that any writer of the store may have written.

Each function returns a value that the rest of the program can compute with, encode and send, or
raises ``RecordError``. Messages are short, whatever the record holds, and show no members of lists
and objects, since these may be API keys at a wrong place.
"""

from __future__ import annotations

import ipaddress
import json
import reprlib
from typing import Any

from greengagefall.platform.exceptions import FieldError, RecordError

# Larger numbers can't be meant, and can't be computed with as floats.
MAX_NUMBER = 1e12
# Integers up to here are exact as floats, and fit into 64 bits.
MAX_WHOLE_NUMBER = 2**53
MAX_PORT = 65_535
MAX_TEXT_CHARS = 1000
# Longer integers are read as floats: converting them exactly takes long, or is refused for the
# whole document.
MAX_INTEGER_DIGITS = 40

_short = reprlib.Repr()
_short.maxstring = _short.maxother = 100


def shown(value: object) -> str:
    """Returns a short description of any decoded value, for messages."""
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if isinstance(value, dict):
        return f"an object of {len(value)}"
    return _short.repr(value)


def shown_without_text(value: object) -> str:
    """Returns a short description of a value that may be a secret."""
    return f"a text of {len(value)}" if isinstance(value, str) else shown(value)


def read_object(key: str, value: bytes) -> dict[str, Any]:
    """Returns the JSON object in a record."""
    fault = ""
    fields = None
    try:
        fields = json.loads(value, parse_int=_parse_integer)
    except (ValueError, RecursionError) as error:
        fault = shown(str(error))
    # Raised outside of the handler, since the caught error holds the whole record.
    if fault:
        raise RecordError(f"{key}: value is not JSON: {fault}")
    if not isinstance(fields, dict):
        raise RecordError(f"{key}: value is a JSON {type(fields).__name__}; expected an object")
    return fields


def read_text(key: str, fields: dict[str, Any], name: str) -> str:
    """Returns a text that is not empty and can be encoded."""
    value = fields.get(name)
    valid = isinstance(value, str) and 0 < len(value) <= MAX_TEXT_CHARS and is_encodable(value)
    if not valid:
        raise FieldError(key, name, shown(value), f"a text of up to {MAX_TEXT_CHARS} characters")
    return value


def check_token(key: str, name: str, value: object) -> str:
    """Returns a text that can be sent in a header or a request line: ASCII without spaces."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise FieldError(key, name, shown(value), "a text")
    if not value.isascii() or not value.isprintable() or " " in value:
        raise FieldError(key, name, shown(value), "ASCII without spaces")
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
        raise FieldError(key, name, shown(value), "a number")
    # Not a number compares as False, so it is refused, too.
    if not minimum <= value <= maximum:
        raise FieldError(key, name, shown(value), f"{minimum:g} to {maximum:g}")
    return value


def read_whole_number(
    key: str, fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns a whole number that is not negative, or the default if the field is missing."""
    if name not in fields and default is not None:
        return default
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError(key, name, shown(value), "a whole number")
    if not 0 <= value <= MAX_WHOLE_NUMBER:
        raise FieldError(key, name, shown(value), f"0 to {MAX_WHOLE_NUMBER}")
    return value


def read_address(key: str, fields: dict[str, Any], name: str) -> str:
    """Returns an ``IP:port`` to which a connection can be opened."""
    value = read_text(key, fields, name)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise FieldError(key, name, shown(value), "IP:port") from error
    valid = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not valid or not 0 < int(port) <= MAX_PORT:
        raise FieldError(key, name, shown(value), "IP:port")
    return value


def is_encodable(value: str) -> bool:
    """Returns whether a text can be encoded as UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_integer(digits: str) -> float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)
