"""Slots, backlog, cold start and execution of requests of the backend server stand-in."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from typing import NamedTuple
from uuid import uuid4

from greengagefall.standins.backend_cold import ColdStart
from greengagefall.standins.backend_faults import BackendFaults
from greengagefall.standins.backend_grants import Grant, refusal_of_grant, refusal_of_request
from greengagefall.standins.backend_records import (
    OUTCOME_NOT_RUN,
    OUTCOME_PENDING,
    OUTCOME_RUN,
    OUTCOME_RUNNING,
    OUTCOME_STOPPED,
    Records,
    RequestRecord,
)

LOAD_SAMPLES = 4096


class BackendSettings(NamedTuple):
    """Settings of the backend server stand-in.

    Attributes:
        listen: ``IP:port`` to listen on.
        name: Name of the server.
        slots: Number of requests that are executed concurrently.
        backlog: Maximum number of requests queued for a slot.
        service_ms: Default service time of a request in milliseconds.
        checks_orders: Whether the server accepts grants and checks grants and fences.
        cold_s: Duration of the cold start after the process starts, in seconds; 0 for none.
        cold_slots: Number of concurrent requests that the server can serve in cold start.
        max_records: Number of request records that are kept.
        journal: File to which each record is appended; empty for none.
    """

    listen: str
    name: str
    slots: int = 6
    backlog: int = 6
    service_ms: float = 5.0
    checks_orders: bool = True
    cold_s: float = 0.0
    cold_slots: int = 1
    max_records: int = 500_000
    journal: str = ""


class WorkRequest(NamedTuple):
    """A request that arrived, with the parameters from its headers.

    ``deadline_s`` is a time of the monotonic clock, ``work_ms`` the wanted service time.
    """

    request_id: str
    method: str
    path: str
    slice_id: int
    slice_fence: int
    dispatch_fence: int
    deadline_s: float
    work_ms: float


class WorkResult(NamedTuple):
    """Result of a request.

    ``execution_count`` counts the executions of its id by this process, ``value`` the completed
    writes to its path.
    """

    outcome: str
    reason: str
    execution_count: int
    value: int


class _Work:
    """A request that is queued or executed.

    ``notification`` completes when the request must check again whether it may start or end.
    """

    def __init__(self, request: WorkRequest, record: RequestRecord) -> None:
        self.request = request
        self.record = record
        self.cancelled = False
        self.notification: asyncio.Future[None] | None = None

    def notify(self) -> None:
        if self.notification is not None and not self.notification.done():
            self.notification.set_result(None)


class BackendWork:
    """State of the server: its grant, its slots and its queued and executed requests.

    Attributes:
        settings: Settings of the server.
        incarnation: Id of this process lifetime.
        grant: Last accepted grant, which may have expired; None before the first.
        faults: Active faults.
        records: Records for the oracles.
        cold: Cold start of the server.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings
        self.incarnation = uuid4().hex[:12]
        self.grant: Grant | None = None
        self.faults = BackendFaults()
        self.records = Records(
            settings.name, self.incarnation, settings.max_records, settings.journal
        )
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._executing: set[_Work] = set()
        self._queued: deque[_Work] = deque()
        self._by_request_id: dict[str, _Work] = {}
        self._executions: Counter[str] = Counter()
        self._values: Counter[str] = Counter()
        self.cold = ColdStart(settings.cold_slots, self.records)
        self._load: deque[tuple[float, int]] = deque(maxlen=LOAD_SAMPLES)
        if settings.cold_s > 0:
            self.cold.begin(settings.cold_s, announced=True, at_start=True)

    @property
    def busy(self) -> int:
        """Number of requests that are being executed."""
        return len(self._executing)

    @property
    def queued(self) -> int:
        """Number of requests queued for a slot."""
        return len(self._queued)

    def now_ms(self) -> int:
        """Returns the time of the server's monotonic clock in milliseconds."""
        return int(time.monotonic() * 1000)

    async def wait_idle(self) -> None:
        """Waits until no request is queued or executed."""
        await self._idle.wait()

    def reported_load(self) -> int:
        """Returns the number of busy slots that the load endpoint reports, after faults."""
        if self.faults.reported_busy >= 0:
            return self.faults.reported_busy
        if self.faults.load_lag_s <= 0:
            return self.busy
        reported_at_s = time.monotonic() - self.faults.load_lag_s
        reported = 0
        for at_s, busy in self._load:
            if at_s > reported_at_s:
                break
            reported = busy
        return reported

    def offer_grant(self, incarnation: str, offered: Grant) -> str:
        """Accepts a grant and returns an empty string, or returns the reason of the refusal."""
        if incarnation != self.incarnation:
            return "other_incarnation"
        refusal = refusal_of_grant(self.grant, offered)
        if refusal:
            return refusal
        held = self.grant
        if held is not None and held._replace(until_ms=0) == offered._replace(until_ms=0):
            offered = offered._replace(until_ms=max(held.until_ms, offered.until_ms))
        self.grant = offered
        now_s = time.monotonic()
        until_s = max(now_s, offered.until_ms / 1000)
        self.records.add_grant(offered.fence, offered.map_version, offered.runs, now_s, until_s)
        return ""

    def has_released(self) -> bool:
        """Returns whether no request is executed on a slice outside the grant."""
        grant = self.grant
        slices = {work.request.slice_id for work in self._executing}
        return all(
            slice_id < 0 or (grant is not None and grant.range_of(slice_id) is not None)
            for slice_id in slices
        )

    def cancel(self, request_id: str) -> str:
        """Cancels a request; returns ``waiting``, ``running`` or ``unknown``."""
        work = self._by_request_id.get(request_id)
        if work is None:
            return "unknown"
        state = "running" if work in self._executing else "waiting"
        work.cancelled = True
        work.notify()
        return state

    async def handle(self, request: WorkRequest) -> WorkResult:
        """Executes or refuses a request, and records the outcome."""
        record = self._new_record(request)
        refusal = self._refusal_on_arrival(request, record)
        if refusal:
            return self._refuse(record, refusal)
        work = _Work(request, record)
        self._by_request_id[request.request_id] = work
        self._open_requests += 1
        self._idle.clear()
        try:
            refusal = await self._wait_for_slot(work)
            if refusal:
                return self._refuse(record, refusal)
            return await self._execute(work)
        finally:
            self._by_request_id.pop(request.request_id, None)
            self._open_requests -= 1
            if self._open_requests == 0:
                self._idle.set()

    def _new_record(self, request: WorkRequest) -> RequestRecord:
        now_s = self.records.wall_s(time.monotonic())
        record = RequestRecord(
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            slice=request.slice_id,
            slice_fence=request.slice_fence,
            dispatch_fence=request.dispatch_fence,
            arrived_s=now_s,
            started_s=0.0,
            ended_s=0.0,
            outcome=OUTCOME_PENDING,
            reason="",
            in_flight=self.busy + self.queued,
            cold=self.cold.is_cold(),
            incarnation=self.incarnation,
        )
        self.records.add_request(record)
        return record

    def _refuse(self, record: RequestRecord, reason: str) -> WorkResult:
        record["outcome"] = OUTCOME_NOT_RUN
        record["reason"] = reason
        record["ended_s"] = self.records.wall_s(time.monotonic())
        self.records.append_to_journal("request", record)
        return WorkResult(OUTCOME_NOT_RUN, reason, 0, 0)

    def _refusal_on_arrival(self, request: WorkRequest, record: RequestRecord) -> str:
        refusal = self._refusal_to_start(request)
        if refusal:
            return refusal
        if self.faults.draining:
            return "draining"
        if self.faults.shedding:
            return "shedding"
        if not self.cold.admits(record["in_flight"]):
            return "cold"
        if self.queued >= self.settings.backlog and self.busy >= self.settings.slots:
            return "shedding"
        return ""

    def _refusal_to_start(self, request: WorkRequest) -> str:
        if time.monotonic() >= request.deadline_s:
            return "deadline"
        if not self.settings.checks_orders:
            return ""
        return refusal_of_request(
            self.grant,
            self.now_ms(),
            request.dispatch_fence,
            request.slice_id,
            request.slice_fence,
        )

    async def _wait_for_slot(self, work: _Work) -> str:
        """Waits for a free slot.

        Returns:
            The reason why the request can't be started, or an empty string.
        """
        while self.busy >= self.settings.slots and not work.cancelled:
            work.notification = asyncio.get_running_loop().create_future()
            self._queued.append(work)
            try:
                await work.notification
            finally:
                if work in self._queued:
                    self._queued.remove(work)
        refusal = "cancelled" if work.cancelled else self._refusal_to_start(work.request)
        if refusal:
            self._notify_next()
        return refusal

    def _notify_next(self) -> None:
        if self._queued and self.busy < self.settings.slots:
            self._queued.popleft().notify()

    async def _execute(self, work: _Work) -> WorkResult:
        request, record = work.request, work.record
        self._executing.add(work)
        self._record_load()
        started_s = time.monotonic()
        record["started_s"] = self.records.wall_s(started_s)
        record["outcome"] = OUTCOME_RUNNING
        self._executions[request.request_id] += 1
        self.records.append_to_journal("request", record)
        try:
            stopped = await self._work_until(work, started_s + self._service_s(request))
        finally:
            self._executing.discard(work)
            self._record_load()
            self._notify_next()
        record["outcome"] = OUTCOME_STOPPED if stopped else OUTCOME_RUN
        record["reason"] = stopped
        record["ended_s"] = self.records.wall_s(self._work_end_s(request, stopped))
        self.records.append_to_journal("request", record)
        if not stopped and request.method not in ("GET", "HEAD"):
            self._values[request.path] += 1
        execution_count, value = self._executions[request.request_id], self._values[request.path]
        return WorkResult(record["outcome"], stopped, execution_count, value)

    def _service_s(self, request: WorkRequest) -> float:
        return request.work_ms / 1000 * self.faults.slow_factor * self.cold.service_factor()

    async def _work_until(self, work: _Work, end_s: float) -> str:
        """Occupies the slot until ``end_s``; returns the reason if the request was stopped earlier.

        A request for a slice is stopped when the grant expires, so that it never overlaps with
        requests of a later owner. Its end is compared with the expiry of the grant rather
        than with the current time, so the result is right even if the process was frozen in
        between.
        """
        loop = asyncio.get_running_loop()
        while True:
            limit_s = self._grant_end_s(work.request)
            now_s = time.monotonic()
            if now_s >= min(end_s, limit_s):
                return "" if end_s <= limit_s else "grant_ended"
            if work.cancelled:
                return "cancelled"
            work.notification = loop.create_future()
            timer = loop.call_later(min(end_s, limit_s) - now_s, work.notify)
            try:
                await work.notification
            finally:
                timer.cancel()

    def _grant_end_s(self, request: WorkRequest) -> float:
        if not self.settings.checks_orders or request.slice_id < 0 or self.grant is None:
            return float("inf")
        return self.grant.until_ms / 1000

    def _work_end_s(self, request: WorkRequest, stopped: str) -> float:
        now_s = time.monotonic()
        return min(now_s, self._grant_end_s(request)) if stopped == "grant_ended" else now_s

    def _record_load(self) -> None:
        self._load.append((time.monotonic(), self.busy))
