"""The dispatcher of one backend server: admission, limits, sending, outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from greengagefall.balancing.load_meter import LoadMeter
from greengagefall.coordination.grants import (
    NOT_RELEASED_MAY_HOLD,
    RELEASED_CONFIRMED,
    ReleasePreconditions,
    evaluate_release,
)
from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.dispatch.exceptions import (
    AnswerLostError,
    AnswerTimeoutError,
    AnswerTooLargeError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.dispatch.grant_keeper import GrantKeeper
from greengagefall.dispatch.outcome_cache import OutcomeCache
from greengagefall.dispatch.server_control import ServerControl
from greengagefall.dispatch.server_health import DOWN, ServerHealth
from greengagefall.dispatch.server_http import (
    INCARNATION_HEADER,
    REQUEST_ID_HEADER,
    answer_message,
    not_run_reason,
    server_request,
)
from greengagefall.dispatch.slot_admission import SlotAdmission
from greengagefall.protocol import refusals
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.protocol.messages import Answer, Forward, Refusal, ServerStatus
from greengagefall.routing.model import KIND_KEYED
from greengagefall.utils.invariants import check
from greengagefall.utils.metrics import count, observe_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.dispatch_right import DispatchRight
    from greengagefall.coordination.grants import GrantTracker
    from greengagefall.coordination.slice_map import SliceMap
    from greengagefall.dispatch.connection_pool import HttpAnswer
    from greengagefall.dispatch.server_control import ControlReply
    from greengagefall.limits.concurrency import ConcurrencyLimit
    from greengagefall.routing.model import BackEnd, BackendServer, Limits
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
DRAIN_GRACE_S = 4.0
MAX_RENEWAL_WAIT_S = 0.3
RESOLVED_BY_RENEWAL = frozenset({refusals.NOT_CONFIRMED, refusals.NOT_GRANTED})
NOT_RELEASED_IN_FLIGHT = "in_flight"
NOT_RELEASED_EARLIER_DISPATCHER = "earlier_dispatcher"

Outcome = Answer | Refusal


class ServerDispatcher:
    """Takes requests for one backend server while this host may dispatch it.

    Args:
        back_end: Configuration of the back end.
        server: Configuration of the backend server.
        limits: Bounds on callers.
        right: This host's dispatch right for the server.
        ledger: When the server's grants have certainly ended.
        slice_map: Returns the newest slice map of the back end.
        clock: Monotonic clock.
        on_state: Called when the server's state changed.
    """

    def __init__(
        self,
        back_end: BackEnd,
        server: BackendServer,
        limits: Limits,
        right: DispatchRight,
        ledger: GrantTracker,
        slice_map: Callable[[], SliceMap | None],
        clock: Clock,
        on_state: Callable[[], None] | None = None,
    ) -> None:
        self.server_key = f"{back_end.name}/{server.name}"
        self.back_end = back_end
        self.server = server
        self.right = right
        self._limits = limits
        self._ledger = ledger
        self._slice_map = slice_map
        self._clock = clock
        self.health = ServerHealth(self.server_key, clock, on_change=on_state)
        self._pool = ConnectionPool(server.address, limits.answer_bytes, self._unconfirm)
        self._control = ServerControl(server.address)
        self.grants = GrantKeeper(
            back_end.name,
            server.name,
            self._control,
            right,
            ledger,
            self.health,
            slice_map,
            back_end.kind == KIND_KEYED,
            back_end.checks_orders,
            self._on_reading,
            clock,
        )
        self.admission = SlotAdmission(back_end, server, clock)
        self.meter = LoadMeter(server.slots, clock)
        self._memory = OutcomeCache(clock)
        self._slices_in_flight: dict[int, int] = {}
        self._incarnation = ""
        self._confirmed = False
        self._unknown_at_s = float("-inf")
        self._held = 0
        self._upkeep: asyncio.Task | None = None
        self._leaving_since_s: float | None = None
        self.accepting = True

    def start(self) -> None:
        """Starts renewing the grant."""
        self._upkeep = asyncio.create_task(self.grants.run())

    async def close(self) -> None:
        """Stops renewing and closes all idle connections."""
        if self._upkeep is not None:
            self._upkeep.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._upkeep
        self._pool.close()
        self._control.close()

    def can_update_in_place(self, back_end: BackEnd, server: BackendServer) -> bool:
        """Returns whether the new configuration differs in what can change in place."""
        same_back_end = back_end._replace(servers={}, classes=()) == self.back_end._replace(
            servers={}, classes=()
        )
        return same_back_end and server._replace(state="") == self.server._replace(state="")

    def update(self, back_end: BackEnd, server: BackendServer, limits: Limits) -> None:
        """Takes a configuration that ``can_update_in_place`` accepted."""
        self.back_end = back_end
        self.server = server
        self._limits = limits

    def set_draining(self, leaving: bool) -> None:
        """Notes whether the server is draining or its zone is out.

        It goes on serving for ``DRAIN_GRACE_S``, in which its slices find other owners.
        """
        if not leaving:
            self._leaving_since_s = None
        elif self._leaving_since_s is None:
            self._leaving_since_s = self._clock.now_s()

    def drain_grace_ended(self) -> bool:
        """Returns whether the server must get no new work."""
        since_s = self._leaving_since_s
        return since_s is not None and self._clock.now_s() - since_s >= DRAIN_GRACE_S

    def in_flight(self) -> int:
        """Returns the number of requests that wait or run."""
        return self.limit.in_flight + self.admission.waiting + self._held

    @property
    def limit(self) -> ConcurrencyLimit:
        """Limit on requests in flight."""
        return self.admission.limit

    def status(self) -> ServerStatus:
        """Returns what the coordinator and operators are told of the server."""
        load = self.meter.load(self.health.usable())
        return ServerStatus(
            self.server_key,
            self.health.state,
            self.health.in_state_s(),
            load.busy_share,
            self.limit.limit,
            load.offered_per_s,
            load.served_per_s,
        )

    async def submit(self, forward: Forward) -> Outcome:
        """Runs a request and returns its outcome; never raises for an expected failure."""
        self.meter.on_arrival(forward.slice_id)
        if forward.repeatable:
            return await self._submit_repeatable(forward)
        known = self._memory.find(_run_key(forward))
        if known is None:
            self._memory.begin(_run_key(forward))
            known = asyncio.create_task(self._run_remembered(forward))
        else:
            count("requests_joined", back_end=self.back_end.name)
        # A caller that leaves must not stop the run that others may have joined.
        outcome = await asyncio.shield(known)
        return outcome._replace(call_id=forward.call_id)

    async def _submit_repeatable(self, forward: Forward) -> Outcome:
        try:
            return await self._admit(forward)
        except asyncio.CancelledError:
            asyncio.ensure_future(self._control.cancel(forward.request_id))
            raise

    async def _run_remembered(self, forward: Forward) -> Outcome:
        outcome: Outcome = self._refuse(forward, refusals.OUTCOME_UNKNOWN)
        try:
            outcome = await self._admit(forward)
        finally:
            self._memory.end(_run_key(forward), outcome)
        return outcome

    def check_release(self, runs: list[list[int]], map_version: int) -> tuple[bool, str]:
        """Returns whether the server certainly holds none of these slices, and how or why not.

        Args:
            runs: Pairs of first and last slice, all ``releasing`` in ``map_version``.
            map_version: The slice map version that says so.
        """
        if self._any_in_flight(runs):
            return False, NOT_RELEASED_IN_FLIGHT
        slice_map = self._slice_map()
        state = ReleasePreconditions(
            may_send=self.right.may_send(),
            stored_version=self.right.stored_map_version(),
            map_version=slice_map.version if slice_map else 0,
        )
        bounds = [(first, last) for first, last in runs]
        released, how = evaluate_release(self._ledger, state, bounds, map_version)
        if how == NOT_RELEASED_MAY_HOLD and not self.grants.takes_grants:
            return self._unchecked_released()
        return released, how

    def _unchecked_released(self) -> tuple[bool, str]:
        # Such a server keeps no grant: what an earlier dispatcher sent, or what went without
        # an answer, must have ended.
        quiet_s = self._clock.now_s() - max(self.grants.right_since_s, self._unknown_at_s)
        if quiet_s * MS_PER_S >= self._limits.timeout_ms:
            return True, RELEASED_CONFIRMED
        return False, NOT_RELEASED_EARLIER_DISPATCHER

    def _any_in_flight(self, runs: list[list[int]]) -> bool:
        return any(
            first <= slice_id <= last for slice_id in self._slices_in_flight for first, last in runs
        )

    def _unconfirm(self) -> None:
        # After a lost connection another incarnation may answer on the address.
        self._confirmed = False
        self.grants.request_renewal()

    def _on_reading(self, reading: ControlReply) -> None:
        changed = bool(self._incarnation) and reading.incarnation != self._incarnation
        self._incarnation = reading.incarnation
        self._confirmed = True
        self.admission.set_reported_busy(reading.busy)
        if changed or reading.cold:
            self.admission.on_cold_start()
        self.admission.admit_waiting()

    async def _admit(self, forward: Forward) -> Outcome:
        if not self.accepting:
            return self._refuse(forward, refusals.STOPPING)
        deadline_s = self._clock.now_s() + forward.remaining_ms / MS_PER_S
        reason = await self._reason_after_renewal(forward)
        if reason:
            return self._refuse(forward, reason)
        if self.admission.has_free_slot():
            return await self._run(forward, deadline_s)
        waited = await self.admission.wait_for_slot(forward.caller, forward.priority, deadline_s)
        reason = waited or self._reason_against(forward)
        if reason:
            self.admission.admit_waiting()
            return self._refuse(forward, reason)
        return await self._run(forward, deadline_s)

    async def _reason_after_renewal(self, forward: Forward) -> str:
        """Returns why a request is refused; waits first where the next renewal may mend it."""
        reason = self._reason_against(forward)
        if reason not in RESOLVED_BY_RENEWAL or self._held >= self.back_end.queue_limit:
            return reason
        self._held += 1
        try:
            await self.grants.wait_for_renewal(
                min(MAX_RENEWAL_WAIT_S, forward.remaining_ms / MS_PER_S)
            )
        finally:
            self._held -= 1
        return self._reason_against(forward)

    def _reason_against(self, forward: Forward) -> str:
        if not self.right.may_send():
            return refusals.NOT_DISPATCHER
        if self.drain_grace_ended():
            return refusals.SERVER_DRAINING
        if self.health.state == DOWN:
            return refusals.SERVER_UNREACHABLE
        if not self._confirmed:
            self.grants.request_renewal()
            return refusals.NOT_CONFIRMED
        if self.back_end.kind != KIND_KEYED:
            return ""
        return self._reason_against_slice(forward.slice_id)

    def _reason_against_slice(self, slice_id: int) -> str:
        slice_map = self._slice_map()
        if slice_map is None:
            return refusals.SLICE_FREE
        run = slice_map.lookup(slice_id)
        if run.owner != self.server.name:
            return refusals.STALE_MAP
        if run.state != "owned":
            return refusals.SLICE_MOVING
        if not self.grants.takes_grants:
            return ""
        if self.grants.granted_fence(slice_id) == run.fence:
            return ""
        self.grants.request_renewal()
        return refusals.NOT_GRANTED

    async def _run(self, forward: Forward, deadline_s: float) -> Outcome:
        if not self.limit.can_start():
            return self._refuse(forward, refusals.QUEUE_FULL)
        self.limit.on_start()
        self.meter.on_start()
        self._enter(forward.slice_id)
        started_s = self._clock.now_s()
        outcome: Outcome | None = None
        try:
            outcome = await self._send(forward, deadline_s)
            return outcome
        finally:
            latency_ms = (self._clock.now_s() - started_s) * MS_PER_S
            self._leave(forward.slice_id)
            self._finish(outcome, latency_ms)
            self.admission.admit_waiting()

    def _finish(self, outcome: Outcome | None, latency_ms: float) -> None:
        self.meter.on_finish(isinstance(outcome, Answer))
        if outcome is None or (isinstance(outcome, Refusal) and not outcome.not_run):
            self._unknown_at_s = self._clock.now_s()
        shed = isinstance(outcome, Refusal) and outcome.reason == refusals.SERVER_REFUSED
        if shed:
            self.limit.on_shed()
            return
        if outcome is None or (isinstance(outcome, Refusal) and outcome.not_run):
            # Nothing was sent, or the caller left: it says nothing of the server.
            self.limit.on_cancelled()
            return
        self.limit.on_finish(latency_ms, isinstance(outcome, Answer))
        observe_ms("server_latency_ms", latency_ms, back_end=self.back_end.name)

    async def _send(self, forward: Forward, deadline_s: float) -> Outcome:
        left_s = deadline_s - self._clock.now_s()
        if left_s <= 0:
            return self._refuse(forward, refusals.DEADLINE_EXPIRED)
        slice_fence = self.grants.granted_fence(forward.slice_id) if forward.slice_id >= 0 else 0
        request = server_request(forward, left_s, self.right.fence, slice_fence)
        try:
            answer = await self._pool.exchange(request, left_s, lambda: self._may_send(forward))
        except SendRefusedError:
            return self._refuse(forward, self._reason_against(forward) or refusals.NOT_CONFIRMED)
        except NotSentError:
            self.health.on_failure()
            self._unconfirm()
            return self._refuse(forward, refusals.SERVER_UNREACHABLE)
        except AnswerTimeoutError:
            return self._refuse(forward, refusals.TIMED_OUT)
        except AnswerTooLargeError:
            return self._refuse(forward, refusals.ANSWER_TOO_LARGE)
        except AnswerLostError:
            self.health.on_failure()
            self._unconfirm()
            return self._refuse(forward, refusals.OUTCOME_UNKNOWN)
        return self._outcome(forward, answer)

    def _may_send(self, forward: Forward) -> bool:
        # The last check before the first byte: right, grant and limit at this moment.
        if self._reason_against(forward):
            return False
        check(
            self.limit.in_flight <= self.server.slots,
            "in_flight_within_limit",
            server=self.server_key,
            in_flight=self.limit.in_flight,
        )
        check(not self.drain_grace_ended(), "no_work_after_leaving", server=self.server_key)
        return check(self.right.may_send(), "no_send_without_right", server=self.server_key)

    def _outcome(self, forward: Forward, answer: HttpAnswer) -> Outcome:
        answered_id = answer.headers.get(REQUEST_ID_HEADER)
        if answered_id != forward.request_id:
            log.error(
                "Server %s answered with the id of another request. The answer is discarded; "
                "the request is refused as crossed_answer.",
                self.server_key,
            )
            return self._refuse(forward, refusals.CROSSED_ANSWER)
        incarnation = answer.headers.get(INCARNATION_HEADER)
        if incarnation and incarnation != self._incarnation:
            self.admission.on_cold_start()
            self._unconfirm()
        not_run = not_run_reason(answer)
        if not_run:
            count("server_refusals", back_end=self.back_end.name, reason=not_run)
            self.grants.request_renewal()
            return self._refuse(forward, refusals.SERVER_REFUSED)
        return answer_message(forward, answer, self.in_flight(), self.limit.latency_ms)

    def _refuse(self, forward: Forward, reason: str) -> Refusal:
        slice_map = self._slice_map()
        version = slice_map.version if slice_map else 0
        return make_refusal(
            forward.request_id, reason, call_id=forward.call_id, map_version=version
        )

    def _enter(self, slice_id: int) -> None:
        self._slices_in_flight[slice_id] = self._slices_in_flight.get(slice_id, 0) + 1

    def _leave(self, slice_id: int) -> None:
        left = self._slices_in_flight[slice_id] - 1
        if left:
            self._slices_in_flight[slice_id] = left
            return
        del self._slices_in_flight[slice_id]


def _run_key(forward: Forward) -> str:
    """Returns what makes two sendings the same request: its id, method and path."""
    return f"{forward.request_id} {forward.method} {forward.path}"
