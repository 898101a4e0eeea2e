"""Errors of the adapter to the users' platform."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all errors of the adapter."""


class PlatformSettingsError(PlatformError):
    """The settings file cannot be read, or a field of it is missing or malformed."""


class RecordError(PlatformError):
    """A record in the store is malformed."""
