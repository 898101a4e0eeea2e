"""Errors of the coordination layer."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base of all errors of this layer."""


class VersionGapError(CoordinationError):
    """A delta does not follow the current version of the slice map.

    Attributes:
        current_version: Version of the slice map.
        delta_version: Version of the delta; ``current_version`` + 1 was expected.
    """

    def __init__(self, current_version: int, delta_version: int) -> None:
        super().__init__(
            f"slice map delta has version {delta_version}; expected the one after {current_version}"
        )
        self.current_version = current_version
        self.delta_version = delta_version


class InvalidDeltaError(CoordinationError):
    """A delta breaks a rule of slice ownership."""


class InvalidDocumentError(CoordinationError):
    """A document does not have the expected form."""
