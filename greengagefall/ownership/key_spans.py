"""Spans of keys, and what is left of them without others."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class KeySpan(NamedTuple):
    """A span of keys, both ends inclusive."""

    first: int
    last: int

    def without(self, other: KeySpan) -> list[KeySpan]:
        """Returns the parts of this span that are not in another one."""
        parts = (
            KeySpan(self.first, min(self.last, other.first - 1)),
            KeySpan(max(self.first, other.last + 1), self.last),
        )
        return [part for part in parts if part.first <= part.last]

    def overlaps(self, other: KeySpan) -> bool:
        """Returns whether the spans share a key."""
        return self.first <= other.last and other.first <= self.last


def without_all(spans: list[KeySpan], holes: Iterable[KeySpan]) -> list[KeySpan]:
    """Returns the parts of spans that are in none of the holes."""
    for hole in holes:
        spans = [part for span in spans for part in span.without(hole)]
    return spans
