"""Measures detection time and false suspicions of the failure detectors.

    python -m greengagefall.bench.measure_detection --seeds 20

All detectors see the same events of a run: pauses of peers and of the observer, loss, and delay
spikes of one peer or of all. In the end one peer is killed.
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
QUIET_S = 300.0
WATCH_S = 10.0
USUAL_DELAY_S = 0.004
OBSERVER = "observer"


class Disturbance(NamedTuple):
    """A time in which a host is paused or messages are late.

    Attributes:
        host: Who is concerned, empty for all.
        from_s: Its begin.
        until_s: Its end.
        delay_s: Longest extra delay, 0 for a pause.
    """

    host: str
    from_s: float
    until_s: float
    delay_s: float


class Outcome(NamedTuple):
    """What one detector did in one run.

    Attributes:
        detection_s: Time from the kill to the suspicion.
        false_suspicions: Suspicions of living peers.
    """

    detection_s: float
    false_suspicions: int


class Run:
    """One run; every detector of the registry watches the same events."""

    def __init__(self, seed: int, loss: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.clock = ManualClock()
        self.detectors: dict[str, Detector] = {n: c(self.clock) for n, c in DETECTORS.items()}
        for one in self.detectors.values():
            one.set_peers(PEERS)
        self.disturbances = [self._disturbance() for _ in range(30)]
        self.killed = self.rng.choice(PEERS)
        self.killed_at_s = QUIET_S + self.rng.uniform(0, QUERY_INTERVAL_S)
        self.suspected: dict[str, set[str]] = {name: set() for name in DETECTORS}
        self.false: dict[str, int] = dict.fromkeys(DETECTORS, 0)
        self.detected_at_s: dict[str, float] = {}

    def run(self) -> dict[str, Outcome]:
        """Runs to the end and returns the outcome of each detector."""
        for at_s, _, kind, peer, number in self._events():
            self.clock.advance(at_s - self.clock.now_s())
            for name, one in self.detectors.items():
                if kind == "query":
                    one.on_query(number)
                elif kind == "response":
                    one.on_response(peer, number)
                else:
                    self._look(name, one)
        detected = {n: self.detected_at_s.get(n, float("inf")) for n in DETECTORS}
        return {n: Outcome(detected[n] - self.killed_at_s, self.false[n]) for n in DETECTORS}

    def _disturbance(self) -> Disturbance:
        from_s = self.rng.uniform(1.0, QUIET_S - 5.0)
        host = self.rng.choice([OBSERVER, "", *PEERS[:3]])
        is_pause = host and self.rng.random() < 0.5
        longest_s = 0.0 if is_pause else self.rng.uniform(0.3, 2.0)
        return Disturbance(host, from_s, from_s + self.rng.uniform(0.2, 2.5), longest_s)

    def _events(self) -> list[tuple]:
        events: list[tuple] = []
        steps = round((QUIET_S + WATCH_S) / QUERY_INTERVAL_S)
        for number in range(1, steps):
            at_s = self._awake(OBSERVER, number * QUERY_INTERVAL_S)
            events.append((at_s, number, "query", "", number))
            events += [(s, number, "response", p, number) for p, s in self._responses(at_s)]
        looks = round((QUIET_S + WATCH_S) / LOOK_INTERVAL_S)
        for number in range(1, looks):
            events.append((self._awake(OBSERVER, number * LOOK_INTERVAL_S), 0, "look", "", 0))
        heapq.heapify(events)
        return [heapq.heappop(events) for _ in range(len(events))]

    def _responses(self, sent_at_s: float) -> list[tuple[str, float]]:
        found = []
        for peer in PEERS:
            at_s = self._awake(peer, sent_at_s + self._delay(peer, sent_at_s))
            at_s = self._awake(OBSERVER, at_s + self._delay(peer, at_s))
            is_lost = self.rng.random() < self.loss
            if not is_lost and not (peer == self.killed and at_s >= self.killed_at_s):
                found.append((peer, at_s))
        return found

    def _awake(self, host: str, at_s: float) -> float:
        for one in self.disturbances:
            if one.host == host and not one.delay_s and one.from_s <= at_s < one.until_s:
                return one.until_s
        return at_s

    def _delay(self, peer: str, at_s: float) -> float:
        delay_s = self.rng.uniform(0, USUAL_DELAY_S)
        for one in self.disturbances:
            concerned = one.host in ("", peer, OBSERVER)
            if one.delay_s and concerned and one.from_s <= at_s < one.until_s:
                delay_s += self.rng.uniform(0, one.delay_s)
        return delay_s

    def _look(self, name: str, one: Detector) -> None:
        suspected = one.suspects()
        now_s = self.clock.now_s()
        for peer in suspected - self.suspected[name]:
            if peer == self.killed and now_s >= self.killed_at_s:
                self.detected_at_s.setdefault(name, now_s)
            else:
                self.false[name] += 1
        self.suspected[name] = suspected


@click.command()
@click.option("--seeds", default=20, help="Number of runs.")
@click.option("--loss", default=0.02, help="Share of lost messages.")
def main(seeds: int, loss: float) -> None:
    """Prints the figures of each detector over the same runs."""
    outcomes = [Run(seed, loss).run() for seed in range(seeds)]
    for name in DETECTORS:
        times_s = sorted(outcome[name].detection_s for outcome in outcomes)
        false = [outcome[name].false_suspicions for outcome in outcomes]
        click.echo(
            f"{name}: detection p50 {statistics.median(times_s):.2f} s, max {times_s[-1]:.2f} s, "
            f"false suspicions per run p50 {statistics.median(false):.1f}, "
            f"sum {sum(false)} in {seeds} runs of {QUIET_S:.0f} s"
        )


if __name__ == "__main__":
    main()
