"""Failure detectors for the peers of a host.

A suspicion is a hint: it starts a search for another dispatcher or a report to the coordinator.
No safety rests on it.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

SUSPECT_AFTER_S = 1.0
MIN_SUSPECT_AFTER_S = 0.6
MAX_SUSPECT_AFTER_S = 3.0
GAP_SMOOTHING = 0.1
GAP_DEVIATIONS = 6.0
DEFAULT_DETECTOR = "query_round"


class Detector(Protocol):
    """Watches peers by the responses to numbered queries (heartbeats)."""

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets who is watched; a new peer counts as heard of now."""

    def on_query(self, number: int) -> None:
        """Notes that a query with a growing number was sent to all peers."""

    def on_response(self, peer: str, number: int) -> None:
        """Notes a peer's response to a query."""

    def suspects(self) -> set[str]:
        """Returns the peers that are suspected now."""


DetectorType = TypeVar("DetectorType", bound=type)

DETECTORS: dict[str, type] = {}


def detector(name: str) -> Callable[[DetectorType], DetectorType]:
    """Registers a detector under its name in the configuration."""

    def register(cls: DetectorType) -> DetectorType:
        DETECTORS[name] = cls
        return cls

    return register


@detector("timeout")
class TimeoutDetector:
    """Suspects a peer that has not responded for a fixed time."""

    def __init__(self, clock: Clock, suspect_after_s: float = SUSPECT_AFTER_S) -> None:
        self._clock = clock
        self._suspect_after_s = suspect_after_s
        self._heard_at_s: dict[str, float] = {}

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets who is watched; a new peer counts as heard of now."""
        now_s = self._clock.now_s()
        self._heard_at_s = {peer: self._heard_at_s.get(peer, now_s) for peer in peers}

    def on_query(self, number: int) -> None:
        """Does nothing: only responses count."""

    def on_response(self, peer: str, number: int) -> None:
        """Notes that the peer responded now, to whichever query."""
        if peer in self._heard_at_s:
            self._heard_at_s[peer] = self._clock.now_s()

    def suspects(self) -> set[str]:
        """Returns the peers that have been silent for too long."""
        now_s = self._clock.now_s()
        return {
            peer
            for peer, heard_at_s in self._heard_at_s.items()
            if now_s - heard_at_s > self.suspect_after_s(peer)
        }

    def suspect_after_s(self, peer: str) -> float:
        """Returns how long ``peer`` may be silent."""
        return self._suspect_after_s


@detector("adaptive")
class AdaptiveDetector(TimeoutDetector):
    """Suspects a peer that is silent far longer than its gaps between responses have been.

    Mean and deviation of the gaps are exponentially weighted, as TCP estimates round trips
    (RFC 6298).
    """

    def __init__(self, clock: Clock, suspect_after_s: float = SUSPECT_AFTER_S) -> None:
        super().__init__(clock, suspect_after_s)
        self._gaps: dict[str, tuple[float, float]] = {}

    def on_response(self, peer: str, number: int) -> None:
        """Learns from the gap since the peer's response before."""
        heard_at_s = self._heard_at_s.get(peer)
        super().on_response(peer, number)
        if heard_at_s is None:
            return
        gap_s = self._clock.now_s() - heard_at_s
        mean_s, deviation_s = self._gaps.get(peer, (gap_s, gap_s / 2))
        deviation_s += GAP_SMOOTHING * (abs(gap_s - mean_s) - deviation_s)
        mean_s += GAP_SMOOTHING * (gap_s - mean_s)
        self._gaps[peer] = (mean_s, deviation_s)

    def suspect_after_s(self, peer: str) -> float:
        """Returns the mean gap plus some deviations, within bounds."""
        if peer not in self._gaps:
            return self._suspect_after_s
        mean_s, deviation_s = self._gaps[peer]
        after_s = mean_s + GAP_DEVIATIONS * deviation_s
        return min(max(after_s, MIN_SUSPECT_AFTER_S), MAX_SUSPECT_AFTER_S)


@detector("query_response")
class QueryResponseDetector(TimeoutDetector):
    """Suspects a peer that is late by timeout and lost the race of the last finished query.

    A query is finished once n - f of the n peers responded; these first ones win. If the observer
    was paused, or delays rise for all, timeouts run out while queries stay unfinished, and the
    former winners are not suspected. From: Mostéfaoui, Powell, Raynal, "A Hybrid Approach for
    Building Eventually Accurate Failure Detectors" (PRDC 2004), with the observer's own races
    alone; the paper also intersects the losers that the responders report.
    """

    def __init__(self, clock: Clock, suspect_after_s: float = SUSPECT_AFTER_S) -> None:
        super().__init__(clock, suspect_after_s)
        self._responses: dict[int, set[str]] = {}
        self._winners: set[str] = set()

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets who is watched; all count as winners until the next finished query."""
        super().set_peers(peers)
        self._winners = set(self._heard_at_s)
        self._responses.clear()

    def on_query(self, number: int) -> None:
        """Opens the race of a query."""
        self._responses[number] = set()

    def on_response(self, peer: str, number: int) -> None:
        """Counts a response in the race of its query."""
        super().on_response(peer, number)
        responded = self._responses.get(number)
        if responded is None or peer not in self._heard_at_s:
            return
        responded.add(peer)
        if len(responded) >= self._needed():
            self._finish(number, responded)

    def suspects(self) -> set[str]:
        """Returns the peers that are late and did not win."""
        return super().suspects() - self._winners

    def _finish(self, number: int, responded: set[str]) -> None:
        self._winners = responded
        self._responses = {n: r for n, r in self._responses.items() if n > number}

    def _needed(self) -> int:
        """Returns n - f, with less than half of the peers faulty."""
        return len(self._heard_at_s) // 2 + 1


@detector("query_round")
class QueryRoundDetector(QueryResponseDetector):
    """Suspects a peer that is late by timeout and did not respond to the last finished query.

    Unlike in ``query_response`` a response that comes behind the winners counts too, as long as
    no later query is finished.
    """

    def _finish(self, number: int, responded: set[str]) -> None:
        self._winners = responded
        self._responses = {n: r for n, r in self._responses.items() if n >= number}
