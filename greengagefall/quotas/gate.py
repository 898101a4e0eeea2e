"""Lets requests of a workspace pass while this host has permits for them."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.gateway import outcomes
from greengagefall.protocol.gateway_messages import QuotaGranted, QuotaPermits
from greengagefall.quotas.arithmetic import PERMIT_VALIDITY_S, is_limited
from greengagefall.utils.metrics import count, observe_ms
from greengagefall.utils.supervision import log_failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Container

    from greengagefall.utils.clock import Clock
    from greengagefall.workspaces.directory import Workspace

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
LIMITER_TIMEOUT_S = 0.25
FALLBACK_TIMEOUT_S = 0.15
# A host that did not answer is not asked for this long.
SILENT_HOST_PAUSE_S = 0.5
# After the fallback host granted nothing, requests are refused without a call for this long.
UNAVAILABLE_PAUSE_S = 0.2
# Permits for the requests that are expected in this time are asked for with those that wait.
EXPECTED_S = 0.2
RATE_TIME_CONSTANT_S = 1.0


class QuotaDecision(NamedTuple):
    """Whether a request may pass.

    Attributes:
        granted: Whether it may.
        reason: Reason from ``outcomes`` if it may not.
        retry_after_ms: Time after which a retry may pass.
        source: What decided: none, stock, limiter, fallback, memory or timeout.
    """

    granted: bool
    reason: str = ""
    retry_after_ms: int = 0
    source: str = "none"


UNLIMITED = QuotaDecision(granted=True)


class _Reply(NamedTuple):
    """A reply that grants or refuses permits, and when its call was sent."""

    message: QuotaGranted
    sent_s: float
    source: str


class _Permit(NamedTuple):
    """A permit, the end of its validity on this host's clock, and who granted it."""

    valid_until_s: float
    source: str


class _Demand:
    """The rate at which requests of a workspace arrived recently."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._last_s = -math.inf

    def record(self, now_s: float) -> None:
        """Records a request."""
        self._rate_per_s = self._decayed_per_s(now_s) + 1.0 / RATE_TIME_CONSTANT_S
        self._last_s = now_s

    def expected(self, now_s: float) -> int:
        """Returns the requests that are expected within ``EXPECTED_S``."""
        return int(self._decayed_per_s(now_s) * EXPECTED_S)

    def _decayed_per_s(self, now_s: float) -> float:
        return self._rate_per_s * math.exp((self._last_s - now_s) / RATE_TIME_CONSTANT_S)


class _State:
    """What this host knows about the quota of one workspace.

    Attributes:
        workspace: The workspace with its limit.
        stock: Permits that are not in use.
        waiters: Requests that wait for a permit; each gets a ``_Permit`` or a ``QuotaDecision``.
        demand: Its rate of requests.
        exhausted_until_s: Time until which the limiter has no permits.
        unavailable_until_s: Time until which the fallback host is not asked again.
        task: Asks for permits; None while no request waits.
    """

    def __init__(self, workspace: Workspace) -> None:
        self.workspace = workspace
        self.stock: deque[_Permit] = deque()
        self.waiters: deque[asyncio.Future[Any]] = deque()
        self.demand = _Demand()
        self.exhausted_until_s = -math.inf
        self.unavailable_until_s = -math.inf
        self.task: asyncio.Task[None] | None = None


class QuotaGate:
    """Asks the limiter of a workspace, or the zone's fallback host, for permits.

    Args:
        call: Calls a host, as ``Peers.call``.
        limiter_of: Returns the host that is the limiter of a workspace, None if it is unknown.
        fallback_of: Returns the zone's fallback host for a workspace, None if it is unknown.
        clock: Clock that counts suspended time.
    """

    def __init__(
        self,
        call: Callable[[str, Any, float], Awaitable[Any]],
        limiter_of: Callable[[str], str | None],
        fallback_of: Callable[[str], str | None],
        clock: Clock,
    ) -> None:
        self._call = call
        self._limiter_of = limiter_of
        self._fallback_of = fallback_of
        self._clock = clock
        self._states: dict[str, _State] = {}
        self._silent_until_s: dict[str, float] = {}

    def close(self) -> None:
        """Ends all calls for permits; requests that wait for them are refused."""
        for state in self._states.values():
            if state.task is not None:
                state.task.cancel()

    def keep(self, names: Container[str]) -> None:
        """Forgets workspaces that no longer have a limit, unless requests wait for permits."""
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in names or state.task is not None
        }

    async def take(self, workspace: Workspace | None, timeout_s: float) -> QuotaDecision:
        """Takes a permit for one sending of a request; decides at once where no call is needed.

        Args:
            workspace: The request's workspace, None if it has none.
            timeout_s: How long the request may wait.
        """
        if workspace is None or not is_limited(workspace):
            return UNLIMITED
        started_s = self._clock.now_s()
        state = self._state(workspace)
        state.demand.record(started_s)
        decision = self._decide_at_once(state, started_s)
        if decision is None:
            decision = await self._wait(state, timeout_s)
            observe_ms("quota_wait_ms", (self._clock.now_s() - started_s) * MS_PER_S)
        outcome = "granted" if decision.granted else decision.reason
        count("quota_decisions", outcome=outcome, source=decision.source)
        return decision

    def _state(self, workspace: Workspace) -> _State:
        state = self._states.get(workspace.name)
        if state is None:
            state = self._states[workspace.name] = _State(workspace)
        elif state.workspace != workspace:
            # What is remembered about a former limit does not hold for a changed one.
            state.workspace = workspace
            state.exhausted_until_s = state.unavailable_until_s = -math.inf
        return state

    def _decide_at_once(self, state: _State, now_s: float) -> QuotaDecision | None:
        while state.stock:
            if now_s < state.stock.popleft().valid_until_s:
                return QuotaDecision(granted=True, source="stock")
            count("quota_permits_expired")
        if now_s < state.exhausted_until_s:
            return _refusal(outcomes.OVER_QUOTA, state.exhausted_until_s - now_s, "memory")
        if now_s < state.unavailable_until_s:
            return _refusal(outcomes.QUOTA_UNAVAILABLE, 0.0, "memory")
        return None

    async def _wait(self, state: _State, timeout_s: float) -> QuotaDecision:
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        state.waiters.append(future)
        if state.task is None:
            state.task = asyncio.create_task(self._ask(state), name="quota permits")
            state.task.add_done_callback(log_failure)
            state.task.add_done_callback(partial(_refuse_rest, state))
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                result = await future
        except TimeoutError:
            return _refusal(outcomes.QUOTA_UNAVAILABLE, 0.0, "timeout")
        if isinstance(result, QuotaDecision):
            return result
        # The process may have been suspended since the reply was read.
        if self._clock.now_s() >= result.valid_until_s:
            count("quota_permits_expired")
            return _refusal(outcomes.QUOTA_UNAVAILABLE, 0.0, result.source)
        return QuotaDecision(granted=True, source=result.source)

    async def _ask(self, state: _State) -> None:
        """Asks for permits until no request waits; one call at a time for each workspace."""
        while True:
            state.waiters = deque(future for future in state.waiters if not future.done())
            asked = len(state.waiters)
            if not asked:
                state.task = None
                return
            reply = await self._request(state, asked)
            self._distribute(state, reply, asked)

    async def _request(self, state: _State, needed: int) -> _Reply | None:
        """Asks the limiter, or the fallback host if there is no answer; None without either."""
        name = state.workspace.name
        limiter = self._limiter_of(name)
        if limiter is not None:
            expected = state.demand.expected(self._clock.now_s())
            message = QuotaPermits(0, name, needed, expected, fallback=False)
            reply = await self._call_one(limiter, message, LIMITER_TIMEOUT_S, "limiter")
            if reply is not None:
                return reply
        count("quota_fallbacks")
        fallback = self._fallback_of(name)
        if fallback is None:
            return None
        message = QuotaPermits(0, name, needed, 0, fallback=True)
        return await self._call_one(fallback, message, FALLBACK_TIMEOUT_S, "fallback")

    async def _call_one(
        self, host: str, message: QuotaPermits, timeout_s: float, source: str
    ) -> _Reply | None:
        """Asks a host; returns None if it does not answer in time or is not responsible."""
        sent_s = self._clock.now_s()
        if sent_s < self._silent_until_s.get(host, -math.inf):
            return None
        reply = await self._call(host, message, timeout_s)
        if not isinstance(reply, QuotaGranted):
            self._silent_until_s[host] = self._clock.now_s() + SILENT_HOST_PAUSE_S
            log.info(
                "Host that counts for a workspace does not answer.",
                extra={"workspace": message.workspace, "peer": host, "source": source},
            )
            return None
        if not reply.responsible:
            return None
        if self._clock.now_s() >= sent_s + PERMIT_VALIDITY_S:
            count("quota_permits_expired", reply.granted)
            return None
        return _Reply(reply, sent_s, source)

    def _distribute(self, state: _State, reply: _Reply | None, asked: int) -> None:
        """Gives permits to the requests that wait, and keeps the others.

        Args:
            state: The workspace.
            reply: The reply, None if there is none.
            asked: Number of the first waiters for which the call asked; later ones are not refused.
        """
        permits = 0 if reply is None else reply.message.granted
        while state.waiters and (permits or asked > 0):
            future = state.waiters.popleft()
            asked -= 1
            if future.done():
                continue
            if permits:
                permits -= 1
                future.set_result(_Permit(reply.sent_s + PERMIT_VALIDITY_S, reply.source))
            else:
                future.set_result(self._refuse(state, reply))
        if permits:
            state.stock.extend([_Permit(reply.sent_s + PERMIT_VALIDITY_S, "stock")] * permits)

    def _refuse(self, state: _State, reply: _Reply | None) -> QuotaDecision:
        """Remembers that there are no permits and returns the refusal."""
        now_s = self._clock.now_s()
        if reply is None or reply.source == "fallback":
            state.unavailable_until_s = now_s + UNAVAILABLE_PAUSE_S
            return _refusal(
                outcomes.QUOTA_UNAVAILABLE, 0.0, "none" if reply is None else reply.source
            )
        # Counted from the sending, so that it never ends after the time that the limiter meant.
        state.exhausted_until_s = reply.sent_s + reply.message.retry_after_ms / MS_PER_S
        return _refusal(outcomes.OVER_QUOTA, state.exhausted_until_s - now_s, reply.source)


def _next_waiter(state: _State) -> asyncio.Future[Any] | None:
    while state.waiters:
        future = state.waiters.popleft()
        if not future.done():
            return future
    return None


def _refuse_rest(state: _State, task: asyncio.Task) -> None:
    """Refuses the requests that wait for a task that failed or was cancelled."""
    if not task.cancelled() and task.exception() is None:
        return
    state.task = None
    while (future := _next_waiter(state)) is not None:
        future.set_result(_refusal(outcomes.QUOTA_UNAVAILABLE, 0.0, "none"))


def _refusal(reason: str, retry_after_s: float, source: str) -> QuotaDecision:
    retry_after_ms = int(retry_after_s * MS_PER_S) or outcomes.OUTCOMES[reason].retry_after_ms
    return QuotaDecision(False, reason, max(1, retry_after_ms), source)
