"""Errors of the coordinator."""

from __future__ import annotations


class CoordinatorError(Exception):
    """Base of all errors of this layer."""


class RecordError(CoordinatorError):
    """A record in the store is not of the expected form.

    Attributes:
        key: Key of the record.
    """

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"{key}: {why}")
        self.key = key


class WriteError(CoordinatorError):
    """A write to the store failed, or whether it took effect is not known."""
