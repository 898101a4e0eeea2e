"""Tracks which server holds which keys when, and finds keys that two servers hold at once."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.model import LAST_KEY

if TYPE_CHECKING:
    from collections.abc import Iterator


class Hold(NamedTuple):
    """Keys that a server held for a while; ``until_s`` is the end if nothing ends it before."""

    server_id: str
    first: int
    last: int
    from_s: float
    until_s: float


class Overlap(NamedTuple):
    """Keys that two servers held at once."""

    server_ids: tuple[str, str]
    first: int
    last: int
    from_s: float
    until_s: float


class BegunRequest(NamedTuple):
    """A request that a server began to execute."""

    server_id: str
    key: int
    at_s: float


class HoldLog:
    """The keys that servers hold and held, by the grants that count for one rule."""

    def __init__(self) -> None:
        self._current: dict[str, list[Hold]] = defaultdict(list)
        self._ended: list[Hold] = []

    def grant(self, hold: Hold) -> None:
        """Adds keys that a server holds from now on; its earlier grants of these keys end."""
        self.release(hold.server_id, hold.first, hold.last, hold.from_s)
        self._current[hold.server_id].append(hold)

    def release(self, server_id: str, first: int, last: int, now_s: float) -> None:
        """Ends what a server holds of a key range."""
        kept = []
        for hold in self._current[server_id]:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            self._ended.append(hold._replace(until_s=min(hold.until_s, now_s)))
            for low, high in ((hold.first, first - 1), (last + 1, hold.last)):
                if low <= high and now_s < hold.until_s:
                    kept.append(hold._replace(first=low, last=high, from_s=now_s))
        self._current[server_id] = kept

    def restart(self, server_id: str, now_s: float) -> None:
        """Ends all that a server holds."""
        self.release(server_id, 0, LAST_KEY, now_s)

    def overlaps(self, now_s: float) -> list[Overlap]:
        """Returns the keys that two servers held at once until now."""
        current = itertools.chain.from_iterable(self._current.values())
        holds = [hold._replace(until_s=min(hold.until_s, now_s)) for hold in current]
        holds += self._ended
        bounds = {hold.first for hold in holds} | {hold.last + 1 for hold in holds}
        return [
            overlap
            for first, end in itertools.pairwise(sorted(bounds))
            for overlap in _overlaps_at(first, end - 1, holds)
        ]


def _overlaps_at(first: int, last: int, holds: list[Hold]) -> Iterator[Overlap]:
    """Yields the overlaps of keys which each hold has either all or none of."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for hold in sorted(holds, key=lambda hold: hold.from_s):
        if not hold.first <= first <= hold.last or hold.until_s <= hold.from_s:
            continue
        held = spans[hold.server_id]
        # Renewals make one span.
        from_s = held.pop()[0] if held and held[-1][1] >= hold.from_s else hold.from_s
        held.append((from_s, hold.until_s))
    for one, other in itertools.combinations(sorted(spans), 2):
        for (one_from_s, one_until_s), (from_s, until_s) in itertools.product(
            spans[one], spans[other]
        ):
            overlap_s = max(one_from_s, from_s), min(one_until_s, until_s)
            if overlap_s[0] < overlap_s[1]:
                yield Overlap((one, other), first, last, *overlap_s)


def with_requests_of_both(
    overlaps: list[Overlap], requests: list[BegunRequest]
) -> Iterator[Overlap]:
    """Yields overlaps in which a server began a request while the other server did so, too.

    The other server's request may be for other keys that both hold at the same time.
    """
    began = [
        (overlap, request.server_id)
        for overlap in overlaps
        for request in requests
        if request.server_id in overlap.server_ids
        and overlap.first <= request.key <= overlap.last
        and overlap.from_s <= request.at_s < overlap.until_s
    ]
    for (one, one_id), (other, other_id) in itertools.combinations(began, 2):
        same_servers = one.server_ids == other.server_ids and one_id != other_id
        if same_servers and one.from_s < other.until_s and other.from_s < one.until_s:
            yield one
