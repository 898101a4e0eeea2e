"""Reads and validates the fields of a JSON object."""

from __future__ import annotations

import math
import re
from typing import Any

from greengagefall.routing.exceptions import ConfigError

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
NAME_RULE = "1 to 63 characters out of a-z, 0-9, '-' and '_', the first a letter or digit"
MAX_VALUE_CHARS = 80


def format_value(value: object) -> str:
    """Returns ``value`` as text for an error message, cut to ``MAX_VALUE_CHARS``."""
    text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[:MAX_VALUE_CHARS]}..."


def join_path(path: str, field: str) -> str:
    """Returns the dotted path of ``field`` below ``path``."""
    return f"{path}.{field}" if path else field


def check_name(path: str, name: object) -> str:
    """Returns ``name`` if it is a valid name.

    Raises:
        ConfigError: ``name`` is not a valid name.
    """
    if isinstance(name, str) and NAME_PATTERN.fullmatch(name):
        return name
    raise ConfigError(path, f"{format_value(name)} is not a name ({NAME_RULE})")


def check_object(path: str, value: object) -> dict[str, Any]:
    """Returns ``value`` if it is a JSON object.

    Raises:
        ConfigError: ``value`` is not a JSON object.
    """
    if isinstance(value, dict):
        return value
    raise ConfigError(path, f"{format_value(value)} is not an object")


class FieldReader:
    """Reads one JSON object; each getter raises ``ConfigError`` if its field is invalid."""

    def __init__(self, path: str, value: object, allowed: tuple[str, ...]) -> None:
        """Checks that ``value`` is an object and has only fields in ``allowed``."""
        self.path = path
        self._fields = check_object(path, value)
        for field in self._fields:
            if field not in allowed:
                raise ConfigError(
                    join_path(path, field), f"unknown field; allowed are {', '.join(allowed)}"
                )

    def path_of(self, field: str) -> str:
        """Returns the path of ``field``."""
        return join_path(self.path, field)

    def has(self, field: str) -> bool:
        """Returns whether ``field`` is present."""
        return field in self._fields

    def integer(self, field: str, default: int | None, minimum: int, maximum: int) -> int:
        """Returns an integer from ``minimum`` to ``maximum``; required without a default."""
        value = self._get(field, default)
        if type(value) is not int:
            raise ConfigError(self.path_of(field), f"{format_value(value)} is not an integer")
        if not minimum <= value <= maximum:
            raise ConfigError(
                self.path_of(field), f"{value} is not between {minimum} and {maximum}"
            )
        return value

    def number(self, field: str, default: float | None, minimum: float, maximum: float) -> float:
        """Returns a finite number from ``minimum`` to ``maximum``; required without a default."""
        value = self._get(field, default)
        if type(value) not in (int, float) or not math.isfinite(value):
            raise ConfigError(self.path_of(field), f"{format_value(value)} is not a number")
        if not minimum <= value <= maximum:
            raise ConfigError(
                self.path_of(field), f"{value} is not between {minimum} and {maximum}"
            )
        return float(value)

    def boolean(self, field: str, default: bool) -> bool:
        """Returns a boolean."""
        value = self._get(field, default)
        if not isinstance(value, bool):
            raise ConfigError(self.path_of(field), f"{format_value(value)} is not true or false")
        return value

    def text(self, field: str, default: str | None, max_chars: int) -> str:
        """Returns a string of at most ``max_chars`` characters; required if ``default`` is None."""
        value = self._get(field, default)
        if not isinstance(value, str):
            raise ConfigError(self.path_of(field), f"{format_value(value)} is not a string")
        if len(value) > max_chars:
            raise ConfigError(
                self.path_of(field), f"{len(value)} characters, allowed are {max_chars}"
            )
        return value

    def name(self, field: str) -> str:
        """Returns a required name."""
        return check_name(self.path_of(field), self._get(field, None))

    def choice(self, field: str, default: str | None, choices: tuple[str, ...]) -> str:
        """Returns one of ``choices``; required if ``default`` is None."""
        value = self._get(field, default)
        if value not in choices:
            raise ConfigError(
                self.path_of(field),
                f"{format_value(value)} is not one of {', '.join(sorted(choices))}",
            )
        return value

    def members(self, field: str) -> dict[str, Any]:
        """Returns the members of an object whose keys are names; empty if absent."""
        members = check_object(self.path_of(field), self._get(field, {}))
        for name in members:
            check_name(join_path(self.path_of(field), name), name)
        return members

    def nested(self, field: str, allowed: tuple[str, ...]) -> FieldReader:
        """Returns a reader of the object in ``field``, or of an empty object if absent."""
        return FieldReader(self.path_of(field), self._get(field, {}), allowed)

    def items(self, field: str, max_items: int) -> list[Any]:
        """Returns the items of an array; empty if absent."""
        value = self._get(field, [])
        if not isinstance(value, list):
            raise ConfigError(self.path_of(field), f"{format_value(value)} is not an array")
        if len(value) > max_items:
            raise ConfigError(self.path_of(field), f"{len(value)} items, allowed are {max_items}")
        return value

    def _get(self, field: str, default: object) -> Any:
        value = self._fields.get(field, default)
        if value is None and field not in self._fields:
            raise ConfigError(self.path_of(field), "is required")
        return value
