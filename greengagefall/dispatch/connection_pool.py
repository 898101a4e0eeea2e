"""Kept HTTP/1.1 connections to one backend server.

Built on Tornado's own HTTP/1 connection class, so that the dispatcher knows the moment
before the first byte of a request leaves: that is where it checks its right to send.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from greengagefall.dispatch.exceptions import (
    AnswerLostError,
    AnswerMismatchError,
    AnswerTimeoutError,
    AnswerTooLargeError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.utils.sockets import keep_alive

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import ResponseStartLine

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
MAX_HEADER_BYTES = 65_536
MAX_IDLE_S = 20.0
# Share of the idle time that a server announces; it may close a little earlier than it says.
IDLE_SHARE = 0.7
# Unacknowledged bytes for this long mean that the path is gone.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})


class HttpRequest(NamedTuple):
    """A request to a backend server; ``headers`` are name and value pairs."""

    method: str
    path: str
    headers: list[list[str]]
    body: bytes


class HttpAnswer(NamedTuple):
    """A backend server's whole answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


class _AnswerReader(HTTPMessageDelegate):
    """Collects one answer."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self.status = 0
        self.headers = HTTPHeaders()
        self.whole = False
        self.too_large = False

    def headers_received(self, start_line: ResponseStartLine, headers: HTTPHeaders) -> None:
        """Keeps status and headers."""
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keeps a part of the body, up to the limit."""
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            self.too_large = True
            return
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Marks the answer as whole."""
        self.whole = not self.too_large

    def body(self) -> bytes:
        """Returns the whole body."""
        return b"".join(self._chunks)


class ConnectionPool:
    """Bounded set of kept connections to one address.

    The caller bounds how many exchanges run at once; the pool opens a connection when no
    idle one is left and closes those idle for ``MAX_IDLE_S`` seconds.

    Args:
        address: ``IP:port`` of the server.
        answer_limit_bytes: Largest body of an answer.
        on_lost: Called when the server closed an idle connection.
    """

    def __init__(
        self, address: str, answer_limit_bytes: int, on_lost: Callable[[], None] | None = None
    ) -> None:
        self.address = address
        self.on_idle_close = on_lost
        self._answer_limit_bytes = answer_limit_bytes
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[tuple[IOStream, float]] = []
        self._params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=answer_limit_bytes * 2
        )
        self._idle_limit_s = MAX_IDLE_S
        self._tcp = TCPClient()

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        may_send: Callable[[], bool],
        matches: Callable[[HttpAnswer], bool] | None = None,
    ) -> HttpAnswer:
        """Sends a request and returns the whole answer.

        Args:
            request: What to send.
            timeout_s: Time for everything, connecting included.
            may_send: Called immediately before the first byte leaves.
            matches: Tells whether an answer belongs to the request; any does without it.

        Raises:
            AnswerMismatchError: Sent; another request's answer came. The connection is closed.
            SendRefusedError: ``may_send`` said no; nothing was sent.
            NotSentError: No connection; nothing was sent.
            AnswerTimeoutError: Sent; no whole answer in time.
            AnswerLostError: Sent; the connection ended before the whole answer.
            AnswerTooLargeError: Sent; the answer is over the limit.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        stream = await self._take(min(timeout_s, CONNECT_TIMEOUT_S))
        if not may_send():
            self._give_back(stream)
            raise SendRefusedError("the right to send ended")
        left_s = deadline_s - loop.time()
        if left_s <= 0:
            self._give_back(stream)
            raise NotSentError("the deadline passed while connecting")
        return await self._run(stream, request, left_s, matches)

    def close(self) -> None:
        """Closes all idle connections."""
        for stream, _ in self._idle:
            stream.set_close_callback(None)
            stream.close()
        self._idle.clear()

    async def _run(
        self,
        stream: IOStream,
        request: HttpRequest,
        left_s: float,
        matches: Callable[[HttpAnswer], bool] | None,
    ) -> HttpAnswer:
        connection = HTTP1Connection(stream, True, self._params)
        headers = HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        if "Host" not in headers:
            headers["Host"] = self.address
        if request.body or request.method not in BODILESS_METHODS:
            headers["Content-Length"] = str(len(request.body))
        start_line = RequestStartLine(request.method, request.path, "")
        try:
            connection.write_headers(start_line, headers, request.body or None)
            connection.finish()
        except StreamClosedError as error:
            raise NotSentError("the connection had ended") from error
        return await self._read(stream, connection, left_s, matches)

    async def _read(
        self,
        stream: IOStream,
        connection: HTTP1Connection,
        left_s: float,
        matches: Callable[[HttpAnswer], bool] | None,
    ) -> HttpAnswer:
        reader = _AnswerReader(self._answer_limit_bytes)
        timed_out: list[bool] = []

        def expire() -> None:
            timed_out.append(True)
            stream.close()

        timer = asyncio.get_running_loop().call_later(left_s, expire)
        try:
            await connection.read_response(reader)
        except StreamClosedError:
            pass
        except asyncio.CancelledError:
            stream.close()
            raise
        finally:
            timer.cancel()
        if reader.whole and stream.error is None:
            answer = HttpAnswer(reader.status, reader.headers, reader.body())
            if matches is not None and not matches(answer):
                stream.close()
                raise AnswerMismatchError("the answer belongs to another request")
            self._keep_or_close(stream, reader.headers)
            return answer
        stream.close()
        if reader.too_large:
            raise AnswerTooLargeError(f"answer over {self._answer_limit_bytes} bytes")
        if timed_out:
            raise AnswerTimeoutError("no whole answer before the deadline")
        raise AnswerLostError("the connection ended before the whole answer")

    async def _take(self, timeout_s: float) -> IOStream:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            stream, idle_since_s = self._idle.pop()
            if stream.closed():
                continue
            stream.set_close_callback(None)
            # Bytes on an idle connection belong to no request.
            if now_s - idle_since_s > self._idle_limit_s or stream._read_buffer_size:
                stream.close()
                continue
            return stream
        return await self._connect(timeout_s)

    async def _connect(self, timeout_s: float) -> IOStream:
        try:
            stream = await self._tcp.connect(self._host, self._port, timeout=timeout_s)
        except (TimeoutError, OSError, StreamClosedError) as error:
            raise NotSentError(f"{self.address} accepts no connection: {error}") from error
        stream.set_nodelay(True)
        _notice_lost_paths(stream.socket)
        return stream

    def _keep_or_close(self, stream: IOStream, headers: HTTPHeaders) -> None:
        """Keeps the connection after a whole answer unless the server asked otherwise."""
        leaving = headers.get("Connection", "").lower() == "close"
        if leaving or stream.writing():
            stream.close()
            return
        self._idle_limit_s = _idle_limit_s(headers.get("Keep-Alive", ""))
        self._give_back(stream)

    def _give_back(self, stream: IOStream) -> None:
        if stream.closed():
            return
        # A close callback makes Tornado notice that the other side closed an idle stream.
        stream.set_close_callback(self.on_idle_close or _ignore_close)
        self._idle.append((stream, asyncio.get_running_loop().time()))


def _ignore_close() -> None:
    """Does nothing; the stream's own state tells that it closed."""


def _idle_limit_s(keep_alive: str) -> float:
    """Returns how long a connection may be idle, by the server's Keep-Alive header."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(MAX_IDLE_S, int(value) * IDLE_SHARE)
    return MAX_IDLE_S


def _notice_lost_paths(sock: socket.socket) -> None:
    """Has the operating system end a connection whose other side no longer answers."""
    keep_alive(sock, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
