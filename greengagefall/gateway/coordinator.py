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

from greengagefall.gateway.dispatch_planning import HostLoad, plan_dispatching
from greengagefall.gateway.records import ASSIGNMENT_KEY
from greengagefall.gateway.view import CONFIRMED_FOR_S
from greengagefall.limits.server_queue import FIRST_SERVICE_TIME_S
from greengagefall.ownership import planning, rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.holds import IN_FLIGHT_S, longest_hold_s
from greengagefall.ownership.key_load import KeyRates
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    NOBODY,
    Assignment,
    Dispatching,
    Incarnation,
    KeyRun,
    Life,
)
from greengagefall.platform.store import Write
from greengagefall.protocol.gateway_messages import (
    NO_BASE,
    AssignmentAck,
    AssignmentPush,
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
    from greengagefall.gateway.view import HostView
    from greengagefall.platform.store import PlatformStore
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
TICK_S = 0.2
# A host without a beat for this long dispatches nothing any more.
HOST_SILENT_S = 1.4
# After taking office, hosts and servers are given this long to report.
SETTLE_S = 0.8
KEY_MEMORY_S = 1.5
CALL_TIMEOUT_S = 0.6
RELEASE_TIMEOUT_S = 6.0
# A host that is behind for longer than this gets the whole assignment again.
PUSH_TIME_S = 0.5
# That a run is free is written with the next change, or after this time.
FREE_WRITE_S = 2.0
RETRY_S = 0.2
MIN_SERVICE_TIME_S = 0.005


class _Host(NamedTuple):
    """The last beat of a host and when it came."""

    beat: HostBeat
    received_s: float


class _Replaced(NamedTuple):
    """The version in which a host ceased to be a dispatcher, and when it was written."""

    version: int
    written_s: float


class _Behind(NamedTuple):
    """An old version that a host reported, and since when."""

    version: int
    since_s: float


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
        view: HostView,
        peers: Peers,
        clock: Clock,
        verified_age_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._view = view
        self._peers = peers
        self._clock = clock
        self._verified_age_s = verified_age_s
        self._writer = f"{view.me.host}/{view.me.start_ms}"
        self._assignment: Assignment = EMPTY_ASSIGNMENT
        self._revision = 0
        self._started_s = clock.now_s()
        self._hosts: dict[str, _Host] = {}
        self._first_seen_s: dict[Incarnation, float] = {}
        self._acked: dict[Incarnation, list[tuple[int, float]]] = {}
        self._behind: dict[Incarnation, _Behind] = {}
        self._freed_s = math.inf
        self._rates: dict[str, KeyRates] = {}
        self._service_time_s: dict[str, float] = {}
        self._down: set[str] = set()
        self._moves: dict[_RunName, asyncio.Task] = {}
        self._written_s: dict[_RunName, float] = {}
        self._free: dict[_RunName, str] = {}
        self._replaced: dict[tuple[str, Incarnation], _Replaced] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._pushes: set[asyncio.Task] = set()
        self._joined_s = 0.0

    def start(self) -> None:
        """Takes office."""
        self._view.on_change(self._wake.set)
        self._task = asyncio.create_task(self._run(), name="coordinator")

    async def close(self) -> None:
        """Leaves office; moves under way are taken up by the next coordinator."""
        tasks = [*self._moves.values(), *self._pushes]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_beat(self, beat: HostBeat) -> BeatReply:
        """Takes a host's beat."""
        now_s = self._clock.now_s()
        incarnation = Incarnation(beat.host, beat.start_ms)
        self._first_seen_s.setdefault(incarnation, now_s)
        before = self._hosts.get(beat.host)
        if before is not None and before.beat.start_ms > beat.start_ms:
            return BeatReply(0, self._assignment.version, self._verified_ms())
        self._hosts[beat.host] = _Host(beat, now_s)
        self._note_ack(incarnation, beat.version)
        self._take_loads(beat, now_s)
        if before is None or before.beat.start_ms != beat.start_ms or beat.stopping:
            self._wake.set()
        if beat.version < self._assignment.version and self._lags(incarnation, beat.version):
            self._push_later(incarnation, None)
        return BeatReply(0, self._assignment.version, self._verified_ms())

    def _lags(self, incarnation: Incarnation, version: int) -> bool:
        """Returns whether a host stays behind for longer than a push takes."""
        now_s = self._clock.now_s()
        known = self._behind.get(incarnation)
        if known is None or known.version != version:
            self._behind[incarnation] = _Behind(version, now_s)
            return False
        if now_s - known.since_s < PUSH_TIME_S:
            return False
        self._behind[incarnation] = _Behind(version, now_s)
        return True

    def _verified_ms(self) -> int:
        return int(self._verified_age_s() * MS_PER_S) + 1

    def _take_loads(self, beat: HostBeat, now_s: float) -> None:
        for server_id, service_time_ms, _, _, up in beat.servers:
            self._service_time_s[server_id] = service_time_ms / MS_PER_S
            if up == (server_id not in self._down):
                continue
            log.info(
                "Backend server's health changed.",
                extra={"server": server_id, "up": up, "by": beat.host},
            )
            if up:
                self._down.discard(server_id)
            else:
                self._down.add(server_id)
            self._wake.set()
        for service, figures in beat.keys:
            rates = self._rates.setdefault(service, KeyRates(KEY_MEMORY_S))
            rates.advance(now_s)
            for key, requests in zip(figures[::2], figures[1::2], strict=True):
                rates.add(key, requests)

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
                self._revision = item.revision if item else 0
                try:
                    self._assignment = rows.decode(item.value if item else b"")
                except AssignmentError as error:
                    log.error("The assignment cannot be read.", extra={"error": str(error)})
                    await asyncio.sleep(RETRY_S)
                    continue
                self._view.take_assignment(self._assignment)
                for service, run in _moving(self._assignment):
                    self._written_s[_name(service, run)] = self._clock.now_s()
                self._note_replaced()
                log.info("Assignment read.", extra={"version": self._assignment.version})
                return
            await asyncio.sleep(RETRY_S)

    async def _step(self) -> None:
        if not self._view.table.version:
            return
        settled = self._clock.now_s() - self._started_s > SETTLE_S
        if not settled and not self._all_hosts_reported():
            return
        for rates in self._rates.values():
            rates.advance(self._clock.now_s())
            rates.index()
        freed = self._with_free_sources(self._assignment)
        wanted = self._with_dispatching(freed)
        for service in self._view.table.services.values():
            if service.keyed:
                wanted = self._with_moves(wanted, service.name)
        if wanted != freed or self._clock.now_s() - self._freed_s > FREE_WRITE_S:
            await self._write(wanted)
        self._begin_moves()

    def _all_hosts_reported(self) -> bool:
        return all(name in self._hosts for name in self._view.hosts)

    def _with_free_sources(self, assignment: Assignment) -> Assignment:
        """Clears the sources of runs that are certainly free of their former owner."""
        if not self._free:
            return assignment
        runs = {}
        for service, found in assignment.runs.items():
            runs[service] = tuple(
                run._replace(source=NOBODY) if _name(service, run) in self._free else run
                for run in found
            )
        return assignment._replace(runs=runs)

    def _with_dispatching(self, assignment: Assignment) -> Assignment:
        hosts = [
            HostLoad(record.incarnation, record.zone, record.weight)
            for record in self._view.hosts.values()
            if self._may_dispatch(record.incarnation)
        ]
        owners = {run.owner.server_id for runs in assignment.runs.values() for run in runs}
        owners |= {run.source.server_id for runs in assignment.runs.values() for run in runs}
        keyed = {service.name for service in self._view.table.services.values() if service.keyed}
        planned = plan_dispatching(
            assignment.dispatching, self._view.servers, owners, hosts, self._view.me, keyed
        )
        # Clearing alone is not worth a write.
        if planned == assignment.dispatching:
            return assignment
        cleared = {
            server_id: dispatching._replace(former=self._still_granting(server_id, dispatching))
            for server_id, dispatching in planned.items()
        }
        return assignment._replace(dispatching=cleared)

    def _still_granting(self, server_id: str, dispatching: Dispatching) -> tuple[Incarnation, ...]:
        """Returns the former dispatchers of a server whose grants may still hold."""
        now_s = self._clock.now_s()
        return tuple(
            former for former in dispatching.former if self._former_end_s(server_id, former) > now_s
        )

    def _former_end_s(self, server_id: str, former: Incarnation) -> float:
        """Returns when no grant of a former dispatcher can hold any more."""
        replaced = self._replaced.get((server_id, former))
        if replaced is None:
            return math.inf
        return self._granter_end_s(former, replaced.version, replaced.written_s)

    def _may_dispatch(self, incarnation: Incarnation) -> bool:
        host = self._hosts.get(incarnation.host)
        now_s = self._clock.now_s()
        if host is None or host.beat.start_ms != incarnation.start_ms:
            return now_s - self._started_s < SETTLE_S
        return not host.beat.stopping and now_s - host.received_s < HOST_SILENT_S

    def _with_moves(self, assignment: Assignment, service: str) -> Assignment:
        entries = [entry for entry in self._view.servers.values() if entry.service == service]
        times = [
            self._service_time_s[entry.server_id]
            for entry in entries
            if entry.server_id in self._service_time_s
        ]
        usual_s = sum(times) / len(times) if times else FIRST_SERVICE_TIME_S
        cold_rate_per_s = self._view.table.services[service].cold_rate_per_s
        servers = [
            planning.ServerCapacity(
                Life(entry.server_id, entry.born_ms),
                entry.zone,
                entry.slots,
                max(MIN_SERVICE_TIME_S, self._service_time_s.get(entry.server_id, usual_s)),
                cold_rate_per_s if entry.cold_left_s > 0 else float("inf"),
            )
            for entry in entries
            if self._view.usable(entry) and entry.server_id not in self._down
        ]
        rates = self._rates.setdefault(service, KeyRates(KEY_MEMORY_S))
        view = planning.ServiceView(assignment.runs.get(service, ()), servers, rates)
        moves = planning.plan_moves(view)
        for move in moves:
            log.info(
                "Keys are to move.",
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
        moved = planning.apply_moves(assignment, service, moves)
        return planning.joined(moved, service) if moves else moved

    async def _write(self, wanted: Assignment) -> None:
        """Writes an assignment and tells all hosts once it stands."""
        before = self._assignment
        wanted = wanted._replace(version=before.version + 1)
        value = rows.encode(wanted, self._writer)
        written_s = self._clock.now_s()
        while True:
            done = await self._store.txn(
                {ASSIGNMENT_KEY: self._revision}, [Write(ASSIGNMENT_KEY, value)]
            )
            if not isinstance(done, Err):
                revision = done.ok_value
            elif isinstance(done.err_value, StoreOutcomeUnknownError):
                revision = None
            else:
                return
            if revision is None:
                read = await self._store.get(ASSIGNMENT_KEY)
                if isinstance(read, Err):
                    await asyncio.sleep(RETRY_S)
                    continue
                item = read.ok_value
                if item is None or item.revision == self._revision:
                    # Not done so far; the same write again, of which one can succeed.
                    continue
                if item.value != value:
                    log.warning("Somebody else changed the assignment. Reading it again.")
                    await self._load()
                    return
                revision = item.revision
            break
        self._revision = revision
        self._assignment = wanted
        for service, run in _moving(wanted):
            self._written_s.setdefault(_name(service, run), self._clock.now_s())
        self._note_replaced()
        known = {_name(service, run) for service, run in _moving(wanted)}
        self._free = {name: token for name, token in self._free.items() if name in known}
        self._freed_s = math.inf if not self._free else self._clock.now_s()
        self._written_s = {name: at_s for name, at_s in self._written_s.items() if name in known}
        log.info(
            "New assignment.",
            extra={
                "version": wanted.version,
                "took_ms": int((self._clock.now_s() - written_s) * MS_PER_S),
            },
        )
        self._view.take_assignment(wanted)
        for record in self._view.hosts.values():
            if record.host != self._view.me.host:
                self._push_later(record.incarnation, before)

    def _note_replaced(self) -> None:
        """Notes since when each former dispatcher has been one."""
        now = _Replaced(self._assignment.version, self._clock.now_s())
        present = {
            (server_id, former)
            for server_id, dispatching in self._assignment.dispatching.items()
            for former in dispatching.former
        }
        self._replaced = {name: self._replaced.get(name, now) for name in present}

    def _push_later(self, target: Incarnation, base: Assignment | None) -> None:
        if target.host == self._view.me.host:
            return
        task = asyncio.create_task(self._push(target, base))
        self._pushes.add(task)
        task.add_done_callback(self._pushes.discard)

    async def _push(self, target: Incarnation, base: Assignment | None) -> None:
        """Sends the assignment to a host, as a difference if it has the one before."""
        newest = self._assignment
        change = rows.difference(base or EMPTY_ASSIGNMENT, newest)
        message = AssignmentPush(
            0,
            base.version if base else NO_BASE,
            newest.version,
            newest.last_fence,
            change.rows,
            change.gone,
        )
        reply = await self._peers.call(target.host, message, CALL_TIMEOUT_S)
        if not isinstance(reply, AssignmentAck):
            return
        self._note_ack(target, reply.version)
        if reply.version < newest.version and base is not None:
            await self._push(target, None)

    def _note_ack(self, incarnation: Incarnation, version: int) -> None:
        acked = self._acked.setdefault(incarnation, [])
        if not acked or acked[-1][0] < version:
            acked.append((version, self._clock.now_s()))

    def _granter_end_s(self, granter: Incarnation, version: int, written_s: float) -> float:
        """Returns when no grant of a host by versions before ``version`` can hold any more."""
        span_s = IN_FLIGHT_S + longest_hold_s()
        for acked, at_s in self._acked.get(granter, ()):
            if acked >= version:
                return at_s + span_s
        newer = [
            seen_s
            for incarnation, seen_s in self._first_seen_s.items()
            if incarnation.host == granter.host and incarnation.start_ms > granter.start_ms
        ]
        if newer:
            return min(newer) + span_s
        return written_s + CONFIRMED_FOR_S + span_s

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

    async def _move(self, name: _RunName, run: KeyRun, version: int) -> None:
        """Has a run released by its former owner and granted to the new one."""
        hand_over = await self._release(name, run, version)
        # The new owner's dispatcher gets the token before others may join or move the run.
        if not await self._grant(run, version, hand_over):
            log.warning("A grant was not confirmed.", extra=name._asdict())
        self._free[name] = hand_over
        self._freed_s = min(self._freed_s, self._clock.now_s())
        self._wake.set()

    async def _grant(self, run: KeyRun, version: int, hand_over: str) -> bool:
        """Orders the grant of a run that is free; returns whether the server took it."""
        dispatching = self._assignment.dispatching.get(run.owner.server_id)
        if dispatching is None:
            return False
        order = GrantKeys(0, version, *run.owner, run.first, run.last, run.fence, hand_over)
        reply = await self._peers.call(dispatching.dispatcher.host, order, CALL_TIMEOUT_S)
        return isinstance(reply, KeysGranted) and reply.granted

    async def _release(self, name: _RunName, run: KeyRun, version: int) -> str:
        """Waits until the former owner certainly holds nothing; returns its token."""
        while True:
            if self._view.has_ended(run.source):
                return ""
            dispatching = self._assignment.dispatching.get(run.source.server_id)
            granters = dispatching.granters if dispatching else ()
            ended_s = self._written_s.get(name, self._clock.now_s())
            for granter in granters:
                written_s = self._written_s.get(name, self._clock.now_s())
                end_s = self._granter_end_s(granter, version, written_s)
                if granter != dispatching.dispatcher:
                    end_s = min(end_s, self._former_end_s(run.source.server_id, granter))
                ended_s = max(ended_s, end_s)
            if dispatching is not None:
                order = ReleaseKeys(0, version, *run.source, run.first, run.last, run.fence)
                reply = await self._peers.call(
                    dispatching.dispatcher.host, order, RELEASE_TIMEOUT_S
                )
                if isinstance(reply, KeysReleased):
                    if reply.released:
                        return reply.hand_over
                    if len(granters) == 1 and reply.ends_in_ms >= 0:
                        ended_s = self._clock.now_s() + reply.ends_in_ms / MS_PER_S
            now_s = self._clock.now_s()
            if now_s >= ended_s:
                return ""
            await asyncio.sleep(min(RETRY_S, ended_s - now_s))


def _moving(assignment: Assignment) -> list[tuple[str, KeyRun]]:
    return [
        (service, run) for service, runs in assignment.runs.items() for run in runs if run.moving
    ]


def _name(service: str, run: KeyRun) -> _RunName:
    return _RunName(service, run.first, run.last, run.fence)
