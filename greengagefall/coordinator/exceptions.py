"""Errors of the coordinator."""

from __future__ import annotations


class CoordinatorError(Exception):
    """Base of all errors of the coordinator."""


class RecordError(CoordinatorError):
    """A record in the store does not have the expected form.

    Attributes:
        key: Key of the record.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key


class WriteError(CoordinatorError):
    """A write to the store failed or its outcome is unknown."""
