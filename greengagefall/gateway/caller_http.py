"""HTTP interface for callers: reads a request, routes it and writes the answer or refusal."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from greengagefall.gateway import outcomes
from greengagefall.gateway.caller_body import ROOM_CHECK_S, ROOM_WAIT_S
from greengagefall.gateway.caller_connections import CallerConnections
from greengagefall.gateway.outcomes import Refusal
from greengagefall.gateway.router import Answer
from greengagefall.memory.budget import SERVER_ANSWERS
from greengagefall.platform import requests as headers
from greengagefall.utils.http_writing import write_message
from greengagefall.utils.metrics import count, observe_ms
from greengagefall.utils.supervision import log_failure
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerRequest

    from greengagefall.gateway.caller_body import RequestReader
    from greengagefall.gateway.model import CallerRequest
    from greengagefall.gateway.router import Router
    from greengagefall.memory.client_limits import ClientLimits
    from greengagefall.memory.host_memory import HostMemory
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Retry-After is extended by a random share of up to this much, so that callers that were refused at
# the same time do not retry at the same time.
RETRY_SPREAD = 0.5
BODILESS = frozenset({204, 304})


class CallerServer:
    """Serves callers on one address.

    Args:
        address: ``IP:port`` to listen on.
        router: Routes requests to servers.
        clock: Clock that counts suspended time.
        memory: What decides on the memory of callers.
        read_limits: Returns the limits of the configuration in force, None without one.

    Attributes:
        closing_connections: Whether answers ask callers to close the connection.
    """

    def __init__(
        self,
        address: str,
        router: Router,
        clock: Clock,
        memory: HostMemory,
        read_limits: Callable[[], ClientLimits | None],
    ) -> None:
        self._router = router
        self._clock = clock
        self._random = random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._routing: set[asyncio.Future] = set()
        self._ended = False
        self._account = memory.account
        self._decisions = memory.decisions
        self._server = CallerConnections(address, self, memory, clock, read_limits)
        self.closing_connections = False

    def start(self) -> None:
        """Opens the port."""
        self._server.start_serving()

    async def drain(self, timeout_s: float) -> bool:
        """Waits until no request is read, in progress or written; returns if that was in time."""
        return await wait_until(lambda: not self._tasks and not self._server.busy, timeout_s)

    def end_requests(self) -> None:
        """Ends the requests in progress; their answers say that they may have been executed."""
        self._ended = True
        for work in list(self._routing):
            work.cancel()

    async def close(self) -> None:
        """Closes the port and all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def on_request(self, reader: RequestReader) -> None:
        """Serves a complete request."""
        self._server.serve_body(reader)
        task = asyncio.create_task(self._serve_and_free(reader), name="serve")
        self._tasks.add(task)
        task.add_done_callback(log_failure)
        task.add_done_callback(self._tasks.discard)

    def on_refusal(self, reader: RequestReader, reason: str) -> None:
        """Writes the refusal of a request that was not passed on; the reader finishes it."""
        request = reader.request
        self._server.close_after_answer(request.connection)
        caller_request = headers.read_caller_request(request)
        refusal = Refusal(reason, outcomes.OUTCOMES[reason].retry_after_ms)
        count("refusals", reason=reason)
        # Unlike refusals of routed requests, these are logged at a bounded rate.
        self._decisions.record(
            "refused",
            reason,
            request_id=caller_request.request_id,
            read_bytes=reader.size_bytes,
            connections=self._server.connections,
        )
        self._write_refusal(request, caller_request, refusal, finish=False)

    async def _serve_and_free(self, reader: RequestReader) -> None:
        try:
            await self._serve(reader.request)
        finally:
            # Reference cycles may keep the request for a while.
            reader.request.body = b""
            reader.body.close()

    async def _serve(self, request: HTTPServerRequest) -> None:
        started_s = self._clock.now_s()
        caller_request = headers.read_caller_request(request)
        work = asyncio.ensure_future(self._router.route(caller_request))
        self._routing.add(work)
        work.add_done_callback(self._routing.discard)
        request.connection.set_close_callback(work.cancel)
        try:
            outcome = await work
        except Exception:
            log.exception(
                "Routing a request failed; it may have been executed.",
                extra={"request_id": caller_request.request_id},
            )
            count("routing_errors")
            outcome = Refusal(outcomes.OUTCOME_UNKNOWN, 0)
        except asyncio.CancelledError:
            if not work.cancelled():
                raise
            if self._ended:
                took_ms = (self._clock.now_s() - started_s) * MS_PER_S
                self._refuse(request, caller_request, Refusal(outcomes.OUTCOME_UNKNOWN, 0), took_ms)
                return
            count("callers_left")
            log.info(
                "Caller disconnected before the answer.",
                extra={"request_id": caller_request.request_id},
            )
            return
        took_ms = (self._clock.now_s() - started_s) * MS_PER_S
        observe_ms("request_time_ms", took_ms)
        if isinstance(outcome, Answer):
            count("answers", status=str(outcome.status))
            log.debug(
                "Request answered.",
                extra={
                    "request_id": caller_request.request_id,
                    "status": outcome.status,
                    "took_ms": int(took_ms),
                },
            )
            if await self._hold_answer(request, len(outcome.body)):
                self._write(request, outcome.status, HTTPHeaders(), outcome.headers, outcome.body)
                return
            self._decisions.record(
                "refused",
                outcomes.ANSWER_DROPPED,
                request_id=caller_request.request_id,
                answer_bytes=len(outcome.body),
            )
            outcome = Refusal(outcomes.ANSWER_DROPPED, 0)
        self._refuse(request, caller_request, outcome, took_ms)

    async def _hold_answer(self, request: HTTPServerRequest, size_bytes: int) -> bool:
        """Takes the memory of an answer; returns False if there is no room for some time.

        Meanwhile it belongs to the part of the answers that are read from servers, which bounds the
        answers that wait.
        """
        if self._server.hold_answer(request.connection, size_bytes):
            return True
        if not self._account.reserve(SERVER_ANSWERS, size_bytes):
            return False
        deadline_s = self._clock.now_s() + ROOM_WAIT_S
        try:
            while self._clock.now_s() < deadline_s:
                await asyncio.sleep(ROOM_CHECK_S)
                if self._server.hold_answer(request.connection, size_bytes):
                    return True
        finally:
            self._account.release(SERVER_ANSWERS, size_bytes)
        return False

    def _refuse(
        self,
        request: HTTPServerRequest,
        caller_request: CallerRequest,
        refusal: Refusal,
        took_ms: float,
    ) -> None:
        row = outcomes.OUTCOMES[refusal.reason]
        count("refusals", reason=refusal.reason)
        retry_after_s = self._write_refusal(request, caller_request, refusal)
        log.info(
            "Request refused.",
            extra={
                **dict(refusal.inputs),
                "request_id": caller_request.request_id,
                "reason": refusal.reason,
                "status": row.http_status,
                "not_run": row.not_run,
                "retry_after_s": round(retry_after_s, 3),
                "took_ms": int(took_ms),
            },
        )

    def _write_refusal(
        self,
        request: HTTPServerRequest,
        caller_request: CallerRequest,
        refusal: Refusal,
        *,
        finish: bool = True,
    ) -> float:
        """Writes a refusal and returns the delay that it asks for, in seconds."""
        row = outcomes.OUTCOMES[refusal.reason]
        spread = 1 + RETRY_SPREAD * self._random.random()
        retry_after_s = refusal.retry_after_ms / MS_PER_S * spread
        own_headers = HTTPHeaders({"Content-Type": "application/json"})
        if row.not_run and refusal.retry_after_ms:
            own_headers["Retry-After"] = f"{retry_after_s:.3f}"
        body = {"reason": refusal.reason, "not_run": row.not_run}
        echoed = [[headers.REQUEST_ID_HEADER, caller_request.request_id]]
        text = json.dumps(body).encode()
        # Written in any case: it is small, and tells whether the request may have been executed.
        self._server.hold_answer(request.connection, len(text))
        self._write(request, row.http_status, own_headers, echoed, text, finish=finish)
        return retry_after_s

    def _write(
        self,
        request: HTTPServerRequest,
        status: int,
        own_headers: HTTPHeaders,
        other_headers: list[list[str]],
        body: bytes,
        *,
        finish: bool = True,
    ) -> None:
        for name, value in other_headers:
            own_headers.add(name, value)
        if self._server.nearly_full:
            self._server.close_after_answer(request.connection)
        if self.closing_connections or self._server.nearly_full or not finish:
            own_headers["Connection"] = "close"
        if status not in BODILESS:
            own_headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        chunk = None if request.method == "HEAD" or status in BODILESS else body
        try:
            write_message(request.connection, line, own_headers, chunk)
            if finish:
                request.connection.finish()
        except StreamClosedError:
            count("answers_undeliverable")
