"""Plans and writes the changes of the slice map of one keyed back end."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from result import Err

from greengagefall.balancing.loads import usable_servers
from greengagefall.balancing.placement import PLACEMENTS, Placement
from greengagefall.balancing.zone_moves import ZONE_MOVE_POLICIES, ZoneMovePolicy
from greengagefall.coordination.model import SLICE_FREE, SLICE_RELEASING, SliceRange
from greengagefall.coordination.slice_map_changes import begin_release, initial_map, next_delta
from greengagefall.coordinator import slice_decisions as decisions
from greengagefall.coordinator.releases import ReleaseTracker
from greengagefall.coordinator.write_retry import WriteBackoff
from greengagefall.routing.model import KIND_KEYED, ZONE_IN, ZONE_LOST
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import run_logging_errors

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.balancing.loads import BackEndLoad
    from greengagefall.balancing.moves import Move
    from greengagefall.coordination.slice_map import SliceMap
    from greengagefall.coordinator.contacts import HostConnections
    from greengagefall.coordinator.records import StoreRecords
    from greengagefall.coordinator.slice_decisions import Bounds
    from greengagefall.coordinator.wakeup import Wakeup
    from greengagefall.protocol.messages import ServerStatus
    from greengagefall.routing.model import BackEnd, RoutingConfig
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
STEP_PAUSE_S = 0.1
TAKEOVER_DELAY_S = 2.0
PLAN_TIMEOUT_S = 2.0
REPORTS_TIMEOUT_S = 1.5
BALANCE_INTERVAL_S = 10.0
LOADS_INTERVAL_S = 10.0
MAX_BALANCE_MOVE_SHARE = 0.07


class SliceMapController:
    """Writes the slice map of one keyed back end while its coordinator is active."""

    def __init__(
        self,
        back_end_name: str,
        zone: str,
        records: StoreRecords,
        connections: HostConnections,
        clock: Clock,
        wakeup: Wakeup,
    ) -> None:
        """Creates the controller without starting its task.

        Args:
            back_end_name: Name of the back end.
            zone: Own availability zone.
            records: The store's records.
            connections: Connections to the zone's entry hosts.
            clock: Source of time.
            wakeup: Set when records or observations of hosts changed.
        """
        self.releases = ReleaseTracker(back_end_name, records, connections, wakeup.set)
        self._back_end_name = back_end_name
        self._zone = zone
        self._records = records
        self._connections = connections
        self._clock = clock
        self._wakeup = wakeup
        self._planned_owners: dict[int, str] = {}
        self._unowned_since_s: float | None = None
        self._zones_lost_since_s: dict[str, float] = {}
        self._planned_at_s = float("-inf")
        self._loads: BackEndLoad | None = None
        self._started_at_s = clock.now_s()
        self._balanced_at_s = clock.now_s()
        self._policies: tuple[dict[str, str], dict[str, float]] | None = None
        self._placement: Placement | None = None
        self._zone_moves: ZoneMovePolicy | None = None
        self._write_backoff = WriteBackoff()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that changes the map."""
        self._task = asyncio.create_task(self._run(), name=f"slices {self._back_end_name}")

    async def close(self) -> None:
        """Stops the task; the next coordinator continues the releases that are not finished."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.releases.close()

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait(CHECK_INTERVAL_S)
            if self._records.all_read:
                await run_logging_errors("slices", self.step())
            await asyncio.sleep(STEP_PAUSE_S + self._write_backoff.delay_s())

    async def step(self) -> None:
        """Makes the next change of the map, if one is due."""
        config = self._records.config
        back_end = config.back_ends.get(self._back_end_name)
        if back_end is None or back_end.kind != KIND_KEYED:
            return
        self._update_lost_zones(config)
        self._update_policies(back_end)
        slice_map = self._records.slice_map(self._back_end_name)
        if slice_map is None:
            await self._create_map(config, back_end)
            return
        if slice_map.slice_count != back_end.slice_count:
            count("coordinator_slice_count_conflicts", back_end=self._back_end_name)
            return
        await self._change(config, back_end, slice_map)

    async def _change(self, config: RoutingConfig, back_end: BackEnd, slice_map: SliceMap) -> None:
        if slice_map.version > 0 and not self._has_reports():
            return
        lost_for_s = self._zones_lost_for_s()
        zones = decisions.managed_zones(config, self._zone, lost_for_s, TAKEOVER_DELAY_S)
        reports = decisions.server_reports(self._connections.statuses(), self._back_end_name)
        loads = self._update_loads(reports)
        owner_loads = decisions.mark_unreported_down(loads, reports, back_end, self._zone)
        if await self._assign(config, back_end, slice_map, zones, owner_loads):
            return
        if await self._begin_releases(config, back_end, slice_map, zones, reports, loads):
            return
        self._request_releases(config, back_end, slice_map, zones)
        await self._records.compact(self._back_end_name)

    def _has_reports(self) -> bool:
        """Returns whether each member reported or ``REPORTS_TIMEOUT_S`` has passed."""
        if self._clock.now_s() - self._started_at_s >= REPORTS_TIMEOUT_S:
            return True
        record = self._records.members
        reported = {status.host for status in self._connections.statuses()}
        return record is not None and all(member.host in reported for member in record.members)

    def _update_loads(self, reports: dict[str, ServerStatus]) -> BackEndLoad:
        """Returns loads that are updated each ``LOADS_INTERVAL_S``, with the current states."""
        now_s = self._clock.now_s()
        fresh = decisions.collect_loads(
            reports, self._connections.statuses(), self._back_end_name, now_s
        )
        if self._loads is None or now_s - self._loads.observed_s >= LOADS_INTERVAL_S:
            self._loads = fresh
            return fresh
        servers = {
            name: self._loads.server_loads.get(name, load)._replace(up=load.up)
            for name, load in fresh.server_loads.items()
        }
        return self._loads._replace(server_loads=servers)

    async def _create_map(self, config: RoutingConfig, back_end: BackEnd) -> None:
        if not self._may_claim_unowned(config):
            return
        created = await self._records.create_slice_map(
            initial_map(self._back_end_name, back_end.slice_count)
        )
        self._write_backoff.record_outcome(created)
        if isinstance(created, Err):
            log.warning(
                "Slice map is not confirmed as created: %s. Trying again.", created.err_value
            )

    async def _assign(
        self,
        config: RoutingConfig,
        back_end: BackEnd,
        slice_map: SliceMap,
        zones: set[str],
        loads: BackEndLoad,
    ) -> bool:
        """Assigns owners to free and released slices; returns whether a write was attempted."""
        free = any(slice_range.state == SLICE_FREE for slice_range in slice_map.ranges())
        include_free = free and self._may_claim_unowned(config)
        if not free:
            self._unowned_since_s = None
        slice_ranges = decisions.assignable_ranges(
            slice_map, back_end, zones, self.releases.proofs, include_free
        )
        if not slice_ranges:
            return False
        entries = self._assigned_ranges(config, back_end, slice_map, slice_ranges, loads)
        if not entries:
            count("coordinator_no_owner", back_end=self._back_end_name)
            return False
        if await self._write(slice_map, entries):
            self.releases.discard_proofs(entries)
            self._discard_planned_owners(entries)
        return True

    def _assigned_ranges(
        self,
        config: RoutingConfig,
        back_end: BackEnd,
        slice_map: SliceMap,
        slice_ranges: list[SliceRange],
        loads: BackEndLoad,
    ) -> list[SliceRange]:
        fence = slice_map.version + 1
        if slice_map.version == 0:
            return self._placement.initial_ranges(
                slice_map.slice_count, back_end.servers, config.zones, fence
            )
        moves = decisions.choose_owners(
            slice_ranges, slice_map, back_end, loads, config.zones, self._planned_owners
        )
        return decisions.assigned_ranges(moves, slice_map, back_end, fence)

    async def _begin_releases(
        self,
        config: RoutingConfig,
        back_end: BackEnd,
        slice_map: SliceMap,
        zones: set[str],
        reports: dict[str, ServerStatus],
        loads: BackEndLoad,
    ) -> bool:
        """Begins the releases that are due; returns whether a write was attempted."""
        if not usable_servers(back_end.servers, loads, config.zones):
            return False
        bounds = decisions.slices_of_lost_servers(slice_map, back_end, zones, reports, config.zones)
        moves: list[Move] = []
        if self._plan_is_due(slice_map, back_end, zones):
            moves = decisions.evacuation_moves(
                slice_map, back_end, zones, loads, config.zones, self._zone_moves
            )
        if not bounds and not moves and self._balance_is_due(config, slice_map, reports):
            moves = self._balance(config, back_end, slice_map, zones, loads)
        bounds = _without_overlap(bounds, moves)
        if not bounds:
            return False
        if moves:
            self._planned_at_s = self._clock.now_s()
        if await self._write(slice_map, begin_release(slice_map, bounds)):
            self._set_planned_owners(moves)
        return True

    def _balance(
        self,
        config: RoutingConfig,
        back_end: BackEnd,
        slice_map: SliceMap,
        zones: set[str],
        loads: BackEndLoad,
    ) -> list[Move]:
        self._balanced_at_s = self._clock.now_s()
        max_slices = max(1, int(MAX_BALANCE_MOVE_SHARE * slice_map.slice_count))
        return decisions.balancing_moves(
            slice_map, back_end, zones, loads, config.zones, self._placement, max_slices
        )

    def _request_releases(
        self, config: RoutingConfig, back_end: BackEnd, slice_map: SliceMap, zones: set[str]
    ) -> None:
        servers, lost_servers = set(), set()
        for slice_range in self._releasing_ranges(slice_map, back_end, zones):
            zone = decisions.zone_of_range(slice_range, back_end)
            if zone == self._zone:
                servers.add(slice_range.owner)
            elif config.zones.get(zone) == ZONE_LOST:
                lost_servers.add(slice_range.owner)
        self.releases.start_tasks(servers, lost_servers)

    def _releasing_ranges(
        self, slice_map: SliceMap, back_end: BackEnd, zones: set[str]
    ) -> list[SliceRange]:
        return [
            slice_range
            for slice_range in slice_map.ranges()
            if slice_range.state == SLICE_RELEASING
            and decisions.is_managed(slice_range, back_end, zones)
        ]

    async def _write(self, slice_map: SliceMap, entries: Iterable[SliceRange]) -> bool:
        delta = next_delta(slice_map, entries)
        written = await self._records.write_delta(delta)
        self._write_backoff.record_outcome(written)
        if isinstance(written, Err):
            log.warning(
                "Slice map delta %d of back end %s is not confirmed as written: %s. Trying again.",
                delta.version,
                self._back_end_name,
                written.err_value,
            )
            return False
        return written.ok_value

    def _may_claim_unowned(self, config: RoutingConfig) -> bool:
        """Returns whether this zone may create the map and assign all free slices now.

        Zones in state ``in`` may do so one after another, ``TAKEOVER_DELAY_S`` apart.
        """
        now_s = self._clock.now_s()
        if self._unowned_since_s is None:
            self._unowned_since_s = now_s
        rank = decisions.zone_rank(config, self._zone)
        return rank is not None and now_s - self._unowned_since_s >= rank * TAKEOVER_DELAY_S

    def _plan_is_due(self, slice_map: SliceMap, back_end: BackEnd, zones: set[str]) -> bool:
        if self._clock.now_s() - self._planned_at_s >= PLAN_TIMEOUT_S:
            return True
        return not self._releasing_ranges(slice_map, back_end, zones)

    def _balance_is_due(
        self,
        config: RoutingConfig,
        slice_map: SliceMap,
        reports: dict[str, ServerStatus],
    ) -> bool:
        if config.zones.get(self._zone, ZONE_IN) != ZONE_IN:
            return False
        if self._clock.now_s() - self._balanced_at_s < BALANCE_INTERVAL_S:
            return False
        if any(slice_range.state == SLICE_RELEASING for slice_range in slice_map.ranges()):
            return False
        return any(report.busy_share > 0 for report in reports.values())

    def _update_policies(self, back_end: BackEnd) -> None:
        """Recreates the policies only if their settings changed, since they keep history."""
        policies_and_tuning = (back_end.policies, back_end.tuning)
        if self._policies == policies_and_tuning:
            return
        self._policies = policies_and_tuning
        placement = PLACEMENTS[back_end.policies["placement"]]
        zone_moves = ZONE_MOVE_POLICIES[back_end.policies["zone_move"]]
        self._placement = placement(self._clock, back_end.tuning)
        self._zone_moves = zone_moves(self._clock, back_end.tuning)

    def _update_lost_zones(self, config: RoutingConfig) -> None:
        lost = [zone for zone, state in config.zones.items() if state == ZONE_LOST]
        known = self._zones_lost_since_s
        self._zones_lost_since_s = {zone: known.get(zone, self._clock.now_s()) for zone in lost}

    def _zones_lost_for_s(self) -> dict[str, float]:
        now_s = self._clock.now_s()
        return {zone: now_s - since_s for zone, since_s in self._zones_lost_since_s.items()}

    def _set_planned_owners(self, moves: Iterable[Move]) -> None:
        for move in moves:
            for slice_id in range(move.first, move.last + 1):
                self._planned_owners[slice_id] = move.target

    def _discard_planned_owners(self, entries: Iterable[SliceRange]) -> None:
        for slice_range in entries:
            for slice_id in range(slice_range.first, slice_range.last + 1):
                self._planned_owners.pop(slice_id, None)


def _without_overlap(bounds: Bounds, moves: Iterable[Move]) -> Bounds:
    """Returns the bounds of both in ascending order, with each slice at most once."""
    merged: Bounds = []
    for first, last in sorted([*bounds, *((move.first, move.last) for move in moves)]):
        first = max(first, merged[-1][1] + 1) if merged else first
        if first <= last:
            merged.append((first, last))
    return merged
