"""Dispatcher of one backend server: admission, concurrency limit, sending, outcomes."""

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
    AnswerMismatchError,
    AnswerTimeoutError,
    AnswerTooLargeError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.dispatch.grant_keeper import GrantKeeper
from greengagefall.dispatch.outcome_cache import OutcomeCache
from greengagefall.dispatch.send_gate import SendGate
from greengagefall.dispatch.server_control import ServerControl
from greengagefall.dispatch.server_health import ServerHealth
from greengagefall.dispatch.server_http import (
    INCARNATION_HEADER,
    answer_message,
    answers_request,
    not_run_reason,
    server_request,
)
from greengagefall.dispatch.slices_in_flight import SlicesInFlight
from greengagefall.dispatch.slot_admission import SlotAdmission
from greengagefall.protocol import refusals
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.protocol.messages import Answer, Forward, Refusal, ServerStatus
from greengagefall.routing.model import KIND_KEYED
from greengagefall.utils.invariants import check
from greengagefall.utils.metrics import count, observe_ms
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.dispatch_right import DispatchRight
    from greengagefall.coordination.grants import GrantTracker
    from greengagefall.coordination.slice_map import SliceMap
    from greengagefall.dispatch.answer_memory import AnswerMemory
    from greengagefall.dispatch.connection_pool import HttpAnswer
    from greengagefall.dispatch.server_control import ControlReply
    from greengagefall.limits.concurrency import ConcurrencyLimit
    from greengagefall.routing.model import BackEnd, BackendServer, Limits
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
MAX_RENEWAL_WAIT_S = 0.3
RESOLVED_BY_RENEWAL = frozenset({refusals.NOT_CONFIRMED, refusals.NOT_GRANTED})
NOT_RELEASED_IN_FLIGHT = "in_flight"
NOT_RELEASED_EARLIER_DISPATCHER = "earlier_dispatcher"

Outcome = Answer | Refusal


class ServerDispatcher:
    """Sends requests to one backend server while this host holds its dispatch right.

    Args:
        back_end: Configuration of the back end.
        server: Configuration of the backend server.
        limits: Limits on requests and answers of callers.
        right: This host's dispatch right for the server.
        grant_tracker: Records when the grants of the server have certainly expired.
        slice_map: Returns the newest slice map of the back end.
        clock: Monotonic clock.
        on_state_change: Called when the health state of the server changes.
        answer_memory: Memory of the unfinished answers of all servers; None for no common limit.

    Attributes:
        gate: Decides whether a request may be sent now.
    """

    def __init__(
        self,
        back_end: BackEnd,
        server: BackendServer,
        limits: Limits,
        right: DispatchRight,
        grant_tracker: GrantTracker,
        slice_map: Callable[[], SliceMap | None],
        clock: Clock,
        on_state_change: Callable[[], None] | None = None,
        answer_memory: AnswerMemory | None = None,
    ) -> None:
        self.server_key = f"{back_end.name}/{server.name}"
        self.back_end = back_end
        self.server = server
        self.right = right
        self._limits = limits
        self._grant_tracker = grant_tracker
        self._slice_map = slice_map
        self._clock = clock
        self.health = ServerHealth(self.server_key, clock, on_change=on_state_change)
        self._pool = ConnectionPool(
            server.address, limits.answer_bytes, self._mark_unverified, answer_memory
        )
        self._control = ServerControl(server.address)
        self.grants = GrantKeeper(
            back_end.name,
            server.name,
            self._control,
            right,
            grant_tracker,
            self.health,
            slice_map,
            back_end.kind == KIND_KEYED,
            back_end.checks_orders,
            self._on_control_reply,
            clock,
        )
        self.gate = SendGate(
            server.name,
            back_end.kind == KIND_KEYED,
            right,
            self.health,
            self.grants,
            slice_map,
            clock,
        )
        self.admission = SlotAdmission(back_end, server, clock)
        self.meter = LoadMeter(server.slots, clock)
        self._outcome_cache = OutcomeCache(clock)
        self._slices_in_flight = SlicesInFlight()
        self._incarnation = ""
        self._unknown_at_s = float("-inf")
        self._awaiting_renewal = 0
        self._renewal_task: asyncio.Task | None = None
        self.accepting = True

    def start(self) -> None:
        """Starts the periodic renewal of the grant."""
        self._renewal_task = start_supervised(self.grants.run, "grant renewal")

    async def close(self) -> None:
        """Stops the renewal and closes all idle connections."""
        if self._renewal_task is not None:
            self._renewal_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._renewal_task
        self._pool.close()
        self._control.close()

    def can_update_in_place(self, back_end: BackEnd, server: BackendServer) -> bool:
        """Returns whether ``update`` can apply the new configuration.

        Only request classes, server states and the list of servers can change in place.
        """
        same_back_end = back_end._replace(servers={}, classes=()) == self.back_end._replace(
            servers={}, classes=()
        )
        return same_back_end and server._replace(state="") == self.server._replace(state="")

    def update(self, back_end: BackEnd, server: BackendServer, limits: Limits) -> None:
        """Applies a configuration for which ``can_update_in_place`` returned True."""
        self.back_end = back_end
        self.server = server
        self._limits = limits

    def in_flight(self) -> int:
        """Returns the number of requests that are queued or sent."""
        return self.limit.in_flight + self.admission.queued_count + self._awaiting_renewal

    @property
    def limit(self) -> ConcurrencyLimit:
        """Limit on requests in flight."""
        return self.admission.limit

    def status(self) -> ServerStatus:
        """Returns the status of the server for the coordinator and operators."""
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
        """Has a request executed and returns its outcome; expected failures are refusals."""
        self.meter.on_arrival(forward.slice_id)
        if forward.repeatable:
            return await self._submit_idempotent(forward)
        execution = self._outcome_cache.find(_request_key(forward))
        if execution is None:
            self._outcome_cache.begin(_request_key(forward))
            execution = asyncio.create_task(self._execute_once(forward))
        else:
            count("requests_joined", back_end=self.back_end.name)
        # Other callers may wait for the same execution, so a caller that disconnects must not
        # cancel it.
        outcome = await asyncio.shield(execution)
        return outcome._replace(call_id=forward.call_id)

    async def _submit_idempotent(self, forward: Forward) -> Outcome:
        try:
            return await self._admit(forward)
        except asyncio.CancelledError:
            asyncio.ensure_future(self._control.cancel(forward.request_id))
            raise

    async def _execute_once(self, forward: Forward) -> Outcome:
        outcome: Outcome = self._refuse(forward, refusals.OUTCOME_UNKNOWN)
        try:
            outcome = await self._admit(forward)
        finally:
            self._outcome_cache.end(_request_key(forward), outcome)
        return outcome

    def check_release(self, slice_bounds: list[list[int]], map_version: int) -> tuple[bool, str]:
        """Returns whether the server certainly holds none of these slices, and the reason.

        Args:
            slice_bounds: Pairs of first and last slice, all ``releasing`` in ``map_version``.
            map_version: Version of the slice map with this state.
        """
        if self._slices_in_flight.any_within(slice_bounds):
            return False, NOT_RELEASED_IN_FLIGHT
        slice_map = self._slice_map()
        state = ReleasePreconditions(
            may_send=self.right.may_send(),
            stored_version=self.right.stored_map_version(),
            map_version=slice_map.version if slice_map else 0,
        )
        bounds = [(first, last) for first, last in slice_bounds]
        released, reason = evaluate_release(self._grant_tracker, state, bounds, map_version)
        if reason == NOT_RELEASED_MAY_HOLD and not self.grants.takes_grants:
            return self._release_without_grants()
        return released, reason

    def _release_without_grants(self) -> tuple[bool, str]:
        # The server keeps no grant, so the proof is time: requests sent by an earlier dispatcher
        # and requests of unknown outcome must have reached their timeout.
        quiet_s = self._clock.now_s() - max(self.grants.right_since_s, self._unknown_at_s)
        if quiet_s * MS_PER_S >= self._limits.timeout_ms:
            return True, RELEASED_CONFIRMED
        return False, NOT_RELEASED_EARLIER_DISPATCHER

    def _mark_unverified(self) -> None:
        # After a lost connection, a new incarnation may answer at the same address.
        self.gate.incarnation_verified = False
        self.grants.request_renewal()

    def _on_control_reply(self, reply: ControlReply) -> None:
        changed = bool(self._incarnation) and reply.incarnation != self._incarnation
        self._incarnation = reply.incarnation
        self.gate.incarnation_verified = True
        self.admission.set_reported_busy(reply.busy)
        if changed or reply.cold:
            self.admission.on_cold_start()
        self.admission.admit_queued()

    async def _admit(self, forward: Forward) -> Outcome:
        if not self.accepting:
            return self._refuse(forward, refusals.STOPPING)
        deadline_s = self._clock.now_s() + forward.remaining_ms / MS_PER_S
        reason = await self._reason_after_renewal(forward)
        if reason:
            return self._refuse(forward, reason)
        if self.admission.has_free_slot():
            return await self._execute(forward, deadline_s)
        wait_reason = await self.admission.wait_for_slot(
            forward.caller, forward.priority, deadline_s
        )
        reason = wait_reason or self.gate.refusal_reason(forward.slice_id)
        if reason:
            self.admission.admit_queued()
            return self._refuse(forward, reason)
        return await self._execute(forward, deadline_s)

    async def _reason_after_renewal(self, forward: Forward) -> str:
        """Returns the refusal reason, after a renewal if the renewal may resolve it."""
        reason = self.gate.refusal_reason(forward.slice_id)
        if reason not in RESOLVED_BY_RENEWAL or self._awaiting_renewal >= self.back_end.queue_limit:
            return reason
        self._awaiting_renewal += 1
        try:
            await self.grants.wait_for_renewal(
                min(MAX_RENEWAL_WAIT_S, forward.remaining_ms / MS_PER_S)
            )
        finally:
            self._awaiting_renewal -= 1
        return self.gate.refusal_reason(forward.slice_id)

    async def _execute(self, forward: Forward, deadline_s: float) -> Outcome:
        if not self.limit.can_start():
            return self._refuse(forward, refusals.QUEUE_FULL)
        self.limit.on_start()
        self.meter.on_start()
        self._slices_in_flight.add(forward.slice_id)
        started_s = self._clock.now_s()
        outcome: Outcome | None = None
        try:
            outcome = await self._send_to_server(forward, deadline_s)
            return outcome
        finally:
            latency_ms = (self._clock.now_s() - started_s) * MS_PER_S
            self._slices_in_flight.remove(forward.slice_id)
            self._record_finish(outcome, latency_ms)
            self.admission.admit_queued()

    def _record_finish(self, outcome: Outcome | None, latency_ms: float) -> None:
        self.meter.on_finish(isinstance(outcome, Answer))
        if outcome is None or (isinstance(outcome, Refusal) and not outcome.not_run):
            self._unknown_at_s = self._clock.now_s()
        was_shed = isinstance(outcome, Refusal) and outcome.reason == refusals.SERVER_REFUSED
        if was_shed:
            self.limit.on_shed()
            return
        if outcome is None or (isinstance(outcome, Refusal) and outcome.not_run):
            # Either nothing was sent or the caller disconnected, so the latency says nothing about
            # the server.
            self.limit.on_cancelled()
            return
        self.limit.on_finish(latency_ms, isinstance(outcome, Answer))
        observe_ms("server_latency_ms", latency_ms, back_end=self.back_end.name)

    async def _send_to_server(self, forward: Forward, deadline_s: float) -> Outcome:
        remaining_s = deadline_s - self._clock.now_s()
        if remaining_s <= 0:
            return self._refuse(forward, refusals.DEADLINE_EXPIRED)
        slice_fence = self.grants.granted_fence(forward.slice_id) if forward.slice_id >= 0 else 0
        request = server_request(forward, remaining_s, self.right.fence, slice_fence)
        try:
            answer = await self._pool.exchange(
                request,
                remaining_s,
                lambda: self._may_send(forward),
                lambda answer: answers_request(forward, answer),
            )
        except SendRefusedError:
            return self._refuse(
                forward, self.gate.refusal_reason(forward.slice_id) or refusals.NOT_CONFIRMED
            )
        except NotSentError:
            self.health.on_failure()
            self._mark_unverified()
            return self._refuse(forward, refusals.SERVER_UNREACHABLE)
        except AnswerMismatchError:
            log.error(
                "Server %s answered with the id of another request. The answer is discarded; "
                "the request is refused as crossed_answer.",
                self.server_key,
            )
            return self._refuse(forward, refusals.CROSSED_ANSWER)
        except AnswerTimeoutError:
            return self._refuse(forward, refusals.TIMED_OUT)
        except AnswerTooLargeError:
            return self._refuse(forward, refusals.ANSWER_TOO_LARGE)
        except AnswerLostError:
            self.health.on_failure()
            self._mark_unverified()
            return self._refuse(forward, refusals.OUTCOME_UNKNOWN)
        return self._outcome(forward, answer)

    def _may_send(self, forward: Forward) -> bool:
        # Checks right, grant and limit once more, immediately before the first byte is sent.
        if self.gate.refusal_reason(forward.slice_id):
            return False
        check(
            self.limit.in_flight <= self.server.slots,
            "in_flight_within_limit",
            server=self.server_key,
            in_flight=self.limit.in_flight,
        )
        check(not self.gate.drain_grace_ended(), "no_work_after_leaving", server=self.server_key)
        return check(self.right.may_send(), "no_send_without_right", server=self.server_key)

    def _outcome(self, forward: Forward, answer: HttpAnswer) -> Outcome:
        incarnation = answer.headers.get(INCARNATION_HEADER)
        if incarnation and incarnation != self._incarnation:
            self.admission.on_cold_start()
            self._mark_unverified()
        server_reason = not_run_reason(answer)
        if server_reason:
            count("server_refusals", back_end=self.back_end.name, reason=server_reason)
            self.grants.request_renewal()
            return self._refuse(forward, refusals.SERVER_REFUSED)
        return answer_message(forward, answer, self.in_flight(), self.limit.latency_ms)

    def _refuse(self, forward: Forward, reason: str) -> Refusal:
        slice_map = self._slice_map()
        version = slice_map.version if slice_map else 0
        return make_refusal(
            forward.request_id, reason, call_id=forward.call_id, map_version=version
        )


def _request_key(forward: Forward) -> str:
    """Returns the key by which a resent request is recognized: its id, method and path."""
    return f"{forward.request_id} {forward.method} {forward.path}"
