"""Finds the most frequent keys of a stream in bounded memory.

Implements Space-Saving (Metwally, Agrawal and El Abbadi, 2005): when all counters are in use, a
new key replaces the key with the lowest count. It starts at that count, which is also recorded
as its maximum error.
"""

from __future__ import annotations

import heapq
import logging
from typing import NamedTuple

log = logging.getLogger(__name__)


class HotKey(NamedTuple):
    """A frequent key.

    Attributes:
        key: The key.
        count: Upper bound of its weight.
        error: How much of ``count`` may belong to other keys.
    """

    key: str
    count: float
    error: float


class SpaceSaving:
    """Space-Saving sketch with at most ``capacity`` counters."""

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError(f"capacity is {capacity}, expected at least 1")
        self._capacity = capacity
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def add(self, key: str, weight: float = 1.0) -> None:
        """Adds ``weight`` to the count of ``key``."""
        if key in self._counts:
            self._counts[key] += weight
            return
        error = 0.0
        if len(self._counts) >= self._capacity:
            error = self._evict()
        self._counts[key] = error + weight
        self._errors[key] = error
        heapq.heappush(self._heap, (self._counts[key], key))

    def top(self, size: int) -> list[HotKey]:
        """Returns the ``size`` keys with the highest counts, highest first."""
        ordered = heapq.nlargest(size, self._counts.items(), key=lambda entry: entry[1])
        return [HotKey(key, count, self._errors[key]) for key, count in ordered]

    def __len__(self) -> int:
        return len(self._counts)

    def _evict(self) -> float:
        while True:
            heap_count, key = heapq.heappop(self._heap)
            count = self._counts[key]
            if count > heap_count:
                heapq.heappush(self._heap, (count, key))
                continue
            del self._counts[key]
            del self._errors[key]
            return count
