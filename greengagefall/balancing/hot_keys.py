"""The most frequent keys of a stream, in bounded memory.

Space-Saving (Metwally, Agrawal and El Abbadi, 2005): a key that is not counted takes
over the counter of the least frequent one, and its count as the possible error.
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
    """Sketch with at most ``capacity`` counters."""

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError("capacity must be at least 1")
        self._capacity = capacity
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def add(self, key: str, weight: float = 1.0) -> None:
        """Counts ``weight`` for ``key``."""
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
            noted, key = heapq.heappop(self._heap)
            count = self._counts[key]
            if count > noted:
                heapq.heappush(self._heap, (count, key))
                continue
            del self._counts[key]
            del self._errors[key]
            return count
