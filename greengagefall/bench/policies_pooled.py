"""Pooled back end with some servers slowed: latencies, retries and second copies."""

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
REPEATABLE_SHARE = 0.8
CALLERS = 40
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
MAX_TRIES = 3
RETRY_BASE_MS = 10.0
RETRY_CAP_MS = 200.0


class PooledRun:
    """One run of a pooled back end behind several entry hosts."""

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
        self.first_tries = 0
        self.copies = 0
        self.retries = 0

    def hop_s(self, zone: str, server: str) -> float:
        """Returns the one-way delay from an entry host to a server's dispatcher."""
        if self.servers[server].zone == zone:
            return SAME_ZONE_HOP_S
        return self.deployment.zone_hop_s

    def offer_load(self, rate_per_s: float, end_s: float) -> None:
        """Starts callers that send at ``rate_per_s`` whatever the answers."""
        self._next_arrival(rate_per_s, end_s)

    def _next_arrival(self, rate_per_s: float, end_s: float) -> None:
        now_s = self.loop.now_s()
        if now_s >= end_s:
            return
        self.loop.call_later(
            self.rng.expovariate(rate_per_s), self._next_arrival, rate_per_s, end_s
        )
        self.first_tries += 1
        request = Request(
            str(self.first_tries),
            f"caller-{self.rng.randrange(CALLERS)}",
            self.rng.randrange(3),
            self.rng.random() < REPEATABLE_SHARE,
            now_s,
            now_s + TIMEOUT_S,
            -1,
        )
        self.rng.choice(self.entries).handle(request)

    def note_end(self, request: Request, answered: bool) -> None:
        """Counts the end of a request as its caller sees it."""
        if request.start_s < WARM_UP_S:
            return
        took_s = self.loop.now_s() - request.start_s
        in_time = answered and took_s <= TIMEOUT_S
        self.answered += in_time
        self.latencies_ms.append(took_s * MS_PER_S if in_time else TIMEOUT_S * MS_PER_S)


class PooledEntry:
    """One entry host: picks, retries and hedges as the policies say."""

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
        """Runs a request to its end."""
        self.budget.on_first_attempt()
        self.hedge.on_request()
        PooledCall(self, request).start()

    def choose(self, tried: set[str]) -> str | None:
        """Returns a server, an ejected one only if no other is left."""
        views = self.views.views()
        ejected = self.ejection.ejected()
        return self.picker.pick(views, self.zone, tried | ejected) or self.picker.pick(
            views, self.zone, tried
        )


class PooledCall:
    """One request with its retries and its second copy."""

    def __init__(self, entry: PooledEntry, request: Request) -> None:
        self.entry = entry
        self.request = request
        self.loop = entry.run.loop
        self.tried: set[str] = set()
        self.open_tries: dict[str, str] = {}
        self.tries = 0
        self.finished = False

    def start(self) -> None:
        """Sends the first try and plans the second copy."""
        self._try()
        self.loop.call_at(self.request.deadline_s, self._give_up)
        delay_ms = self.entry.hedge.delay_ms(self.request.repeatable)
        if delay_ms is not None:
            self.loop.call_later(delay_ms / MS_PER_S, self._send_copy)

    def _try(self) -> None:
        name = self.entry.choose(self.tried)
        if name is None:
            self._end(answered=False)
            return
        self.tries += 1
        self.tried.add(name)
        try_id = f"{self.request.request_id}/{self.tries}"
        self.open_tries[try_id] = name
        self.entry.views.on_send(name)
        dispatcher = self.entry.run.dispatchers[name]
        hop_s = self.entry.run.hop_s(self.entry.zone, name)
        sent_s = self.loop.now_s()

        def answer(done: Done) -> None:
            self.loop.call_later(hop_s, self._on_done, try_id, name, sent_s, done)

        request = self.request._replace(request_id=try_id)
        self.loop.call_later(hop_s, dispatcher.submit, request, answer)

    def _on_done(self, try_id: str, name: str, sent_s: float, done: Done) -> None:
        open_try = self.open_tries.pop(try_id, None)
        if open_try is None:
            return
        if done.outcome == OK:
            self.entry.views.on_answer(name, done.queue_length, done.latency_ms)
            self.entry.ejection.on_result(name, done.latency_ms, ok=True)
            self.entry.hedge.on_latency((self.loop.now_s() - sent_s) * MS_PER_S)
            self._end(answered=True)
            return
        self.entry.views.on_no_answer(name, done.queue_length)
        if self.finished or self.open_tries:
            return
        self._retry()

    def _retry(self) -> None:
        if self.tries >= MAX_TRIES or not self.entry.budget.try_spend():
            self._end(answered=False)
            return
        self.entry.run.retries += 1
        delay_ms = full_jitter(self.tries - 1, RETRY_BASE_MS, RETRY_CAP_MS, self.entry.run.rng)
        self.loop.call_later(delay_ms / MS_PER_S, self._try_again)

    def _try_again(self) -> None:
        if not self.finished:
            self._try()

    def _send_copy(self) -> None:
        if self.finished or not self.open_tries or self.tries > 1:
            return
        if self.entry.hedge.try_spend():
            self.entry.run.copies += 1
            self._try()

    def _give_up(self) -> None:
        if not self.finished:
            self._end(answered=False)

    def _end(self, answered: bool) -> None:
        if self.finished:
            return
        self.finished = True
        self.entry.run.note_end(self.request, answered)
        for try_id, name in self.open_tries.items():
            self.entry.views.on_no_answer(name, self.entry.run.dispatchers[name].queue_length)
            self.entry.run.dispatchers[name].cancel(try_id)
        self.open_tries.clear()


def measure_tail(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
    utilisation: float,
    slowed: int,
) -> dict[str, float]:
    """Returns latencies of a run in which ``slowed`` servers are ten times as slow."""
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
        "copies": run.copies / run.first_tries,
        "retries": run.retries / run.first_tries,
    }
