"""Tracks how long a backend server may hold keys under the grants that this host sent.

A grant is in force from its arrival at the server for the grant duration, measured by the server's
clock. An answered call arrived no later than its answer. An unanswered call of a running host
arrives at most ``MAX_DELIVERY_DELAY_S`` after it was sent, or until its connection was reset if
that is later. What a killed host sent may arrive after that; ``gateway.fence_notices`` handles it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.ownership.key_spans import KeySpan

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

GRANT_DURATION_S = 2.5
RENEW_INTERVAL_S = 0.6
# Fraction by which a server's clock may run slower than the clock of this host.
CLOCK_RATE_MARGIN = 0.02
CLOCK_MARGIN_S = 0.05
# Longest time from sending a call without an answer to its assumed arrival at the server.
MAX_DELIVERY_DELAY_S = 0.5


class KeyGrantTracker:
    """Tracks the grants that were sent to one backend server.

    Args:
        clock: Clock that counts suspended time.
        grant_duration_s: Duration that is sent with each grant.
    """

    def __init__(self, clock: Clock, grant_duration_s: float = GRANT_DURATION_S) -> None:
        self._clock = clock
        self._max_lifetime_s = max_grant_lifetime_s(grant_duration_s)
        self._grant_duration_s = grant_duration_s
        self._expiries_s: dict[tuple[int, int], float] = {}
        self._confirmed: dict[tuple[int, int, int], float] = {}

    def record_sent(self, first: int, last: int) -> None:
        """Records a grant; call it just before the grant is sent."""
        self._extend_expiry(
            first, last, self._clock.now_s() + MAX_DELIVERY_DELAY_S + self._max_lifetime_s
        )

    def record_given_up(self, first: int, last: int) -> None:
        """Records that an unanswered grant can no longer arrive, its connection being reset."""
        self._extend_expiry(first, last, self._clock.now_s() + self._max_lifetime_s)

    def record_granted(self, first: int, last: int, fence: int, sent_s: float) -> None:
        """Records that the server accepted a grant that was sent at ``sent_s``."""
        self._extend_expiry(first, last, self._clock.now_s() + self._max_lifetime_s)
        self._drop_expired_confirmed()
        known_s = self._confirmed.get((first, last, fence), 0.0)
        self._confirmed[first, last, fence] = max(known_s, sent_s + self._grant_duration_s)

    def discard_confirmed(self, first: int, last: int) -> None:
        """Removes keys that the server released or lost from the confirmed grants."""
        released = KeySpan(first, last)
        self._confirmed = {
            (*part, fence): until_s
            for (start, end, fence), until_s in self._confirmed.items()
            for part in KeySpan(start, end).without(released)
        }

    def holds(self, key: int, fence: int) -> bool:
        """Returns whether the server certainly holds a key under a fencing token."""
        now_s = self._clock.now_s()
        return any(
            first <= key <= last and granted_fence == fence and until_s > now_s
            for (first, last, granted_fence), until_s in self._confirmed.items()
        )

    def held_until_s(self, first: int, last: int, fence: int) -> float:
        """Returns until when the server certainly holds a range that was granted as it is."""
        return self._confirmed.get((first, last, fence), 0.0)

    def grants_expired_by_s(self, first: int, last: int) -> float:
        """Returns the time from which no grant of this host is in force for any of the keys."""
        self._drop_expired()
        expiries_s = [
            expires_s
            for bounds, expires_s in self._expiries_s.items()
            if KeySpan(*bounds).overlaps(KeySpan(first, last))
        ]
        return max(expiries_s, default=0.0)

    def _extend_expiry(self, first: int, last: int, expires_s: float) -> None:
        known_s = self._expiries_s.get((first, last), 0.0)
        self._expiries_s[first, last] = max(known_s, expires_s)

    def _drop_expired_confirmed(self) -> None:
        now_s = self._clock.now_s()
        self._confirmed = {
            grant: until_s for grant, until_s in self._confirmed.items() if until_s > now_s
        }

    def _drop_expired(self) -> None:
        now_s = self._clock.now_s()
        self._expiries_s = {
            bounds: expires_s for bounds, expires_s in self._expiries_s.items() if expires_s > now_s
        }


def max_grant_lifetime_s(grant_duration_s: float = GRANT_DURATION_S) -> float:
    """Returns how long after its arrival a grant may be in force by this host's clock."""
    return grant_duration_s * (1 + CLOCK_RATE_MARGIN) + CLOCK_MARGIN_S
