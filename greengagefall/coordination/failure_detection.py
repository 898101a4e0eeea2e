"""Failure detectors for the peers of a host.

A suspicion is only a hint: it starts a search for another dispatcher or a report to the
coordinator. Safety does not depend on it.
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
    """Monitors peers by their responses to numbered queries (heartbeats)."""

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets the monitored peers; a new peer counts as having responded now."""

    def on_query(self, number: int) -> None:
        """Records that a query was sent to all peers; its number is higher than any before."""

    def on_response(self, peer: str, number: int) -> None:
        """Records a peer's response to a query."""

    def suspects(self) -> set[str]:
        """Returns the peers that are currently suspected."""


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
        self._last_response_at_s: dict[str, float] = {}

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets the monitored peers; a new peer counts as having responded now."""
        now_s = self._clock.now_s()
        self._last_response_at_s = {
            peer: self._last_response_at_s.get(peer, now_s) for peer in peers
        }

    def on_query(self, number: int) -> None:
        """Does nothing, because this detector uses responses only."""

    def on_response(self, peer: str, number: int) -> None:
        """Records that the peer responded now, regardless of the query."""
        if peer in self._last_response_at_s:
            self._last_response_at_s[peer] = self._clock.now_s()

    def suspects(self) -> set[str]:
        """Returns the peers whose last response is too long ago."""
        now_s = self._clock.now_s()
        return {
            peer
            for peer, last_response_at_s in self._last_response_at_s.items()
            if now_s - last_response_at_s > self.suspect_after_s(peer)
        }

    def suspect_after_s(self, peer: str) -> float:
        """Returns the time without a response after which ``peer`` is suspected."""
        return self._suspect_after_s


@detector("adaptive")
class AdaptiveDetector(TimeoutDetector):
    """Suspects a peer that is silent far longer than the past gaps between its responses.

    Mean and deviation of the gaps are exponentially weighted averages, as in TCP's round-trip time
    estimate (RFC 6298).
    """

    def __init__(self, clock: Clock, suspect_after_s: float = SUSPECT_AFTER_S) -> None:
        super().__init__(clock, suspect_after_s)
        self._gaps: dict[str, tuple[float, float]] = {}

    def on_response(self, peer: str, number: int) -> None:
        """Updates the averages with the gap since the peer's previous response."""
        last_response_at_s = self._last_response_at_s.get(peer)
        super().on_response(peer, number)
        if last_response_at_s is None:
            return
        gap_s = self._clock.now_s() - last_response_at_s
        mean_s, deviation_s = self._gaps.get(peer, (gap_s, gap_s / 2))
        deviation_s += GAP_SMOOTHING * (abs(gap_s - mean_s) - deviation_s)
        mean_s += GAP_SMOOTHING * (gap_s - mean_s)
        self._gaps[peer] = (mean_s, deviation_s)

    def suspect_after_s(self, peer: str) -> float:
        """Returns the mean gap plus ``GAP_DEVIATIONS`` deviations, within bounds."""
        if peer not in self._gaps:
            return self._suspect_after_s
        mean_s, deviation_s = self._gaps[peer]
        after_s = mean_s + GAP_DEVIATIONS * deviation_s
        return min(max(after_s, MIN_SUSPECT_AFTER_S), MAX_SUSPECT_AFTER_S)


@detector("query_response")
class QueryResponseDetector(TimeoutDetector):
    """Suspects a peer that timed out and is not a winner of the last finished query.

    A query is finished once n - f of the n peers responded; these peers are its winners. If the
    observer was paused, or delays rise for all peers, timeouts expire while queries stay
    unfinished, and the winners of the last finished query are not suspected. Source: Mostéfaoui,
    Powell, Raynal, "A Hybrid Approach for Building Eventually Accurate Failure Detectors" (PRDC
    2004). This detector uses the observer's own queries only; the paper also intersects the
    non-winners that the responders report.
    """

    def __init__(self, clock: Clock, suspect_after_s: float = SUSPECT_AFTER_S) -> None:
        super().__init__(clock, suspect_after_s)
        self._responses: dict[int, set[str]] = {}
        self._winners: set[str] = set()

    def set_peers(self, peers: Iterable[str]) -> None:
        """Sets the monitored peers; all count as winners until the next finished query."""
        super().set_peers(peers)
        self._winners = set(self._last_response_at_s)
        self._responses.clear()

    def on_query(self, number: int) -> None:
        """Starts to collect the responses to a query."""
        self._responses[number] = set()

    def on_response(self, peer: str, number: int) -> None:
        """Counts a response towards its query."""
        super().on_response(peer, number)
        responded = self._responses.get(number)
        if responded is None or peer not in self._last_response_at_s:
            return
        responded.add(peer)
        if len(responded) >= self._needed():
            self._finish(number, responded)

    def suspects(self) -> set[str]:
        """Returns the peers that timed out and are not winners."""
        return super().suspects() - self._winners

    def _finish(self, number: int, responded: set[str]) -> None:
        self._winners = responded
        self._responses = {n: r for n, r in self._responses.items() if n > number}

    def _needed(self) -> int:
        """Returns n - f, assuming that fewer than half of the peers are faulty."""
        return len(self._last_response_at_s) // 2 + 1


@detector("query_round")
class QueryRoundDetector(QueryResponseDetector):
    """Suspects a peer that timed out and did not respond to the last finished query.

    Unlike in ``query_response``, a response that arrives after those of the winners counts too, as
    long as no later query is finished.
    """

    def _finish(self, number: int, responded: set[str]) -> None:
        self._winners = responded
        self._responses = {n: r for n, r in self._responses.items() if n >= number}
