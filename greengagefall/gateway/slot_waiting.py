"""Lets requests wait for a slot of one backend server."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.gateway import outcomes
from greengagefall.limits.server_queue import QueuedDispatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.limits.server_queue import ServerQueue
    from greengagefall.protocol.gateway_messages import Dispatch

MS_PER_S = 1000.0
ADMITTED = ""
# Bounds of the delay after which queued requests are checked again without an answer of the server.
MIN_QUEUE_CHECK_S = 0.005
MAX_QUEUE_CHECK_S = 0.1


class Admission(NamedTuple):
    """The end of a request's wait for a slot.

    Attributes:
        outcome: ``ADMITTED`` or the reason of the refusal.
        item: The request in the queue, to free its slot.
    """

    outcome: str
    item: QueuedDispatch


class _QueuedRequest(NamedTuple):
    """A queued request; the outcome is ``ADMITTED`` or the reason of the refusal."""

    item: QueuedDispatch
    key: int
    outcome: asyncio.Future[str]


class SlotWaiting:
    """Requests that wait until a server's queue admits or refuses them.

    Args:
        queue: Slots and queue of the server.
    """

    def __init__(self, queue: ServerQueue) -> None:
        self._queue = queue
        self._queued_requests: dict[int, _QueuedRequest] = {}
        self._ticket_numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._queued_requests)

    def close(self) -> None:
        """Refuses all requests that wait."""
        if self._timer is not None:
            self._timer.cancel()
        for queued in list(self._queued_requests.values()):
            self._complete(queued, outcomes.QUEUE_FULL)

    async def admit(self, request: Dispatch, received_s: float, deadline_s: float) -> Admission:
        """Waits for a slot; a request that is admitted has to call ``finish``.

        Args:
            request: The request.
            received_s: When it arrived at this host.
            deadline_s: When its caller no longer waits.
        """
        item = self.queued_item(request, received_s, deadline_s)
        outcome = asyncio.get_running_loop().create_future()
        queued = _QueuedRequest(item, request.key, outcome)
        self._queued_requests[item.ticket] = queued
        self._refuse(self._queue.offer(item))
        self._start()
        self._schedule_check()
        try:
            return Admission(await queued.outcome, item)
        except asyncio.CancelledError:
            self._queued_requests.pop(item.ticket, None)
            self._queue.remove(item)
            ended = queued.outcome.done() and not queued.outcome.cancelled()
            if ended and queued.outcome.result() == ADMITTED:
                self.finish(item)
            raise

    def queued_item(
        self, request: Dispatch, received_s: float, deadline_s: float
    ) -> QueuedDispatch:
        """Returns a request as it would be queued now."""
        return QueuedDispatch(
            request.priority,
            deadline_s,
            next(self._ticket_numbers),
            received_s + request.objective_ms / MS_PER_S,
            request.kind,
        )

    def finish(
        self, item: QueuedDispatch, duration_s: float | None = None, slowdown: float = 1.0
    ) -> None:
        """Frees a slot and admits the next request.

        Args:
            item: The request that had the slot.
            duration_s: Service time; None if the request was not executed to its end.
            slowdown: The slowdown that the server reported with the answer.
        """
        self._queue.finish(item, duration_s, slowdown)
        self.process()

    def refuse_keys(self, is_refused: Callable[[int], bool], reason: str) -> None:
        """Refuses the requests whose key satisfies a condition."""
        for queued in list(self._queued_requests.values()):
            if is_refused(queued.key):
                self._queue.remove(queued.item)
                self._complete(queued, reason)

    def process(self) -> None:
        """Admits requests while the queue allows it and refuses those that would be late."""
        self._start()
        self._refuse(self._queue.shed_late())
        self._schedule_check()

    def _start(self) -> None:
        """Admits requests while the queue allows it."""
        while (item := self._queue.start_next()) is not None:
            queued = self._queued_requests.get(item.ticket)
            if queued is None:
                self._queue.finish(item)
                continue
            self._complete(queued, ADMITTED)

    def _schedule_check(self) -> None:
        """Has the queue processed again after a while if requests still wait."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if len(self._queue):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._next_check_s(), self.process)

    def _next_check_s(self) -> float:
        delay_s = self._queue.rate_wait_s()
        if not delay_s:
            return MAX_QUEUE_CHECK_S
        return max(MIN_QUEUE_CHECK_S, min(delay_s, MAX_QUEUE_CHECK_S))

    def _refuse(self, items: list[QueuedDispatch]) -> None:
        for item in items:
            queued = self._queued_requests.get(item.ticket)
            if queued is not None:
                self._complete(queued, outcomes.QUEUE_FULL)

    def _complete(self, queued: _QueuedRequest, outcome: str) -> None:
        self._queued_requests.pop(queued.item.ticket, None)
        if not queued.outcome.done():
            queued.outcome.set_result(outcome)
