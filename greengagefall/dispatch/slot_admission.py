"""Admits requests to the slots of one backend server and queues the others."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from result import Err

from greengagefall.limits.admission import QUEUES, QueuedRequest
from greengagefall.limits.concurrency import LIMITS

if TYPE_CHECKING:
    from greengagefall.routing.model import BackEnd, BackendServer
    from greengagefall.utils.clock import Clock

ADMITTED = ""


class SlotAdmission:
    """Concurrency limit and request queue of one backend server.

    Args:
        back_end: Configuration of the back end, with its policies.
        server: Configuration of the backend server.
        clock: Monotonic clock.

    Attributes:
        limit: Limit on requests in flight. The user of this class reports to it when a request
            starts and finishes.
    """

    def __init__(self, back_end: BackEnd, server: BackendServer, clock: Clock) -> None:
        limit_policy = LIMITS[back_end.policies["limit"]]
        queue_policy = QUEUES[back_end.policies["queue"]]
        self.limit = limit_policy(server.slots, server.cold_slots, clock, back_end.tuning)
        self._queue = queue_policy(back_end.queue_limit, clock, back_end.tuning)
        self._cold_slots = server.cold_slots
        self._clock = clock
        self._futures: dict[str, asyncio.Future[str]] = {}
        self._tickets = itertools.count(1)
        self._reserved = 0
        self._unaccounted_busy = 0

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._futures)

    def has_free_slot(self) -> bool:
        """Returns whether a slot is free and no request is queued."""
        return self._free_slots() > 0 and not self._futures

    def set_reported_busy(self, busy: int) -> None:
        """Sets the number of requests that the server reports as being executed.

        Requests that this dispatcher did not send were sent by an earlier dispatcher. They take
        slots, too.
        """
        self._unaccounted_busy = max(0, busy - self.limit.in_flight)

    def on_cold_start(self) -> None:
        """Lowers the limit to the number of slots of a server in cold start."""
        self.limit.on_cold_start(self._cold_slots)

    async def wait_for_slot(self, caller: str, priority: int, deadline_s: float) -> str:
        """Queues a request until it gets a slot.

        Returns:
            ``ADMITTED``, or the reason why the request gets no slot before its deadline. The
            calling code has to start an admitted request before it yields to the event loop.
        """
        ticket = str(next(self._tickets))
        now_s = self._clock.now_s()
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        self._futures[ticket] = future
        timer = loop.call_later(max(0.0, deadline_s - now_s), self._finish_dropped)
        try:
            self._queue.set_capacity(self.limit.limit, self.limit.latency_ms)
            queued = self._queue.offer(QueuedRequest(ticket, caller, priority, deadline_s, now_s))
            self._finish_dropped()
            if isinstance(queued, Err):
                return queued.err_value.reason
            return await future
        except asyncio.CancelledError:
            self._queue.remove(ticket)
            raise
        finally:
            timer.cancel()
            self._futures.pop(ticket, None)
            self._unreserve(future)

    def admit_queued(self) -> None:
        """Admits queued requests while slots are free."""
        free_slots = self._free_slots()
        while free_slots > 0:
            request = self._queue.pop(self._clock.now_s())
            if request is None:
                break
            future = self._futures.pop(request.request_id, None)
            if future is None or future.done():
                continue
            future.set_result(ADMITTED)
            self._reserved += 1
            free_slots -= 1
        self._finish_dropped()

    def _free_slots(self) -> int:
        used_slots = self.limit.in_flight + self._reserved + self._unaccounted_busy
        return self.limit.limit - used_slots

    def _unreserve(self, future: asyncio.Future[str]) -> None:
        admitted = future.done() and not future.cancelled() and future.result() == ADMITTED
        if not admitted:
            return
        self._reserved -= 1
        if asyncio.current_task().cancelling():
            self.admit_queued()

    def _finish_dropped(self) -> None:
        for dropped in self._queue.collect_dropped(self._clock.now_s()):
            future = self._futures.pop(dropped.request.request_id, None)
            if future is not None and not future.done():
                future.set_result(dropped.reason)
