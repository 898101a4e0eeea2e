"""The coordinator: plans owners and dispatchers and stores the assignment.

Every change is written to the store before it takes effect, on condition that the stored
assignment is unchanged since it was read. ``range_moves`` carries out the moves of key ranges.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.gateway.assignment_recovery import AssignmentRecovery
from greengagefall.gateway.assignment_store import AssignmentStore
from greengagefall.gateway.dispatch_planning import DispatcherCandidate, plan_dispatchers
from greengagefall.gateway.host_reports import HostReports
from greengagefall.gateway.move_planning import MovePlanner
from greengagefall.gateway.notice_records import NoticeRecords
from greengagefall.gateway.publishing import AssignmentPublisher
from greengagefall.gateway.range_moves import RangeMoves
from greengagefall.gateway.server_addresses import ServerAddresses
from greengagefall.ownership import key_moves
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
)
from greengagefall.protocol.gateway_messages import BeatReply, HostBeat
from greengagefall.quotas.limited import LimitedWorkspaces
from greengagefall.quotas.role_planner import RolePlanner
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.gateway.model import Service
    from greengagefall.gateway.peers import Peers
    from greengagefall.gateway.view import ClusterView
    from greengagefall.ownership.model import KeyRange
    from greengagefall.platform.store import PlatformStore
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
TICK_S = 0.2
# A new coordinator waits at most this long for the reports of all hosts before it plans.
STARTUP_REPORT_WAIT_S = 0.8
# A released range is recorded with the next change, or after this delay if there is none.
RELEASED_WRITE_DELAY_S = 2.0
# Older than any assignment may be.
NEVER_VERIFIED_MS = 10**9


class Coordinator:
    """Runs the coordination on the elected host.

    Args:
        store: The store.
        view: The cluster view of this host.
        peers: Calls to other hosts.
        clock: Clock that counts suspended time.
        verified_age_s: Returns the seconds since this host was last verified to be the only
            coordinator.
    """

    def __init__(
        self,
        store: PlatformStore,
        view: ClusterView,
        peers: Peers,
        clock: Clock,
        verified_age_s: Callable[[], float],
    ) -> None:
        self._view = view
        self._peers = peers
        self._clock = clock
        self._verified_age_s = verified_age_s
        self._stored = AssignmentStore(store, view.host_incarnation, view.known_restores)
        self._assignment: Assignment = EMPTY_ASSIGNMENT
        self._reported_version = 0
        self._started_s = clock.now_s()
        self._reports = HostReports(clock)
        self._limiter_roles = RolePlanner(view, LimitedWorkspaces(view), clock, verified_age_s)
        self._recovery = AssignmentRecovery(self._reports, peers, clock)
        self._move_planner = MovePlanner(self._reports, clock)
        self._publisher = AssignmentPublisher(peers, self._reports, clock)
        self._step_needed = asyncio.Event()
        self._addresses = ServerAddresses(store)
        self._notice_records = NoticeRecords(store, view, self._addresses.find)
        self._moves = RangeMoves(
            peers, self._reports, clock, self._step_needed.set, self._notice_records.add
        )
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the coordinator task."""
        self._view.add_listener(self._step_needed.set)
        self._task = start_supervised(self._run, "coordinator")

    async def close(self) -> None:
        """Stops all tasks; the next coordinator continues the unfinished moves."""
        self._view.remove_listener(self._step_needed.set)
        await self._publisher.close()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._moves.close()
        self._notice_records.close()

    def on_heartbeat(self, heartbeat: HostBeat) -> BeatReply:
        """Records a heartbeat of a host and returns the reply."""
        return self._limiter_roles.add_roles(heartbeat, self._assignment_reply(heartbeat))

    def _assignment_reply(self, heartbeat: HostBeat) -> BeatReply:
        if self._reports.record_heartbeat(heartbeat):
            self._step_needed.set()
        sender = HostIncarnation(heartbeat.host, heartbeat.start_ms)
        self._reported_version = max(self._reported_version, heartbeat.assignment_version)
        if self._recovery.needed:
            # Hosts must not take their assignment for the newest on this reply.
            return BeatReply(0, self._assignment.version, NEVER_VERIFIED_MS)
        has_older_version = heartbeat.assignment_version < self._assignment.version
        if has_older_version and sender != self._view.host_incarnation:
            self._publisher.bring_up_to_date(sender, heartbeat.assignment_version)
        verified_ms = int(self._verified_age_s() * MS_PER_S) + 1
        return BeatReply(0, self._assignment.version, verified_ms)

    async def _run(self) -> None:
        await self._load()
        await self._addresses.read()
        self._started_s = self._clock.now_s()
        while True:
            self._step_needed.clear()
            try:
                await self._step()
            except Exception:
                log.exception("A step of the coordinator failed; it is repeated at the next tick.")
                count("coordinator_errors")
            try:
                async with asyncio.timeout(TICK_S):
                    await self._step_needed.wait()
            except TimeoutError:
                continue

    async def _load(self) -> None:
        """Takes the newest assignment of the store, this coordinator and its host.

        Hosts know only assignments that were stored, so that the store's is the newest unless the
        store was restored from an older copy.
        """
        stored = await self._stored.read()
        known = (stored.assignment, self._assignment, self._view.assignment)
        newest = max(known, key=lambda assignment: assignment.version)
        log.info(
            "Assignment read from the store.",
            extra={
                "version": newest.version,
                "stored": stored.assignment.version,
                "restores_since": stored.restores,
            },
        )
        self._assignment = newest
        if stored.restores:
            # Hosts get no assignment before the newest one is stored again.
            self._recovery.begin(stored.assignment, stored.restores, self._stored.restores)
            return
        self._recovery.end()
        self._publisher.set_newest(newest)
        self._view.update_assignment(newest)
        self._moves.set_read(newest)

    async def _load_newer(self) -> None:
        """Reads the assignment again after a delayed write of a former coordinator."""
        log.warning(
            "A host has a newer assignment; reading it again from the store.",
            extra={"version": self._assignment.version, "heard": self._reported_version},
        )
        await self._load()
        self._reported_version = self._assignment.version

    async def _step(self) -> None:
        if self._stored.restored:
            await self._load()
        if self._recovery.needed:
            await self._recover()
            return
        if self._reported_version > self._assignment.version:
            await self._load_newer()
        if not self._view.routing_table.version:
            return
        startup_wait_over = self._clock.now_s() - self._started_s > STARTUP_REPORT_WAIT_S
        if not startup_wait_over and not self._reports.all_reported(self._view.hosts):
            return
        self._reports.keep_servers(self._view.servers)
        self._addresses.note(self._view.servers.values())
        cleared_sources = self._moves.clear_released_sources(self._assignment)
        wanted = self._replace_fences(self._plan_dispatching(cleared_sources))
        for service in self._view.routing_table.services.values():
            if service.keyed:
                wanted = self._plan_moves(wanted, service)
        if (
            wanted != cleared_sources
            or self._clock.now_s() - self._moves.released_since_s > RELEASED_WRITE_DELAY_S
        ):
            for service in wanted.key_ranges:
                wanted = key_moves.merge_adjacent_ranges(wanted, service)
            await self._write(wanted)
        self._moves.start()

    async def _recover(self) -> None:
        """Stores the newest assignment that any host knows, after a restore of the store."""
        recovered = await self._recovery.recover(self._assignment, self._view.hosts)
        if recovered is not None and await self._write(recovered):
            self._recovery.end()

    def _plan_dispatching(self, assignment: Assignment) -> Assignment:
        hosts = [
            DispatcherCandidate(record.incarnation, record.zone, record.weight, record.link_mbps)
            for record in self._view.hosts.values()
            if self._may_dispatch(record.incarnation)
        ]
        holders = {
            key_range.owner.server_id
            for ranges in assignment.key_ranges.values()
            for key_range in ranges
        }
        holders |= {
            key_range.source.server_id
            for ranges in assignment.key_ranges.values()
            for key_range in ranges
        }
        table = self._view.routing_table
        keyed = {service.name for service in table.services.values() if service.keyed}
        # An unreadable service with key ranges stays spread over the dispatchers.
        keyed |= {name for name in assignment.key_ranges if table.is_service_unreadable(name)}
        planned = plan_dispatchers(
            assignment.dispatchers,
            self._view.servers,
            holders,
            hosts,
            self._view.host_incarnation,
            keyed,
            table.large_answer_services,
        )
        # Clearing former dispatchers alone does not justify a write.
        if planned == assignment.dispatchers:
            return assignment
        cleared = {
            server_id: dispatching._replace(former=self._still_granting(server_id, dispatching))
            for server_id, dispatching in planned.items()
        }
        return assignment._replace(dispatchers=cleared)

    def _replace_fences(self, assignment: Assignment) -> Assignment:
        """Gives new fences to the keys of servers that may have restarted unseen.

        A new dispatcher can't know whether a server restarted while it had none.
        """
        before = self._assignment.dispatchers
        taken_over = {
            server_id
            for server_id, dispatching in assignment.dispatchers.items()
            if server_id in before and dispatching.dispatcher != before[server_id].dispatcher
        }

        def is_outdated(key_range: KeyRange) -> bool:
            owner = key_range.owner
            return owner.server_id in taken_over or self._reports.is_suspect(owner, key_range.fence)

        replaced = key_moves.replace_fences(assignment, is_outdated)
        if replaced.last_fence != assignment.last_fence:
            log.info(
                "Key ranges get new fencing tokens.",
                extra={
                    "servers_taken_over": len(taken_over),
                    "first_fence": assignment.last_fence + 1,
                    "last_fence": replaced.last_fence,
                },
            )
        return replaced

    def _still_granting(
        self, server_id: str, dispatching: DispatcherRecord
    ) -> tuple[HostIncarnation, ...]:
        """Returns the former dispatchers of a server whose grants may still be in force."""
        now_s = self._clock.now_s()
        return tuple(
            former
            for former in dispatching.former
            if self._moves.former_grants_end_s(server_id, former) > now_s
        )

    def _may_dispatch(self, host: HostIncarnation) -> bool:
        if self._reports.has_current_report(host):
            return self._reports.may_dispatch(host)
        return self._clock.now_s() - self._started_s < STARTUP_REPORT_WAIT_S

    def _plan_moves(self, assignment: Assignment, service: Service) -> Assignment:
        usable = [
            entry
            for entry in self._view.servers.values()
            if entry.service == service.name and self._view.is_usable(entry)
        ]
        moves = self._move_planner.plan(assignment, service, usable)
        for move in moves:
            log.info(
                "Moving a key range to another server.",
                extra={
                    "service": service.name,
                    "first": move.first,
                    "last": move.last,
                    "source": move.source.server_id,
                    "target": move.target.server_id,
                    "per_s": round(move.load_per_s, 1),
                    "reason": move.reason,
                },
            )
            count("key_moves", reason=move.reason)
        return key_moves.apply_moves(assignment, service.name, moves)

    async def _write(self, wanted: Assignment) -> bool:
        """Writes an assignment and, once it is stored, publishes it; returns whether it is."""
        wanted = wanted._replace(version=max(self._assignment.version, wanted.version) + 1)
        started_s = self._clock.now_s()
        if not await self._stored.write(wanted, self._addresses.changed(wanted.dispatchers)):
            await self._load()
            return False
        self._addresses.note_written()
        self._assignment = wanted
        self._moves.set_written(wanted)
        duration_ms = int((self._clock.now_s() - started_s) * MS_PER_S)
        log.info(
            "Assignment written to the store.",
            extra={"version": wanted.version, "took_ms": duration_ms},
        )
        self._view.update_rate_limits(self._reports.rate_limits())
        self._view.update_assignment(wanted)
        self._publisher.publish(wanted, self._view.host_incarnation)
        return True
