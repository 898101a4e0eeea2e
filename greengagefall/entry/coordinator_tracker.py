"""Tracks the coordinator of an entry host's zone, as reported by heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

MAX_AGE_MS = 3_600_000
MS_PER_S = 1000.0


class KnownCoordinator(NamedTuple):
    """The coordinator with the highest known term, reported by itself or by a neighbour.

    Attributes:
        host: Host of the coordinator, empty if none is known.
        term: Term of the coordinator.
        age_ms: Time since the last heartbeat of the coordinator.
    """

    host: str
    term: int
    age_ms: int


class CoordinatorTracker:
    """Keeps the coordinator with the highest term and the time of its last heartbeat."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._host = ""
        self._term = 0
        self._last_heartbeat_s = clock.now_s() - MAX_AGE_MS / MS_PER_S

    def observe(self, host: str, term: int, age_ms: int) -> None:
        """Records the coordinator named by a heartbeat; one with an older term is ignored."""
        if not host or term < self._term:
            return
        heartbeat_s = self._clock.now_s() - age_ms / MS_PER_S
        if term > self._term:
            self._host = host
            self._term = term
            self._last_heartbeat_s = heartbeat_s
            return
        self._last_heartbeat_s = max(self._last_heartbeat_s, heartbeat_s)

    def latest(self) -> KnownCoordinator:
        """Returns the coordinator with the highest term and the current age of its heartbeat."""
        age_ms = int((self._clock.now_s() - self._last_heartbeat_s) * MS_PER_S)
        return KnownCoordinator(self._host, self._term, min(age_ms, MAX_AGE_MS))
