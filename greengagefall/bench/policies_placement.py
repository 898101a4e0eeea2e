"""Measures imbalance and churn of a keyed back end with changing hot keys and wrong weights."""

from __future__ import annotations

import logging
import math
import random
from typing import TYPE_CHECKING

from greengagefall.balancing.loads import BackEndLoad, ServerLoad
from greengagefall.balancing.moves import apply_moves, count_moved_slices
from greengagefall.balancing.placement import PLACEMENTS
from greengagefall.bench.policies_deployments import (
    KEYED_SERVERS,
    ORDINARY_SERVICE_S,
    SLICES,
    Deployment,
    capacity_per_s,
    make_servers,
)
from greengagefall.utils.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.coordination.model import SliceRange

log = logging.getLogger(__name__)

UTILISATION = 0.5
HOT_SLICES = 10
HOT_LOAD_SHARE = 0.1
HOT_CHANGE_INTERVAL_S = 180.0
SETTLE_S = 90.0
RUN_S = 900.0
PLAN_INTERVAL_S = 10.0
WEIGHT_ERROR = 0.3
SLICE_WEIGHT_SIGMA = 0.5
REPORTED_SLICES = 8


class PlacementRun:
    """Simulates request rates and utilisations of servers without single requests.

    Noise is added to the reported loads as if requests were counted in each window.
    """

    def __init__(
        self,
        deployment: Deployment,
        policies: Mapping[str, str],
        tuning: Mapping[str, float],
        seed: int,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.servers = make_servers(deployment, KEYED_SERVERS)
        self.speed = {
            name: server.weight * self.rng.uniform(1.0 - WEIGHT_ERROR, 1.0 + WEIGHT_ERROR)
            for name, server in self.servers.items()
        }
        self.rate_per_s = UTILISATION * capacity_per_s(self.servers)
        self.slice_weights = [
            self.rng.lognormvariate(0.0, SLICE_WEIGHT_SIGMA) for _ in range(SLICES)
        ]
        self.rates: list[float] = []
        self.placement = PLACEMENTS[policies["placement"]](self.clock, tuning)
        self._ranges = self.placement.initial_ranges(SLICES, self.servers, {})
        self.moved = 0
        self.change_hot_slices()

    def ranges(self) -> list[SliceRange]:
        """Returns the current slice ranges."""
        return self._ranges

    def change_hot_slices(self) -> None:
        """Draws new hot slices, which get ``HOT_LOAD_SHARE`` of the load together."""
        total = sum(self.slice_weights)
        other_rate_per_s = (1.0 - HOT_LOAD_SHARE) * self.rate_per_s
        self.rates = [other_rate_per_s * weight / total for weight in self.slice_weights]
        for slice_id in self.rng.sample(range(SLICES), HOT_SLICES):
            self.rates[slice_id] += HOT_LOAD_SHARE * self.rate_per_s / HOT_SLICES

    def utilisations(self) -> list[float]:
        """Returns the expected utilisation of each server."""
        return [self._utilisation(name, rate) for name, rate in self._server_rates().items()]

    def plan(self) -> None:
        """Passes the load of one window to the placement policy and applies its moves."""
        moves = self.placement.plan_moves(self, self.servers, self._loads(), {})
        self.moved += count_moved_slices(moves)
        self._ranges = apply_moves(self._ranges, moves, 2)

    def _server_rates(self) -> dict[str, float]:
        rates = dict.fromkeys(self.servers, 0.0)
        for slice_range in self._ranges:
            rates[slice_range.owner] += sum(self.rates[slice_range.first : slice_range.last + 1])
        return rates

    def _utilisation(self, name: str, rate_per_s: float) -> float:
        slots = self.servers[name].slots
        return rate_per_s * ORDINARY_SERVICE_S / self.speed[name] / slots

    def _loads(self) -> BackEndLoad:
        rows = {}
        for name, rate in self._server_rates().items():
            observed_rate = self._noisy_rate(rate)
            utilisation = self._noisy_utilisation(name, observed_rate)
            rows[name] = ServerLoad(min(1.0, utilisation), observed_rate, observed_rate, True)
        return BackEndLoad(rows, self._busiest_slices(), self.clock.now_s() + 1.0)

    def _noisy_rate(self, rate_per_s: float) -> float:
        expected = rate_per_s * PLAN_INTERVAL_S
        return max(0.0, self.rng.gauss(expected, math.sqrt(expected))) / PLAN_INTERVAL_S

    def _noisy_utilisation(self, name: str, rate_per_s: float) -> float:
        count = max(1.0, rate_per_s * PLAN_INTERVAL_S)
        return self._utilisation(name, rate_per_s) * self.rng.gauss(1.0, 0.5 / math.sqrt(count))

    def _busiest_slices(self) -> dict[int, float]:
        busy = {}
        by_owner: dict[str, list[int]] = {}
        for slice_range in self._ranges:
            by_owner.setdefault(slice_range.owner, []).extend(
                range(slice_range.first, slice_range.last + 1)
            )
        for slices in by_owner.values():
            busiest = sorted(slices, key=lambda slice_id: -self.rates[slice_id])[:REPORTED_SLICES]
            busy.update({slice_id: self._noisy_rate(self.rates[slice_id]) for slice_id in busiest})
        return busy


def measure_imbalance(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
) -> dict[str, float]:
    """Returns the ratio of maximum to mean utilisation, settled and for the full run, and churn."""
    run = PlacementRun(deployment, policies, tuning, seed)
    settled = []
    ratios = []
    changed_s = 0.0
    while run.clock.now_s() < RUN_S:
        if run.clock.now_s() - changed_s >= HOT_CHANGE_INTERVAL_S:
            run.change_hot_slices()
            changed_s = run.clock.now_s()
        run.plan()
        run.clock.advance(PLAN_INTERVAL_S)
        utilisations = run.utilisations()
        ratio = max(utilisations) * len(utilisations) / sum(utilisations)
        ratios.append(ratio)
        if run.clock.now_s() - changed_s >= SETTLE_S:
            settled.append(ratio)
    return {
        "imbalance": sum(settled) / len(settled),
        "imbalance_worst": max(settled),
        "imbalance_all": sum(ratios) / len(ratios),
        "churn_per_hour": run.moved / SLICES / RUN_S * 3600.0,
        "runs": float(len(run.ranges())),
    }
