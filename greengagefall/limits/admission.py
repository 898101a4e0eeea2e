"""Queues in which requests wait for a slot of a backend server."""

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
    """A request that waits for a slot.

    Attributes:
        request_id: Unique among those waiting.
        caller: Identity of the caller, for fair queueing.
        priority: 0 is shed last, larger numbers earlier.
        deadline_s: Monotonic time after which nobody waits for the answer.
        enqueued_s: Monotonic time of arrival.
    """

    request_id: str
    caller: str
    priority: int
    deadline_s: float
    enqueued_s: float


class DroppedRequest(NamedTuple):
    """A request that left the queue without being run.

    Attributes:
        request: The request.
        reason: Why, one of ``LIMIT_REASONS``.
    """

    request: QueuedRequest
    reason: str


class AdmissionQueue(Protocol):
    """Queue of one backend server."""

    def offer(self, item: QueuedRequest) -> Result[None, LimitRefusal]:
        """Adds ``item``, or returns why not."""

    def pop(self, now_s: float) -> QueuedRequest | None:
        """Takes the next request whose deadline can still be met."""

    def collect_dropped(self, now_s: float) -> list[DroppedRequest]:
        """Returns each request dropped since the last call, and those that ran out now.

        Call it after ``offer`` and ``pop`` as well as on a timer.
        """

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Takes out a request that was cancelled."""

    def set_capacity(self, limit: int, latency_ms: float) -> None:
        """Tells how many requests run at once and how long one takes."""

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
        """Takes the oldest request whose deadline has not passed."""
        while self._items:
            item = self._items.popleft()
            if item.deadline_s > now_s:
                return item
            self._dropped.append(DroppedRequest(item, DEADLINE_EXPIRED))
        return None

    def collect_dropped(self, now_s: float) -> list[DroppedRequest]:
        """Returns each request dropped since the last call, and those that ran out now."""
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
        """Takes out a request that was cancelled."""
        for item in self._items:
            if item.request_id == request_id:
                self._items.remove(item)
                return item
        return None

    def set_capacity(self, limit: int, latency_ms: float) -> None:
        """Does nothing: this queue does not estimate waits."""

    def __len__(self) -> int:
        return len(self._items)


class _Ranked(NamedTuple):
    """Order of one caller's requests: by priority, then by deadline, then by arrival."""

    priority: int
    deadline_s: float
    sequence: int
    item: QueuedRequest


@QUEUES.register("deadline_fair")
class DeadlineFairQueue:
    """Bounded queue that shares slots between callers and respects deadlines.

    Callers take turns. Each caller's requests are taken by priority, then by
    deadline. A request is refused on arrival if its estimated wait and run pass its
    deadline. A full queue drops a request of a caller above its fair share first,
    then the one of the least important class.

    Tuning: ``wait_safety`` multiplies the estimated wait before it is compared.
    """

    def __init__(
        self, queue_limit: int, clock: Clock, tuning: Mapping[str, float] | None = None
    ) -> None:
        tuning = tuning or {}
        self._queue_limit = queue_limit
        self._clock = clock
        self._wait_safety = tuning.get("wait_safety", DEFAULT_WAIT_SAFETY)
        self._callers: OrderedDict[str, list[_Ranked]] = OrderedDict()
        self._size = 0
        self._sequence = 0
        self._dropped: list[DroppedRequest] = []
        self._limit = 1
        self._latency_s = 0.0

    def offer(self, item: QueuedRequest) -> Result[None, LimitRefusal]:
        """Adds ``item``; may drop a less entitled request to make room."""
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
        victim = self._least_entitled()
        self._take(victim.item.caller, victim)
        if victim.item is item:
            return Err(LimitRefusal(QUEUE_FULL, self._retry_after_ms()))
        self._dropped.append(DroppedRequest(victim.item, QUEUE_SHED))
        return Ok(None)

    def pop(self, now_s: float) -> QueuedRequest | None:
        """Takes a request of the caller whose turn it is."""
        while self._callers:
            caller = next(iter(self._callers))
            ranked = self._callers[caller][0]
            self._take(caller, ranked)
            if ranked.deadline_s > now_s + self._latency_s:
                if caller in self._callers:
                    self._callers.move_to_end(caller)
                return ranked.item
            self._drop_late(ranked.item, now_s)
        return None

    def collect_dropped(self, now_s: float) -> list[DroppedRequest]:
        """Returns each request dropped since the last call, and those that ran out now."""
        for caller in list(self._callers):
            late = [entry for entry in self._callers[caller] if entry.deadline_s <= now_s]
            for entry in late:
                self._take(caller, entry)
                self._drop_late(entry.item, now_s)
        dropped = self._dropped
        self._dropped = []
        return dropped

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Takes out a request that was cancelled."""
        for caller, entries in self._callers.items():
            for entry in entries:
                if entry.item.request_id == request_id:
                    self._take(caller, entry)
                    return entry.item
        return None

    def set_capacity(self, limit: int, latency_ms: float) -> None:
        """Tells how many requests run at once and how long one takes."""
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
        ranked = _Ranked(item.priority, item.deadline_s, self._sequence, item)
        insort(self._callers.setdefault(item.caller, []), ranked)
        self._size += 1

    def _take(self, caller: str, ranked: _Ranked) -> None:
        entries = self._callers[caller]
        entries.remove(ranked)
        if not entries:
            del self._callers[caller]
        self._size -= 1

    def _drop_late(self, item: QueuedRequest, now_s: float) -> None:
        reason = DEADLINE_EXPIRED if item.deadline_s <= now_s else DEADLINE_UNREACHABLE
        self._dropped.append(DroppedRequest(item, reason))

    def _least_entitled(self) -> _Ranked:
        fair_share = self._queue_limit / len(self._callers)

        def key(entries: list[_Ranked]) -> tuple[bool, int, int, int]:
            last = entries[-1]
            return len(entries) > fair_share, last.priority, len(entries), last.sequence

        return max(self._callers.values(), key=key)[-1]

    def _retry_after_ms(self) -> int:
        return int(self._size / self._limit * self._latency_s * MS_PER_S)
