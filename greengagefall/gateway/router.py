"""Routes a caller's request to the dispatcher of the server that should execute it."""

from __future__ import annotations

import asyncio
import logging
import random
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.gateway import outcomes
from greengagefall.gateway.outcomes import Refusal
from greengagefall.gateway.peers import NO_PEER_MEMORY, UNREACHABLE
from greengagefall.gateway.pool_choice import DispatcherLoads
from greengagefall.gateway.quota_check import check_quota
from greengagefall.gateway.request_checks import check_request
from greengagefall.limits.retry_budget import RetryBudget
from greengagefall.limits.stop_admission import StopAdmission
from greengagefall.protocol.gateway_messages import Dispatch, Dispatched, NotDispatched
from greengagefall.utils.metrics import count
from greengagefall.utils.waiting import wait_until
from greengagefall.workspaces.fair_priority import FairPriorities

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.gateway.model import CallerRequest, Route, Service
    from greengagefall.gateway.peers import Peers
    from greengagefall.gateway.view import ClusterView
    from greengagefall.quotas.gate import QuotaGate
    from greengagefall.utils.clock import Clock
    from greengagefall.workspaces.directory import Workspace

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Margin after the deadline, so that the dispatcher's own outcome arrives before the call times out.
REPLY_MARGIN_S = 0.2
# Bounds all attempts of a request. Those that reach no server cost little and count neither against
# the route's max_attempts nor against the retry budget.
MAX_ATTEMPTS = 4
REROUTE_PAUSE_S = 0.03
# Longest wait for another dispatcher after the present one refused because its host is stopping.
TAKEOVER_WAIT_S = 0.5


class Answer(NamedTuple):
    """A backend server's answer for the caller."""

    status: int
    headers: list[list[str]]
    body: bytes


class _Target(NamedTuple):
    """Where a request is sent; the server id is empty if the dispatcher chooses a server."""

    host: str
    server_id: str


class _Pool(NamedTuple):
    """The dispatchers of a service without keys.

    Attributes:
        slots: Slots of the usable servers that each host dispatches.
        same_zone_hosts: Hosts that dispatch servers in this host's zone.
    """

    slots: dict[str, int]
    same_zone_hosts: set[str]


class Router:
    """Finds owner and dispatcher, sends the request, and retries where that is safe.

    Args:
        view: Cluster view of this host.
        peers: Calls to other hosts.
        clock: Clock that counts suspended time.
        request_update: Called when a dispatcher has a newer assignment than this host.
        stop: Which requests are taken while this host stops; by default it never stops.
        quota_gate: Permits for requests of workspaces with a limit; None if nothing is limited.
    """

    def __init__(
        self,
        view: ClusterView,
        peers: Peers,
        clock: Clock,
        request_update: Callable[[], None] = lambda: None,
        stop: StopAdmission | None = None,
        quota_gate: QuotaGate | None = None,
    ) -> None:
        self._view = view
        self._peers = peers
        self._clock = clock
        self._request_update = request_update
        self._stop = stop or StopAdmission(clock)
        self._quota_gate = quota_gate
        self._dispatcher_loads = DispatcherLoads(clock)
        self._budgets: dict[str, RetryBudget] = {}
        self._pools: dict[str, _Pool] = {}
        view.add_listener(self._pools.clear)
        self._random = random.Random()
        self._priorities = FairPriorities(clock, self._random)

    async def route(self, request: CallerRequest) -> Answer | Refusal:
        """Returns a server's answer, or the refusal if there is none."""
        started_s = self._clock.now_s()
        table = self._view.routing_table
        if not table.version:
            return outcomes.refusal(outcomes.NO_CONFIG)
        admitted = check_request(table, request, self._random)
        if isinstance(admitted, Refusal):
            return self._with_state(admitted)
        request, route, service, workspace = admitted
        deadline_s = started_s + min(request.timeout_s, route.timeout_s)
        if not self._stop.accepts(deadline_s):
            return outcomes.refusal(outcomes.STOPPING)
        over = await check_quota(
            self._quota_gate, workspace, request, deadline_s - self._clock.now_s()
        )
        if over is not None:
            return Refusal(over.reason, over.retry_after_ms)
        self._budget(service.name).on_first_attempt()
        route = self._with_fair_priority(route, workspace)
        outcome = None
        try:
            outcome = await self._attempt_until_final(
                request, route, service, started_s, deadline_s, workspace
            )
        finally:
            # Not served as well if the caller gave up.
            self._priorities.record(workspace, isinstance(outcome, Answer))
        return outcome

    def _with_fair_priority(self, route: Route, workspace: Workspace | None) -> Route:
        """Returns the route with the priority that is fair to the other workspaces."""
        priority = self._priorities.choose(route.priority, workspace)
        if priority == route.priority:
            return route
        change = "raised" if priority < route.priority else "lowered"
        count("priority_changes", change=change)
        return route._replace(priority=priority)

    def _with_state(self, refusal: Refusal) -> Refusal:
        """Adds the configuration in force and its age to what is logged of a refusal."""
        state = (
            ("configuration", self._view.routing_table.version),
            ("store_lag_s", round(self._view.store_lag_s(), 3)),
        )
        return refusal._replace(inputs=(*refusal.inputs, *state))

    async def _attempt_until_final(
        self,
        request: CallerRequest,
        route: Route,
        service: Service,
        started_s: float,
        deadline_s: float,
        workspace: Workspace | None = None,
    ) -> Answer | Refusal:
        """Makes attempts until one is answered or no other one is allowed.

        If an attempt may have been executed, a later refusal must not say "not executed".
        """
        sends = 0
        attempts = 0
        unknown: NotDispatched | None = None
        while True:
            attempts += 1
            target = self._target(request, service)
            if isinstance(target, NotDispatched):
                outcome = target
            else:
                outcome = await self._send(request, route, service, target, started_s, deadline_s)
            if isinstance(outcome, Dispatched):
                return Answer(outcome.status, outcome.headers, outcome.body)
            sends += outcome.sent
            if unknown is None and not outcome.not_run:
                unknown = outcome
            if outcome.reason == outcomes.NOT_OWNER:
                self._request_update()
            remaining_s = deadline_s - self._clock.now_s()
            retry = (
                attempts < MAX_ATTEMPTS
                and remaining_s > REROUTE_PAUSE_S
                and self._stop.fits(deadline_s)
                and self._may_repeat(route, service, outcome, sends)
                and await self._has_permit(request, workspace, outcome, remaining_s)
            )
            self._log(request, route, service, outcome, attempts, retry)
            if not retry:
                return self._final(request, outcome, unknown)
            await asyncio.sleep(REROUTE_PAUSE_S * (1 + self._random.random()))
            if outcome.reason != outcomes.STOPPING:
                continue
            wait_s = min(TAKEOVER_WAIT_S, deadline_s - self._clock.now_s())
            if not await wait_until(partial(self._moved, request, service, target), wait_s):
                return self._final(request, outcome, unknown)

    def _final(
        self, request: CallerRequest, outcome: NotDispatched, unknown: NotDispatched | None
    ) -> Refusal:
        """Returns the refusal for the caller.

        Args:
            request: The caller's request.
            outcome: The outcome of the last attempt.
            unknown: The first attempt that may have been executed, None if there is none.
        """
        if unknown is None or not outcome.not_run:
            return Refusal(outcome.reason, outcome.retry_after_ms)
        count("unknown_before_refusal", reason=outcome.reason)
        log.info(
            "Last attempt was refused, but an earlier one may have been executed.",
            extra={
                "request_id": request.request_id,
                "reason": outcome.reason,
                "earlier_reason": unknown.reason,
                "earlier_server": unknown.server_id,
            },
        )
        return Refusal(unknown.reason, 0)

    def _may_repeat(
        self, route: Route, service: Service, outcome: NotDispatched, sends: int
    ) -> bool:
        """Returns whether another attempt is safe, within the retry budget and may succeed."""
        if not outcome.not_run and not route.idempotent:
            return False
        row = outcomes.OUTCOMES[outcome.reason]
        if outcome.not_run and not row.retryable:
            return False
        if not outcome.sent:
            return True
        return sends < route.max_attempts and self._budget(service.name).try_spend()

    async def _has_permit(
        self,
        request: CallerRequest,
        workspace: Workspace | None,
        outcome: NotDispatched,
        timeout_s: float,
    ) -> bool:
        """Returns whether the quota allows another attempt; one that may have run used a permit."""
        if outcome.not_run:
            return True
        return await check_quota(self._quota_gate, workspace, request, timeout_s) is None

    async def _send(
        self,
        request: CallerRequest,
        route: Route,
        service: Service,
        target: _Target,
        started_s: float,
        deadline_s: float,
    ) -> Dispatched | NotDispatched:
        host, server_id = target
        record = self._view.hosts.get(host)
        now_s = self._clock.now_s()
        message = Dispatch(
            0,
            request.request_id,
            service.name,
            server_id,
            request.key,
            request.method,
            request.host_name,
            request.target,
            request.headers,
            request.body,
            max(1, int((deadline_s - now_s) * MS_PER_S)),
            max(1, int((started_s + route.objective_s - now_s) * MS_PER_S)),
            route.idempotent,
            route.priority,
            route.name if record is not None and record.reads_kinds else "",
        )
        reply = await self._peers.call(host, message, deadline_s - now_s + REPLY_MARGIN_S)
        if isinstance(reply, (Dispatched, NotDispatched)):
            if not service.keyed:
                self._dispatcher_loads.record_reply(service.name, host, reply)
            return reply
        if reply is UNREACHABLE:
            self._dispatcher_loads.record_unreachable(service.name, host)
            return outcomes.failure(outcomes.DISPATCHER_UNREACHABLE)
        if reply is NO_PEER_MEMORY:
            return outcomes.failure(outcomes.NO_PEER_MEMORY)
        return outcomes.failure(outcomes.OUTCOME_UNKNOWN, sent=True)

    def _moved(self, request: CallerRequest, service: Service, before: _Target) -> bool:
        """Returns whether another host would get the request now."""
        target = self._target(request, service)
        return isinstance(target, _Target) and target.host != before.host

    def _target(self, request: CallerRequest, service: Service) -> _Target | NotDispatched:
        """Returns where to send a request now, or why that is unknown."""
        assignment = self._view.assignment
        if service.keyed:
            key_range = assignment.find_key_range(service.name, request.key)
            if key_range is None:
                return outcomes.failure(outcomes.NO_OWNER)
            dispatching = assignment.dispatchers.get(key_range.owner.server_id)
            if dispatching is None:
                return outcomes.failure(outcomes.NO_DISPATCHER)
            return _Target(dispatching.dispatcher.host, key_range.owner.server_id)
        pool = self._pool(service.name)
        host = self._dispatcher_loads.choose(service.name, pool.slots, pool.same_zone_hosts)
        if host is None:
            return outcomes.failure(outcomes.NO_SERVER)
        return _Target(host, "")

    def _pool(self, service: str) -> _Pool:
        """Returns the dispatchers of a service without keys, built anew after each change."""
        pool = self._pools.get(service)
        if pool is not None:
            return pool
        slots: dict[str, int] = {}
        same_zone_hosts: set[str] = set()
        for entry in self._view.servers.values():
            dispatching = self._view.assignment.dispatchers.get(entry.server_id)
            if entry.service != service or dispatching is None or not self._view.is_usable(entry):
                continue
            host = dispatching.dispatcher.host
            slots[host] = slots.get(host, 0) + entry.slots
            if entry.zone == self._view.settings.zone:
                same_zone_hosts.add(host)
        pool = self._pools[service] = _Pool(slots, same_zone_hosts)
        return pool

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._view.settings.limits
            hosts = max(1, len(self._view.hosts))
            budget = RetryBudget(limits.retry_ratio / 2, max(1.0, limits.retry_extra / 2 / hosts))
            self._budgets[service] = budget
        return budget

    def _log(
        self,
        request: CallerRequest,
        route: Route,
        service: Service,
        outcome: NotDispatched,
        attempts: int,
        retry: bool,
    ) -> None:
        if retry:
            count("retries", reason=outcome.reason)
        log.info(
            "Request attempt failed.",
            extra={
                "request_id": request.request_id,
                "service": service.name,
                "priority": route.priority,
                "key": request.key,
                "server": outcome.server_id,
                "reason": outcome.reason,
                "sent": outcome.sent,
                "try": attempts,
                "again": retry,
                "version": self._view.assignment.version,
                "configuration": self._view.routing_table.version,
            },
        )
