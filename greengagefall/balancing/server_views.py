"""An entry host's view of the servers of a pooled back end."""

from __future__ import annotations

import logging
import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

LATENCY_WEIGHT = 0.3
DECAY_TIME_CONSTANT_S = 12.0
MS_PER_S = 1000.0


class ServerView(NamedTuple):
    """One backend server as seen from an entry host.

    Attributes:
        name: Name of the backend server.
        zone: Its availability zone.
        queue_length: Requests queued or in flight at its dispatcher.
        latency_ms: Recent latency; 0 if none was observed.
        available: Whether its dispatcher can be reached and takes requests.
        slots: Requests that it executes at once.
        weight: Relative speed; 1.0 is ordinary.
    """

    name: str
    zone: str
    queue_length: int
    latency_ms: float
    available: bool
    slots: int
    weight: float


class _ServerState:
    """Settings and recent answers of one server.

    ``sent_s`` has the time of sending of each request in flight, oldest first.
    """

    def __init__(self, zone: str, slots: int, weight: float) -> None:
        self.zone = zone
        self.slots = slots
        self.weight = weight
        self.sent_s: deque[float] = deque()
        self.reported_queue = 0
        self.latency_ms = 0.0
        self.answered_s = -math.inf


class ServerViews:
    """Derives a view of each server from the answers to this host's requests.

    The latency and the reported queue decay with the time since the last answer, so that a
    server which was slow once gets requests again. The age of the oldest request in flight
    counts as a latency, so that a server that stops answering is avoided early.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._servers: dict[str, _ServerState] = {}

    def set_server(self, name: str, zone: str, slots: int, weight: float) -> None:
        """Adds a server or changes its settings."""
        state = self._servers.get(name)
        if state is None:
            self._servers[name] = _ServerState(zone, slots, weight)
            return
        state.zone = zone
        state.slots = slots
        state.weight = weight

    def on_send(self, name: str) -> None:
        """Counts a request that is sent to the server."""
        state = self._servers.get(name)
        if state is not None:
            state.sent_s.append(self._clock.now_s())

    def on_answer(self, name: str, queue_length: int, latency_ms: float) -> None:
        """Records an answer with the dispatcher's queue length and the attempt's latency."""
        state = self._servers.get(name)
        if state is None:
            return
        self._remove_oldest_sent(state)
        state.reported_queue = queue_length
        if state.latency_ms == 0.0:
            state.latency_ms = latency_ms
        else:
            state.latency_ms += LATENCY_WEIGHT * (latency_ms - state.latency_ms)
        state.answered_s = self._clock.now_s()

    def on_no_answer(self, name: str, queue_length: int) -> None:
        """Records an attempt that ended without an answer, with the dispatcher's queue length."""
        state = self._servers.get(name)
        if state is None:
            return
        self._remove_oldest_sent(state)
        state.reported_queue = queue_length

    def views(self) -> list[ServerView]:
        """Returns a view of each server."""
        now_s = self._clock.now_s()
        return [self._view(name, state, now_s) for name, state in self._servers.items()]

    def _remove_oldest_sent(self, state: _ServerState) -> None:
        if state.sent_s:
            state.sent_s.popleft()

    def _view(self, name: str, state: _ServerState, now_s: float) -> ServerView:
        age_s = now_s - state.answered_s
        decay = math.exp(-age_s / DECAY_TIME_CONSTANT_S) if age_s != math.inf else 0.0
        queue_length = max(len(state.sent_s), round(state.reported_queue * decay))
        oldest_in_flight_ms = (now_s - state.sent_s[0]) * MS_PER_S if state.sent_s else 0.0
        latency_ms = max(state.latency_ms * decay, oldest_in_flight_ms)
        return ServerView(
            name, state.zone, queue_length, latency_ms, True, state.slots, state.weight
        )
