"""Queue of requests for one backend server with a fixed number of slots.

It answers overload: the most urgent request goes first, and a request that cannot be finished
while its answer still has value is refused as soon as that is known, not when it runs out.
"""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

INITIAL_SERVICE_TIME_S = 0.2
SERVICE_TIME_WEIGHT = 0.1
MIN_SERVICE_TIME_S = 0.001
# Part of the time between objective and deadline in which an answer is still worth a slot.
USEFUL_LATE_SHARE = 0.5
COLD_BURST_REQUESTS = 2.0
MIN_RETRY_AFTER_S = 0.05


class QueuedDispatch(NamedTuple):
    """A request that waits; the fields are in the order in which requests are taken.

    Attributes:
        priority: 0 is the most urgent.
        deadline_s: Time after which nobody waits for the answer.
        ticket: Unique number.
        objective_s: Time after which the answer has lost value.
    """

    priority: int
    deadline_s: float
    ticket: int
    objective_s: float

    @property
    def useful_until_s(self) -> float:
        """Time by which an answer has to be there to be worth a slot."""
        late_s = max(0.0, self.deadline_s - self.objective_s)
        return min(self.deadline_s, self.objective_s + USEFUL_LATE_SHARE * late_s)


class ServerQueue:
    """Slots of one server and the requests that wait for them.

    Args:
        slots: Requests that the server runs at once.
        clock: Monotonic clock.

    Attributes:
        in_flight: Requests that were sent and have no answer yet.
        service_time_s: How long the server takes for a request.
    """

    def __init__(self, slots: int, clock: Clock) -> None:
        self.slots = slots
        self.in_flight = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self._clock = clock
        self._waiting: list[QueuedDispatch] = []
        self._cold_rate_per_s = float("inf")
        self._cold_until_s = 0.0
        self._cold_tokens = COLD_BURST_REQUESTS
        self._cold_filled_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def cold(self) -> bool:
        """Whether the server bears only the rate of a cold start."""
        return self._clock.now_s() < self._cold_until_s

    def set_cold(self, rate_per_s: float, remaining_s: float) -> None:
        """Bounds the rate for some time, after a sign of a cold start."""
        now_s = self._clock.now_s()
        if not self.cold:
            self._cold_tokens = COLD_BURST_REQUESTS
            self._cold_filled_s = now_s
        self._cold_rate_per_s = rate_per_s
        self._cold_until_s = max(self._cold_until_s, now_s + remaining_s)

    def expected_wait_s(self, ahead: int | None = None) -> float:
        """Returns how long a request waits for a slot behind ``ahead`` others."""
        ahead = len(self._waiting) if ahead is None else ahead
        behind = ahead + 1 + self.in_flight - self.slots
        wait_s = max(0, behind) * self.service_time_s / self.slots
        if self.cold:
            wait_s = max(wait_s, (ahead + 1 - self._cold_tokens) / self._cold_rate_per_s)
        return wait_s

    def offer(self, item: QueuedDispatch) -> list[QueuedDispatch]:
        """Adds a request; returns those that are now refused, itself perhaps among them."""
        insort(self._waiting, item)
        return self.shed_late()

    def shed_late(self) -> list[QueuedDispatch]:
        """Takes out and returns the requests that cannot be finished in time."""
        now_s = self._clock.now_s()
        kept: list[QueuedDispatch] = []
        dropped = []
        for item in self._waiting:
            finish_s = now_s + self.expected_wait_s(len(kept)) + self.service_time_s
            # One that could start at once is given its chance.
            starts_now = len(kept) + self.in_flight < self.slots and item.deadline_s > now_s
            if starts_now or finish_s <= item.useful_until_s:
                kept.append(item)
            else:
                dropped.append(item)
        self._waiting = kept
        return dropped

    def start_next(self) -> QueuedDispatch | None:
        """Takes the most urgent request if the server has room for one."""
        if not self._waiting or self.in_flight >= self.slots:
            return None
        if self.cold and not self._take_cold_token():
            return None
        self.in_flight += 1
        return self._waiting.pop(0)

    def remove(self, item: QueuedDispatch) -> None:
        """Takes out a request whose caller left."""
        if item in self._waiting:
            self._waiting.remove(item)

    def time_to_next_start_s(self) -> float:
        """Returns the time until a cold server bears the next request; 0 if it is not cold."""
        if not self.cold:
            return 0.0
        return max(0.0, (1.0 - self._cold_tokens) / self._cold_rate_per_s)

    def finish(self, service_time_s: float | None = None) -> None:
        """Frees a slot; the time is None if the request did not run to its end."""
        self.in_flight -= 1
        if service_time_s is None:
            return
        change_s = max(MIN_SERVICE_TIME_S, service_time_s) - self.service_time_s
        self.service_time_s += SERVICE_TIME_WEIGHT * change_s

    def retry_after_s(self) -> float:
        """Returns when a refused request may find room."""
        return max(MIN_RETRY_AFTER_S, self.expected_wait_s())

    def _take_cold_token(self) -> bool:
        now_s = self._clock.now_s()
        gained = (now_s - self._cold_filled_s) * self._cold_rate_per_s
        self._cold_tokens = min(COLD_BURST_REQUESTS, self._cold_tokens + gained)
        self._cold_filled_s = now_s
        if self._cold_tokens < 1.0:
            return False
        self._cold_tokens -= 1.0
        return True
