"""Bounds the memory that messages hold on their way between hosts."""

from __future__ import annotations

from typing import Protocol

DEFAULT_BUDGET_BYTES = 32 * 1024 * 1024


class Budget(Protocol):
    """An account of memory."""

    def reserve(self, size_bytes: int) -> bool:
        """Reserves memory; returns whether there was enough, without waiting."""

    def release(self, size_bytes: int) -> None:
        """Returns memory that was reserved."""


class MemoryBudget:
    """Account of memory with a fixed limit.

    Args:
        limit_bytes: Bytes that may be reserved at the same time.

    Attributes:
        reserved_bytes: Bytes that are reserved now.
        peak_bytes: Most bytes that were reserved at the same time.
    """

    def __init__(self, limit_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.peak_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserves memory; returns whether there was enough."""
        if self.reserved_bytes + size_bytes > self._limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.reserved_bytes)
        return True

    def release(self, size_bytes: int) -> None:
        """Returns memory that was reserved."""
        self.reserved_bytes -= size_bytes
