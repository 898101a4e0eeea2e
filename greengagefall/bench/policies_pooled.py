"""Measures latencies, retries and hedges of a pooled back end with slowed servers."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from greengagefall.balancing.ejection import EJECTIONS
from greengagefall.balancing.hedging import HEDGES
from greengagefall.balancing.pick import SERVER_PICKS
from greengagefall.balancing.server_views import ServerViews
from greengagefall.bench.policies_deployments import (
    ENTRY_HOSTS,
    ORDINARY_SERVICE_S,
    POOLED_SERVERS,
    QUEUE_LIMIT,
    SAME_ZONE_HOP_S,
    TIMEOUT_S,
    Deployment,
    capacity_per_s,
    make_servers,
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
from greengagefall.bench.policies_stats import quantile
from greengagefall.limits.backoff import full_jitter
from greengagefall.limits.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Mapping

log = logging.getLogger(__name__)

WARM_UP_S = 10.0
RUN_S = 40.0
SLOW_FACTOR = 10.0
IDEMPOTENT_SHARE = 0.8
CALLERS = 40
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
MAX_ATTEMPTS = 3
RETRY_BASE_MS = 10.0
RETRY_CAP_MS = 200.0


class PooledRun:
    """Simulates a pooled back end behind several entry hosts."""

    def __init__(
        self,
        deployment: Deployment,
        policies: Mapping[str, str],
        tuning: Mapping[str, float],
        seed: int,
    ) -> None:
        self.loop = EventLoop()
        self.rng = random.Random(seed)
        self.deployment = deployment
        self.servers = make_servers(deployment, POOLED_SERVERS)
        self.models: dict[str, ServerModel] = {}
        self.dispatchers: dict[str, DispatcherModel] = {}
        for name, server in self.servers.items():
            model = ServerModel(
                self.loop,
                random.Random(self.rng.random()),
                server.slots,
                server.cold_slots,
                ORDINARY_SERVICE_S / server.weight,
            )
            self.models[name] = model
            self.dispatchers[name] = DispatcherModel(
                self.loop, model, server.slots, server.cold_slots, QUEUE_LIMIT, policies, tuning
            )
        self.entries = [
            PooledEntry(self, deployment.zones[number % 3], policies, tuning)
            for number in range(ENTRY_HOSTS)
        ]
        self.latencies_ms: list[float] = []
        self.answered = 0
        self.first_attempts = 0
        self.hedges = 0
        self.retries = 0

    def hop_s(self, zone: str, server: str) -> float:
        """Returns the one-way delay from an entry host to a server's dispatcher."""
        if self.servers[server].zone == zone:
            return SAME_ZONE_HOP_S
        return self.deployment.zone_hop_s

    def offer_load(self, rate_per_s: float, end_s: float) -> None:
        """Generates requests at a mean of ``rate_per_s``, regardless of the answers."""
        self._next_arrival(rate_per_s, end_s)

    def _next_arrival(self, rate_per_s: float, end_s: float) -> None:
        now_s = self.loop.now_s()
        if now_s >= end_s:
            return
        self.loop.call_later(
            self.rng.expovariate(rate_per_s), self._next_arrival, rate_per_s, end_s
        )
        self.first_attempts += 1
        request = Request(
            str(self.first_attempts),
            f"caller-{self.rng.randrange(CALLERS)}",
            self.rng.randrange(3),
            self.rng.random() < IDEMPOTENT_SHARE,
            now_s,
            now_s + TIMEOUT_S,
            -1,
        )
        self.rng.choice(self.entries).handle(request)

    def record_result(self, request: Request, answered: bool) -> None:
        """Records the result of a request in its caller's view, except for the warm-up."""
        if request.start_s < WARM_UP_S:
            return
        elapsed_s = self.loop.now_s() - request.start_s
        in_time = answered and elapsed_s <= TIMEOUT_S
        self.answered += in_time
        self.latencies_ms.append(elapsed_s * MS_PER_S if in_time else TIMEOUT_S * MS_PER_S)


class PooledEntry:
    """Entry host that picks servers, retries and hedges according to the policies."""

    def __init__(
        self,
        run: PooledRun,
        zone: str,
        policies: Mapping[str, str],
        tuning: Mapping[str, float],
    ) -> None:
        self.run = run
        self.zone = zone
        self.views = ServerViews(run.loop)
        for server in run.servers.values():
            self.views.set_server(server.name, server.zone, server.slots, server.weight)
        weights = {name: server.weight for name, server in run.servers.items()}
        self.picker = SERVER_PICKS[policies["pick"]](run.rng, tuning)
        self.ejection = EJECTIONS[policies["ejection"]](weights, run.loop, tuning)
        self.hedge = HEDGES[policies["hedge"]](tuning)
        self.budget = RetryBudget(RETRY_RATIO, RETRY_BURST)

    def handle(self, request: Request) -> None:
        """Starts the handling of a request."""
        self.budget.on_first_attempt()
        self.hedge.on_request()
        PooledCall(self, request).start()

    def choose(self, attempted_servers: set[str]) -> str | None:
        """Returns a server not attempted yet, an ejected one only if there is no other."""
        views = self.views.views()
        ejected = self.ejection.ejected()
        return self.picker.pick(views, self.zone, attempted_servers | ejected) or self.picker.pick(
            views, self.zone, attempted_servers
        )


class PooledCall:
    """One request with its retries and its hedge."""

    def __init__(self, entry: PooledEntry, request: Request) -> None:
        self.entry = entry
        self.request = request
        self.loop = entry.run.loop
        self.attempted_servers: set[str] = set()
        self.open_attempts: dict[str, str] = {}
        self.attempts = 0
        self.finished = False

    def start(self) -> None:
        """Sends the first attempt and schedules the hedge."""
        self._send_attempt()
        self.loop.call_at(self.request.deadline_s, self._on_deadline)
        delay_ms = self.entry.hedge.delay_ms(self.request.repeatable)
        if delay_ms is not None:
            self.loop.call_later(delay_ms / MS_PER_S, self._send_hedge)

    def _send_attempt(self) -> None:
        name = self.entry.choose(self.attempted_servers)
        if name is None:
            self._finish(answered=False)
            return
        self.attempts += 1
        self.attempted_servers.add(name)
        attempt_id = f"{self.request.request_id}/{self.attempts}"
        self.open_attempts[attempt_id] = name
        self.entry.views.on_send(name)
        dispatcher = self.entry.run.dispatchers[name]
        hop_s = self.entry.run.hop_s(self.entry.zone, name)
        sent_s = self.loop.now_s()

        def answer(done: Done) -> None:
            self.loop.call_later(hop_s, self._on_done, attempt_id, name, sent_s, done)

        request = self.request._replace(request_id=attempt_id)
        self.loop.call_later(hop_s, dispatcher.submit, request, answer)

    def _on_done(self, attempt_id: str, name: str, sent_s: float, done: Done) -> None:
        server = self.open_attempts.pop(attempt_id, None)
        if server is None:
            return
        if done.outcome == OK:
            self.entry.views.on_answer(name, done.queue_length, done.latency_ms)
            self.entry.ejection.on_result(name, done.latency_ms, ok=True)
            self.entry.hedge.on_latency((self.loop.now_s() - sent_s) * MS_PER_S)
            self._finish(answered=True)
            return
        self.entry.views.on_no_answer(name, done.queue_length)
        if self.finished or self.open_attempts:
            return
        self._retry()

    def _retry(self) -> None:
        if self.attempts >= MAX_ATTEMPTS or not self.entry.budget.try_spend():
            self._finish(answered=False)
            return
        self.entry.run.retries += 1
        delay_ms = full_jitter(self.attempts - 1, RETRY_BASE_MS, RETRY_CAP_MS, self.entry.run.rng)
        self.loop.call_later(delay_ms / MS_PER_S, self._send_retry)

    def _send_retry(self) -> None:
        if not self.finished:
            self._send_attempt()

    def _send_hedge(self) -> None:
        if self.finished or not self.open_attempts or self.attempts > 1:
            return
        if self.entry.hedge.try_spend():
            self.entry.run.hedges += 1
            self._send_attempt()

    def _on_deadline(self) -> None:
        if not self.finished:
            self._finish(answered=False)

    def _finish(self, answered: bool) -> None:
        if self.finished:
            return
        self.finished = True
        self.entry.run.record_result(self.request, answered)
        for attempt_id, name in self.open_attempts.items():
            self.entry.views.on_no_answer(name, self.entry.run.dispatchers[name].queue_length)
            self.entry.run.dispatchers[name].cancel(attempt_id)
        self.open_attempts.clear()


def measure_tail(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
    utilisation: float,
    slowed: int,
) -> dict[str, float]:
    """Returns figures of a run in which ``slowed`` servers become ten times as slow."""
    run = PooledRun(deployment, policies, tuning, seed)
    for name in run.rng.sample(sorted(run.models), slowed):
        run.loop.call_at(WARM_UP_S, setattr, run.models[name], "slow_factor", SLOW_FACTOR)
    run.offer_load(utilisation * capacity_per_s(run.servers), RUN_S)
    run.loop.run_until(RUN_S + TIMEOUT_S)
    return {
        "p50_ms": quantile(run.latencies_ms, 0.5),
        "p99_ms": quantile(run.latencies_ms, 0.99),
        "p999_ms": quantile(run.latencies_ms, 0.999),
        "served": run.answered / len(run.latencies_ms),
        "copies": run.hedges / run.first_attempts,
        "retries": run.retries / run.first_attempts,
    }
