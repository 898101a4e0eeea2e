"""Errors of the adapter to the users' platform."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of all errors of the adapter."""


class PlatformSettingsError(PlatformError):
    """The settings file misses a field or holds one of the wrong type."""


class RecordError(PlatformError):
    """A record of the store can't be read."""
