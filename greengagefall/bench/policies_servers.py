"""Load model of backend servers and their dispatchers without network and coordination."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.limits.admission import QUEUES, QueuedRequest
from greengagefall.limits.concurrency import LIMITS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from greengagefall.bench.policies_loop import EventLoop

log = logging.getLogger(__name__)

SERVICE_SIGMA = 0.5
SHED_LATENCY_S = 0.0005
CONTENTION_EXPONENT = 1.5
COLD_DURATION_S = 3.0
STATUS_INTERVAL_S = 0.4
MS_PER_S = 1000.0

OK = "ok"
NOT_RUN = "not_run"
SHED = "shed"


class Request(NamedTuple):
    """A caller's request.

    Attributes:
        request_id: Unique id of this attempt.
        caller: Identity of the caller.
        priority: Priority of the request's class.
        repeatable: Whether the request is idempotent.
        start_s: Time at which the caller sent the request.
        deadline_s: Time at which the request times out at the caller.
        slice_id: Slice of the request's key, -1 for a pooled back end.
    """

    request_id: str
    caller: str
    priority: int
    repeatable: bool
    start_s: float
    deadline_s: float
    slice_id: int


class Done(NamedTuple):
    """Result of an attempt at a dispatcher.

    Attributes:
        outcome: ``ok``, ``not_run`` or ``shed``.
        reason: Reason code of a request that was not executed, else empty.
        queue_length: Number of requests queued or executing at the dispatcher.
        latency_ms: Time at the backend server.
    """

    outcome: str
    reason: str
    queue_length: int
    latency_ms: float


class ServerModel:
    """Backend server that sheds requests above its slots, or above its cold slots while cold.

    Attributes:
        slow_factor: Factor on the service time.
        contended_above: Number of concurrent requests above which the service time rises.
        reports_cold: Whether the server's status reports that the server is cold.
        incarnation: Number of restarts.
        busy_s: Sum of the service times of all answered requests.
        served: Number of answered requests.
        seen_incarnation: Latest incarnation that the dispatcher noticed.
        above_cold_bound: Requests shed above the cold slots after the dispatcher noticed the
            restart.
        above_before_seen: Requests shed above the cold slots before that.
    """

    def __init__(
        self,
        loop: EventLoop,
        rng: random.Random,
        slots: int,
        cold_slots: int,
        service_s: float,
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._slots = slots
        self._cold_slots = cold_slots
        self._service_s = service_s
        self._executing: dict[str, Callable[[str, float], None]] = {}
        self._cold_until_s = -math.inf
        self.slow_factor = 1.0
        self.contended_above = slots
        self.reports_cold = True
        self.incarnation = 0
        self.busy_s = 0.0
        self.served = 0
        self.seen_incarnation = 0
        self.above_cold_bound = 0
        self.above_before_seen = 0

    def restart_cold(self) -> None:
        """Drops all executing requests as shed and makes the server cold without notice."""
        lost, self._executing = self._executing, {}
        self.incarnation += 1
        self._cold_until_s = self._loop.now_s() + COLD_DURATION_S
        for finish in lost.values():
            finish(SHED, 0.0)

    def execute(self, request_id: str, finish: Callable[[str, float], None]) -> None:
        """Executes or sheds a request; calls ``finish(outcome, latency_ms)`` later."""
        cold = self.is_cold()
        allowed = self._cold_slots if cold else self._slots
        if len(self._executing) >= allowed:
            if cold and self.seen_incarnation == self.incarnation:
                self.above_cold_bound += 1
            elif cold:
                self.above_before_seen += 1
            self._loop.call_later(SHED_LATENCY_S, finish, SHED, 0.0)
            return
        contention = max(1.0, (len(self._executing) + 1) / self.contended_above)
        mean_s = self._service_s * self.slow_factor * contention**CONTENTION_EXPONENT
        # With this mean of the logarithm, the lognormal factor has a mean of 1.
        log_mean = -SERVICE_SIGMA * SERVICE_SIGMA / 2.0
        service_s = mean_s * self._rng.lognormvariate(log_mean, SERVICE_SIGMA)
        self._executing[request_id] = finish
        self._loop.call_later(service_s, self._finish, request_id, finish, service_s)

    def is_cold(self) -> bool:
        """Returns whether the server accepts only as many requests as it has cold slots."""
        return self._loop.now_s() < self._cold_until_s

    def cancel(self, request_id: str) -> bool:
        """Cancels an executing request; returns whether it was executing."""
        return self._executing.pop(request_id, None) is not None

    def _finish(
        self, request_id: str, finish: Callable[[str, float], None], service_s: float
    ) -> None:
        if self._executing.get(request_id) is not finish:
            return
        del self._executing[request_id]
        self.busy_s += service_s
        self.served += 1
        finish(OK, service_s * MS_PER_S)


class DispatcherModel:
    """Dispatcher of one backend server with the real queue, limit and ramp after cold starts."""

    def __init__(
        self,
        loop: EventLoop,
        server: ServerModel,
        slots: int,
        cold_slots: int,
        queue_limit: int,
        policies: Mapping[str, str],
        tuning: Mapping[str, float],
    ) -> None:
        self._loop = loop
        self._server = server
        self._cold_slots = cold_slots
        self._limit = LIMITS[policies["limit"]](slots, cold_slots, loop, tuning)
        self._queue = QUEUES[policies["queue"]](queue_limit, loop, tuning)
        self._queued: dict[str, Callable[[Done], None]] = {}
        self._executing: dict[str, Callable[[Done], None]] = {}
        self._incarnation = server.incarnation
        self.offered = 0
        loop.call_later(STATUS_INTERVAL_S, self._read_status)

    @property
    def queue_length(self) -> int:
        """Number of requests queued or executing."""
        return len(self._queue) + self._limit.in_flight

    def submit(self, request: Request, done: Callable[[Done], None]) -> None:
        """Starts, queues or refuses a request.

        ``done`` is called once with the result unless the request is cancelled.
        """
        self.offered += 1
        item = QueuedRequest(
            request.request_id,
            request.caller,
            request.priority,
            request.deadline_s,
            self._loop.now_s(),
        )
        if not len(self._queue) and self._limit.can_start():
            self._start(request.request_id, done)
            return
        offered = self._queue.offer(item)
        if offered.is_err():
            self._refuse(done, offered.unwrap_err().reason)
        else:
            self._queued[request.request_id] = done
        self._refuse_dropped()

    def cancel(self, request_id: str) -> None:
        """Cancels a queued or executing request."""
        if self._queued.pop(request_id, None):
            self._queue.remove(request_id)
            return
        if self._executing.pop(request_id, None) and self._server.cancel(request_id):
            self._limit.on_cancelled()
            self._start_queued()

    def _read_status(self) -> None:
        """Reads the status that the server reports with each renewal of its grant."""
        self._loop.call_later(STATUS_INTERVAL_S, self._read_status)
        if self._server.reports_cold and self._server.is_cold():
            self._limit.on_cold_start(self._cold_slots)

    def _start(self, request_id: str, done: Callable[[Done], None]) -> None:
        self._limit.on_start()
        self._executing[request_id] = done

        def finish(outcome: str, latency_ms: float) -> None:
            self._finish(request_id, outcome, latency_ms)

        self._server.execute(request_id, finish)

    def _finish(self, request_id: str, outcome: str, latency_ms: float) -> None:
        done = self._executing.pop(request_id, None)
        if done is None:
            return
        if outcome == OK:
            self._limit.on_finish(latency_ms, ok=True)
        else:
            self._limit.on_shed()
        if self._incarnation != self._server.incarnation:
            self._incarnation = self._server.incarnation
            self._server.seen_incarnation = self._incarnation
            self._limit.on_cold_start(self._cold_slots)
        self._queue.set_capacity(self._limit.limit, self._limit.latency_ms)
        done(Done(outcome, "", self.queue_length, latency_ms))
        self._start_queued()

    def _start_queued(self) -> None:
        while self._limit.can_start():
            item = self._queue.pop(self._loop.now_s())
            if item is None:
                break
            self._start(item.request_id, self._queued.pop(item.request_id))
        self._refuse_dropped()

    def _refuse_dropped(self) -> None:
        for dropped in self._queue.collect_dropped(self._loop.now_s()):
            done = self._queued.pop(dropped.request.request_id, None)
            if done:
                self._refuse(done, dropped.reason)

    def _refuse(self, done: Callable[[Done], None], reason: str) -> None:
        done(Done(NOT_RUN, reason, self.queue_length, 0.0))
