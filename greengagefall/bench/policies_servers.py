"""Load model of backend servers and their dispatchers, without network or coordination."""

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
SHED_S = 0.0005
CONTENTION_POWER = 1.5
WARM_AFTER_S = 3.0
READING_EACH_S = 0.4
MS_PER_S = 1000.0

OK = "ok"
NOT_RUN = "not_run"
SHED = "shed"


class Request(NamedTuple):
    """A caller's request.

    Attributes:
        request_id: Unique id of this try.
        caller: Identity of the caller.
        priority: Class priority.
        repeatable: Whether it is idempotent.
        start_s: When the caller sent it.
        deadline_s: When the caller gives up.
        slice_id: Slice of its key, -1 for pooled.
    """

    request_id: str
    caller: str
    priority: int
    repeatable: bool
    start_s: float
    deadline_s: float
    slice_id: int


class Done(NamedTuple):
    """End of a try at a dispatcher.

    Attributes:
        outcome: ``ok``, ``not_run`` or ``shed``.
        reason: Why it did not run, else empty.
        queue_length: Requests waiting or running at the dispatcher.
        latency_ms: Time at the backend server.
    """

    outcome: str
    reason: str
    queue_length: int
    latency_ms: float


class ServerModel:
    """A backend server with slots; it sheds what passes them or its cold bound."""

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
        self._running: dict[str, Callable[[str, float], None]] = {}
        self._cold_until_s = -math.inf
        self.slow_factor = 1.0
        self.contended_above = slots
        self.tells_cold = True
        self.incarnation = 0
        self.busy_s = 0.0
        self.served = 0
        self.seen_incarnation = 0
        self.above_cold_bound = 0
        self.above_before_seen = 0

    def restart_cold(self) -> None:
        """Loses all that runs and turns cold without warning."""
        lost, self._running = self._running, {}
        self.incarnation += 1
        self._cold_until_s = self._loop.now_s() + WARM_AFTER_S
        for finish in lost.values():
            finish(SHED, 0.0)

    def run(self, request_id: str, finish: Callable[[str, float], None]) -> None:
        """Runs a request, or sheds it; calls ``finish(outcome, latency_ms)`` later."""
        cold = self.is_cold()
        allowed = self._cold_slots if cold else self._slots
        if len(self._running) >= allowed:
            if cold and self.seen_incarnation == self.incarnation:
                self.above_cold_bound += 1
            elif cold:
                self.above_before_seen += 1
            self._loop.call_later(SHED_S, finish, SHED, 0.0)
            return
        contention = max(1.0, (len(self._running) + 1) / self.contended_above)
        mean_s = self._service_s * self.slow_factor * contention**CONTENTION_POWER
        drift = -SERVICE_SIGMA * SERVICE_SIGMA / 2.0
        took_s = mean_s * self._rng.lognormvariate(drift, SERVICE_SIGMA)
        self._running[request_id] = finish
        self._loop.call_later(took_s, self._end, request_id, finish, took_s)

    def is_cold(self) -> bool:
        """Returns whether the server bears only its cold slots."""
        return self._loop.now_s() < self._cold_until_s

    def cancel(self, request_id: str) -> bool:
        """Stops a running request."""
        return self._running.pop(request_id, None) is not None

    def _end(self, request_id: str, finish: Callable[[str, float], None], took_s: float) -> None:
        if self._running.get(request_id) is not finish:
            return
        del self._running[request_id]
        self.busy_s += took_s
        self.served += 1
        finish(OK, took_s * MS_PER_S)


class DispatcherModel:
    """The limit, queue and cold ramp of one backend server, as the product uses them."""

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
        self._waiting: dict[str, Callable[[Done], None]] = {}
        self._running: dict[str, Callable[[Done], None]] = {}
        self._incarnation = server.incarnation
        self.offered = 0
        loop.call_later(READING_EACH_S, self._read_status)

    @property
    def queue_length(self) -> int:
        """Requests waiting or running."""
        return len(self._queue) + self._limit.in_flight

    def submit(self, request: Request, done: Callable[[Done], None]) -> None:
        """Takes a request; calls ``done`` once with its end unless it is cancelled."""
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
            self._waiting[request.request_id] = done
        self._drop_late()

    def cancel(self, request_id: str) -> None:
        """Takes back a request that waits or runs."""
        if self._waiting.pop(request_id, None):
            self._queue.remove(request_id)
            return
        if self._running.pop(request_id, None) and self._server.cancel(request_id):
            self._limit.on_cancelled()
            self._pump()

    def _read_status(self) -> None:
        """Takes in the server's own word, which comes with each renewal of its grant."""
        self._loop.call_later(READING_EACH_S, self._read_status)
        if self._server.tells_cold and self._server.is_cold():
            self._limit.on_cold_start(self._cold_slots)

    def _start(self, request_id: str, done: Callable[[Done], None]) -> None:
        self._limit.on_start()
        self._running[request_id] = done

        def finish(outcome: str, latency_ms: float) -> None:
            self._finish(request_id, outcome, latency_ms)

        self._server.run(request_id, finish)

    def _finish(self, request_id: str, outcome: str, latency_ms: float) -> None:
        done = self._running.pop(request_id, None)
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
        self._pump()

    def _pump(self) -> None:
        while self._limit.can_start():
            item = self._queue.pop(self._loop.now_s())
            if item is None:
                break
            self._start(item.request_id, self._waiting.pop(item.request_id))
        self._drop_late()

    def _drop_late(self) -> None:
        for dropped in self._queue.collect_dropped(self._loop.now_s()):
            done = self._waiting.pop(dropped.request.request_id, None)
            if done:
                self._refuse(done, dropped.reason)

    def _refuse(self, done: Callable[[Done], None], reason: str) -> None:
        done(Done(NOT_RUN, reason, self.queue_length, 0.0))
