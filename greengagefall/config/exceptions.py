"""Errors of settings."""

from __future__ import annotations


class SettingsError(Exception):
    """A setting is missing or not allowed.

    Attributes:
        flag: Flag of the setting, such as ``--http-listen``.
        reason: The value found and what is allowed.
    """

    def __init__(self, flag: str, why: str) -> None:
        super().__init__(f"{flag}: {why}")
        self.flag = flag
        self.reason = why
