"""Queues requests for one backend server and sends them, on the host that dispatches it."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.dispatch.connection_pool import HttpAnswer, HttpRequest
from greengagefall.dispatch.exceptions import (
    AnswerLostError,
    AnswerMalformedError,
    AnswerMismatchError,
    AnswerTimeoutError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.gateway import outcomes
from greengagefall.gateway.grants import GrantManager
from greengagefall.gateway.model import NO_KEY
from greengagefall.gateway.server_health import ServerHealth
from greengagefall.gateway.server_knowledge import ALL_IS_KNOWN
from greengagefall.gateway.slot_waiting import ADMITTED, SlotWaiting
from greengagefall.limits.server_queue import ServerQueue
from greengagefall.limits.server_rate_limit import ServerRateLimit, logged_rate_per_s
from greengagefall.limits.stop_admission import StopAdmission
from greengagefall.limits.work_estimate import ServerWork, ServiceWork
from greengagefall.platform import requests as headers
from greengagefall.protocol.gateway_messages import Dispatched, NotDispatched
from greengagefall.utils.metrics import count, observe_ms
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from greengagefall.dispatch.connection_pool import ConnectionPool
    from greengagefall.gateway.model import ServerEntry, Service
    from greengagefall.gateway.server_knowledge import ServerKnowledge
    from greengagefall.limits.server_queue import QueuedDispatch
    from greengagefall.ownership.model import KeyRange
    from greengagefall.protocol.gateway_messages import Dispatch
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
PERCENT = 100.0
# Margin after the deadline: the server ends a request at the deadline by itself, and its answer
# arrives a little later.
ANSWER_MARGIN_S = 0.1
# Longest wait for keys that are being moved to the server.
GRANT_WAIT_S = 0.5
# A server that refused connections may have restarted and be cold.
SUSPECTED_COLD_S = 2.0
# HTTP statuses that do not show whether the server executed the request.
AMBIGUOUS_STATUSES = frozenset({408, 421, 429, 503})
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
OK = 200
SERVER_ERROR = 500
NO_SLOWDOWN = 1.0


class _Sent(NamedTuple):
    """What became of a request that had a slot.

    Attributes:
        outcome: The outcome for its router.
        slowdown: The slowdown that the server reported with its answer.
    """

    outcome: Dispatched | NotDispatched
    slowdown: float = NO_SLOWDOWN


class ServerChannel:
    """Queue, slots, connections and grants of one incarnation of a backend server.

    Args:
        entry: The server.
        service: Its service.
        clock: Clock that counts suspended time.
        pool: Connections to the server.
        knowledge: What this host knows of the server's process.
        stop: Which requests are sent while this host stops; by default it never stops.
        work: What this host knows of the work of the service's requests.

    Attributes:
        entry: Newest entry of the incarnation.
        incarnation: The incarnation of the server.
        queue: Queued requests and slots.
        health: Whether the server answers.
        rate_limit: The request rate that the server says it takes.
        admission_closed: Whether new requests are refused because the server restarted or its
            drain or evacuation time is over.
    """

    def __init__(
        self,
        entry: ServerEntry,
        service: Service,
        clock: Clock,
        pool: ConnectionPool,
        knowledge: ServerKnowledge = ALL_IS_KNOWN,
        stop: StopAdmission | None = None,
        work: ServiceWork | None = None,
    ) -> None:
        self.entry = entry
        self.incarnation = entry.incarnation
        work = ServerWork(work or ServiceWork(clock))
        self.queue = ServerQueue(entry.slots, clock, work)
        self.health = ServerHealth(clock)
        self.rate_limit = ServerRateLimit(clock)
        self.admission_closed = False
        self._service = service
        self._clock = clock
        self._pool = pool
        self._stop = stop or StopAdmission(clock)
        self._grants: GrantManager | None = None
        if service.keyed:
            self._grants = GrantManager(self.incarnation, pool, self.health, clock, knowledge)
            pool.on_idle_close = self._grants.on_connection_lost
        self._waiting = SlotWaiting(self.queue)
        self._probe_task: asyncio.Task | None = None
        self.update_entry(entry)

    @property
    def grants(self) -> GrantManager | None:
        """The server's grants; None for a service that is not keyed."""
        return self._grants

    @property
    def idle(self) -> bool:
        """Whether no request is queued or in flight."""
        return not self._waiting and self.queue.in_flight == 0

    @property
    def may_close(self) -> bool:
        """Whether closing loses no request and nothing that is known of the server's grants."""
        if self._grants is None:
            return self.idle
        return self.idle and not self._grants.in_force and not self._grants.notices.pending

    def start(self) -> None:
        """Starts to renew grants and to probe the server while it is down."""
        if self._grants is not None:
            self._grants.start()
        self._probe_task = start_supervised(self._probe, f"probe {self.incarnation.server_id}")

    def close(self) -> None:
        """Stops renewing grants, refuses queued requests and closes idle connections."""
        if self._grants is not None:
            self._grants.close()
        if self._probe_task is not None:
            self._probe_task.cancel()
        self._waiting.close()
        self._pool.close()

    def refuse_waiting(self) -> None:
        """Refuses all requests that wait for a slot, because the host exits."""
        self._waiting.refuse_keys(lambda _: True, outcomes.STOPPING)

    def update_entry(self, entry: ServerEntry) -> None:
        """Applies a newer entry of the same incarnation."""
        self.entry = entry
        self.queue.slots = entry.slots
        if entry.cold_remaining_s > 0:
            self.queue.set_cold(self._service.cold_rate_per_s, entry.cold_remaining_s)

    def take_over_rate_limit(self, rate_per_s: float) -> None:
        """Applies the rate limit that the server named to its former dispatcher."""
        self._set_rate_limit(rate_per_s, self._clock.now_s(), "former dispatcher")

    def set_key_ranges(self, key_ranges: list[KeyRange]) -> None:
        """Sets the server's key ranges; queued requests for other keys are refused as not_owner.

        Their routers then send them to the new owner.
        """
        if self._grants is None:
            return
        self._grants.set_key_ranges(key_ranges)
        self._waiting.refuse_keys(
            lambda key: key != NO_KEY and not self._grants.owns(key), outcomes.NOT_OWNER
        )

    def expected_finish_s(self, request: Dispatch) -> float:
        """Returns how long a request that arrives now would take, in seconds."""
        received_s = self._clock.now_s()
        deadline_s = received_s + request.remaining_ms / MS_PER_S
        item = self._waiting.queued_item(request, received_s, deadline_s)
        return self.queue.expected_wait_s(item) + self.queue.work.expected_s(request.kind)

    def load_percent(self) -> int:
        """Returns in-flight and queued requests per slot, in percent.

        A wait for the server's rate limits counts as the queue that would cause the same wait.
        """
        requests = self.queue.in_flight + len(self.queue)
        wait_s = self.queue.rate_wait_s(len(self.queue))
        slot_loads = [requests / self.queue.slots]
        if wait_s:
            slot_loads.append(1 + wait_s / self.queue.service_time_s)
        return int(PERCENT * max(slot_loads))

    async def submit(self, request: Dispatch, received_s: float) -> Dispatched | NotDispatched:
        """Has the server execute a request; returns its answer or the reason why there is none.

        Args:
            request: The request.
            received_s: When it arrived at this host.
        """
        deadline_s = received_s + request.remaining_ms / MS_PER_S
        keyed = self._grants is not None and request.key != NO_KEY
        if keyed:
            if not self._grants.owns(request.key):
                return self._refusal(request, outcomes.NOT_OWNER)
            wait_s = min(GRANT_WAIT_S, deadline_s - self._clock.now_s())
            if not await self._grants.wait_until_held(request.key, wait_s):
                return self._refusal(request, outcomes.NOT_GRANTED)
        if self.admission_closed:
            return self._refusal(request, outcomes.SERVER_LEAVING)
        admission = await self._waiting.admit(request, received_s, deadline_s)
        if admission.outcome == outcomes.QUEUE_FULL:
            return self._queue_refusal(request, admission.item)
        if admission.outcome != ADMITTED:
            return self._refusal(request, admission.outcome)
        return await self._execute(request, admission.item)

    async def _execute(self, request: Dispatch, item: QueuedDispatch) -> Dispatched | NotDispatched:
        """Sends a request that has a slot, and frees the slot when it has its outcome."""
        started_s = self._clock.now_s()
        send = asyncio.ensure_future(self._send(request, item.deadline_s))
        try:
            # A request that is not idempotent is not cancelled when its caller disconnects.
            sent = await (send if request.idempotent else asyncio.shield(send))
        except asyncio.CancelledError:
            if request.idempotent:
                self._waiting.finish(item)
            else:
                send.add_done_callback(lambda _: self._waiting.finish(item))
            raise
        except Exception:
            self._waiting.finish(item)
            raise
        duration_s = self._clock.now_s() - started_s
        self._record_work(item, sent, duration_s)
        observe_ms("server_time_ms", duration_s * MS_PER_S, service=self._service.name)
        return sent.outcome

    def _record_work(self, item: QueuedDispatch, sent: _Sent, duration_s: float) -> None:
        """Frees a slot; an answer that reports no error shows how long the work takes."""
        if not isinstance(sent.outcome, Dispatched) or sent.outcome.status >= SERVER_ERROR:
            self._waiting.finish(item)
            return
        error_s = abs(duration_s - self.queue.work.expected_s(item.kind))
        observe_ms("work_estimate_error_ms", error_s * MS_PER_S, service=self._service.name)
        self._waiting.finish(item, duration_s, sent.slowdown)

    async def _send(self, request: Dispatch, deadline_s: float) -> _Sent:
        """Sends a request and records what its answer shows of the server."""
        sent_s = self._clock.now_s()
        answer = await self._exchange(request, deadline_s)
        if isinstance(answer, NotDispatched):
            return _Sent(answer)
        metadata = headers.read_answer_metadata(answer.status, answer.headers)
        self.health.record_answer()
        if metadata.signed or metadata.not_run:
            rate_per_s = headers.read_max_rate_per_s(answer.headers)
            self._set_rate_limit(rate_per_s, sent_s, "answer")
        load = headers.read_load(answer.headers) if metadata.signed else None
        outcome = self._convert_answer(request, answer, metadata)
        if isinstance(outcome, Dispatched) and self._grants is not None:
            self._grants.on_request_executed(request.key, sent_s)
        return _Sent(outcome, NO_SLOWDOWN if load is None else load.slowdown_factor)

    async def _exchange(self, request: Dispatch, deadline_s: float) -> HttpAnswer | NotDispatched:
        """Returns the server's answer to a request, or why there is none."""
        remaining_s = deadline_s - self._clock.now_s()
        if remaining_s <= 0:
            return self._refusal(request, outcomes.DEADLINE_PASSED)
        if not self._stop.fits(deadline_s):
            return self._refusal(request, outcomes.STOPPING)
        message = self._http_request(request, remaining_s)

        def may_send() -> bool:
            if self.admission_closed or not self._stop.fits(deadline_s):
                return False
            return self._grants is None or self._grants.holds(request.key)

        try:
            return await self._pool.exchange(
                message, remaining_s + ANSWER_MARGIN_S, may_send, partial(_is_answer_to, request)
            )
        except SendRefusedError:
            fits = self._stop.fits(deadline_s)
            return self._refusal(request, outcomes.NOT_GRANTED if fits else outcomes.STOPPING)
        except NotSentError:
            self._on_connection_lost()
            self.health.record_failure(refused=True)
            self.queue.set_cold(self._service.cold_rate_per_s, SUSPECTED_COLD_S)
            return self._refusal(request, outcomes.SERVER_UNREACHABLE)
        except AnswerMismatchError:
            return self._refusal(request, outcomes.BAD_ANSWER, sent=True)
        except AnswerTimeoutError:
            self.health.record_failure()
            return self._refusal(request, outcomes.TIMED_OUT, sent=True)
        except AnswerLostError as error:
            self._on_connection_lost()
            self.health.record_failure()
            malformed = isinstance(error, AnswerMalformedError)
            reason = outcomes.BAD_ANSWER if malformed else outcomes.OUTCOME_UNKNOWN
            return self._refusal(request, reason, sent=True)

    def _http_request(self, request: Dispatch, remaining_s: float) -> HttpRequest:
        """Returns a request as the server gets it."""
        server_headers = headers.server_request_headers(
            request.host_name,
            request.request_id,
            request.headers,
            remaining_s,
            self.incarnation.server_id,
        )
        return HttpRequest(
            request.method, request.target, server_headers, request.body, request.request_id
        )

    def _set_rate_limit(self, rate_per_s: float, sent_s: float, learned_from: str) -> None:
        before_per_s = self.rate_limit.rate_per_s
        if not self.rate_limit.on_answer(rate_per_s, sent_s):
            return
        self.queue.set_rate_limit(rate_per_s)
        count("server_rate_limits", service=self._service.name)
        log.info(
            "Backend server's rate limit changed.",
            extra={
                "server": self.incarnation.server_id,
                "per_s": logged_rate_per_s(rate_per_s),
                "before_per_s": logged_rate_per_s(before_per_s),
                "from": learned_from,
                "in_flight": self.queue.in_flight,
                "waiting": len(self.queue),
            },
        )

    def _on_connection_lost(self) -> None:
        if self._grants is not None:
            self._grants.on_connection_lost()

    def _convert_answer(
        self, request: Dispatch, answer: HttpAnswer, metadata: headers.AnswerMetadata
    ) -> Dispatched | NotDispatched:
        """Converts the server's HTTP answer to the outcome for the caller."""
        if metadata.misdirected and self._grants is not None:
            self._grants.on_key_not_held(request.key)
        if metadata.not_run:
            count("server_refusals", status=str(answer.status))
            return self._refusal(request, outcomes.SERVER_REFUSED, sent=True)
        trusted = metadata.signed and metadata.request_id == request.request_id
        if answer.status in headers.SUCCESSES and not trusted:
            return self._refusal(request, outcomes.BAD_ANSWER, sent=True)
        if answer.status in AMBIGUOUS_STATUSES:
            return self._refusal(request, outcomes.OUTCOME_UNKNOWN, sent=True)
        return Dispatched(
            0,
            answer.status,
            headers.caller_answer_headers(answer.headers),
            answer.body,
            self.load_percent(),
        )

    def _queue_refusal(self, request: Dispatch, item: QueuedDispatch) -> NotDispatched:
        refusal = self._refusal(request, outcomes.QUEUE_FULL)
        retry_after_ms = int(self.queue.retry_after_s(item) * MS_PER_S)
        return refusal._replace(retry_after_ms=retry_after_ms)

    def _refusal(self, request: Dispatch, reason: str, *, sent: bool = False) -> NotDispatched:
        count("dispatch_failures", reason=reason)
        log.info(
            "Request not served by the backend server.",
            extra={
                "request_id": request.request_id,
                "server": self.incarnation.server_id,
                "key": request.key,
                "reason": reason,
                "in_flight": self.queue.in_flight,
                "waiting": len(self.queue),
                "service_time_ms": int(self.queue.service_time_s * MS_PER_S),
                "kind": request.kind,
                "expected_ms": int(self.queue.work.expected_s(request.kind) * MS_PER_S),
                "slowdown": round(self.queue.work.slowdown, 2),
            },
        )
        return outcomes.failure(
            reason,
            sent=sent,
            load_percent=self.load_percent(),
            server_id=self.incarnation.server_id,
        )

    async def _probe(self) -> None:
        """Calls the health check of a server that is down until it answers again."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self.health.up or not self.queue.try_take_tokens():
                continue
            request = HttpRequest("GET", self._service.health_path, [], b"")
            try:
                answer = await self._pool.exchange(request, PROBE_TIMEOUT_S, lambda: True)
            except (NotSentError, AnswerLostError):
                continue
            metadata = headers.read_answer_metadata(answer.status, answer.headers)
            if answer.status == OK and metadata.server_id == self.incarnation.server_id:
                self.health.record_answer()
                self.queue.set_cold(self._service.cold_rate_per_s, SUSPECTED_COLD_S)
                log.info(
                    "Backend server answers again; limiting it to its cold rate for now.",
                    extra={"server": self.incarnation.server_id},
                )


def _is_answer_to(request: Dispatch, answer: HttpAnswer) -> bool:
    """Returns whether an answer belongs to a request, by its id if it has one."""
    answered_id = headers.read_answer_metadata(answer.status, answer.headers).request_id
    if not answered_id:
        return answer.first_on_connection
    return answered_id == request.request_id
