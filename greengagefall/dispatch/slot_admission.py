"""Admits requests to the slots of one backend server, and lets the others wait."""

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
    """Limit and queue of one backend server.

    Args:
        back_end: Configuration of the back end, with its policies.
        server: Configuration of the backend server.
        clock: Monotonic clock.

    Attributes:
        limit: Limit on requests in flight, which the caller of the gate starts and finishes.
    """

    def __init__(self, back_end: BackEnd, server: BackendServer, clock: Clock) -> None:
        limit_policy = LIMITS[back_end.policies["limit"]]
        queue_policy = QUEUES[back_end.policies["queue"]]
        self.limit = limit_policy(server.slots, server.cold_slots, clock, back_end.tuning)
        self._queue = queue_policy(back_end.queue_limit, clock, back_end.tuning)
        self._cold_slots = server.cold_slots
        self._clock = clock
        self._waiting: dict[str, asyncio.Future[str]] = {}
        self._tickets = itertools.count(1)
        self._reserved = 0
        self._foreign_busy = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def has_free_slot(self) -> bool:
        """Returns whether a request may run at once, with nobody waiting before it."""
        return self._room() > 0 and not self._waiting

    def set_reported_busy(self, busy: int) -> None:
        """Takes the number of requests that the server says it runs.

        Those that this dispatcher did not send are left from an earlier one, and count too.
        """
        self._foreign_busy = max(0, busy - self.limit.in_flight)

    def on_cold_start(self) -> None:
        """Holds the server at what it bears in cold start."""
        self.limit.on_cold_start(self._cold_slots)

    async def wait_for_slot(self, caller: str, priority: int, deadline_s: float) -> str:
        """Waits for a slot.

        Returns:
            ``ADMITTED``, or the reason why there will be none before the deadline. An admitted
            request has to start before the event loop runs anything else.
        """
        ticket = str(next(self._tickets))
        now_s = self._clock.now_s()
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        self._waiting[ticket] = future
        timer = loop.call_later(max(0.0, deadline_s - now_s), self._drop_expired)
        try:
            self._queue.set_capacity(self.limit.limit, self.limit.latency_ms)
            offered = self._queue.offer(QueuedRequest(ticket, caller, priority, deadline_s, now_s))
            self._drop_expired()
            if isinstance(offered, Err):
                return offered.err_value.reason
            return await future
        except asyncio.CancelledError:
            self._queue.remove(ticket)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(ticket, None)
            self._unreserve(future)

    def admit_waiting(self) -> None:
        """Admits waiting requests while there is room."""
        room = self._room()
        while room > 0:
            item = self._queue.pop(self._clock.now_s())
            if item is None:
                break
            future = self._waiting.pop(item.request_id, None)
            if future is None or future.done():
                continue
            future.set_result(ADMITTED)
            self._reserved += 1
            room -= 1
        self._drop_expired()

    def _room(self) -> int:
        taken = self.limit.in_flight + self._reserved + self._foreign_busy
        return self.limit.limit - taken

    def _unreserve(self, future: asyncio.Future[str]) -> None:
        admitted = future.done() and not future.cancelled() and future.result() == ADMITTED
        if not admitted:
            return
        self._reserved -= 1
        if asyncio.current_task().cancelling():
            self.admit_waiting()

    def _drop_expired(self) -> None:
        for dropped in self._queue.collect_dropped(self._clock.now_s()):
            future = self._waiting.pop(dropped.request.request_id, None)
            if future is not None and not future.done():
                future.set_result(dropped.reason)
