"""Queues in which requests wait for a slot of a backend server; policies by name.

The dispatchers of the entry program use them. Those of the gateway use ``server_queue``.
"""

from __future__ import annotations

import logging
from bisect import insort
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple, Protocol

from result import Err, Ok, Result

from greengagefall.limits.exceptions import (
    DEADLINE_EXPIRED,
    DEADLINE_UNREACHABLE,
    QUEUE_FULL,
    QUEUE_SHED,
    LimitRefusal,
)
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_WAIT_SAFETY = 1.0
MS_PER_S = 1000.0


class QueuedRequest(NamedTuple):
    """A request that is queued for a slot.

    Attributes:
        request_id: Unique among the queued requests.
        caller: Identity of the caller, for fair queueing.
        priority: 0 is shed last; larger numbers are shed earlier.
        deadline_s: Monotonic time after which the caller no longer waits for the answer.
        enqueued_s: Monotonic time of arrival.
    """

    request_id: str
    caller: str
    priority: int
    deadline_s: float
    enqueued_s: float


class DroppedRequest(NamedTuple):
    """A request that left the queue without being executed.

    Attributes:
        request: The request.
        reason: Reason of the drop, one of ``LIMIT_REASONS``.
    """

    request: QueuedRequest
    reason: str


class AdmissionQueue(Protocol):
    """Queue of one backend server."""

    def offer(self, item: QueuedRequest) -> Result[None, LimitRefusal]:
        """Adds ``item``, or returns why it is refused."""

    def pop(self, now_s: float) -> QueuedRequest | None:
        """Removes and returns the next request whose deadline can still be met."""

    def collect_dropped(self, now_s: float) -> list[DroppedRequest]:
        """Drops expired requests; returns all requests dropped since the last call.

        Call it after ``offer`` and ``pop`` as well as on a timer.
        """

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes a cancelled request; returns None if it is not queued."""

    def set_capacity(self, limit: int, latency_ms: float) -> None:
        """Sets how many requests are executed concurrently and how long one takes."""

    def __len__(self) -> int: ...


QUEUES: Registry[type[AdmissionQueue]] = Registry("queue")


@QUEUES.register("fifo")
class FifoQueue:
    """Bounded queue in order of arrival; the baseline."""

    def __init__(
        self, queue_limit: int, clock: Clock, tuning: Mapping[str, float] | None = None
    ) -> None:
        self._queue_limit = queue_limit
        self._items: deque[QueuedRequest] = deque()
        self._dropped: list[DroppedRequest] = []

    def offer(self, item: QueuedRequest) -> Result[None, LimitRefusal]:
        """Adds ``item`` unless the queue is full."""
        if len(self._items) >= self._queue_limit:
            return Err(LimitRefusal(QUEUE_FULL, 0))
        self._items.append(item)
        return Ok(None)

    def pop(self, now_s: float) -> QueuedRequest | None:
        """Removes and returns the oldest request whose deadline has not passed."""
        while self._items:
            item = self._items.popleft()
            if item.deadline_s > now_s:
                return item
            self._dropped.append(DroppedRequest(item, DEADLINE_EXPIRED))
        return None

    def collect_dropped(self, now_s: float) -> list[DroppedRequest]:
        """Drops expired requests; returns all requests dropped since the last call."""
        dropped = self._dropped
        dropped += [
            DroppedRequest(item, DEADLINE_EXPIRED)
            for item in self._items
            if item.deadline_s <= now_s
        ]
        self._items = deque(item for item in self._items if item.deadline_s > now_s)
        self._dropped = []
        return dropped

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes a cancelled request; returns None if it is not queued."""
        for item in self._items:
            if item.request_id == request_id:
                self._items.remove(item)
                return item
        return None

    def set_capacity(self, limit: int, latency_ms: float) -> None:
        """Does nothing: this queue does not estimate waits."""

    def __len__(self) -> int:
        return len(self._items)


class _RankedRequest(NamedTuple):
    """A queued request with its order: by priority, then by deadline, then by arrival."""

    priority: int
    deadline_s: float
    sequence: int
    item: QueuedRequest


@QUEUES.register("deadline_fair")
class DeadlineFairQueue:
    """Bounded queue that shares slots between callers and respects deadlines.

    Callers are served in turn. Each caller's requests are taken by priority, then by
    deadline. A request is refused on arrival if its estimated wait and execution
    would end after its deadline. A full queue drops a request of a caller above its
    fair share first, then one of the largest priority number.

    Tuning: ``wait_safety`` multiplies the estimated wait before it is compared with
    the deadline.
    """

    def __init__(
        self, queue_limit: int, clock: Clock, tuning: Mapping[str, float] | None = None
    ) -> None:
        tuning = tuning or {}
        self._queue_limit = queue_limit
        self._clock = clock
        self._wait_safety = tuning.get("wait_safety", DEFAULT_WAIT_SAFETY)
        self._callers: OrderedDict[str, list[_RankedRequest]] = OrderedDict()
        self._size = 0
        self._sequence = 0
        self._dropped: list[DroppedRequest] = []
        self._limit = 1
        self._latency_s = 0.0

    def offer(self, item: QueuedRequest) -> Result[None, LimitRefusal]:
        """Adds ``item``; may drop another request if the queue is full."""
        now_s = self._clock.now_s()
        if item.deadline_s <= now_s:
            return Err(LimitRefusal(DEADLINE_EXPIRED, 0))
        finish_s = now_s + self.estimated_wait_s(item) * self._wait_safety + self._latency_s
        if finish_s > item.deadline_s:
            return Err(LimitRefusal(DEADLINE_UNREACHABLE, self._retry_after_ms()))
        if self._queue_limit <= 0:
            return Err(LimitRefusal(QUEUE_FULL, 0))
        self._insert(item)
        if self._size <= self._queue_limit:
            return Ok(None)
        shed = self._least_entitled()
        self._remove_entry(shed.item.caller, shed)
        if shed.item is item:
            return Err(LimitRefusal(QUEUE_FULL, self._retry_after_ms()))
        self._dropped.append(DroppedRequest(shed.item, QUEUE_SHED))
        return Ok(None)

    def pop(self, now_s: float) -> QueuedRequest | None:
        """Removes and returns a request of the caller whose turn it is."""
        while self._callers:
            caller = next(iter(self._callers))
            ranked = self._callers[caller][0]
            self._remove_entry(caller, ranked)
            if ranked.deadline_s > now_s + self._latency_s:
                if caller in self._callers:
                    self._callers.move_to_end(caller)
                return ranked.item
            self._record_late_drop(ranked.item, now_s)
        return None

    def collect_dropped(self, now_s: float) -> list[DroppedRequest]:
        """Drops expired requests; returns all requests dropped since the last call."""
        for caller in list(self._callers):
            expired = [entry for entry in self._callers[caller] if entry.deadline_s <= now_s]
            for entry in expired:
                self._remove_entry(caller, entry)
                self._record_late_drop(entry.item, now_s)
        dropped = self._dropped
        self._dropped = []
        return dropped

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes a cancelled request; returns None if it is not queued."""
        for caller, entries in self._callers.items():
            for entry in entries:
                if entry.item.request_id == request_id:
                    self._remove_entry(caller, entry)
                    return entry.item
        return None

    def set_capacity(self, limit: int, latency_ms: float) -> None:
        """Sets how many requests are executed concurrently and how long one takes."""
        self._limit = max(1, limit)
        self._latency_s = latency_ms / MS_PER_S

    def estimated_wait_s(self, item: QueuedRequest) -> float:
        """Returns how long ``item`` would wait if it were offered now."""
        own = self._callers.get(item.caller, [])
        rank = (item.priority, item.deadline_s)
        ahead_own = sum(1 for entry in own if entry[:2] <= rank)
        turns = ahead_own + 1
        ahead_others = sum(
            min(len(entries), turns)
            for caller, entries in self._callers.items()
            if caller != item.caller
        )
        rounds = (ahead_own + ahead_others + 1) / self._limit
        return rounds * self._latency_s

    def __len__(self) -> int:
        return self._size

    def _insert(self, item: QueuedRequest) -> None:
        self._sequence += 1
        ranked = _RankedRequest(item.priority, item.deadline_s, self._sequence, item)
        insort(self._callers.setdefault(item.caller, []), ranked)
        self._size += 1

    def _remove_entry(self, caller: str, ranked: _RankedRequest) -> None:
        entries = self._callers[caller]
        entries.remove(ranked)
        if not entries:
            del self._callers[caller]
        self._size -= 1

    def _record_late_drop(self, item: QueuedRequest, now_s: float) -> None:
        reason = DEADLINE_EXPIRED if item.deadline_s <= now_s else DEADLINE_UNREACHABLE
        self._dropped.append(DroppedRequest(item, reason))

    def _least_entitled(self) -> _RankedRequest:
        fair_share = self._queue_limit / len(self._callers)

        def key(entries: list[_RankedRequest]) -> tuple[bool, int, int, int]:
            last = entries[-1]
            return len(entries) > fair_share, last.priority, len(entries), last.sequence

        return max(self._callers.values(), key=key)[-1]

    def _retry_after_ms(self) -> int:
        return int(self._size / self._limit * self._latency_s * MS_PER_S)
