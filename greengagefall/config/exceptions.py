"""Errors raised for invalid settings."""

from __future__ import annotations


class SettingsError(Exception):
    """A setting is missing or its value is not allowed.

    Attributes:
        flag: Flag of the setting, such as ``--http-listen``.
        reason: The rejected value and the allowed values.
    """

    def __init__(self, flag: str, reason: str) -> None:
        super().__init__(f"{flag}: {reason}")
        self.flag = flag
        self.reason = reason
