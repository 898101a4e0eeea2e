"""Gives a part of a host's memory account to code that knows no parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.memory.account import MemoryAccount


class PartBudget:
    """One part of an account, as a budget of the links between hosts.

    Args:
        account: The account of the host.
        part: Part of its budget.
    """

    def __init__(self, account: MemoryAccount, part: str) -> None:
        self._account = account
        self._part = part

    def reserve(self, size_bytes: int) -> bool:
        """Reserves memory for a whole message; returns whether there was enough.

        Ordinary answers may use the reserve of the account, so that large messages do not make
        them fail.
        """
        return self._account.reserve(self._part, size_bytes)

    def release(self, size_bytes: int) -> None:
        """Returns memory that was reserved."""
        self._account.release(self._part, size_bytes)
