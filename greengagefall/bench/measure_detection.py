"""Measures detection time and false suspicions of the failure detectors.

    python -m greengagefall.bench.measure_detection --seeds 20

All detectors receive the same events in a run: pauses of peers and of the observer, lost messages,
and delay spikes of one host or of all. One peer is killed after ``BEFORE_KILL_S``.
"""

from __future__ import annotations

import heapq
import random
import statistics
from typing import NamedTuple

import click

from greengagefall.coordination.failure_detection import DETECTORS, Detector
from greengagefall.utils.clock import ManualClock

PEERS = tuple(f"entry-{number}" for number in range(8))
QUERY_INTERVAL_S = 0.2
LOOK_INTERVAL_S = 0.05
BEFORE_KILL_S = 300.0
AFTER_KILL_S = 10.0
MAX_NORMAL_DELAY_S = 0.004
OBSERVER = "observer"


class Disturbance(NamedTuple):
    """A period in which a host is paused or messages are delayed.

    Attributes:
        host: Name of the affected host, empty for all.
        from_s: Start of the period.
        until_s: End of the period.
        delay_s: Maximum additional delay, 0 for a pause.
    """

    host: str
    from_s: float
    until_s: float
    delay_s: float


class Outcome(NamedTuple):
    """Result of one detector in one run.

    Attributes:
        detection_s: Time from the kill until the detector suspects the killed peer,
            infinite if it never does.
        false_suspicions: Number of suspicions of running peers.
    """

    detection_s: float
    false_suspicions: int


class Run:
    """Passes the same events of one run to every detector of the registry."""

    def __init__(self, seed: int, loss: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.clock = ManualClock()
        self.detectors: dict[str, Detector] = {
            detector_name: detector_class(self.clock)
            for detector_name, detector_class in DETECTORS.items()
        }
        for detector in self.detectors.values():
            detector.set_peers(PEERS)
        self.disturbances = [self._disturbance() for _ in range(30)]
        self.killed = self.rng.choice(PEERS)
        self.killed_at_s = BEFORE_KILL_S + self.rng.uniform(0, QUERY_INTERVAL_S)
        self.suspected: dict[str, set[str]] = {name: set() for name in DETECTORS}
        self.false_suspicions: dict[str, int] = dict.fromkeys(DETECTORS, 0)
        self.detected_at_s: dict[str, float] = {}

    def run(self) -> dict[str, Outcome]:
        """Processes all events and returns the outcome of each detector."""
        for at_s, _, kind, peer, number in self._events():
            self.clock.advance(at_s - self.clock.now_s())
            for name, detector in self.detectors.items():
                if kind == "query":
                    detector.on_query(number)
                elif kind == "response":
                    detector.on_response(peer, number)
                else:
                    self._update_suspicions(name, detector)
        detected_at_s = {
            detector_name: self.detected_at_s.get(detector_name, float("inf"))
            for detector_name in DETECTORS
        }
        return {
            detector_name: Outcome(
                detected_at_s[detector_name] - self.killed_at_s,
                self.false_suspicions[detector_name],
            )
            for detector_name in DETECTORS
        }

    def _disturbance(self) -> Disturbance:
        from_s = self.rng.uniform(1.0, BEFORE_KILL_S - 5.0)
        host = self.rng.choice([OBSERVER, "", *PEERS[:3]])
        is_pause = host and self.rng.random() < 0.5
        max_delay_s = 0.0 if is_pause else self.rng.uniform(0.3, 2.0)
        return Disturbance(host, from_s, from_s + self.rng.uniform(0.2, 2.5), max_delay_s)

    def _events(self) -> list[tuple]:
        events: list[tuple] = []
        query_count = round((BEFORE_KILL_S + AFTER_KILL_S) / QUERY_INTERVAL_S)
        for number in range(1, query_count):
            at_s = self._after_pause_s(OBSERVER, number * QUERY_INTERVAL_S)
            events.append((at_s, number, "query", "", number))
            events += [
                (received_at_s, number, "response", peer, number)
                for peer, received_at_s in self._responses(at_s)
            ]
        look_count = round((BEFORE_KILL_S + AFTER_KILL_S) / LOOK_INTERVAL_S)
        for number in range(1, look_count):
            events.append(
                (self._after_pause_s(OBSERVER, number * LOOK_INTERVAL_S), 0, "look", "", 0)
            )
        heapq.heapify(events)
        return [heapq.heappop(events) for _ in range(len(events))]

    def _responses(self, sent_at_s: float) -> list[tuple[str, float]]:
        responses = []
        for peer in PEERS:
            at_s = self._after_pause_s(peer, sent_at_s + self._delay(peer, sent_at_s))
            at_s = self._after_pause_s(OBSERVER, at_s + self._delay(peer, at_s))
            is_lost = self.rng.random() < self.loss
            if not is_lost and not (peer == self.killed and at_s >= self.killed_at_s):
                responses.append((peer, at_s))
        return responses

    def _after_pause_s(self, host: str, at_s: float) -> float:
        """Returns ``at_s``, or the end of the host's pause at that time."""
        for period in self.disturbances:
            if (
                period.host == host
                and not period.delay_s
                and period.from_s <= at_s < period.until_s
            ):
                return period.until_s
        return at_s

    def _delay(self, peer: str, at_s: float) -> float:
        delay_s = self.rng.uniform(0, MAX_NORMAL_DELAY_S)
        for period in self.disturbances:
            is_affected = period.host in ("", peer, OBSERVER)
            if period.delay_s and is_affected and period.from_s <= at_s < period.until_s:
                delay_s += self.rng.uniform(0, period.delay_s)
        return delay_s

    def _update_suspicions(self, name: str, detector: Detector) -> None:
        """Counts the peers that a detector suspects now but did not before."""
        suspected = detector.suspects()
        now_s = self.clock.now_s()
        for peer in suspected - self.suspected[name]:
            if peer == self.killed and now_s >= self.killed_at_s:
                self.detected_at_s.setdefault(name, now_s)
            else:
                self.false_suspicions[name] += 1
        self.suspected[name] = suspected


@click.command()
@click.option("--seeds", default=20, help="Number of runs.")
@click.option("--loss", default=0.02, help="Share of lost messages.")
def main(seeds: int, loss: float) -> None:
    """Prints the figures of each detector over the same runs."""
    outcomes = [Run(seed, loss).run() for seed in range(seeds)]
    for name in DETECTORS:
        times_s = sorted(outcome[name].detection_s for outcome in outcomes)
        false_suspicions = [outcome[name].false_suspicions for outcome in outcomes]
        click.echo(
            f"{name}: detection p50 {statistics.median(times_s):.2f} s, max {times_s[-1]:.2f} s, "
            f"false suspicions per run p50 {statistics.median(false_suspicions):.1f}, "
            f"sum {sum(false_suspicions)} in {seeds} runs of {BEFORE_KILL_S:.0f} s"
        )


if __name__ == "__main__":
    main()
