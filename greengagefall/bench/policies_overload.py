"""Measures overload, one flooding caller and unannounced cold starts at one backend server."""

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
MAX_ATTEMPTS = 3
BUDGET_RATIO = 0.08
BUDGET_BURST = 10.0
UNLIMITED = 1e9
CONTENTION_START_S = 15.0
CONTENTION_UTILISATION = 0.6
RESTART_INTERVAL_S = 8.0
COLD_UTILISATION = 0.6
OVERLOAD_FACTOR = 3.0
PEAK_FACTORS = (0.8, 0.9, 1.0, 1.1)


class OverloadRun:
    """Simulates callers with retries at the dispatcher of one backend server."""

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
        self.first_attempts = 0
        self.retries = 0
        self.sent: dict[str, int] = {}
        self.answered: dict[str, int] = {}

    def offer_load(self, rate_per_s: float, caller: str) -> None:
        """Generates requests of ``caller``, or of random callers if it is empty.

        The mean rate is ``rate_per_s``, regardless of the answers.
        """
        now_s = self.loop.now_s()
        if now_s >= RUN_S:
            return
        self.loop.call_later(self.rng.expovariate(rate_per_s), self.offer_load, rate_per_s, caller)
        self.first_attempts += 1
        name = caller or f"caller-{self.rng.randrange(CALLERS)}"
        deadline_s = now_s + self.timeout_s
        request = Request(str(self.first_attempts), name, 1, True, now_s, deadline_s, -1)
        self.budget.on_first_attempt()
        if now_s >= WARM_UP_S:
            self.sent[name] = self.sent.get(name, 0) + 1
        self._send_attempt(request, 1)

    def served(self, caller: str) -> float:
        """Returns the share of a caller's requests that were answered in time."""
        return self.answered.get(caller, 0) / max(1, self.sent.get(caller, 0))

    def goodput_per_s(self) -> float:
        """Returns the number of requests answered in time per second."""
        return sum(self.answered.values()) / (RUN_S - WARM_UP_S)

    def _send_attempt(self, request: Request, attempt: int) -> None:
        if self.loop.now_s() >= request.deadline_s:
            return

        def answer(done: Done) -> None:
            self._on_done(request, attempt, done)

        attempt_request = request._replace(request_id=f"{request.request_id}/{attempt}")
        self.dispatcher.submit(attempt_request, answer)

    def _on_done(self, request: Request, attempt: int, done: Done) -> None:
        if done.outcome == OK:
            in_time = self.loop.now_s() <= request.deadline_s
            if in_time and request.start_s >= WARM_UP_S:
                self.answered[request.caller] = self.answered.get(request.caller, 0) + 1
            return
        if attempt >= MAX_ATTEMPTS or not self.budget.try_spend():
            return
        self.retries += 1
        delay_ms = full_jitter(attempt - 1, RETRY_BASE_MS, RETRY_CAP_MS, self.rng)
        self.loop.call_later(delay_ms / MS_PER_S, self._send_attempt, request, attempt + 1)


def measure_overload(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
    retry_ratio: float = BUDGET_RATIO,
    timeout_s: float = TIMEOUT_S,
) -> dict[str, float]:
    """Returns the ratio of goodput at three times the capacity to the peak, and the retries."""

    def run_at(factor: float) -> OverloadRun:
        run = OverloadRun(deployment, policies, tuning, seed, retry_ratio, timeout_s)
        run.offer_load(factor * run.capacity_per_s, "")
        run.loop.run_until(RUN_S + TIMEOUT_S)
        return run

    peak = max(run_at(factor).goodput_per_s() for factor in PEAK_FACTORS)
    overloaded = run_at(OVERLOAD_FACTOR)
    return {
        "goodput_ratio": overloaded.goodput_per_s() / peak,
        "retries": overloaded.retries / overloaded.first_attempts,
    }


def measure_contention(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
) -> dict[str, float]:
    """Returns served requests while a server slows down with more than half of its slots in use.

    This models noisy neighbours of the server, which the dispatcher cannot observe.
    """
    run = OverloadRun(deployment, policies, tuning, seed, BUDGET_RATIO)
    contended_above = max(1, deployment.slots // 2)
    run.loop.call_at(CONTENTION_START_S, setattr, run.model, "contended_above", contended_above)
    run.offer_load(CONTENTION_UTILISATION * run.capacity_per_s, "")
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
    """Returns the shares served of the other callers' requests and of the flooding caller's."""
    run = OverloadRun(deployment, policies, tuning, seed, BUDGET_RATIO)
    run.offer_load(CALM_UTILISATION * run.capacity_per_s, "")
    run.offer_load(FLOOD_FACTOR * run.capacity_per_s, FLOOD_CALLER)
    run.loop.run_until(RUN_S + TIMEOUT_S)
    calm_callers = [caller for caller in run.sent if caller != FLOOD_CALLER]
    sent = sum(run.sent[caller] for caller in calm_callers)
    answered = sum(run.answered.get(caller, 0) for caller in calm_callers)
    return {"calm_served": answered / sent, "flood_served": run.served(FLOOD_CALLER)}


def measure_cold(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
    reports_cold: bool = True,
) -> dict[str, float]:
    """Returns the numbers of requests shed above the cold slots and the share served.

    The server restarts without notice; with ``reports_cold`` its status reports that it is cold.
    """
    run = OverloadRun(deployment, policies, tuning, seed, BUDGET_RATIO)
    run.model.reports_cold = reports_cold
    restart_s = WARM_UP_S
    while restart_s < RUN_S:
        run.loop.call_at(restart_s, run.model.restart_cold)
        restart_s += RESTART_INTERVAL_S
    run.offer_load(COLD_UTILISATION * run.capacity_per_s, "")
    run.loop.run_until(RUN_S + TIMEOUT_S)
    return {
        "above_cold_bound": float(run.model.above_cold_bound),
        "above_before_seen": float(run.model.above_before_seen),
        "served": sum(run.answered.values()) / sum(run.sent.values()),
    }
