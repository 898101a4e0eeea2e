"""Decides when the coordinator plans moves of a service's keys, and from which load.

Keys without a usable owner are planned at every step. Moves by load wait until
``LOAD_PLAN_INTERVAL_S`` after the ones before, so that they share one version of the assignment.
The first owners of a service are planned once its servers have had time to appear.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership import planning

if TYPE_CHECKING:
    from greengagefall.gateway.host_reports import HostReports
    from greengagefall.gateway.model import ServerEntry, Service
    from greengagefall.ownership.key_moves import KeyMove
    from greengagefall.ownership.model import Assignment, KeyRange
    from greengagefall.utils.clock import Clock

# Interval between plans of moves by load.
LOAD_PLAN_INTERVAL_S = 1.0
# Moved keys stay where they are for this long, unless their server is overloaded or lost.
SETTLING_S = 10.0
# First owners are planned when no server has appeared for this long, at the latest after the
# maximum.
FIRST_OWNERS_QUIET_S = 0.8
FIRST_OWNERS_MAX_WAIT_S = 3.0


class _Arrivals(NamedTuple):
    """Servers of a service whose keys have no owners yet.

    Attributes:
        count: Number of servers.
        first_s: When the first one was seen.
        last_s: When the number last changed.
    """

    count: int
    first_s: float
    last_s: float


class _RecentMove(NamedTuple):
    """Bounds of keys that were moved, and when the move was planned."""

    first: int
    last: int
    planned_s: float


class MovePlanner:
    """Plans moves of keys for one coordinator.

    Args:
        reports: Reports of the entry hosts.
        clock: Clock that counts suspended time.
    """

    def __init__(self, reports: HostReports, clock: Clock) -> None:
        self._reports = reports
        self._clock = clock
        self._load_planned_s: dict[str, float] = {}
        self._recent_moves: dict[str, list[_RecentMove]] = {}
        self._arrivals: dict[str, _Arrivals] = {}

    def plan(
        self, assignment: Assignment, service: Service, usable: list[ServerEntry]
    ) -> list[KeyMove]:
        """Returns the moves that should begin now.

        Args:
            assignment: The newest assignment.
            service: A keyed service.
            usable: Entries of its servers that may own keys.
        """
        key_ranges = assignment.key_ranges.get(service.name, ())
        if not key_ranges and not self._servers_have_appeared(service.name, len(usable)):
            return []
        now_s = self._clock.now_s()
        by_load = (
            now_s - self._load_planned_s.get(service.name, float("-inf")) >= LOAD_PLAN_INTERVAL_S
        )
        if not by_load and not self._has_orphans(key_ranges, usable):
            return []
        plan_input = self._plan_input(key_ranges, service, usable)
        if not by_load:
            return planning.plan_urgent_moves(plan_input)
        self._load_planned_s[service.name] = now_s
        moves = planning.plan_moves(plan_input)
        self._recent_moves.setdefault(service.name, []).extend(
            _RecentMove(move.first, move.last, now_s) for move in moves
        )
        return moves

    def _plan_input(
        self, key_ranges: tuple[KeyRange, ...], service: Service, usable: list[ServerEntry]
    ) -> planning.PlanInput:
        return planning.PlanInput(
            key_ranges,
            self._reports.current_load(service.name, usable, service.cold_rate_per_s),
            self._reports.steady_load(service.name, usable, service.cold_rate_per_s),
            self._settling(service.name),
        )

    def _has_orphans(self, key_ranges: tuple[KeyRange, ...], usable: list[ServerEntry]) -> bool:
        incarnations = {entry.incarnation for entry in self._reports.usable_servers(usable)}
        return planning.has_orphans(key_ranges, incarnations)

    def _settling(self, service: str) -> tuple[tuple[int, int], ...]:
        since_s = self._clock.now_s() - SETTLING_S
        recent = [move for move in self._recent_moves.get(service, ()) if move.planned_s > since_s]
        self._recent_moves[service] = recent
        return tuple((move.first, move.last) for move in recent)

    def _servers_have_appeared(self, service: str, count: int) -> bool:
        """Returns whether enough time has passed to plan the first owners of a service."""
        now_s = self._clock.now_s()
        before = self._arrivals.get(service)
        if not count:
            return False
        if before is None:
            self._arrivals[service] = _Arrivals(count, now_s, now_s)
            return False
        if before.count != count:
            self._arrivals[service] = before._replace(count=count, last_s=now_s)
        arrivals = self._arrivals[service]
        return (
            now_s - arrivals.last_s >= FIRST_OWNERS_QUIET_S
            or now_s - arrivals.first_s >= FIRST_OWNERS_MAX_WAIT_S
        )
