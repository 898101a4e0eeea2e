"""Errors of the store layer."""

from __future__ import annotations


class StoreError(Exception):
    """Base of all errors of the store layer."""


class StoreUnavailableError(StoreError):
    """Nothing was sent, or a read got no answer; the call had no effect."""


class StoreConnectionLostError(StoreUnavailableError):
    """The connection of a read ended before its answer."""


class StoreBusyError(StoreUnavailableError):
    """The store answered that it does not serve the call now."""


class StoreOutcomeUnknownError(StoreError):
    """A write was sent and got no answer; it may have taken effect or take effect later."""


class StoreRefusedError(StoreError):
    """The service, or the client before sending, refused the call as invalid."""


class StoreLeaseLostError(StoreRefusedError):
    """The lease of a write does not exist or has expired."""


class StoreCompactedError(StoreError):
    """The revisions that a watch requested were compacted."""


class StoreRecordError(StoreError):
    """A record in the store is malformed.

    Attributes:
        key: Key of the record.
        reason: Why the record is malformed.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class HostListError(Exception):
    """The host list cannot be read or is malformed."""
