"""The state that a dispatcher keeps of the grants of one backend server.

A grant's expiry is a time of the *server's* clock: a clock reading from the server plus the grant
duration. So a delayed delivery does not extend a grant. By the dispatcher's clock the grant has
certainly expired (1 + rate margin) grant durations after the dispatcher received the reading.

Grants of an earlier dispatcher are based on readings that it received before its right ended, and
therefore before this dispatcher's right began. So they expire within the same time after this
dispatcher's right began.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination.dispatch_right import CLOCK_RATE_MARGIN, NEVER_S
from greengagefall.coordination.model import GrantRange
from greengagefall.utils.invariants import check

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.coordination.slice_map import SliceMap
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

GRANT_TTL_S = 1.5
GRANT_RENEW_INTERVAL_S = 0.4
MS_PER_S = 1000

RELEASED_CONFIRMED = "confirmed"
RELEASED_EXPIRED = "ran_out"
RELEASED_OTHER_INCARNATION = "other_incarnation"
NOT_RELEASED_NO_RIGHT = "no_right"
NOT_RELEASED_MAP_TOO_OLD = "map_too_old"
NOT_RELEASED_NOT_STORED = "not_stored_by_witnesses"
NOT_RELEASED_MAY_HOLD = "may_still_hold"


class ClockReading(NamedTuple):
    """A reading of a server's clock.

    Attributes:
        incarnation: Incarnation of the server.
        now_ms: Time of the server's clock.
        received_at_s: Time of the dispatcher's clock after the answer arrived.
    """

    incarnation: str
    now_ms: int
    received_at_s: float


class Grant(NamedTuple):
    """A grant to send to a server.

    Attributes:
        incarnation: Incarnation of the server that the grant is for.
        fence: The dispatcher's fence.
        map_version: Slice map version it was made from.
        until_ms: Expiry by the server's clock.
        runs: Granted slice ranges; none of them is granted to another server.
    """

    incarnation: str
    fence: int
    map_version: int
    until_ms: int
    runs: tuple[GrantRange, ...]


class SentGrant(NamedTuple):
    """A grant that was sent and may still be in force.

    Attributes:
        grant: The grant.
        expired_by_s: Time of the dispatcher's clock at which the grant has certainly expired.
    """

    grant: Grant
    expired_by_s: float


class GrantTracker:
    """Grants of one backend server under one dispatch right.

    The caller calls ``reset_for_right`` each time that the right is gained, with a new fence.

    Attributes:
        server_key: ``back end/server``.
        fence: Fence of the dispatch right, 0 before the first right.
        incarnation: Incarnation of the server that answered last, empty before the first answer.
    """

    def __init__(
        self,
        server_key: str,
        clock: Clock,
        ttl_s: float = GRANT_TTL_S,
        rate_margin: float = CLOCK_RATE_MARGIN,
    ) -> None:
        self.server_key = server_key
        self.server = server_key.partition("/")[2]
        self.fence = 0
        self.incarnation = ""
        self._clock = clock
        self._ttl_s = ttl_s
        self._max_validity_s = ttl_s * (1 + rate_margin)
        self._reading: ClockReading | None = None
        self._earlier_grants_expired_by_s = float("inf")
        self._sent: list[SentGrant] = []
        self._confirmed_version = -1
        self._restarted_at_s = NEVER_S
        self._answers_valid_from_s = NEVER_S

    def reset_for_right(self, fence: int) -> None:
        """Resets the state for a right that was just gained.

        Call it before the first grant under the fence, but not before the right began: the expiry
        of earlier dispatchers' grants is counted from this call.
        """
        self.fence = fence
        self.incarnation = ""
        self._reading = None
        self._sent.clear()
        self._confirmed_version = -1
        self._restarted_at_s = NEVER_S
        self._answers_valid_from_s = self._clock.now_s()
        self._earlier_grants_expired_by_s = self._answers_valid_from_s + self._max_validity_s

    def record_clock_reading(self, incarnation: str, now_ms: int, sent_at_s: float) -> None:
        """Records the clock reading in an answer of the server that has just arrived.

        A new incarnation holds none of the grants of the previous incarnation. Earlier dispatchers
        had stopped before this one sent its first request to the previous incarnation, so none of
        them can have granted anything to the new one.

        Args:
            incarnation: The server's incarnation.
            now_ms: Time of the server's clock.
            sent_at_s: Time of the dispatcher's clock before it sent the request. An answer to a
                request sent before the right began, or before the current incarnation was first
                seen, may describe an earlier state and is ignored.
        """
        if sent_at_s < self._answers_valid_from_s:
            return
        now_s = self._clock.now_s()
        if incarnation != self.incarnation:
            self._start_incarnation(incarnation, now_s)
        elif self._reading and now_ms <= self._reading.now_ms:
            return
        self._reading = ClockReading(incarnation, now_ms, now_s)

    def issue_grant(self, slice_map: SliceMap, map_floor: int) -> Grant | None:
        """Returns the grant to send now and records it as sent.

        Args:
            slice_map: The newest slice map that this host has.
            map_floor: ``DispatchRight.map_floor()``.

        Returns:
            ``None`` without a reading of the server's clock or a fence, or if the map is older than
            the floor, because slices may have been released since.
        """
        reading = self._reading
        if reading is None or not self.fence or slice_map.version < map_floor:
            return None
        expired_by_s = reading.received_at_s + self._max_validity_s
        owned = slice_map.owned_by(self.server)
        grant = Grant(
            incarnation=reading.incarnation,
            fence=self.fence,
            map_version=slice_map.version,
            until_ms=reading.now_ms + round(self._ttl_s * MS_PER_S),
            runs=tuple(
                GrantRange(slice_range.first, slice_range.last, slice_range.fence)
                for slice_range in owned
            ),
        )
        self._drop_expired_grants()
        newest = max((sent.grant.map_version for sent in self._sent), default=0)
        if not check(grant.map_version >= newest, "grant_map_version", server=self.server_key):
            return None
        self._sent.append(SentGrant(grant, expired_by_s))
        return grant

    def record_grant_ack(self, grant: Grant, released: bool) -> None:
        """Records that a server accepted a grant.

        Args:
            grant: The accepted grant; the server refuses older ones from then on.
            released: Whether no request is in flight on slices outside the grant.
        """
        if released and grant.fence == self.fence and grant.incarnation == self.incarnation:
            self._confirmed_version = max(self._confirmed_version, grant.map_version)

    def may_hold_grant(self, slice_id: int) -> bool:
        """Returns whether a grant of a slice may be in force now."""
        return self._clock.now_s() < self.grants_expired_by_s([(slice_id, slice_id)])

    def grants_expired_by_s(self, bounds: Iterable[tuple[int, int]]) -> float:
        """Returns when all grants of these slices, of any dispatcher so far, have expired.

        Args:
            bounds: Pairs of first and last slice.
        """
        self._drop_expired_grants()
        wanted = list(bounds)
        sent_expiries_s = [
            sent.expired_by_s for sent in self._sent if _overlaps(sent.grant.runs, wanted)
        ]
        return max([self._earlier_grants_expired_by_s, *sent_expiries_s])

    def release_reason(self, bounds: Iterable[tuple[int, int]], release_version: int) -> str:
        """Returns the reason why the server certainly holds none of the slices.

        The result is empty if the server may still hold some.

        Args:
            bounds: Pairs of first and last slice.
            release_version: Slice map version in which the slices are ``releasing``.
        """
        if self._confirmed_version >= release_version:
            return RELEASED_CONFIRMED
        expired_by_s = self.grants_expired_by_s(bounds)
        if self._clock.now_s() < expired_by_s:
            return ""
        return (
            RELEASED_OTHER_INCARNATION if expired_by_s == self._restarted_at_s else RELEASED_EXPIRED
        )

    def _start_incarnation(self, incarnation: str, now_s: float) -> None:
        if self.incarnation:
            self._sent.clear()
            self._confirmed_version = -1
            self._earlier_grants_expired_by_s = self._restarted_at_s = now_s
        self.incarnation = incarnation
        self._answers_valid_from_s = now_s

    def _drop_expired_grants(self) -> None:
        now_s = self._clock.now_s()
        self._sent = [sent for sent in self._sent if now_s < sent.expired_by_s]


class ReleasePreconditions(NamedTuple):
    """Dispatcher state on which the answer to a ``Release`` depends.

    Attributes:
        may_send: ``DispatchRight.may_send()``.
        stored_version: ``DispatchRight.stored_map_version()``.
        map_version: Version of the slice map that this host has.
    """

    may_send: bool
    stored_version: int
    map_version: int


def evaluate_release(
    tracker: GrantTracker,
    state: ReleasePreconditions,
    bounds: Iterable[tuple[int, int]],
    release_version: int,
) -> tuple[bool, str]:
    """Returns whether slices count as released, and the reason why or why not.

    This dispatcher's own map must include the release so that it never grants the slices again,
    the server must no longer hold them, and a majority of witnesses must store the version so
    that no later dispatcher of the server grants them from an older map.

    Args:
        tracker: Tracker of the server's grants.
        state: The dispatcher's state.
        bounds: Pairs of first and last slice.
        release_version: Slice map version in which the slices are ``releasing``.
    """
    if not state.may_send:
        return False, NOT_RELEASED_NO_RIGHT
    if state.map_version < release_version:
        return False, NOT_RELEASED_MAP_TOO_OLD
    if state.stored_version < release_version:
        return False, NOT_RELEASED_NOT_STORED
    reason = tracker.release_reason(bounds, release_version)
    return bool(reason), reason or NOT_RELEASED_MAY_HOLD


def _overlaps(ranges: Iterable[GrantRange], bounds: list[tuple[int, int]]) -> bool:
    return any(
        granted.first <= last and first <= granted.last
        for granted in ranges
        for first, last in bounds
    )
