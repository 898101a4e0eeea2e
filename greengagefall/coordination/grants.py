"""What a dispatcher knows of the grants of one backend server.

A grant's expiry is on the *server's* clock: a reading that the server gave plus the time to live.
So a grant that is delayed on its way gains nothing by the delay, and by the dispatcher's clock it
has certainly ended one time to live, times 1 + margin, after the dispatcher received the reading.

Grants of an earlier dispatcher rest on readings that it received before its right ended, thus
before this dispatcher's right began. So they end within the same time of that beginning.
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
        now_ms: The server's clock.
        received_at_s: Dispatcher's clock after the answer arrived.
    """

    incarnation: str
    now_ms: int
    received_at_s: float


class Grant(NamedTuple):
    """A grant to send to a server.

    Attributes:
        incarnation: Incarnation of the server that it is for.
        fence: Dispatcher's fence.
        map_version: Slice map version it was made from.
        until_ms: Expiry by the server's clock.
        runs: Granted slices; none of them are granted to another server.
    """

    incarnation: str
    fence: int
    map_version: int
    until_ms: int
    runs: tuple[GrantRange, ...]


class SentGrant(NamedTuple):
    """A grant that was sent and may still be in force.

    Attributes:
        grant: What was sent.
        expired_by_s: Dispatcher's clock at which it has certainly ended.
    """

    grant: Grant
    expired_by_s: float


class GrantTracker:
    """Grants of one backend server under one dispatch right.

    ``reset_for_right`` is called when the right was gained; each gain has another fence.

    Attributes:
        server_key: ``back end/server``.
        fence: Fence of the dispatch right, 0 before the first.
        incarnation: Incarnation of the server that answered last, empty for none.
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
        self._span_s = ttl_s * (1 + rate_margin)
        self._reading: ClockReading | None = None
        self._earlier_end_at_s = float("inf")
        self._sent: list[SentGrant] = []
        self._confirmed_version = -1
        self._restarted_at_s = NEVER_S
        self._met_at_s = NEVER_S

    def reset_for_right(self, fence: int) -> None:
        """Starts anew under a right that was just gained.

        It has to be called before the first grant under the fence, and not before the right
        began: grants of earlier dispatchers are counted from this moment.
        """
        self.fence = fence
        self.incarnation = ""
        self._reading = None
        self._sent.clear()
        self._confirmed_version = -1
        self._restarted_at_s = NEVER_S
        self._met_at_s = self._clock.now_s()
        self._earlier_end_at_s = self._met_at_s + self._span_s

    def record_clock_reading(self, incarnation: str, now_ms: int, asked_at_s: float) -> None:
        """Takes a reading out of any answer of the server that has just arrived.

        Another incarnation than before holds nothing of what was granted to the one before.
        Earlier dispatchers had stopped before this one asked the former incarnation, so that none
        of them can have granted anything to the new one.

        Args:
            incarnation: The server's incarnation.
            now_ms: The server's clock.
            asked_at_s: Dispatcher's clock before it sent the request. An answer to a request
                sent before the right began, or before the present incarnation was first met,
                may tell of a former state and is not used.
        """
        if asked_at_s < self._met_at_s:
            return
        now_s = self._clock.now_s()
        if incarnation != self.incarnation:
            self._meet(incarnation, now_s)
        elif self._reading and now_ms <= self._reading.now_ms:
            return
        self._reading = ClockReading(incarnation, now_ms, now_s)

    def issue_grant(self, slice_map: SliceMap, map_floor: int) -> Grant | None:
        """Returns the grant to send now and remembers it as sent.

        Args:
            slice_map: The newest slice map that is held here.
            map_floor: ``DispatchRight.map_floor()``.

        Returns:
            ``None`` without a reading of the server's clock, or if the map is older than the
            floor: slices may have been released since.
        """
        reading = self._reading
        if reading is None or not self.fence or slice_map.version < map_floor:
            return None
        ended_at_s = reading.received_at_s + self._span_s
        owned = slice_map.owned_by(self.server)
        grant = Grant(
            incarnation=reading.incarnation,
            fence=self.fence,
            map_version=slice_map.version,
            until_ms=reading.now_ms + round(self._ttl_s * MS_PER_S),
            runs=tuple(GrantRange(run.first, run.last, run.fence) for run in owned),
        )
        self._forget_ended()
        newest = max((sent.grant.map_version for sent in self._sent), default=0)
        if not check(grant.map_version >= newest, "grant_map_version", server=self.server_key):
            return None
        self._sent.append(SentGrant(grant, ended_at_s))
        return grant

    def record_grant_ack(self, grant: Grant, released: bool) -> None:
        """Takes a server's consent to a grant.

        Args:
            grant: The grant that it accepted; it refuses older ones from then on.
            released: Whether no request is in flight on slices outside the grant.
        """
        if released and grant.fence == self.fence and grant.incarnation == self.incarnation:
            self._confirmed_version = max(self._confirmed_version, grant.map_version)

    def may_hold_grant(self, slice_id: int) -> bool:
        """Returns whether a grant that was sent may hold for a slice now."""
        return self._clock.now_s() < self.grants_expired_by_s([(slice_id, slice_id)])

    def grants_expired_by_s(self, bounds: Iterable[tuple[int, int]]) -> float:
        """Returns when no grant of any dispatcher so far can hold for these slices.

        Args:
            bounds: Pairs of first and last slice.
        """
        self._forget_ended()
        wanted = list(bounds)
        ends = [sent.expired_by_s for sent in self._sent if _overlaps(sent.grant.runs, wanted)]
        return max([self._earlier_end_at_s, *ends])

    def release_reason(self, bounds: Iterable[tuple[int, int]], release_version: int) -> str:
        """Returns why the server certainly holds none of the slices, or empty if it may.

        Args:
            bounds: Pairs of first and last slice.
            release_version: Slice map version in which the slices are ``releasing``.
        """
        if self._confirmed_version >= release_version:
            return RELEASED_CONFIRMED
        ended_at_s = self.grants_expired_by_s(bounds)
        if self._clock.now_s() < ended_at_s:
            return ""
        return (
            RELEASED_OTHER_INCARNATION if ended_at_s == self._restarted_at_s else RELEASED_EXPIRED
        )

    def _meet(self, incarnation: str, now_s: float) -> None:
        if self.incarnation:
            self._sent.clear()
            self._confirmed_version = -1
            self._earlier_end_at_s = self._restarted_at_s = now_s
        self.incarnation = incarnation
        self._met_at_s = now_s

    def _forget_ended(self) -> None:
        now_s = self._clock.now_s()
        self._sent = [sent for sent in self._sent if now_s < sent.expired_by_s]


class ReleasePreconditions(NamedTuple):
    """What a dispatcher's answer to a ``Release`` rests on.

    Attributes:
        may_send: ``DispatchRight.may_send()``.
        stored_version: ``DispatchRight.stored_map_version()``.
        map_version: Version of the slice map that is held here.
    """

    may_send: bool
    stored_version: int
    map_version: int


def evaluate_release(
    ledger: GrantTracker,
    state: ReleasePreconditions,
    bounds: Iterable[tuple[int, int]],
    release_version: int,
) -> tuple[bool, str]:
    """Returns whether slices count as released, and how or why not yet.

    The slices have to be out of this dispatcher's own map for good, the server has to be free of
    them, and a majority of witnesses has to store the version, so that no later dispatcher of
    the server grants them by an older map.

    Args:
        ledger: The server's grants.
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
    how = ledger.release_reason(bounds, release_version)
    return bool(how), how or NOT_RELEASED_MAY_HOLD


def _overlaps(runs: Iterable[GrantRange], bounds: list[tuple[int, int]]) -> bool:
    return any(run.first <= last and first <= run.last for run in runs for first, last in bounds)
