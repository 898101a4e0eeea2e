"""Small stand-in for a backend server of the platform, which holds keys by grants."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import tornado.iostream
import tornado.web

from greengagefall.standins.http import HttpListener, JsonHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

LOAD_HEADER_VALUE = "1,0,6,100"
SWALLOWED_GRANT_S = 1.0
CUT_IN_HEAD = "cut_in_head"
REFUSED_TWICE = "refused_twice"
REFUSAL_DELAY_S = 0.02
# Time in which this process certainly reads what a connection had received before a restart.
FORMER_DATA_S = 5.0


class AcceptedGrant(NamedTuple):
    """A grant that a server accepted.

    Attributes:
        first: First key.
        last: Last key.
        fence: Fencing token.
        end_s: When the server holds the keys no more, as a time of ``time.monotonic``.
        arrived_s: When the call arrived.
        is_delayed: Whether the server applied it late.
        caller_port: Port of the call's sender as the server sees it.
    """

    first: int
    last: int
    fence: int
    end_s: float
    arrived_s: float
    is_delayed: bool = False
    caller_port: int = 0


class PlatformServerStandIn:
    """A backend server that executes requests for keys that it holds.

    Attributes:
        server_id: Id of the server.
        crashed: Whether the server's process has ended; requests that it has received are lost.
        executed: Ids of the requests that it executed, in order of their start.
        received_headers: Headers of each of these requests.
        grants: Fence and expiry, as a time of ``time.monotonic``, by granted key range.
        fences: First key, last key and fence of each accepted grant and release.
        refused_grants: Number of grants refused because the server had seen a higher fence.
        work_s: Service time of a request in seconds.
        answer_bytes: Bytes that answers are padded to.
        echoes: Whether answers have the body of the request.
        swallow_grants: Number of next grants that are not applied and get no answer for
            ``SWALLOWED_GRANT_S``.
        reset_grants: Number of next grants that are not applied and whose connection is closed.
        order_delay_s: Returns how long the next grant or release stays unanswered before it is
            applied, 0 for an order that is applied and answered at once. A delayed order gets no
            answer at all. The time of a delayed grant counts from its arrival.
        closes_after_orders: Whether answers to grants and releases end their connection.
        release_work_s: Time for which work on released keys goes on before a release is answered.
        handover_tokens: Tokens of releases that grants passed to this server.
        wrong_answers: Number of next answers that carry the id of another request.
        spoil_answer: Returns what happens to the next answer: ``CUT_IN_HEAD`` for an answer whose
            connection is closed in its head, ``REFUSED_TWICE`` for a refusal that is sent again
            after ``REFUSAL_DELAY_S``; an empty string for none of these.
        rate_limit_per_s: Requests per second that answers name as the server's limit, 0 for none.
        limited_s: Times of the requests that were executed while the limit was named.
        on_grant: Called with this server and each accepted grant.
        on_release: Called with this server and the first and last key of each release.
        on_request: Called with this server and the key of each keyed request that it begins.
    """

    def __init__(
        self, server_id: str, service: str, zone: str, *, keyed: bool, work_s: float = 0.005
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.work_s = work_s
        self.start_ms = int(time.time() * 1000)
        self.answer_bytes = 0
        self.echoes = False
        self.crashed = False
        self._former_ports: dict[int, float] = {}
        self.executed: list[str] = []
        self.received_headers: list[list[tuple[str, str]]] = []
        self.grants: dict[tuple[int, int], tuple[int, float]] = {}
        self.fences: list[tuple[int, int, int]] = []
        self.refused_grants = 0
        self.swallow_grants = 0
        self.reset_grants = 0
        self.order_delay_s: Callable[[], float] = lambda: 0.0
        self.closes_after_orders = False
        self.release_work_s = 0.0
        self.handover_tokens: list[str] = []
        self.wrong_answers = 0
        self.spoil_answer: Callable[[], str] = lambda: ""
        self.rate_limit_per_s = 0.0
        self.limited_s: list[float] = []
        self.on_grant: Callable[[PlatformServerStandIn, AcceptedGrant], None] = _ignore
        self.on_release: Callable[[PlatformServerStandIn, int, int], None] = _ignore
        self.on_request: Callable[[PlatformServerStandIn, int], None] = _ignore
        handler_args = {"server": self}
        self._listener = HttpListener(
            "127.0.0.1:0",
            [
                ("/greengagefall/grant", _GrantHandler, handler_args),
                ("/greengagefall/release", _ReleaseHandler, handler_args),
                ("/health", _HealthHandler, handler_args),
                ("/.*", _RequestsHandler, handler_args),
            ],
        )

    @property
    def address(self) -> str:
        """``IP:port`` of the server."""
        return self._listener.address

    async def start(self) -> None:
        """Starts listening."""
        await self._listener.start()

    async def close(self) -> None:
        """Stops listening."""
        await self._listener.close()

    async def drop_connections(self) -> None:
        """Ends all connections; the server goes on."""
        await self._listener.drop_connections()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Returns the server entry for the store, with ``changes`` to its fields."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": 6,
            "state": "ready",
            "warmupLeftS": 0,
            "sequence": 1,
            "born": self.start_ms,
            **changes,
        }

    def restart(self, former_ports: Iterable[int] = ()) -> None:
        """Becomes a new incarnation with the same id and address, without grants and fences.

        Args:
            former_ports: Ports of callers with connections to the former incarnation, which end;
                what they had received and this process has not read yet is lost.
        """
        self.start_ms += 1000
        self.grants.clear()
        self.fences.clear()
        self._former_ports = dict.fromkeys(former_ports, time.monotonic() + FORMER_DATA_S)

    def has_ended_for(self, caller_port: int) -> bool:
        """Returns whether a caller's connection reached an incarnation that ended."""
        return self.crashed or self._former_ports.get(caller_port, 0.0) > time.monotonic()

    def holds(self, key: int) -> bool:
        """Returns whether the server currently holds a key."""
        now_s = time.monotonic()
        return any(
            first <= key <= last and end_s > now_s
            for (first, last), (_, end_s) in self.grants.items()
        )

    def highest_fence(self, first: int, last: int) -> int:
        """Returns the highest fence seen in a grant or release that overlaps a key range, or 0."""
        overlapping = [fence for low, high, fence in self.fences if low <= last and first <= high]
        return max(overlapping, default=0)

    def release_keys(self, first: int, last: int) -> None:
        """Ends the grants of a key range; the rest of each overlapping grant stays."""
        kept = {}
        for (low, high), grant in self.grants.items():
            for part in ((low, min(high, first - 1)), (max(low, last + 1), high)):
                if part[0] <= part[1]:
                    kept[part] = grant
        self.grants = kept


def _ignore(*arguments: object) -> None:
    """Does nothing."""


class _ServerHandler(JsonHandler):
    def initialize(self, server: PlatformServerStandIn) -> None:
        self.server = server

    def prepare(self) -> None:
        if self.server.has_ended_for(self.request.connection.context.address[1]):
            self.request.connection.stream.close()
            raise tornado.web.Finish


class _OrderHandler(_ServerHandler):
    async def delay(self) -> bool:
        """Delays the order if the server does; returns whether it may still be applied."""
        delay_s = self.server.order_delay_s()
        if not delay_s:
            return True
        start_ms = self.server.start_ms
        # Without this, Tornado answers when the handler returns.
        self._auto_finish = False
        await asyncio.sleep(delay_s)
        return self.server.start_ms == start_ms

    def answer(self) -> None:
        """Answers with 200 unless the order was delayed."""
        if self._auto_finish:
            if self.server.closes_after_orders:
                self.set_header("Connection", "close")
            self.finish({})


class _GrantHandler(_OrderHandler):
    async def post(self) -> None:
        arrived_s = time.monotonic()
        caller_port = self.request.connection.context.address[1]
        body = self.json_body()
        first, last, fence = body["from"], body["target"], body["fence"]
        if self.server.reset_grants > 0:
            self.server.reset_grants -= 1
            self.request.connection.stream.close()
            return
        if self.server.swallow_grants > 0:
            self.server.swallow_grants -= 1
            await asyncio.sleep(SWALLOWED_GRANT_S)
            return
        if not await self.delay():
            return
        if self.server.highest_fence(first, last) > fence:
            self.server.refused_grants += 1
            if self._auto_finish:
                raise tornado.web.HTTPError(409)
            return
        end_s = arrived_s + body["holdS"]
        known_fence, known_end_s = self.server.grants.get((first, last), (0, 0.0))
        if known_fence == fence:
            # A delayed grant does not shorten a newer one.
            end_s = max(end_s, known_end_s)
        self.server.fences.append((first, last, fence))
        self.server.release_keys(first, last)
        self.server.grants[first, last] = (fence, end_s)
        if "handover" in body:
            self.server.handover_tokens.append(body["handover"])
        is_delayed = not self._auto_finish
        grant = AcceptedGrant(first, last, fence, end_s, arrived_s, is_delayed, caller_port)
        self.server.on_grant(self.server, grant)
        self.answer()


class _ReleaseHandler(_OrderHandler):
    async def post(self) -> None:
        body = self.json_body()
        if not await self.delay():
            return
        self.server.fences.append((body["from"], body["target"], body["fence"]))
        self.server.release_keys(body["from"], body["target"])
        self.server.on_release(self.server, body["from"], body["target"])
        await asyncio.sleep(self.server.release_work_s)
        self.set_header("Handover", f"{self.server.server_id}-{body['fence']}")
        self.answer()


class _HealthHandler(_ServerHandler):
    def get(self) -> None:
        self.set_header("Instance-Id", self.server.server_id)
        self.set_header("Upstream-Load", LOAD_HEADER_VALUE)
        self.finish({})


class _RequestsHandler(_ServerHandler):
    async def execute(self) -> None:
        headers = self.request.headers
        request_id = headers.get("Request-Id", "")
        self.set_header("Instance-Id", self.server.server_id)
        if headers.get("Expected-Instance") != self.server.server_id:
            self._refuse(421)
            return
        if self.server.keyed and not self.server.holds(int(headers.get("Shard-Key", -1))):
            self._refuse(421)
            return
        spoiled = self.server.spoil_answer()
        if spoiled == REFUSED_TWICE:
            await self._refuse_twice(request_id)
            return
        self.server.executed.append(request_id)
        self.server.received_headers.append(list(headers.get_all()))
        if self.server.keyed:
            self.server.on_request(self.server, int(headers["Shard-Key"]))
        if self.server.rate_limit_per_s:
            self.server.limited_s.append(time.monotonic())
        await asyncio.sleep(self.server.work_s)
        if spoiled == CUT_IN_HEAD:
            self._auto_finish = False
            stream = self.request.connection.stream
            with contextlib.suppress(tornado.iostream.StreamClosedError):
                await stream.write(b"HTTP/1.1 200 OK\r\nRequest-")
            stream.close()
            return
        if self.server.wrong_answers > 0:
            self.server.wrong_answers -= 1
            request_id = "of-another-request"
        self.set_header("Request-Id", request_id)
        self.set_header("Upstream-Signature", f"signed.{request_id}")
        self.set_header("Upstream-Load", LOAD_HEADER_VALUE)
        if self.server.rate_limit_per_s:
            self.set_header("Server-Limit", str(self.server.rate_limit_per_s))
        if self.server.echoes:
            self.finish(self.request.body)
            return
        body = f"{self.server.server_id}:{self.request.uri}"
        self.finish(body.ljust(self.server.answer_bytes))

    async def _refuse_twice(self, request_id: str) -> None:
        stream = self.request.connection.stream
        self._refuse(503)
        await asyncio.sleep(REFUSAL_DELAY_S)
        head = f"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: {request_id}\r\n"
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            await stream.write(f"{head}Content-Length: 2\r\n\r\n{{}}".encode())

    get = post = put = delete = execute

    def _refuse(self, status: int) -> None:
        self.set_header("Not-Executed", "1")
        self.set_header("Request-Id", self.request.headers.get("Request-Id", ""))
        self.set_status(status)
        self.finish({})
