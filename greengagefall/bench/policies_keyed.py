"""Simulates a keyed back end with its planner in virtual time."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from greengagefall.balancing.loads import NO_BACK_END_LOAD, BackEndLoad, ServerLoad
from greengagefall.balancing.moves import Move, apply_moves, count_moved_slices
from greengagefall.balancing.placement import PLACEMENTS
from greengagefall.balancing.zone_moves import ZONE_MOVE_POLICIES
from greengagefall.bench.policies_deployments import (
    ENTRY_HOSTS,
    KEYED_SERVERS,
    ORDINARY_SERVICE_S,
    QUEUE_LIMIT,
    SAME_ZONE_HOP_S,
    SLICES,
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
from greengagefall.limits.backoff import full_jitter
from greengagefall.limits.caller_share import CallerLimiter
from greengagefall.limits.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.coordination.model import SliceRange

log = logging.getLogger(__name__)

CALLERS = 40
CALLER_IN_FLIGHT = 64
ENTRY_IN_FLIGHT = 256
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
MAX_ATTEMPTS = 3
RETRY_BASE_MS = 20.0
RETRY_CAP_MS = 400.0
PLAN_INTERVAL_S = 0.5
BALANCE_INTERVAL_S = 2.0
LOAD_WINDOW_S = 8.0
HANDOVER_S = 0.06
RELEASE_POLL_INTERVAL_S = 0.02


class KeyedEnd:
    """Result of a request in its caller's view.

    ``server`` received the last attempt, or owned the slice if none was sent. ``latency_ms`` is the
    timeout if there was no answer.
    """

    def __init__(self, request: Request, server: str, answered: bool, latency_ms: float) -> None:
        self.request = request
        self.server = server
        self.answered = answered
        self.latency_ms = latency_ms


class KeyedRun:
    """Simulates a keyed back end, its entry hosts and its planner."""

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
        self.servers = make_servers(deployment, KEYED_SERVERS)
        self.zones = dict.fromkeys(deployment.zones, "in")
        self.models: dict[str, ServerModel] = {}
        self.dispatchers: dict[str, DispatcherModel] = {}
        for name, server in self.servers.items():
            self.models[name] = ServerModel(
                self.loop,
                random.Random(self.rng.random()),
                server.slots,
                server.cold_slots,
                ORDINARY_SERVICE_S / server.weight,
            )
            self.dispatchers[name] = DispatcherModel(
                self.loop,
                self.models[name],
                server.slots,
                server.cold_slots,
                QUEUE_LIMIT,
                policies,
                tuning,
            )
        self.caller_limiters = [
            CallerLimiter(CALLER_IN_FLIGHT, ENTRY_IN_FLIGHT) for _ in range(ENTRY_HOSTS)
        ]
        self.retry_budgets = [RetryBudget(RETRY_RATIO, RETRY_BURST) for _ in range(ENTRY_HOSTS)]
        self.ends: list[KeyedEnd] = []
        self.first_attempts = 0
        self.retries = 0
        self.in_flight: dict[int, int] = {}
        self.planner = Planner(self, policies, tuning)

    def offer_load(self, rate_per_s: float, end_s: float) -> None:
        """Generates requests at a mean of ``rate_per_s``, regardless of the answers."""
        now_s = self.loop.now_s()
        if now_s >= end_s:
            return
        self.loop.call_later(self.rng.expovariate(rate_per_s), self.offer_load, rate_per_s, end_s)
        self.first_attempts += 1
        request = Request(
            str(self.first_attempts),
            f"caller-{self.rng.randrange(CALLERS)}",
            self.rng.randrange(3),
            False,
            now_s,
            now_s + TIMEOUT_S,
            self.rng.randrange(SLICES),
        )
        KeyedCall(self, self.rng.randrange(ENTRY_HOSTS), request).start()


class KeyedCall:
    """One request at its entry host; refused attempts, which were not executed, are retried."""

    def __init__(self, run: KeyedRun, entry: int, request: Request) -> None:
        self.run = run
        self.loop = run.loop
        self.entry = entry
        self.request = request
        self.attempts = 0
        self.finished = False
        self.server = run.planner.owners[request.slice_id]

    def start(self) -> None:
        """Sends the first attempt, or records a refusal if the caller is above its limit."""
        if self.run.caller_limiters[self.entry].try_acquire(self.request.caller).is_err():
            self.finished = True
            self._record_result(answered=False)
            return
        self.run.retry_budgets[self.entry].on_first_attempt()
        self.loop.call_at(self.request.deadline_s, self._finish, False)
        self._send_attempt()

    def _send_attempt(self) -> None:
        if self.finished:
            return
        slice_id = self.request.slice_id
        if slice_id in self.run.planner.moving:
            self.run.planner.moving[slice_id].append(self._send_attempt)
            return
        self.attempts += 1
        self.server = self.run.planner.owners[slice_id]
        in_flight = self.run.in_flight
        in_flight[slice_id] = in_flight.get(slice_id, 0) + 1
        request = self.request._replace(request_id=f"{self.request.request_id}/{self.attempts}")
        self.run.dispatchers[self.server].submit(request, self._on_done)

    def _on_done(self, done: Done) -> None:
        self.run.in_flight[self.request.slice_id] -= 1
        if done.outcome == OK:
            self._finish(True)
            return
        if self.finished:
            return
        if self.attempts >= MAX_ATTEMPTS or not self.run.retry_budgets[self.entry].try_spend():
            self._finish(False)
            return
        self.run.retries += 1
        delay_ms = full_jitter(self.attempts - 1, RETRY_BASE_MS, RETRY_CAP_MS, self.run.rng)
        self.loop.call_later(delay_ms / MS_PER_S, self._send_attempt)

    def _finish(self, answered: bool) -> None:
        if self.finished:
            return
        self.finished = True
        self.run.caller_limiters[self.entry].release(self.request.caller)
        self._record_result(answered)

    def _record_result(self, answered: bool) -> None:
        hop_s = 2 * (SAME_ZONE_HOP_S + self.run.deployment.zone_hop_s)
        elapsed_s = self.loop.now_s() - self.request.start_s + hop_s
        latency_ms = elapsed_s * MS_PER_S if answered else TIMEOUT_S * MS_PER_S
        self.run.ends.append(KeyedEnd(self.request, self.server, answered, latency_ms))


class Planner:
    """Plans moves of slices and executes them: release, handover, new owner."""

    def __init__(
        self, run: KeyedRun, policies: Mapping[str, str], tuning: Mapping[str, float]
    ) -> None:
        self.run = run
        self.loop = run.loop
        self.zone_moves = ZONE_MOVE_POLICIES[policies["zone_move"]](self.loop, tuning)
        self.placement = PLACEMENTS[policies["placement"]](self.loop, tuning)
        self.balances = policies["placement"] != "by_weight"
        self._ranges = self.placement.initial_ranges(SLICES, run.servers, run.zones)
        self.owners = [
            slice_range.owner
            for slice_range in self._ranges
            for _ in range(slice_range.first, slice_range.last + 1)
        ]
        self.moving: dict[int, list] = {}
        self.moved = 0
        self.unavailable_s: list[float] = []
        self._open_moves: list[Move] = []
        self._moves_started_at_s = 0.0
        self._fence = 1
        self._next_balance_s = 0.0
        self._last_observations: dict[str, tuple[float, int, int]] = {}
        self._loads = NO_BACK_END_LOAD
        self.loop.call_later(LOAD_WINDOW_S, self._observe)

    def ranges(self) -> list[SliceRange]:
        """Returns the current slice ranges."""
        return self._ranges

    def start(self) -> None:
        """Starts periodic planning."""
        self.loop.call_later(PLAN_INTERVAL_S, self._plan)

    def _observe(self) -> None:
        self.loop.call_later(LOAD_WINDOW_S, self._observe)
        rows = {}
        for name, model in self.run.models.items():
            offered = self.run.dispatchers[name].offered
            observed = (model.busy_s, model.served, offered)
            busy_s, served, offered_before = self._last_observations.get(name, (0.0, 0, 0))
            self._last_observations[name] = observed
            slots = self.run.servers[name].slots
            rows[name] = ServerLoad(
                min(1.0, (observed[0] - busy_s) / LOAD_WINDOW_S / slots),
                (offered - offered_before) / LOAD_WINDOW_S,
                (observed[1] - served) / LOAD_WINDOW_S,
                True,
            )
        self._loads = BackEndLoad(rows, {}, self.loop.now_s())

    def _plan(self) -> None:
        self.loop.call_later(PLAN_INTERVAL_S, self._plan)
        if self._open_moves:
            return
        run = self.run
        moves = self.zone_moves.plan(self, run.servers, self._loads, run.zones)
        if not moves and self.balances and self.loop.now_s() >= self._next_balance_s:
            moves = self.placement.plan_moves(self, run.servers, self._loads, run.zones)
            self._next_balance_s = self.loop.now_s() + LOAD_WINDOW_S + BALANCE_INTERVAL_S
        if moves:
            self._begin(moves)

    def _begin(self, moves: list[Move]) -> None:
        self._open_moves = moves
        self._moves_started_at_s = self.loop.now_s()
        self.moved += count_moved_slices(moves)
        for move in moves:
            for slice_id in range(move.first, move.last + 1):
                self.moving[slice_id] = []
        self.loop.call_later(HANDOVER_S, self._finish_released)

    def _finish_released(self) -> None:
        """Hands over each open move whose slices have no requests in flight."""
        remaining_moves = []
        for move in self._open_moves:
            slices = range(move.first, move.last + 1)
            if any(self.run.in_flight.get(slice_id, 0) for slice_id in slices):
                remaining_moves.append(move)
                continue
            self._hand_over(move)
        self._open_moves = remaining_moves
        if remaining_moves:
            self.loop.call_later(RELEASE_POLL_INTERVAL_S, self._finish_released)

    def _hand_over(self, move: Move) -> None:
        self._fence += 1
        self._ranges = apply_moves(self._ranges, [move], self._fence)
        unavailable_s = self.loop.now_s() - self._moves_started_at_s
        for slice_id in range(move.first, move.last + 1):
            self.owners[slice_id] = move.target
            self.unavailable_s.append(unavailable_s)
            for resume in self.moving.pop(slice_id):
                self.loop.call_later(0.0, resume)


def keyed_rate_per_s(run: KeyedRun, utilisation: float) -> float:
    """Returns the request rate at which the servers have the given utilisation."""
    return utilisation * capacity_per_s(run.servers)
