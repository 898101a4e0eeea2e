"""How long a backend server may still hold keys by the grants that this host sent.

A grant holds from its arrival at the server for the hold time by the server's clock. The arrival
of an answered call is not after its answer; that of an unanswered one is bounded by
``MAX_DELIVERY_DELAY_S`` after it was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

GRANT_DURATION_S = 2.5
RENEW_INTERVAL_S = 0.6
# A server's clock may run this much slower than ours.
CLOCK_RATE_MARGIN = 0.02
CLOCK_MARGIN_S = 0.05
# Longest time for which a call without an answer is taken to be under way.
MAX_DELIVERY_DELAY_S = 0.5


class KeyGrantTracker:
    """Grants that were sent to one backend server.

    Args:
        clock: Clock that counts suspended time.
        hold_s: Hold time that the grants carry.
    """

    def __init__(self, clock: Clock, hold_s: float = GRANT_DURATION_S) -> None:
        self._clock = clock
        self._span_s = max_grant_lifetime_s(hold_s)
        self._hold_s = hold_s
        self._ends: dict[tuple[int, int], float] = {}
        self._confirmed: dict[tuple[int, int, int], float] = {}

    def record_sent(self, first: int, last: int) -> None:
        """Notes a grant just before it is sent."""
        self._extend(first, last, self._clock.now_s() + MAX_DELIVERY_DELAY_S + self._span_s)

    def record_granted(self, first: int, last: int, fence: int, sent_s: float) -> None:
        """Notes that the server took a grant that was sent at ``sent_s``."""
        self._extend(first, last, self._clock.now_s() + self._span_s)
        self._forget_unconfirmed()
        known_s = self._confirmed.get((first, last, fence), 0.0)
        self._confirmed[first, last, fence] = max(known_s, sent_s + self._hold_s)

    def discard_confirmed(self, first: int, last: int) -> None:
        """Drops what is confirmed of keys that the server gave back or lost."""
        kept: dict[tuple[int, int, int], float] = {}
        for (start, end, fence), until_s in self._confirmed.items():
            for part in ((start, min(end, first - 1)), (max(start, last + 1), end)):
                if part[0] <= part[1]:
                    kept[*part, fence] = until_s
        self._confirmed = kept

    def holds(self, key: int, fence: int) -> bool:
        """Returns whether the server certainly holds a key under a fence."""
        now_s = self._clock.now_s()
        return any(
            first <= key <= last and granted == fence and until_s > now_s
            for (first, last, granted), until_s in self._confirmed.items()
        )

    def grants_expired_by_s(self, first: int, last: int) -> float:
        """Returns when no grant of this host can hold any of the keys."""
        self._forget_ended()
        ends = [end_s for bounds, end_s in self._ends.items() if _overlap(bounds, (first, last))]
        return max(ends, default=0.0)

    def _extend(self, first: int, last: int, end_s: float) -> None:
        known_s = self._ends.get((first, last), 0.0)
        self._ends[first, last] = max(known_s, end_s)

    def _forget_unconfirmed(self) -> None:
        now_s = self._clock.now_s()
        self._confirmed = {
            bounds: until_s for bounds, until_s in self._confirmed.items() if until_s > now_s
        }

    def _forget_ended(self) -> None:
        now_s = self._clock.now_s()
        self._ends = {bounds: end_s for bounds, end_s in self._ends.items() if end_s > now_s}


def max_grant_lifetime_s(hold_s: float = GRANT_DURATION_S) -> float:
    """Returns how long a grant may hold by our clock, from its arrival."""
    return hold_s * (1 + CLOCK_RATE_MARGIN) + CLOCK_MARGIN_S


def _overlap(one: tuple[int, int], other: tuple[int, int]) -> bool:
    return one[0] <= other[1] and other[0] <= one[1]
