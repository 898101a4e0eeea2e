"""Errors of the coordination layer."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base of all errors of this layer."""


class VersionGapError(CoordinationError):
    """A delta does not follow the current version of the slice map.

    Attributes:
        held: Current version of the slice map.
        offered: Version of the delta.
    """

    def __init__(self, held: int, offered: int) -> None:
        super().__init__(f"delta {offered} does not follow version {held}")
        self.held = held
        self.offered = offered


class InvalidDeltaError(CoordinationError):
    """A delta breaks a rule of slice ownership."""


class InvalidDocumentError(CoordinationError):
    """A document does not have the expected form."""
