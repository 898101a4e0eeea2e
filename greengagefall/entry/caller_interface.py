"""HTTP interface for callers: reads a request, forwards it and writes the outcome."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from result import Err
from tornado.httpserver import HTTPServer

from greengagefall.entry.http_answers import write_answer, write_refusal
from greengagefall.entry.request import read_request
from greengagefall.limits.caller_share import CallerLimiter
from greengagefall.limits.stop_admission import StopAdmission
from greengagefall.protocol import refusals
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.protocol.messages import Answer
from greengagefall.utils.metrics import count, observe_ms
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from greengagefall.entry.admin import Admin
    from greengagefall.entry.forwarder import Forwarder
    from greengagefall.entry.host_state import HostState
    from greengagefall.entry.request import CallerRequest
    from greengagefall.protocol.messages import Refusal
    from greengagefall.routing.model import RoutingConfig
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# These limits exceed those that a configuration allows, so that this host itself refuses an
# oversized request and can give a reason.
MAX_HEADER_BYTES = 128 * 1024
MAX_BODY_BYTES = 80 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 120.0
MS_PER_S = 1000.0
ADMIN_PREFIX = "/.greengagefall/"


class CallerInterface:
    """HTTP server for callers and, under its own prefix, for operators.

    Args:
        listen: ``IP:port`` to listen on.
        state: Documents of this host.
        forwarder: Forwards requests to backend servers.
        admin: Answers requests of operators.
        clock: Clock that counts suspended time.
    """

    def __init__(
        self, listen: str, state: HostState, forwarder: Forwarder, admin: Admin, clock: Clock
    ) -> None:
        self._listen = listen
        self._state = state
        self._forwarder = forwarder
        self._admin = admin
        self._clock = clock
        self._stop = StopAdmission(clock)
        limits = state.config_holder.current.limits
        self._limiter = CallerLimiter(limits.caller_in_flight, limits.entry_in_flight)
        self._tasks: set[asyncio.Task] = set()
        self._in_progress: dict[str, asyncio.Task] = {}
        self._server = HTTPServer(
            self._on_request,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self.stopping = False

    def start(self) -> None:
        """Starts listening on the port."""
        host, _, port = self._listen.rpartition(":")
        self._server.listen(int(port), address=host)

    def set_config(self, config: RoutingConfig) -> None:
        """Applies new limits; requests in flight stay counted."""
        limits = config.limits
        self._limiter.set_limits(limits.caller_in_flight, limits.entry_in_flight)

    @property
    def in_flight(self) -> int:
        """Number of callers' requests without an outcome."""
        return self._limiter.in_flight

    def begin_stop(self, grace_s: float) -> None:
        """Refuses from now on what cannot end within ``grace_s``; answers ask to reconnect."""
        self.stopping = True
        self._stop.begin(grace_s)

    async def drain(self, timeout_s: float) -> bool:
        """Stops accepting connections and waits until no request is in flight.

        Returns:
            Whether all requests got their outcome in time.
        """
        self._server.stop()
        return await wait_until(lambda: not self._tasks, timeout_s)

    async def close(self) -> None:
        """Closes the port and all connections."""
        self._server.stop()
        self._stop.refuse_new()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.close_all_connections()

    def _on_request(self, request: HTTPServerRequest) -> None:
        if request.uri.startswith(ADMIN_PREFIX):
            self._admin.handle(request)
            return
        task = asyncio.create_task(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, request: HTTPServerRequest) -> None:
        config = self._state.config_holder.current
        if not config.version:
            write_refusal(request, make_refusal("", refusals.NO_CONFIG))
            return
        read = read_request(request, config)
        if isinstance(read, Err):
            bad_request = read.err_value
            write_refusal(request, make_refusal(bad_request.request_id, bad_request.reason))
            return
        caller_request = read.ok_value
        if not self._stop.accepts(self._clock.now_s() + caller_request.timeout_ms / MS_PER_S):
            refusal = make_refusal(caller_request.request_id, refusals.STOPPING)
            write_refusal(request, refusal, self.stopping)
            return
        acquired = self._limiter.try_acquire(caller_request.caller)
        if isinstance(acquired, Err):
            refusal = acquired.err_value
            reason = refusal.reason
            write_refusal(
                request,
                make_refusal(
                    caller_request.request_id, reason, retry_after_ms=refusal.retry_after_ms
                ),
            )
            return
        try:
            await self._serve_admitted(request, caller_request)
        finally:
            self._limiter.release(caller_request.caller)

    async def _serve_admitted(
        self, request: HTTPServerRequest, caller_request: CallerRequest
    ) -> None:
        started_s = time.monotonic()
        forwarding = asyncio.ensure_future(self._forward_once(caller_request))
        request.connection.set_close_callback(
            lambda: self._on_caller_disconnected(caller_request, forwarding)
        )
        try:
            outcome = await forwarding
        except asyncio.CancelledError:
            if not forwarding.cancelled():
                raise
            count("refusals", reason=refusals.CANCELLED)
            return
        observe_ms(
            "request_latency_ms",
            (time.monotonic() - started_s) * MS_PER_S,
            back_end=caller_request.back_end.name,
        )
        if isinstance(outcome, Answer):
            count("answers", back_end=caller_request.back_end.name)
            write_answer(request, outcome, self.stopping)
            return
        write_refusal(request, outcome, self.stopping)

    async def _forward_once(self, caller_request: CallerRequest) -> Answer | Refusal:
        """Forwards a request; a resent non-idempotent one joins the execution in progress."""
        if caller_request.request_class.repeatable:
            return await self._forwarder.forward(caller_request)
        names = (caller_request.back_end.name, caller_request.method, caller_request.path)
        key = " ".join((caller_request.request_id, *names))
        execution = self._in_progress.get(key)
        if execution is None:
            execution = asyncio.create_task(self._forwarder.forward(caller_request))
            self._in_progress[key] = execution
            execution.add_done_callback(lambda _: self._in_progress.pop(key, None))
        return await asyncio.shield(execution)

    def _on_caller_disconnected(
        self, caller_request: CallerRequest, forwarding: asyncio.Future
    ) -> None:
        if caller_request.request_class.repeatable and not forwarding.done():
            forwarding.cancel()
