"""Queue of the gateway's requests for one backend server with a fixed number of slots.

Under overload, the most urgent request is started first, and a request that cannot finish while its
answer is still useful is refused as soon as this is known instead of at its deadline.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.limits.server_rate_limit import UNLIMITED
from greengagefall.limits.work_estimate import (
    INITIAL_SERVICE_TIME_S,
    MIN_SERVICE_TIME_S,
    ServerWork,
    ServiceWork,
)
from greengagefall.utils.token_bucket import TokenBucket

if TYPE_CHECKING:
    from greengagefall.limits.work_estimate import ExpectedTimes
    from greengagefall.utils.clock import Clock

SERVICE_TIME_WEIGHT = 0.1
# Share of the expected service time, or of the time that it took already if that is longer, that a
# request is assumed to need still. Behind requests that hang, the wait thus grows with their time.
OVERDUE_SHARE = 0.25
# Fraction of the time between objective and deadline in which an answer is still worth a slot.
USEFUL_LATE_SHARE = 0.5
COLD_BURST_REQUESTS = 2.0
LIMITED_BURST_REQUESTS = 2.0
MIN_RETRY_AFTER_S = 0.05
# Lowest rate at which requests are sent to a limited server, so that the end of its limit shows.
MIN_RATE_PER_S = 0.2


class QueuedDispatch(NamedTuple):
    """A queued request; requests are started in the order of the fields.

    Attributes:
        priority: 0 is the most urgent.
        deadline_s: Time after which the caller no longer waits for the answer.
        ticket: Unique number.
        objective_s: Time after which the answer loses value.
        kind: Kind of its work.
    """

    priority: int
    deadline_s: float
    ticket: int
    objective_s: float
    kind: str = ""

    @property
    def useful_until_s(self) -> float:
        """Time by which the answer has to arrive to be worth a slot."""
        if self.deadline_s <= self.objective_s:
            return self.deadline_s
        return self.objective_s + USEFUL_LATE_SHARE * (self.deadline_s - self.objective_s)


class _Running(NamedTuple):
    """A request that was sent and has no answer yet."""

    kind: str
    started_s: float


class ServerQueue:
    """The slots of one server and the requests that are queued for them.

    Args:
        slots: Number of requests that the server executes concurrently.
        clock: Monotonic clock.
        work: Expected service times of the server; by default they are learned from it alone.

    Attributes:
        service_time_s: Mean time in which the server executes a request, of any kind.
        work: Expected service times by kind.
    """

    def __init__(self, slots: int, clock: Clock, work: ServerWork | None = None) -> None:
        self.slots = slots
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.work = work or ServerWork(ServiceWork(clock))
        self._clock = clock
        self._running: dict[int, _Running] = {}
        self._queued: list[QueuedDispatch] = []
        self._cold_tokens: TokenBucket | None = None
        self._cold_until_s = 0.0
        self._named_tokens: TokenBucket | None = None

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def in_flight(self) -> int:
        """Number of requests that were sent and have no answer yet."""
        return len(self._running)

    @property
    def cold(self) -> bool:
        """Whether the server takes only the request rate of a cold start."""
        return self._clock.now_s() < self._cold_until_s

    def set_cold(self, rate_per_s: float, remaining_s: float) -> None:
        """Limits the request rate for ``remaining_s`` after a sign of a cold start."""
        if rate_per_s == UNLIMITED:
            return
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        if self.cold and self._cold_tokens is not None:
            self._cold_tokens.set_rate(rate_per_s)
        else:
            self._cold_tokens = TokenBucket(rate_per_s, COLD_BURST_REQUESTS, self._clock)
        self._cold_until_s = max(self._cold_until_s, self._clock.now_s() + remaining_s)

    def set_rate_limit(self, rate_per_s: float) -> None:
        """Limits the request rate to what the server says it takes; ``UNLIMITED`` ends this."""
        if rate_per_s == UNLIMITED:
            self._named_tokens = None
            return
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        if self._named_tokens is None:
            # The server has just got more requests than it takes.
            self._named_tokens = TokenBucket(rate_per_s, LIMITED_BURST_REQUESTS, self._clock, 0.0)
        else:
            self._named_tokens.set_rate(rate_per_s)

    def try_take_tokens(self) -> bool:
        """Takes a token of each rate limit, if all allow a request now.

        ``start_next`` does this for queued requests; a health check needs no slot.
        """
        if self.rate_wait_s():
            return False
        return all(limit.try_take() for limit in self._rate_limits())

    def rate_wait_s(self, ahead: int = 0) -> float:
        """Returns how long the rate limits delay a request behind ``ahead`` others."""
        waits_s = [limit.wait_s(ahead + 1) for limit in self._rate_limits()]
        return max(waits_s, default=0.0)

    def expected_wait_s(self, item: QueuedDispatch | None = None) -> float:
        """Returns the expected wait for a slot, by the work of those ahead.

        Args:
            item: A request that is not queued; None for one behind all others.
        """
        ahead = len(self._queued) if item is None else bisect_left(self._queued, item)
        wait_s = self.rate_wait_s(ahead)
        if self.in_flight + ahead < self.slots:
            return wait_s
        expected_s = self.work.expected_times()
        free_s = self._slot_times_s(expected_s)
        for one in self._queued[:ahead]:
            heapq.heapreplace(free_s, free_s[0] + expected_s[one.kind])
        return max(free_s[0], wait_s)

    def offer(self, item: QueuedDispatch) -> list[QueuedDispatch]:
        """Adds a request; returns the requests that are now refused, which may include it."""
        insort(self._queued, item)
        return self.shed_late()

    def shed_late(self) -> list[QueuedDispatch]:
        """Removes and returns the requests that cannot finish in time."""
        now_s = self._clock.now_s()
        if not self._queued:
            return []
        rate_limited = bool(self._rate_limits())
        # The common case, without estimates: all of them can start at once.
        if not rate_limited and len(self._queued) <= self.slots - self.in_flight:
            dropped = [item for item in self._queued if item.deadline_s <= now_s]
            for item in dropped:
                self._queued.remove(item)
            return dropped
        expected_s = self.work.expected_times()
        free_s = self._slot_times_s(expected_s)
        kept: list[QueuedDispatch] = []
        dropped = []
        for item in self._queued:
            rate_wait_s = self.rate_wait_s(len(kept)) if rate_limited else 0.0
            finish_s = max(free_s[0], rate_wait_s) + expected_s[item.kind]
            # Keep a request that could start at once, even if it is expected to finish late.
            slot_is_free = len(kept) + self.in_flight < self.slots
            starts_now = slot_is_free and not rate_wait_s and item.deadline_s > now_s
            if starts_now or now_s + finish_s <= item.useful_until_s:
                kept.append(item)
                heapq.heapreplace(free_s, finish_s)
            else:
                dropped.append(item)
        self._queued = kept
        return dropped

    def start_next(self) -> QueuedDispatch | None:
        """Removes and returns the most urgent request if the server can take one now."""
        if not self._queued or self.in_flight >= self.slots:
            return None
        if not self.try_take_tokens():
            return None
        item = self._queued.pop(0)
        self._running[item.ticket] = _Running(item.kind, self._clock.now_s())
        return item

    def remove(self, item: QueuedDispatch) -> None:
        """Removes a request whose caller disconnected."""
        index = bisect_left(self._queued, item)
        if index < len(self._queued) and self._queued[index] == item:
            del self._queued[index]

    def finish(
        self, item: QueuedDispatch, service_time_s: float | None = None, slowdown: float = 1.0
    ) -> None:
        """Frees the slot of a request.

        Args:
            item: The request.
            service_time_s: How long it took; None if it was not executed to its end.
            slowdown: The slowdown that the server reported with the answer.
        """
        del self._running[item.ticket]
        if service_time_s is None:
            return
        change_s = max(MIN_SERVICE_TIME_S, service_time_s) - self.service_time_s
        self.service_time_s += SERVICE_TIME_WEIGHT * change_s
        self.work.on_executed(item.kind, service_time_s, slowdown)

    def retry_after_s(self, item: QueuedDispatch) -> float:
        """Returns the delay after which a request that was refused may be admitted."""
        return max(MIN_RETRY_AFTER_S, self.expected_wait_s(item))

    def _slot_times_s(self, expected_s: ExpectedTimes) -> list[float]:
        """Returns a heap of the times from now after which each slot is expected to be free."""
        now_s = self._clock.now_s()
        left_s = []
        for kind, started_s in self._running.values():
            kind_s = expected_s[kind]
            elapsed_s = now_s - started_s
            left_s.append(max(kind_s - elapsed_s, OVERDUE_SHARE * max(kind_s, elapsed_s)))
        left_s += [0.0] * (self.slots - len(left_s))
        left_s.sort()
        # Of a server whose slots became fewer, the last requests to end free the slots that remain.
        return left_s[-self.slots :]

    def _rate_limits(self) -> list[TokenBucket]:
        """Returns the rate limits that apply now."""
        cold_tokens = self._cold_tokens if self.cold else None
        return [limit for limit in (cold_tokens, self._named_tokens) if limit is not None]
