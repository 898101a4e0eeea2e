"""Limits on the requests of one caller in flight at an entry host."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagefall.limits.exceptions import (
    CALLER_OVER_FAIR_SHARE,
    CALLER_OVER_LIMIT,
    ENTRY_OVER_LIMIT,
    LimitRefusal,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

log = logging.getLogger(__name__)

DEFAULT_CROWDED_SHARE = 0.75
RETRY_AFTER_MS = 200


class CallerLimiter:
    """Counts and limits requests in flight by caller.

    Only callers with a request in flight are stored, so memory is bounded by
    ``entry_in_flight``. Once the fraction ``crowded_share`` of it is in use, a caller may
    not exceed its fair share, which leaves capacity for the others.
    """

    def __init__(
        self,
        caller_in_flight: int,
        entry_in_flight: int,
        tuning: Mapping[str, float] | None = None,
    ) -> None:
        tuning = tuning or {}
        self._caller_limit = caller_in_flight
        self._entry_limit = entry_in_flight
        self._crowded_share = tuning.get("crowded_share", DEFAULT_CROWDED_SHARE)
        self._in_flight: dict[str, int] = {}
        self._total = 0

    @property
    def in_flight(self) -> int:
        """Number of requests in flight of all callers."""
        return self._total

    @property
    def active_callers(self) -> int:
        """Number of callers with a request in flight."""
        return len(self._in_flight)

    def set_limits(self, caller_in_flight: int, entry_in_flight: int) -> None:
        """Sets new limits; requests in flight stay counted."""
        self._caller_limit = caller_in_flight
        self._entry_limit = entry_in_flight

    def try_acquire(self, caller: str) -> Result[None, LimitRefusal]:
        """Counts a request of ``caller``, or returns why it is refused."""
        own = self._in_flight.get(caller, 0)
        if self._total >= self._entry_limit:
            return Err(LimitRefusal(ENTRY_OVER_LIMIT, RETRY_AFTER_MS))
        if own >= self._caller_limit:
            return Err(LimitRefusal(CALLER_OVER_LIMIT, RETRY_AFTER_MS))
        if self._crowded() and own >= self._fair_share(own):
            return Err(LimitRefusal(CALLER_OVER_FAIR_SHARE, RETRY_AFTER_MS))
        self._in_flight[caller] = own + 1
        self._total += 1
        return Ok(None)

    def release(self, caller: str) -> None:
        """Counts the end of a request that ``try_acquire`` admitted."""
        own = self._in_flight.get(caller, 0)
        if own == 0:
            raise ValueError(
                f"Caller {caller!r} has {own} requests in flight; releasing one requires at least 1"
            )
        self._total -= 1
        if own == 1:
            del self._in_flight[caller]
            return
        self._in_flight[caller] = own - 1

    def _crowded(self) -> bool:
        return self._total >= self._crowded_share * self._entry_limit

    def _fair_share(self, own: int) -> float:
        callers = len(self._in_flight) + (1 if own == 0 else 0)
        return max(1.0, self._entry_limit * self._crowded_share / callers)
