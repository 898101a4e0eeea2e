"""What an entry host knows of the servers of a pooled back end."""

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
        queue_length: Requests waiting or running at its dispatcher.
        latency_ms: Recent latency, 0 if none was seen.
        available: Whether its dispatcher can be reached and takes requests.
        slots: Requests it runs at once.
        weight: Relative speed; 1.0 is ordinary.
    """

    name: str
    zone: str
    queue_length: int
    latency_ms: float
    available: bool
    slots: int
    weight: float


class _Seen:
    """Answers of one server; requests in flight are known by their time of sending."""

    def __init__(self, zone: str, slots: int, weight: float) -> None:
        self.zone = zone
        self.slots = slots
        self.weight = weight
        self.sent_s: deque[float] = deque()
        self.reported_queue = 0
        self.latency_ms = 0.0
        self.seen_s = -math.inf


class ServerViews:
    """Keeps a view of each server from the answers that pass by.

    What was seen fades: a latency that has not been confirmed for a while counts less,
    so that a server which was slow once is tried again. The time that a request has been
    in flight counts as a latency already, so that a frozen server is left early.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._servers: dict[str, _Seen] = {}

    def set_server(self, name: str, zone: str, slots: int, weight: float) -> None:
        """Adds a server or changes its settings."""
        seen = self._servers.get(name)
        if seen is None:
            self._servers[name] = _Seen(zone, slots, weight)
            return
        seen.zone = zone
        seen.slots = slots
        seen.weight = weight

    def on_send(self, name: str) -> None:
        """Counts a request on its way to the server."""
        seen = self._servers.get(name)
        if seen is not None:
            seen.sent_s.append(self._clock.now_s())

    def on_answer(self, name: str, queue_length: int, latency_ms: float) -> None:
        """Takes in an answer with the dispatcher's queue and the server's latency."""
        seen = self._servers.get(name)
        if seen is None:
            return
        self._end(seen)
        seen.reported_queue = queue_length
        if seen.latency_ms == 0.0:
            seen.latency_ms = latency_ms
        else:
            seen.latency_ms += LATENCY_WEIGHT * (latency_ms - seen.latency_ms)
        seen.seen_s = self._clock.now_s()

    def on_no_answer(self, name: str, queue_length: int) -> None:
        """Takes in a refusal, cancellation or loss with the dispatcher's queue."""
        seen = self._servers.get(name)
        if seen is None:
            return
        self._end(seen)
        seen.reported_queue = queue_length

    def views(self) -> list[ServerView]:
        """Returns a view of each server."""
        now_s = self._clock.now_s()
        return [self._view(name, seen, now_s) for name, seen in self._servers.items()]

    def _end(self, seen: _Seen) -> None:
        if seen.sent_s:
            seen.sent_s.popleft()

    def _view(self, name: str, seen: _Seen, now_s: float) -> ServerView:
        age_s = now_s - seen.seen_s
        fresh = math.exp(-age_s / DECAY_TIME_CONSTANT_S) if age_s != math.inf else 0.0
        queue_length = max(len(seen.sent_s), round(seen.reported_queue * fresh))
        waited_ms = (now_s - seen.sent_s[0]) * MS_PER_S if seen.sent_s else 0.0
        latency_ms = max(seen.latency_ms * fresh, waited_ms)
        return ServerView(name, seen.zone, queue_length, latency_ms, True, seen.slots, seen.weight)
