"""Errors of the adapter to the users' platform."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all errors of the adapter."""


class PlatformSettingsError(PlatformError):
    """The settings file cannot be read, or a field of it is missing or malformed."""


class RecordError(PlatformError):
    """A record in the store is malformed."""


class FieldError(RecordError):
    """A field of a record is missing or malformed.

    Args:
        place: Key of the record, or path of the object in it.
        name: Name of the field.
        shown_value: Short description of its value.
        expected: What it should be.

    Attributes:
        name: Name of the field.
        expected: What it should be.
    """

    def __init__(self, place: str, name: str, shown_value: str, expected: str) -> None:
        super().__init__(f"{place}: {name} is {shown_value}; expected {expected}")
        self.name = name
        self.expected = expected
