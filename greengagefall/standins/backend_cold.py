"""Cold starts of the backend server stand-in."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from greengagefall.standins.backend_records import ColdRecord

if TYPE_CHECKING:
    from greengagefall.standins.backend_records import Records

COLD_SERVICE_FACTOR = 2.0
OVERLOAD_FACTOR = 4.0
OVERLOAD_S = 0.5


class ColdStart:
    """Tracks whether the server is in cold start, and how that limits and slows its requests.

    A cold server that gets more concurrent requests than ``cold_slots`` refuses the excess and
    serves the others more slowly for ``OVERLOAD_S``.

    Args:
        cold_slots: Number of concurrent requests that the server can serve in cold start.
        records: Receives a record of each cold start.
    """

    def __init__(self, cold_slots: int, records: Records) -> None:
        self._cold_slots = cold_slots
        self._records = records
        self._until_s = 0.0
        self._announced = True
        self._overloaded_until_s = 0.0

    def begin(self, cold_s: float, *, announced: bool, at_start: bool = False) -> None:
        """Starts a cold start of ``cold_s`` seconds."""
        now_s = time.monotonic()
        self._until_s = now_s + cold_s
        self._announced = announced
        record = ColdRecord(
            from_s=self._records.wall_s(now_s),
            until_s=self._records.wall_s(self._until_s),
            cold_slots=self._cold_slots,
            announced=announced,
            at_start=at_start,
            refused_s=0.0,
            incarnation=self._records.incarnation,
        )
        self._records.cold_starts.append(record)
        self._records.append_to_journal("cold", record)

    def is_cold(self) -> bool:
        """Returns whether the server is in cold start."""
        return time.monotonic() < self._until_s

    def is_announced(self) -> bool:
        """Returns whether the server reports to callers that it is in cold start."""
        return self._announced and self.is_cold()

    def admits(self, in_flight: int) -> bool:
        """Returns whether a request is admitted besides ``in_flight`` others.

        A refusal overloads the server: requests take longer until ``OVERLOAD_S`` have passed.
        """
        if not self.is_cold() or in_flight < self._cold_slots:
            return True
        now_s = time.monotonic()
        self._overloaded_until_s = now_s + OVERLOAD_S
        record = self._records.cold_starts[-1]
        if record["refused_s"] == 0.0:
            record["refused_s"] = self._records.wall_s(now_s)
            self._records.append_to_journal("cold", record)
        return False

    def service_factor(self) -> float:
        """Returns the factor by which service times are multiplied now."""
        factor = COLD_SERVICE_FACTOR if self.is_cold() else 1.0
        if time.monotonic() < self._overloaded_until_s:
            factor *= OVERLOAD_FACTOR
        return factor
