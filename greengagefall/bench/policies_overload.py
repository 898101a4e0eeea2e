"""Overload, one caller's flood, and unannounced cold starts at one backend server."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from greengagefall.bench.policies_deployments import (
    COLD_SLOTS,
    ORDINARY_SERVICE_S,
    QUEUE_LIMIT,
    TIMEOUT_S,
    Deployment,
)
from greengagefall.bench.policies_loop import EventLoop
from greengagefall.bench.policies_servers import (
    MS_PER_S,
    OK,
    DispatcherModel,
    Done,
    Request,
    ServerModel,
)
from greengagefall.limits.backoff import full_jitter
from greengagefall.limits.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Mapping

log = logging.getLogger(__name__)

WARM_UP_S = 5.0
RUN_S = 45.0
SHORT_TIMEOUT_S = 0.3
CALLERS = 20
FLOOD_CALLER = "caller-flood"
CALM_UTILISATION = 0.4
FLOOD_FACTOR = 3.0
RETRY_BASE_MS = 20.0
RETRY_CAP_MS = 400.0
MAX_TRIES = 3
BUDGET_RATIO = 0.08
BUDGET_BURST = 10.0
UNLIMITED = 1e9
CONTENDED_FROM_S = 15.0
CONTENDED_UTILISATION = 0.6
COLD_EACH_S = 8.0
COLD_UTILISATION = 0.6
OVERLOAD_FACTOR = 3.0
PEAK_FACTORS = (0.8, 0.9, 1.0, 1.1)


class OverloadRun:
    """Callers with retries in front of one dispatcher."""

    def __init__(
        self,
        deployment: Deployment,
        policies: Mapping[str, str],
        tuning: Mapping[str, float],
        seed: int,
        retry_ratio: float,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self.loop = EventLoop()
        self.rng = random.Random(seed)
        slots = deployment.slots
        self.capacity_per_s = slots / ORDINARY_SERVICE_S
        self.model = ServerModel(
            self.loop, random.Random(seed + 1), slots, COLD_SLOTS, ORDINARY_SERVICE_S
        )
        self.dispatcher = DispatcherModel(
            self.loop, self.model, slots, COLD_SLOTS, QUEUE_LIMIT, policies, tuning
        )
        self.timeout_s = timeout_s
        self.budget = RetryBudget(retry_ratio, BUDGET_BURST)
        self.first_tries = 0
        self.retries = 0
        self.sent: dict[str, int] = {}
        self.answered: dict[str, int] = {}

    def offer_load(self, rate_per_s: float, caller: str) -> None:
        """Starts ``caller``, or one of many if empty, at a rate whatever the answers."""
        now_s = self.loop.now_s()
        if now_s >= RUN_S:
            return
        self.loop.call_later(self.rng.expovariate(rate_per_s), self.offer_load, rate_per_s, caller)
        self.first_tries += 1
        name = caller or f"caller-{self.rng.randrange(CALLERS)}"
        deadline_s = now_s + self.timeout_s
        request = Request(str(self.first_tries), name, 1, True, now_s, deadline_s, -1)
        self.budget.on_first_attempt()
        if now_s >= WARM_UP_S:
            self.sent[name] = self.sent.get(name, 0) + 1
        self._try(request, 1)

    def served(self, caller: str) -> float:
        """Returns the share of a caller's requests that were answered in time."""
        return self.answered.get(caller, 0) / max(1, self.sent.get(caller, 0))

    def goodput_per_s(self) -> float:
        """Returns the requests answered in time per second."""
        return sum(self.answered.values()) / (RUN_S - WARM_UP_S)

    def _try(self, request: Request, number: int) -> None:
        if self.loop.now_s() >= request.deadline_s:
            return

        def answer(done: Done) -> None:
            self._on_done(request, number, done)

        sent = request._replace(request_id=f"{request.request_id}/{number}")
        self.dispatcher.submit(sent, answer)

    def _on_done(self, request: Request, number: int, done: Done) -> None:
        if done.outcome == OK:
            in_time = self.loop.now_s() <= request.deadline_s
            if in_time and request.start_s >= WARM_UP_S:
                self.answered[request.caller] = self.answered.get(request.caller, 0) + 1
            return
        if number >= MAX_TRIES or not self.budget.try_spend():
            return
        self.retries += 1
        delay_ms = full_jitter(number - 1, RETRY_BASE_MS, RETRY_CAP_MS, self.rng)
        self.loop.call_later(delay_ms / MS_PER_S, self._try, request, number + 1)


def measure_overload(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
    retry_ratio: float = BUDGET_RATIO,
    timeout_s: float = TIMEOUT_S,
) -> dict[str, float]:
    """Returns goodput at three times the capacity against the peak, and retries."""

    def run_at(factor: float) -> OverloadRun:
        run = OverloadRun(deployment, policies, tuning, seed, retry_ratio, timeout_s)
        run.offer_load(factor * run.capacity_per_s, "")
        run.loop.run_until(RUN_S + TIMEOUT_S)
        return run

    peak = max(run_at(factor).goodput_per_s() for factor in PEAK_FACTORS)
    overloaded = run_at(OVERLOAD_FACTOR)
    return {
        "goodput_ratio": overloaded.goodput_per_s() / peak,
        "retries": overloaded.retries / overloaded.first_tries,
    }


def measure_contention(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
) -> dict[str, float]:
    """Returns service while unseen neighbours make more than half of the slots slow."""
    run = OverloadRun(deployment, policies, tuning, seed, BUDGET_RATIO)
    contended_above = max(1, deployment.slots // 2)
    run.loop.call_at(CONTENDED_FROM_S, setattr, run.model, "contended_above", contended_above)
    run.offer_load(CONTENDED_UTILISATION * run.capacity_per_s, "")
    run.loop.run_until(RUN_S + TIMEOUT_S)
    return {
        "served": sum(run.answered.values()) / sum(run.sent.values()),
        "goodput_per_s": run.goodput_per_s(),
    }


def measure_flood(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
) -> dict[str, float]:
    """Returns the share served of calm callers while one caller floods the server."""
    run = OverloadRun(deployment, policies, tuning, seed, BUDGET_RATIO)
    run.offer_load(CALM_UTILISATION * run.capacity_per_s, "")
    run.offer_load(FLOOD_FACTOR * run.capacity_per_s, FLOOD_CALLER)
    run.loop.run_until(RUN_S + TIMEOUT_S)
    calm = [caller for caller in run.sent if caller != FLOOD_CALLER]
    sent = sum(run.sent[caller] for caller in calm)
    answered = sum(run.answered.get(caller, 0) for caller in calm)
    return {"calm_served": answered / sent, "flood_served": run.served(FLOOD_CALLER)}


def measure_cold(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
    tells_cold: bool = True,
) -> dict[str, float]:
    """Returns what a server met while it was cold, with restarts that nobody announces."""
    run = OverloadRun(deployment, policies, tuning, seed, BUDGET_RATIO)
    run.model.tells_cold = tells_cold
    cold_s = WARM_UP_S
    while cold_s < RUN_S:
        run.loop.call_at(cold_s, run.model.restart_cold)
        cold_s += COLD_EACH_S
    run.offer_load(COLD_UTILISATION * run.capacity_per_s, "")
    run.loop.run_until(RUN_S + TIMEOUT_S)
    return {
        "above_cold_bound": float(run.model.above_cold_bound),
        "above_before_seen": float(run.model.above_before_seen),
        "served": sum(run.answered.values()) / sum(run.sent.values()),
    }
