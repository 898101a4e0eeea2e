"""Forwards a caller's request to a backend server, with retries and hedging."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from result import Err

from greengagefall.limits.backoff import full_jitter
from greengagefall.limits.retry_budget import RetryBudget
from greengagefall.protocol import refusals
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.protocol.messages import Answer, Forward, Refusal
from greengagefall.protocol.refusals import REFUSALS
from greengagefall.routing.model import KIND_POOLED
from greengagefall.utils.invariants import check
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.entry.pools import Pools
    from greengagefall.entry.request import CallerRequest
    from greengagefall.entry.targets import Target, TargetResolver
    from greengagefall.entry.transport import ForwardTransport
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
RETRY_BASE_MS = 20.0
RETRY_CAP_MS = 300.0
RETRY_BURST = 20.0
MAX_REDIRECTS = 3
MAX_ATTEMPTS = 40

# A request refused for one of these reasons reached no backend server and is redirected to another
# host. A redirect is no repeated load on a backend server, so it costs no retry budget.
REDIRECT_REASONS = frozenset({refusals.NOT_DISPATCHER, refusals.STALE_MAP, refusals.STOPPING})

# Waiting until one of these reasons is resolved puts no load on a backend server, so a retry after
# it costs no retry budget.
WAIT_REASONS = frozenset(
    {refusals.SLICE_FREE, refusals.SLICE_MOVING, refusals.NO_DISPATCHER, refusals.STALE_MAP}
)

Outcome = Answer | Refusal


class Forwarder:
    """Makes the attempts of each request within its deadline.

    Args:
        targets: Resolves the backend server and dispatcher of a request.
        transport: Sends one attempt.
        pools: Policies for picking, ejection and hedging in pooled back ends.
        clock: Monotonic clock.
        retry_ratio: Number of retries allowed per first attempt.
    """

    def __init__(
        self,
        targets: TargetResolver,
        transport: ForwardTransport,
        pools: Pools,
        clock: Clock,
        retry_ratio: float,
    ) -> None:
        self._targets = targets
        self._transport = transport
        self._pools = pools
        self._clock = clock
        self._rng = random.Random()
        self._retry_budget = RetryBudget(retry_ratio, RETRY_BURST)

    def set_retry_ratio(self, retry_ratio: float) -> None:
        """Applies a new number of retries allowed per first attempt."""
        self._retry_budget = RetryBudget(retry_ratio, RETRY_BURST)

    async def forward(self, request: CallerRequest) -> Outcome:
        """Returns the complete answer, or the last refusal if no attempt was answered."""
        self._retry_budget.on_first_attempt()
        deadline_s = self._clock.now_s() + request.timeout_ms / MS_PER_S
        if request.back_end.kind == KIND_POOLED:
            outcome = await self._forward_hedged(request, deadline_s)
        else:
            outcome = await self._forward_with_retries(request, deadline_s, set())
        check(
            outcome.request_id == request.request_id,
            "own_answer",
            asked=request.request_id,
            answered=outcome.request_id,
        )
        return outcome

    async def _forward_hedged(self, request: CallerRequest, deadline_s: float) -> Outcome:
        hedge = self._pools.hedge(request.back_end)
        hedge.on_request()
        started_s = self._clock.now_s()
        attempted_servers: set[str] = set()
        first = asyncio.ensure_future(
            self._forward_with_retries(request, deadline_s, attempted_servers)
        )
        delay_ms = hedge.delay_ms(request.request_class.repeatable)
        try:
            if delay_ms is None:
                outcome = await first
            else:
                outcome = await self._await_or_hedge(
                    request, deadline_s, first, attempted_servers, delay_ms
                )
        except asyncio.CancelledError:
            first.cancel()
            raise
        hedge.on_latency((self._clock.now_s() - started_s) * MS_PER_S)
        return outcome

    async def _await_or_hedge(
        self,
        request: CallerRequest,
        deadline_s: float,
        first: asyncio.Future[Outcome],
        attempted_servers: set[str],
        delay_ms: float,
    ) -> Outcome:
        done, _ = await asyncio.wait({first}, timeout=delay_ms / MS_PER_S)
        if done or not self._pools.hedge(request.back_end).try_spend():
            return await first
        check(request.request_class.repeatable, "no_second_send", request_id=request.request_id)
        count("hedges", back_end=request.back_end.name)
        second = asyncio.ensure_future(
            self._forward_with_retries(request, deadline_s, set(attempted_servers))
        )
        pending: set[asyncio.Future[Outcome]] = {first, second}
        outcomes: list[Outcome] = []
        try:
            while pending and not any(isinstance(one, Answer) for one in outcomes):
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                outcomes += [one.result() for one in done]
        finally:
            for unfinished in pending:
                unfinished.cancel()
        if second in done and isinstance(outcomes[-1], Answer):
            count("hedges_won", back_end=request.back_end.name)
        return _hedged_outcome(outcomes)

    async def _forward_with_retries(
        self, request: CallerRequest, deadline_s: float, attempted_servers: set[str]
    ) -> Outcome:
        """Makes attempts until one is answered or no retry is allowed.

        If the last refusal says "not executed" but an earlier attempt may have been executed, the
        outcome of the request is unknown.
        """
        maybe_executed = False

        def record_refusal(refusal: Refusal) -> None:
            nonlocal maybe_executed
            maybe_executed = maybe_executed or not refusal.not_run

        outcome = await self._attempt_until_final(
            request, deadline_s, attempted_servers, record_refusal
        )
        if isinstance(outcome, Refusal) and outcome.not_run and maybe_executed:
            return make_refusal(request.request_id, refusals.OUTCOME_UNKNOWN)
        return outcome

    async def _attempt_until_final(
        self,
        request: CallerRequest,
        deadline_s: float,
        attempted_servers: set[str],
        record_refusal: Callable[[Refusal], None],
    ) -> Outcome:
        redirects = 0
        last_refusal: Refusal | None = None
        for attempt in range(MAX_ATTEMPTS):
            remaining_ms = int((deadline_s - self._clock.now_s()) * MS_PER_S)
            if remaining_ms <= 0:
                break
            outcome = await self._attempt_once(request, remaining_ms, attempted_servers)
            if isinstance(outcome, Answer):
                return outcome
            last_refusal = outcome
            record_refusal(outcome)
            if not _may_retry(request, outcome):
                return outcome
            is_redirect = outcome.reason in REDIRECT_REASONS and redirects < MAX_REDIRECTS
            if is_redirect:
                redirects += 1
            elif outcome.reason not in WAIT_REASONS and not self._retry_budget.try_spend():
                count("retries_refused", reason=outcome.reason)
                return outcome
            count("retries", reason=outcome.reason)
            if not await self._pause(attempt, outcome, is_redirect, deadline_s):
                return outcome
        return last_refusal or make_refusal(request.request_id, refusals.DEADLINE_EXPIRED)

    async def _pause(
        self, attempt: int, outcome: Refusal, is_redirect: bool, deadline_s: float
    ) -> bool:
        """Waits before the next attempt; returns False if the deadline would pass first."""
        if is_redirect and outcome.hint_host:
            return True
        pause_ms = full_jitter(attempt, RETRY_BASE_MS, RETRY_CAP_MS, self._rng)
        pause_s = pause_ms / MS_PER_S
        if self._clock.now_s() + pause_s >= deadline_s:
            return False
        await asyncio.sleep(pause_s)
        return True

    async def _attempt_once(
        self, request: CallerRequest, remaining_ms: int, attempted_servers: set[str]
    ) -> Outcome:
        resolved = self._targets.resolve(request, attempted_servers)
        if isinstance(resolved, Err):
            return make_refusal(request.request_id, resolved.err_value)
        target: Target = resolved.ok_value
        pooled = request.back_end.kind == KIND_POOLED
        if not pooled:
            outcome = await self._transport.send(
                target, _forward_message(request, target, remaining_ms)
            )
            self._targets.record_outcome(target, outcome)
            return outcome
        attempted_servers.add(target.server)
        pool_attempt = self._pools.begin_attempt(request.back_end, target.server)
        started_s = self._clock.now_s()
        outcome: Outcome | None = None
        try:
            outcome = await self._transport.send(
                target, _forward_message(request, target, remaining_ms)
            )
        finally:
            pool_attempt.end(outcome, (self._clock.now_s() - started_s) * MS_PER_S)
        self._targets.record_outcome(target, outcome)
        return outcome


def _hedged_outcome(outcomes: list[Outcome]) -> Outcome:
    """Returns an answer, else a refusal that holds for all copies of a hedged request.

    "Not executed" holds only if no copy has an unknown outcome.
    """
    answers = [one for one in outcomes if isinstance(one, Answer)]
    unknown = [one for one in outcomes if isinstance(one, Refusal) and not one.not_run]
    return [*answers, *unknown, *outcomes][0]


def _may_retry(request: CallerRequest, outcome: Refusal) -> bool:
    if outcome.not_run:
        return REFUSALS[outcome.reason].retryable
    return request.request_class.repeatable and outcome.reason != refusals.TIMED_OUT


def _forward_message(request: CallerRequest, target: Target, remaining_ms: int) -> Forward:
    return Forward(
        call_id=0,
        request_id=request.request_id,
        back_end=request.back_end.name,
        server=target.server,
        slice_id=target.slice_id,
        fence=target.fence,
        map_version=target.map_version,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        remaining_ms=remaining_ms,
        repeatable=request.request_class.repeatable,
        priority=request.request_class.priority,
        caller=request.caller,
        relay_host="",
    )
