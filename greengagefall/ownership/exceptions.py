"""Errors of the ownership layer."""

from __future__ import annotations


class OwnershipError(Exception):
    """Base class of all errors of the ownership layer."""


class AssignmentError(OwnershipError):
    """An assignment can't be decoded."""
