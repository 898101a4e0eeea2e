"""Carries a caller's request to its backend server: tries, retries, hedges."""

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

# These say where to go instead; following them is no repeated load on a backend server.
REDIRECT_REASONS = frozenset({refusals.NOT_DISPATCHER, refusals.STALE_MAP, refusals.STOPPING})

# Waiting for these puts no load on a backend server, so it costs no retry budget.
WAIT_REASONS = frozenset(
    {refusals.SLICE_FREE, refusals.SLICE_MOVING, refusals.NO_DISPATCHER, refusals.STALE_MAP}
)

Outcome = Answer | Refusal


class Forwarder:
    """Runs the tries of one request within its deadline.

    Args:
        targets: Finds backend server and dispatcher of a request.
        transport: Sends one try.
        pools: Picking, ejection and hedging for pooled back ends.
        clock: Monotonic clock.
        retry_ratio: Retries allowed per first try.
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
        self._budget = RetryBudget(retry_ratio, RETRY_BURST)

    def set_retry_ratio(self, retry_ratio: float) -> None:
        """Takes a new share of retries."""
        self._budget = RetryBudget(retry_ratio, RETRY_BURST)

    async def forward(self, request: CallerRequest) -> Outcome:
        """Returns the whole answer, or the refusal of the last try."""
        self._budget.on_first_attempt()
        deadline_s = self._clock.now_s() + request.timeout_ms / MS_PER_S
        if request.back_end.kind == KIND_POOLED:
            outcome = await self._forward_hedged(request, deadline_s)
        else:
            outcome = await self._forward_tries(request, deadline_s, set())
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
        tried: set[str] = set()
        first = asyncio.ensure_future(self._forward_tries(request, deadline_s, tried))
        delay_ms = hedge.delay_ms(request.request_class.repeatable)
        try:
            if delay_ms is None:
                outcome = await first
            else:
                outcome = await self._race(request, deadline_s, first, tried, delay_ms)
        except asyncio.CancelledError:
            first.cancel()
            raise
        hedge.on_latency((self._clock.now_s() - started_s) * MS_PER_S)
        return outcome

    async def _race(
        self,
        request: CallerRequest,
        deadline_s: float,
        first: asyncio.Future[Outcome],
        tried: set[str],
        delay_ms: float,
    ) -> Outcome:
        done, _ = await asyncio.wait({first}, timeout=delay_ms / MS_PER_S)
        if done or not self._pools.hedge(request.back_end).try_spend():
            return await first
        check(request.request_class.repeatable, "no_second_send", request_id=request.request_id)
        count("hedges", back_end=request.back_end.name)
        second = asyncio.ensure_future(self._forward_tries(request, deadline_s, set(tried)))
        pending: set[asyncio.Future[Outcome]] = {first, second}
        outcomes: list[Outcome] = []
        try:
            while pending and not any(isinstance(one, Answer) for one in outcomes):
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                outcomes += [one.result() for one in done]
        finally:
            for loser in pending:
                loser.cancel()
        if second in done and isinstance(outcomes[-1], Answer):
            count("hedges_won", back_end=request.back_end.name)
        return _outcome_of_copies(outcomes)

    async def _forward_tries(
        self, request: CallerRequest, deadline_s: float, tried: set[str]
    ) -> Outcome:
        """Tries until an answer; the refusal of the last try speaks for all of them."""
        may_have_run = False

        def note(refusal: Refusal) -> None:
            nonlocal may_have_run
            may_have_run = may_have_run or not refusal.not_run

        outcome = await self._try_until(request, deadline_s, tried, note)
        if isinstance(outcome, Refusal) and outcome.not_run and may_have_run:
            return make_refusal(request.request_id, refusals.OUTCOME_UNKNOWN)
        return outcome

    async def _try_until(
        self,
        request: CallerRequest,
        deadline_s: float,
        tried: set[str],
        note: Callable[[Refusal], None],
    ) -> Outcome:
        redirects = 0
        last: Refusal | None = None
        for attempt in range(MAX_ATTEMPTS):
            left_ms = int((deadline_s - self._clock.now_s()) * MS_PER_S)
            if left_ms <= 0:
                break
            outcome = await self._try_once(request, left_ms, tried)
            if isinstance(outcome, Answer):
                return outcome
            last = outcome
            note(outcome)
            if not _may_retry(request, outcome):
                return outcome
            redirected = outcome.reason in REDIRECT_REASONS and redirects < MAX_REDIRECTS
            if redirected:
                redirects += 1
            elif outcome.reason not in WAIT_REASONS and not self._budget.try_spend():
                count("retries_refused", reason=outcome.reason)
                return outcome
            count("retries", reason=outcome.reason)
            if not await self._pause(attempt, outcome, redirected, deadline_s):
                return outcome
        return last or make_refusal(request.request_id, refusals.DEADLINE_EXPIRED)

    async def _pause(
        self, attempt: int, outcome: Refusal, redirected: bool, deadline_s: float
    ) -> bool:
        """Waits before the next try; returns False when the deadline comes first."""
        if redirected and outcome.hint_host:
            return True
        pause_ms = full_jitter(attempt, RETRY_BASE_MS, RETRY_CAP_MS, self._rng)
        pause_s = pause_ms / MS_PER_S
        if self._clock.now_s() + pause_s >= deadline_s:
            return False
        await asyncio.sleep(pause_s)
        return True

    async def _try_once(self, request: CallerRequest, left_ms: int, tried: set[str]) -> Outcome:
        found = self._targets.resolve(request, tried)
        if isinstance(found, Err):
            return make_refusal(request.request_id, found.err_value)
        target: Target = found.ok_value
        pooled = request.back_end.kind == KIND_POOLED
        if not pooled:
            outcome = await self._transport.send(target, _forward(request, target, left_ms))
            self._targets.record_outcome(target, outcome)
            return outcome
        tried.add(target.server)
        views = self._pools.begin_attempt(request.back_end, target.server)
        started_s = self._clock.now_s()
        outcome: Outcome | None = None
        try:
            outcome = await self._transport.send(target, _forward(request, target, left_ms))
        finally:
            views.end(outcome, (self._clock.now_s() - started_s) * MS_PER_S)
        self._targets.record_outcome(target, outcome)
        return outcome


def _outcome_of_copies(outcomes: list[Outcome]) -> Outcome:
    """Returns an answer, else a refusal that is true of every copy of a request."""
    answers = [one for one in outcomes if isinstance(one, Answer)]
    unknown = [one for one in outcomes if isinstance(one, Refusal) and not one.not_run]
    return [*answers, *unknown, *outcomes][0]


def _may_retry(request: CallerRequest, outcome: Refusal) -> bool:
    if outcome.not_run:
        return REFUSALS[outcome.reason].retryable
    return request.request_class.repeatable and outcome.reason != refusals.TIMED_OUT


def _forward(request: CallerRequest, target: Target, left_ms: int) -> Forward:
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
        remaining_ms=left_ms,
        repeatable=request.request_class.repeatable,
        priority=request.request_class.priority,
        caller=request.caller,
        relay_host="",
    )
