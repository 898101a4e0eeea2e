"""Stand-in for a backend server, with fenced grants, slots, cold start and faults.

When a grant expires, requests that are being executed under it are stopped; their callers get
an unknown outcome.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from typing import Any

import click
import tornado.web

from greengagefall.standins.backend_grants import parse_grant
from greengagefall.standins.backend_records import (
    DEFAULT_MAX_RECORDS,
    OUTCOME_NOT_RUN,
    OUTCOME_STOPPED,
)
from greengagefall.standins.backend_work import (
    BackendSettings,
    BackendWork,
    WorkRequest,
    WorkResult,
)
from greengagefall.standins.faults import change_faults
from greengagefall.standins.http import HttpListener, JsonHandler, serve_until_stopped
from greengagefall.utils.logs import setup_logging

log = logging.getLogger(__name__)

NO_DEADLINE_S = 3600.0
MAX_WORK_MS = 60_000.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
CROSS_WAIT_S = 0.3
DRAIN_S = 10.0
ANSWER_FLUSH_S = 0.05
FREEZE_DELAY_S = 0.02


class PreparedAnswer:
    """An answer that is ready to be sent; the fault ``crossed_answers`` swaps it with another."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class AnswerCrosser:
    """Swaps the answers of two concurrent requests."""

    def __init__(self) -> None:
        self._held: tuple[PreparedAnswer, asyncio.Future[PreparedAnswer]] | None = None

    async def cross(self, answer: PreparedAnswer) -> tuple[PreparedAnswer, bool]:
        """Waits up to ``CROSS_WAIT_S`` for a second answer and swaps the two.

        Returns:
            The answer to send, and whether this call completed a pair. Without a second answer
            in time it is ``answer`` itself.
        """
        if self._held is not None:
            other, future = self._held
            self._held = None
            if not future.done():
                future.set_result(answer)
                return other, True
        future = asyncio.get_running_loop().create_future()
        self._held = (answer, future)
        try:
            return await asyncio.wait_for(future, CROSS_WAIT_S), False
        except TimeoutError:
            self._held = None
            return answer, False


class BackendHandler(JsonHandler):
    """Base class of the server's handlers."""

    def initialize(self, server: BackendServer) -> None:
        """Stores the server and its work."""
        self.server = server
        self.work = server.work


class StatusHandler(BackendHandler):
    """Reports the server's incarnation, clock, grant and load."""

    def get(self) -> None:
        """Answers the status as JSON."""
        work = self.work
        grant = work.grant.as_json() if work.grant is not None else None
        self.finish(
            {
                "incarnation": work.incarnation,
                "now_ms": work.now_ms(),
                "grant": grant,
                "busy": work.busy,
                "slots": work.settings.slots,
                "cold": work.cold.is_announced(),
                "draining": work.faults.draining,
            }
        )


class GrantHandler(BackendHandler):
    """Accepts grants."""

    def put(self) -> None:
        """Accepts a grant, or answers 409 with the reason of the refusal."""
        work = self.work
        if not work.settings.checks_orders:
            raise tornado.web.HTTPError(404, "this server takes no grants")
        body = self.json_body()
        try:
            offered = parse_grant(body)
        except ValueError as error:
            raise tornado.web.HTTPError(400, str(error)) from error
        refusal = work.offer_grant(str(body.get("incarnation", "")), offered)
        if refusal:
            self._refuse(refusal)
            return
        self.finish(
            {
                "incarnation": work.incarnation,
                "now_ms": work.now_ms(),
                "released": work.has_released(),
                "busy": work.busy,
                "cold": work.cold.is_announced(),
            }
        )

    def _refuse(self, reason: str) -> None:
        held = self.work.grant
        self.set_status(409)
        self.finish(
            {
                "reason": reason,
                "incarnation": self.work.incarnation,
                "now_ms": self.work.now_ms(),
                "fence": held.fence if held is not None else 0,
                "map_version": held.map_version if held is not None else 0,
            }
        )


class LoadHandler(BackendHandler):
    """Reports the load; faults can make it outdated or wrong."""

    def get(self) -> None:
        """Answers the reported load."""
        self.finish({"busy": self.work.reported_load(), "slots": self.work.settings.slots})


class HealthHandler(BackendHandler):
    """Reports the health; a fault can make it wrong."""

    def get(self) -> None:
        """Answers the reported health."""
        actual = "draining" if self.work.faults.draining else "ok"
        self.finish({"health": self.work.faults.reported_health or actual})


class CancelHandler(BackendHandler):
    """Cancels requests."""

    def post(self) -> None:
        """Cancels the request named in the body."""
        request_id = str(self.json_body().get("request_id", ""))
        self.finish({"request_id": request_id, "state": self.work.cancel(request_id)})


class RecordsHandler(BackendHandler):
    """Returns the records for the oracles."""

    def get(self) -> None:
        """Answers all records as JSON."""
        self.finish(self.work.records.as_json())


class FaultHandler(BackendHandler):
    """Injects faults."""

    def post(self) -> None:
        """Sets the faults named in the body.

        ``cold_s`` begins a cold start of that many seconds, which the server reports to its
        callers if ``announce`` is true. ``freeze_s`` blocks the whole process for that many
        seconds, shortly after the answer to this call was sent.
        """
        body = self.json_body()
        try:
            cold_s = float(body.pop("cold_s", 0))
            announced = bool(body.pop("announce", False))
            freeze_s = float(body.pop("freeze_s", 0))
            self.work.faults = change_faults(self.work.faults, body)
        except (TypeError, ValueError) as error:
            raise tornado.web.HTTPError(400, str(error)) from error
        if cold_s > 0:
            self.work.cold.begin(cold_s, announced=announced)
        if freeze_s > 0:
            asyncio.get_running_loop().call_later(FREEZE_DELAY_S, time.sleep, freeze_s)
        self.finish(self.work.faults._asdict())


class RequestsHandler(BackendHandler):
    """Executes requests."""

    async def get(self) -> None:
        """Executes the request and sends its answer, after the active faults."""
        request = self._read_request()
        result = await self.work.handle(request)
        answer = await self.server.delay_or_cross(self._prepare(request, result))
        self.set_status(answer.status)
        for name, value in answer.headers.items():
            self.set_header(name, value)
        await self.finish(answer.body)

    head = post = put = patch = delete = get

    def _read_request(self) -> WorkRequest:
        headers = self.request.headers
        try:
            timeout_s = float(headers.get("X-Timeout-Ms", NO_DEADLINE_S * 1000)) / 1000
            work_ms = float(headers.get("X-Work-Ms", self.work.settings.service_ms))
            return WorkRequest(
                request_id=headers.get("X-Request-Id", ""),
                method=self.request.method or "",
                path=self.request.path,
                slice_id=int(headers.get("X-Slice", "-1")),
                slice_fence=int(headers.get("X-Slice-Fence", "0")),
                dispatch_fence=int(headers.get("X-Dispatch-Fence", "0")),
                deadline_s=time.monotonic() + timeout_s,
                work_ms=min(max(work_ms, 0.0), MAX_WORK_MS),
            )
        except ValueError as error:
            raise tornado.web.HTTPError(400, f"malformed header: {error}") from error

    def _prepare(self, request: WorkRequest, result: WorkResult) -> PreparedAnswer:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Server-Incarnation": self.work.incarnation,
        }
        if self.work.cold.is_announced():
            headers["X-Server-Cold"] = "1"
        body: dict[str, Any] = {"request_id": request.request_id, "key_path": request.path}
        if result.outcome == OUTCOME_NOT_RUN:
            headers["X-Not-Run"] = result.reason
            body["reason"] = result.reason
            return PreparedAnswer(503, headers, json.dumps(body).encode())
        if result.outcome == OUTCOME_STOPPED:
            body["reason"] = result.reason
            return PreparedAnswer(500, headers, json.dumps(body).encode())
        body["server"] = self.work.settings.name
        body["incarnation"] = self.work.incarnation
        body["run"] = result.execution_count
        body["value"] = result.value
        body["body_bytes"] = len(self.request.body)
        padding = self._padding_bytes()
        if padding:
            body["padding"] = "x" * padding
        return PreparedAnswer(200, headers, json.dumps(body).encode())

    def _padding_bytes(self) -> int:
        padding_text = self.request.headers.get("X-Answer-Bytes", "")
        return min(int(padding_text), MAX_ANSWER_BYTES) if padding_text.isdecimal() else 0


class BackendServer:
    """A backend server stand-in that listens on one address."""

    def __init__(self, settings: BackendSettings) -> None:
        self.work = BackendWork(settings)
        self._crosser = AnswerCrosser()
        handler_args = {"server": self}
        self._listener = HttpListener(
            settings.listen,
            [
                (r"/\.server/status", StatusHandler, handler_args),
                (r"/\.server/grant", GrantHandler, handler_args),
                (r"/\.server/load", LoadHandler, handler_args),
                (r"/\.server/health", HealthHandler, handler_args),
                (r"/\.server/cancel", CancelHandler, handler_args),
                (r"/records", RecordsHandler, handler_args),
                (r"/fault", FaultHandler, handler_args),
                (r"/.*", RequestsHandler, handler_args),
            ],
        )

    @property
    def address(self) -> str:
        """``IP:port`` on which the server listens."""
        return self._listener.address

    async def start(self) -> None:
        """Starts listening."""
        await self._listener.start()
        log.info("Backend server %s listens on %s.", self.work.settings.name, self.address)

    async def close(self) -> None:
        """Refuses new requests, waits at most ``DRAIN_S`` for the others and stops listening."""
        self.work.faults = self.work.faults._replace(draining=True)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.work.wait_idle(), DRAIN_S)
        await asyncio.sleep(ANSWER_FLUSH_S)
        await self._listener.close()
        self.work.records.close()

    async def delay_or_cross(self, answer: PreparedAnswer) -> PreparedAnswer:
        """Applies the faults to answers; returns the answer to send."""
        faults = self.work.faults
        if faults.late_answers > 0:
            self.work.faults = faults._replace(late_answers=faults.late_answers - 1)
            await asyncio.sleep(faults.late_s)
        if faults.crossed_answers > 0:
            answer, completed = await self._crosser.cross(answer)
            if completed:
                remaining_pairs = max(0, self.work.faults.crossed_answers - 1)
                self.work.faults = self.work.faults._replace(crossed_answers=remaining_pairs)
        return answer


@click.command()
@click.option("--listen", required=True, help="IP:port to listen on.")
@click.option("--name", required=True, help="Name of the server.")
@click.option("--slots", default=6, show_default=True, help="Requests run at once.")
@click.option("--backlog", default=6, show_default=True, help="Requests that wait, at most.")
@click.option("--service-ms", default=5.0, show_default=True, help="Time of a request.")
@click.option("--checks-orders/--no-checks-orders", default=True, help="Check grants and fences.")
@click.option("--cold-s", default=0.0, show_default=True, help="Length of the cold start.")
@click.option("--cold-slots", default=1, show_default=True, help="Requests borne when cold.")
@click.option("--max-records", default=DEFAULT_MAX_RECORDS, help="Requests kept in records.")
@click.option("--journal", default="", help="File that gets each record as a JSON line.")
@click.option("--log-level", default="WARNING", show_default=True, help="Lowest level logged.")
def main(log_level: str, **options: Any) -> None:
    """Runs a backend server stand-in until SIGTERM."""
    setup_logging(log_level, server=options["name"])
    asyncio.run(serve_until_stopped(BackendServer(BackendSettings(**options))))


if __name__ == "__main__":
    main()
