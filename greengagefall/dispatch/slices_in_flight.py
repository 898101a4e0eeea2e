"""Counts the requests in flight by slice."""

from __future__ import annotations

from collections import Counter


class SlicesInFlight:
    """The slices whose requests were admitted and have no outcome yet."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, slice_id: int) -> None:
        """Counts a request that begins."""
        self._counts[slice_id] += 1

    def remove(self, slice_id: int) -> None:
        """Counts a request that ended."""
        self._counts[slice_id] -= 1
        if not self._counts[slice_id]:
            del self._counts[slice_id]

    def any_within(self, slice_bounds: list[list[int]]) -> bool:
        """Returns whether a request for any of these slices is in flight.

        Args:
            slice_bounds: Pairs of first and last slice.
        """
        return any(
            first <= slice_id <= last for slice_id in self._counts for first, last in slice_bounds
        )
