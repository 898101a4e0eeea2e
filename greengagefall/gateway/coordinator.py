"""The coordinator: decides owners and dispatchers, writes them down and has keys moved.

Every change is written to the store before it takes effect, under the condition that nobody else
changed it. A run that moves is granted to its new owner only after its former owner gave it back
or can certainly hold no grant any more.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, NamedTuple

from result import Err

from greengagefall.gateway.dispatch_planning import DispatcherCandidate, plan_dispatchers
from greengagefall.gateway.host_reports import HostReports
from greengagefall.gateway.publishing import AssignmentPublisher
from greengagefall.gateway.records import ASSIGNMENT_KEY
from greengagefall.ownership import planning, rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    NO_INCARNATION,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
)
from greengagefall.platform.store import Put
from greengagefall.protocol.gateway_messages import (
    BeatReply,
    GrantKeys,
    HostBeat,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from greengagefall.store.exceptions import StoreOutcomeUnknownError
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.gateway.peers import Peers
    from greengagefall.gateway.view import ClusterView
    from greengagefall.platform.store import PlatformStore
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
TICK_S = 0.2
# After taking office, hosts and servers are given this long to report.
STARTUP_REPORT_WAIT_S = 0.8
GRANT_CALL_TIMEOUT_S = 0.6
RELEASE_TIMEOUT_S = 6.0
# That a run is free is written with the next change, or after this time.
RELEASED_WRITE_DELAY_S = 2.0
RETRY_INTERVAL_S = 0.2
# Servers that are not full give keys away at most this often.
REBALANCE_INTERVAL_S = 1.0
# Pause after a write that the store did not take.
WRITE_RETRY_DELAY_S = 0.5


class _Replaced(NamedTuple):
    """The version in which a host ceased to be a dispatcher, and when it was written."""

    version: int
    written_s: float


class _RunName(NamedTuple):
    """Identifies a run on its way between servers."""

    service: str
    first: int
    last: int
    fence: int


class Coordinator:
    """The role of the elected host.

    Args:
        store: The store.
        view: What this host knows.
        peers: Calls to other hosts.
        clock: Clock that counts suspended time.
        verified_age_s: How long ago this host certainly was the only coordinator.
    """

    def __init__(
        self,
        store: PlatformStore,
        view: ClusterView,
        peers: Peers,
        clock: Clock,
        verified_age_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._view = view
        self._peers = peers
        self._clock = clock
        self._verified_age_s = verified_age_s
        self._writer = f"{view.host_incarnation.host}/{view.host_incarnation.start_ms}"
        self._assignment: Assignment = EMPTY_ASSIGNMENT
        self._revision = 0
        self._heard_version = 0
        self._started_s = clock.now_s()
        self._reports = HostReports(clock)
        self._publisher = AssignmentPublisher(peers, self._reports)
        self._freed_s = math.inf
        self._spread_s: dict[str, float] = {}
        self._moves: dict[_RunName, asyncio.Task] = {}
        self._written_s: dict[_RunName, float] = {}
        self._free: dict[_RunName, str] = {}
        self._replaced: dict[tuple[str, HostIncarnation], _Replaced] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Takes office."""
        self._view.add_listener(self._wake.set)
        self._task = asyncio.create_task(self._run(), name="coordinator")

    async def close(self) -> None:
        """Leaves office; moves under way are taken up by the next coordinator."""
        self._view.remove_listener(self._wake.set)
        await self._publisher.close()
        tasks = list(self._moves.values())
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_heartbeat(self, beat: HostBeat) -> BeatReply:
        """Takes a host's beat."""
        if self._reports.record_heartbeat(beat):
            self._wake.set()
        sender = HostIncarnation(beat.host, beat.start_ms)
        self._heard_version = max(self._heard_version, beat.assignment_version)
        behind = beat.assignment_version < self._assignment.version
        if (
            behind
            and sender != self._view.host_incarnation
            and self._reports.is_lagging(sender, beat.assignment_version)
        ):
            self._publisher.send_full(sender)
        verified_ms = int(self._verified_age_s() * MS_PER_S) + 1
        return BeatReply(0, self._assignment.version, verified_ms)

    async def _run(self) -> None:
        await self._load()
        self._started_s = self._clock.now_s()
        while True:
            self._wake.clear()
            try:
                await self._step()
            except Exception:
                log.exception("A step of the coordinator failed.")
                count("coordinator_errors")
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _load(self) -> None:
        """Reads the present assignment; goes on until the store gives it."""
        while True:
            read = await self._store.get(ASSIGNMENT_KEY)
            if not isinstance(read, Err):
                item = read.ok_value
                self._revision = item.mod_revision if item else 0
                try:
                    self._assignment = rows.decode(item.value if item else b"")
                except AssignmentError as error:
                    log.error("The assignment cannot be read.", extra={"error": str(error)})
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                self._publisher.set_newest(self._assignment)
                self._view.update_assignment(self._assignment)
                for service, run in _moving(self._assignment):
                    self._written_s[_name(service, run)] = self._clock.now_s()
                self._note_replaced()
                log.info("Assignment read.", extra={"version": self._assignment.version})
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _load_newer(self) -> None:
        """Reads the assignment again, since a former coordinator's write was done late."""
        log.warning(
            "A host has a newer assignment; reading it again from the store.",
            extra={"version": self._assignment.version, "heard": self._heard_version},
        )
        await self._load()
        self._heard_version = self._assignment.version

    async def _step(self) -> None:
        if self._heard_version > self._assignment.version:
            await self._load_newer()
        if not self._view.routing_table.version:
            return
        settled = self._clock.now_s() - self._started_s > STARTUP_REPORT_WAIT_S
        if not settled and not self._reports.all_reported(self._view.hosts):
            return
        freed = self._with_free_sources(self._assignment)
        wanted = self._with_dispatching(freed)
        for service in self._view.routing_table.services.values():
            if service.keyed:
                wanted = self._with_moves(wanted, service.name)
        if wanted != freed or self._clock.now_s() - self._freed_s > RELEASED_WRITE_DELAY_S:
            for service in wanted.key_ranges:
                wanted = planning.merge_adjacent_ranges(wanted, service)
            await self._write(wanted)
        self._begin_moves()

    def _with_free_sources(self, assignment: Assignment) -> Assignment:
        """Clears the sources of runs that are certainly free of their former owner."""
        if not self._free:
            return assignment
        runs = {}
        for service, found in assignment.key_ranges.items():
            runs[service] = tuple(
                run._replace(source=NO_INCARNATION) if _name(service, run) in self._free else run
                for run in found
            )
        return assignment._replace(key_ranges=runs)

    def _with_dispatching(self, assignment: Assignment) -> Assignment:
        hosts = [
            DispatcherCandidate(record.incarnation, record.zone, record.weight)
            for record in self._view.hosts.values()
            if self._may_dispatch(record.incarnation)
        ]
        owners = {run.owner.server_id for runs in assignment.key_ranges.values() for run in runs}
        owners |= {run.source.server_id for runs in assignment.key_ranges.values() for run in runs}
        keyed = {
            service.name for service in self._view.routing_table.services.values() if service.keyed
        }
        planned = plan_dispatchers(
            assignment.dispatchers,
            self._view.servers,
            owners,
            hosts,
            self._view.host_incarnation,
            keyed,
        )
        # Clearing alone is not worth a write.
        if planned == assignment.dispatchers:
            return assignment
        cleared = {
            server_id: dispatching._replace(former=self._still_granting(server_id, dispatching))
            for server_id, dispatching in planned.items()
        }
        return assignment._replace(dispatchers=cleared)

    def _still_granting(
        self, server_id: str, dispatching: DispatcherRecord
    ) -> tuple[HostIncarnation, ...]:
        """Returns the former dispatchers of a server whose grants may still hold."""
        now_s = self._clock.now_s()
        return tuple(
            former for former in dispatching.former if self._former_end_s(server_id, former) > now_s
        )

    def _former_end_s(self, server_id: str, former: HostIncarnation) -> float:
        """Returns when no grant of a former dispatcher can hold any more."""
        replaced = self._replaced.get((server_id, former))
        if replaced is None:
            return math.inf
        return self._reports.grants_expired_by_s(former, replaced.version, replaced.written_s)

    def _may_dispatch(self, host: HostIncarnation) -> bool:
        if self._reports.has_current_report(host):
            return self._reports.may_dispatch(host)
        return self._clock.now_s() - self._started_s < STARTUP_REPORT_WAIT_S

    def _with_moves(self, assignment: Assignment, service: str) -> Assignment:
        usable = [
            entry
            for entry in self._view.servers.values()
            if entry.service == service and self._view.is_usable(entry)
        ]
        cold_rate_per_s = self._view.routing_table.services[service].cold_rate_per_s
        servers = self._reports.capacities(usable, cold_rate_per_s)
        rates = self._reports.rates(service)
        view = planning.PlanInput(assignment.key_ranges.get(service, ()), servers, rates)
        now_s = self._clock.now_s()
        spread = now_s - self._spread_s.get(service, 0.0) >= REBALANCE_INTERVAL_S
        moves = planning.plan_moves(view, rebalance=spread)
        if moves and spread:
            self._spread_s[service] = now_s
        for move in moves:
            log.info(
                "Moving a key range to another server.",
                extra={
                    "service": service,
                    "first": move.first,
                    "last": move.last,
                    "source": move.source.server_id,
                    "target": move.target.server_id,
                    "per_s": round(rates.rate(move.first, move.last), 1),
                },
            )
            count("key_moves")
        return planning.apply_moves(assignment, service, moves)

    async def _write(self, wanted: Assignment) -> None:
        """Writes an assignment and tells all hosts once it stands."""
        before = self._assignment
        wanted = wanted._replace(version=before.version + 1)
        started_s = self._clock.now_s()
        revision = await self._write_settled(rows.encode(wanted, self._writer))
        if revision is None:
            return
        self._revision = revision
        self._assignment = wanted
        self._note_written()
        took_ms = int((self._clock.now_s() - started_s) * MS_PER_S)
        log.info(
            "Assignment written to the store.",
            extra={"version": wanted.version, "took_ms": took_ms},
        )
        self._view.update_assignment(wanted)
        others = [
            record.incarnation
            for record in self._view.hosts.values()
            if record.host != self._view.host_incarnation.host
        ]
        self._publisher.publish(before, wanted, others)

    async def _write_settled(self, value: bytes) -> int | None:
        """Writes a value until it is certain whether it stands.

        Returns:
            Its revision; None if it was not written or somebody else's stands.
        """
        write = Put(ASSIGNMENT_KEY, value)
        while True:
            done = await self._store.txn({ASSIGNMENT_KEY: self._revision}, [write])
            if not isinstance(done, Err) and done.ok_value is not None:
                return done.ok_value
            unknown = isinstance(done, Err) and isinstance(done.err_value, StoreOutcomeUnknownError)
            if isinstance(done, Err) and not unknown:
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
                return None
            read = await self._store.get(ASSIGNMENT_KEY)
            if isinstance(read, Err):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            item = read.ok_value
            if item is None or item.mod_revision == self._revision:
                # Not done so far; the same write again, of which one can succeed.
                continue
            if item.value == value:
                return item.mod_revision
            log.warning("Somebody else changed the assignment. Reading it again.")
            await self._load()
            return None

    def _note_written(self) -> None:
        """Notes since when runs move, and forgets those that no longer do."""
        now_s = self._clock.now_s()
        known = {_name(service, run) for service, run in _moving(self._assignment)}
        self._written_s = {name: self._written_s.get(name, now_s) for name in known}
        self._free = {name: token for name, token in self._free.items() if name in known}
        self._freed_s = now_s if self._free else math.inf
        self._note_replaced()

    def _note_replaced(self) -> None:
        """Notes since when each former dispatcher has been one."""
        now = _Replaced(self._assignment.version, self._clock.now_s())
        present = {
            (server_id, former)
            for server_id, dispatching in self._assignment.dispatchers.items()
            for former in dispatching.former
        }
        self._replaced = {name: self._replaced.get(name, now) for name in present}

    def _begin_moves(self) -> None:
        """Starts a task for each run that waits for its former owner."""
        moving = {_name(service, run): run for service, run in _moving(self._assignment)}
        for name, task in list(self._moves.items()):
            if name not in moving or task.done():
                del self._moves[name]
        for name, run in moving.items():
            if name not in self._moves and name not in self._free:
                task = asyncio.create_task(self._move(name, run, self._assignment.version))
                self._moves[name] = task

    async def _move(self, name: _RunName, run: KeyRange, version: int) -> None:
        """Has a run released by its former owner and granted to the new one."""
        hand_over = await self._release(name, run, version)
        # The new owner's dispatcher gets the token before others may join or move the run.
        if not await self._grant(run, version, hand_over):
            log.warning("A grant was not confirmed.", extra=name._asdict())
        self._free[name] = hand_over
        self._freed_s = min(self._freed_s, self._clock.now_s())
        self._wake.set()

    async def _grant(self, run: KeyRange, version: int, hand_over: str) -> bool:
        """Orders the grant of a run that is free; returns whether the server took it."""
        dispatching = self._assignment.dispatchers.get(run.owner.server_id)
        if dispatching is None:
            return False
        order = GrantKeys(0, version, *run.owner, run.first, run.last, run.fence, hand_over)
        reply = await self._peers.call(dispatching.dispatcher.host, order, GRANT_CALL_TIMEOUT_S)
        return isinstance(reply, KeysGranted) and reply.granted

    async def _release(self, name: _RunName, run: KeyRange, version: int) -> str:
        """Waits until the former owner certainly holds nothing; returns its token."""
        while not self._view.has_newer_incarnation(run.source):
            ended_s = self._surely_ended_s(name, run, version)
            reply = await self._order_release(run, version)
            if reply is not None and reply.released:
                return reply.hand_over
            if reply is not None and len(self._granters(run)) == 1:
                ended_s = self._clock.now_s() + reply.ends_in_ms / MS_PER_S
            left_s = ended_s - self._clock.now_s()
            if left_s <= 0:
                return ""
            await asyncio.sleep(min(RETRY_INTERVAL_S, left_s))
        return ""

    def _granters(self, run: KeyRange) -> tuple[HostIncarnation, ...]:
        """Returns the processes that may renew grants of a run's former owner."""
        dispatching = self._assignment.dispatchers.get(run.source.server_id)
        return dispatching.granters if dispatching is not None else ()

    def _surely_ended_s(self, name: _RunName, run: KeyRange, version: int) -> float:
        """Returns when no grant of a run to its former owner can hold any more."""
        written_s = self._written_s.get(name, self._clock.now_s())
        ended_s = written_s
        for index, granter in enumerate(self._granters(run)):
            end_s = self._reports.grants_expired_by_s(granter, version, written_s)
            if index > 0:
                end_s = min(end_s, self._former_end_s(run.source.server_id, granter))
            ended_s = max(ended_s, end_s)
        return ended_s

    async def _order_release(self, run: KeyRange, version: int) -> KeysReleased | None:
        """Asks the former owner's dispatcher to take a run back; None without its reply."""
        granters = self._granters(run)
        if not granters:
            return None
        order = ReleaseKeys(0, version, *run.source, run.first, run.last, run.fence)
        reply = await self._peers.call(granters[0].host, order, RELEASE_TIMEOUT_S)
        return reply if isinstance(reply, KeysReleased) else None


def _moving(assignment: Assignment) -> list[tuple[str, KeyRange]]:
    return [
        (service, run)
        for service, runs in assignment.key_ranges.items()
        for run in runs
        if run.moving
    ]


def _name(service: str, run: KeyRange) -> _RunName:
    return _RunName(service, run.first, run.last, run.fence)
