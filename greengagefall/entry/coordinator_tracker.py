"""What an entry host knows of its zone's coordinator, from heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

MAX_AGE_MS = 3_600_000
MS_PER_S = 1000.0


class KnownCoordinator(NamedTuple):
    """The newest coordinator heard of, directly or through a neighbour.

    Attributes:
        host: Its host, empty for none.
        term: Its term.
        age_ms: Time since it gave a sign of life.
    """

    host: str
    term: int
    age_ms: int


class CoordinatorTracker:
    """Keeps the coordinator with the highest term and its last sign of life."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._host = ""
        self._term = 0
        self._heard_at_s = clock.now_s() - MAX_AGE_MS / MS_PER_S

    def observe(self, host: str, term: int, age_ms: int) -> None:
        """Takes in what a heartbeat says; an older term counts for nothing."""
        if not host or term < self._term:
            return
        heard_at_s = self._clock.now_s() - age_ms / MS_PER_S
        if term > self._term:
            self._host = host
            self._term = term
            self._heard_at_s = heard_at_s
            return
        self._heard_at_s = max(self._heard_at_s, heard_at_s)

    def latest(self) -> KnownCoordinator:
        """Returns what is known now."""
        age_ms = int((self._clock.now_s() - self._heard_at_s) * MS_PER_S)
        return KnownCoordinator(self._host, self._term, min(age_ms, MAX_AGE_MS))
