"""Imbalance and churn of a keyed back end while hot keys and speeds change."""

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
HOT_CHANGE_EACH_S = 180.0
SETTLE_S = 90.0
RUN_S = 900.0
PLAN_EACH_S = 10.0
WEIGHT_ERROR = 0.3
SLICE_SPREAD_SIGMA = 0.5
REPORTED_SLICES = 8


class PlacementRun:
    """Rates and utilisations without single requests: counts are drawn by window."""

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
        self.shape = [self.rng.lognormvariate(0.0, SLICE_SPREAD_SIGMA) for _ in range(SLICES)]
        self.rates: list[float] = []
        self.placement = PLACEMENTS[policies["placement"]](self.clock, tuning)
        self._runs = self.placement.initial_ranges(SLICES, self.servers, {})
        self.moved = 0
        self.change_hot_slices()

    def ranges(self) -> list[SliceRange]:
        """Returns the slice runs in force."""
        return self._runs

    def change_hot_slices(self) -> None:
        """Draws which slices hold the hot keys from now on."""
        total = sum(self.shape)
        calm = (1.0 - HOT_LOAD_SHARE) * self.rate_per_s
        self.rates = [calm * weight / total for weight in self.shape]
        for slice_id in self.rng.sample(range(SLICES), HOT_SLICES):
            self.rates[slice_id] += HOT_LOAD_SHARE * self.rate_per_s / HOT_SLICES

    def utilisations(self) -> list[float]:
        """Returns the expected busy share of each server."""
        return [self._utilisation(name, rate) for name, rate in self._server_rates().items()]

    def plan(self) -> None:
        """Lets the policy see one window's load and carries out its moves."""
        moves = self.placement.plan_moves(self, self.servers, self._loads(), {})
        self.moved += count_moved_slices(moves)
        self._runs = apply_moves(self._runs, moves, 2)

    def _server_rates(self) -> dict[str, float]:
        rates = dict.fromkeys(self.servers, 0.0)
        for run in self._runs:
            rates[run.owner] += sum(self.rates[run.first : run.last + 1])
        return rates

    def _utilisation(self, name: str, rate_per_s: float) -> float:
        slots = self.servers[name].slots
        return rate_per_s * ORDINARY_SERVICE_S / self.speed[name] / slots

    def _loads(self) -> BackEndLoad:
        rows = {}
        for name, rate in self._server_rates().items():
            seen = self._noisy(rate)
            busy = self._noisy_busy(name, seen)
            rows[name] = ServerLoad(min(1.0, busy), seen, seen, True)
        return BackEndLoad(rows, self._busy_slices(), self.clock.now_s() + 1.0)

    def _noisy(self, rate_per_s: float) -> float:
        expected = rate_per_s * PLAN_EACH_S
        return max(0.0, self.rng.gauss(expected, math.sqrt(expected))) / PLAN_EACH_S

    def _noisy_busy(self, name: str, rate_per_s: float) -> float:
        count = max(1.0, rate_per_s * PLAN_EACH_S)
        return self._utilisation(name, rate_per_s) * self.rng.gauss(1.0, 0.5 / math.sqrt(count))

    def _busy_slices(self) -> dict[int, float]:
        busy = {}
        by_owner: dict[str, list[int]] = {}
        for run in self._runs:
            by_owner.setdefault(run.owner, []).extend(range(run.first, run.last + 1))
        for slices in by_owner.values():
            top = sorted(slices, key=lambda item: -self.rates[item])[:REPORTED_SLICES]
            busy.update({item: self._noisy(self.rates[item]) for item in top})
        return busy


def measure_imbalance(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
) -> dict[str, float]:
    """Returns max over mean utilisation, settled and over all time, and churn."""
    run = PlacementRun(deployment, policies, tuning, seed)
    settled = []
    ratios = []
    changed_s = 0.0
    while run.clock.now_s() < RUN_S:
        if run.clock.now_s() - changed_s >= HOT_CHANGE_EACH_S:
            run.change_hot_slices()
            changed_s = run.clock.now_s()
        run.plan()
        run.clock.advance(PLAN_EACH_S)
        use = run.utilisations()
        ratio = max(use) * len(use) / sum(use)
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
