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
from greengagefall.gateway.caller_connections import CallerConnections
from greengagefall.gateway.outcomes import Refusal
from greengagefall.gateway.router import Answer
from greengagefall.platform import requests as headers
from greengagefall.utils.http_writing import write_message
from greengagefall.utils.metrics import count, observe_ms
from greengagefall.utils.supervision import log_failure
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from greengagefall.gateway.model import CallerRequest
    from greengagefall.gateway.router import Router
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MAX_HEADER_BYTES = 256 * 1024
MAX_BODY_BYTES = 128 * 1024 * 1024
# Longer than any configuration asks for, so that a connection still in use is never closed.
IDLE_TIMEOUT_S = 3600.0
BODY_TIMEOUT_S = 60.0
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

    Attributes:
        closing_connections: Whether answers ask callers to close the connection.
    """

    def __init__(self, address: str, router: Router, clock: Clock) -> None:
        self._address = address
        self._router = router
        self._clock = clock
        self._random = random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._routing: set[asyncio.Future] = set()
        self._ended = False
        self._server = CallerConnections(
            self._on_request,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        self.closing_connections = False

    def start(self) -> None:
        """Opens the port."""
        host, _, port = self._address.rpartition(":")
        self._server.listen(int(port), address=host, backlog=1024)

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

    def _on_request(self, request: HTTPServerRequest) -> None:
        task = asyncio.create_task(self._serve(request), name="serve")
        self._tasks.add(task)
        task.add_done_callback(log_failure)
        task.add_done_callback(self._tasks.discard)

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
            self._write(request, outcome.status, HTTPHeaders(), outcome.headers, outcome.body)
            return
        self._refuse(request, caller_request, outcome, took_ms)

    def _refuse(
        self,
        request: HTTPServerRequest,
        caller_request: CallerRequest,
        refusal: Refusal,
        took_ms: float,
    ) -> None:
        row = outcomes.OUTCOMES[refusal.reason]
        count("refusals", reason=refusal.reason)
        spread = 1 + RETRY_SPREAD * self._random.random()
        retry_after_s = refusal.retry_after_ms / MS_PER_S * spread
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
        own_headers = HTTPHeaders({"Content-Type": "application/json"})
        if row.not_run and refusal.retry_after_ms:
            own_headers["Retry-After"] = f"{retry_after_s:.3f}"
        body = {"reason": refusal.reason, "not_run": row.not_run}
        echoed = [[headers.REQUEST_ID_HEADER, caller_request.request_id]]
        self._write(request, row.http_status, own_headers, echoed, json.dumps(body).encode())

    def _write(
        self,
        request: HTTPServerRequest,
        status: int,
        own_headers: HTTPHeaders,
        other_headers: list[list[str]],
        body: bytes,
    ) -> None:
        for name, value in other_headers:
            own_headers.add(name, value)
        if self.closing_connections:
            own_headers["Connection"] = "close"
        if status not in BODILESS:
            own_headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        chunk = None if request.method == "HEAD" or status in BODILESS else body
        try:
            write_message(request.connection, line, own_headers, chunk)
            request.connection.finish()
        except StreamClosedError:
            count("answers_undeliverable")
