"""Errors of the entry layer."""

from __future__ import annotations


class EntryError(Exception):
    """Base class of all errors of the entry layer."""


class StartError(EntryError):
    """The entry host failed to start."""
