"""A pool of persistent HTTP/1.1 connections to one backend server.

The pool uses Tornado's HTTP/1 connection class directly, because the dispatcher has to check its
right to send immediately before the first byte of a request is written.
"""

from __future__ import annotations

import asyncio
import io
import ipaddress
import logging
import socket
from collections import deque
from typing import TYPE_CHECKING, NamedTuple
from weakref import WeakKeyDictionary

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import Resolver
from tornado.tcpclient import TCPClient

from greengagefall.dispatch.answer_memory import AnswerMemory
from greengagefall.dispatch.exceptions import (
    AnswerLostError,
    AnswerMalformedError,
    AnswerMismatchError,
    AnswerTimeoutError,
    AnswerTooLargeError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.utils.http_writing import write_message
from greengagefall.utils.metrics import count
from greengagefall.utils.sockets import enable_tcp_keepalive, reset_on_close

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from tornado.httputil import ResponseStartLine

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
MAX_HEADER_BYTES = 65_536
MAX_IDLE_S = 20.0
# The pool uses only this fraction of the idle time in the Keep-Alive header of a server, because
# the server may close the connection slightly earlier than announced.
IDLE_FRACTION = 0.7
# A longer number is larger than any limit here.
MAX_TIMEOUT_DIGITS = 9
# The operating system closes a connection whose data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Ids of the last requests that are remembered for each connection.
MAX_REMEMBERED_IDS = 64


HTTP_VERSIONS = frozenset({"HTTP/1.0", "HTTP/1.1"})
SWITCHING_PROTOCOLS = 101
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})


class HttpRequest(NamedTuple):
    """A request to a backend server; ``headers`` are name and value pairs.

    ``request_id`` is the id by which its answer is recognized, empty without one. A request that
    is sent again does not use a connection on which its id was answered before.
    """

    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    request_id: str = ""


class HttpAnswer(NamedTuple):
    """A complete answer of a backend server.

    ``first_on_connection`` tells whether no other answer arrived on its connection before, so that
    it cannot be a repeated answer to an earlier request.
    """

    status: int
    headers: HTTPHeaders
    body: bytes
    first_on_connection: bool = False


class _AnswerReader(HTTPMessageDelegate):
    """Collects the status, headers and body of one answer.

    Args:
        limit_bytes: Maximum size of the body.
        memory: Memory of all unfinished answers.
        close: Closes the connection.
    """

    def __init__(self, limit_bytes: int, memory: AnswerMemory, close: Callable[[], None]) -> None:
        self._limit_bytes = limit_bytes
        self._memory = memory
        self._close = close
        # Hands its content over without a copy.
        self._content = io.BytesIO()
        self._size_bytes = 0
        self.status = 0
        self.headers = HTTPHeaders()
        self.complete = False
        self.too_large = False
        self.malformed = False

    def headers_received(self, start_line: ResponseStartLine, headers: HTTPHeaders) -> None:
        """Stores the status and headers; closes the connection if HTTP does not allow the status.

        Interim answers are passed here before the final one, which replaces them. 101 ends HTTP on
        a connection, so it is no answer to a request that did not ask for this.
        """
        if not _is_allowed(start_line):
            self.malformed = True
            self._close()
            return
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body until a limit is exceeded."""
        if self.too_large or self.malformed:
            return
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            self.give_up()
            return
        self._memory.add(self, len(chunk))
        if not self.too_large:
            self._content.write(chunk)

    def finish(self) -> None:
        """Marks the answer as complete unless it is malformed or too large."""
        self.complete = not self.too_large and not self.malformed

    def give_up(self) -> None:
        """Drops what was read and closes the connection; the answer counts as too large."""
        self.too_large = True
        self._content = io.BytesIO()
        self._memory.remove(self)
        self._close()

    def release(self) -> None:
        """Ends counting the answer among the unfinished ones."""
        self._memory.remove(self)

    def body(self) -> bytes:
        """Returns the complete body."""
        return self._content.getvalue()


class _AddressResolver(Resolver):
    """Takes IP addresses as they are; the default resolver passes even those to a thread."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Returns the address with its family.

        Raises:
            OSError: ``host`` is not an IP address.
        """
        try:
            version = ipaddress.ip_address(host).version
        except ValueError as error:
            raise OSError(f"{host} is not an IP address") from error
        return [(socket.AF_INET if version == 4 else socket.AF_INET6, (host, port))]


class ConnectionPool:
    """Pool of persistent connections to one address.

    The caller limits the number of concurrent exchanges. The pool opens a connection when none is
    idle and does not reuse one that was idle for more than ``MAX_IDLE_S`` seconds.

    Args:
        address: ``IP:port`` of the server.
        answer_limit_bytes: Maximum size of the body of an answer.
        on_idle_close: Called when the server closes an idle connection.
        memory: Memory of the unfinished answers of several pools; by default only the size of each
            answer is limited.
    """

    def __init__(
        self,
        address: str,
        answer_limit_bytes: int,
        on_idle_close: Callable[[], None] | None = None,
        memory: AnswerMemory | None = None,
    ) -> None:
        self.address = address
        self._memory = memory or AnswerMemory()
        self.on_idle_close = on_idle_close
        self._answer_limit_bytes = answer_limit_bytes
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[tuple[IOStream, float]] = []
        self._params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=answer_limit_bytes * 2
        )
        self._idle_limit_s = MAX_IDLE_S
        self._answered_ids: WeakKeyDictionary[IOStream, deque[str]] = WeakKeyDictionary()
        self._tcp = TCPClient(resolver=_AddressResolver())

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        may_send: Callable[[], bool],
        matches: Callable[[HttpAnswer], bool] | None = None,
    ) -> HttpAnswer:
        """Sends a request and returns the complete answer.

        Args:
            request: The request to send.
            timeout_s: Timeout of the exchange, including the time to connect.
            may_send: Called immediately before the first byte is sent; False cancels the send.
            matches: Returns whether an answer belongs to the request; None accepts any answer.

        Raises:
            AnswerMismatchError: The request was sent and the answer belongs to another request.
                The connection is closed.
            SendRefusedError: ``may_send`` returned False; nothing was sent.
            NotSentError: No connection was available in time; nothing was sent.
            AnswerTimeoutError: The request was sent; no complete answer arrived in time.
            AnswerLostError: The request was sent; the connection ended before the answer was
                complete.
            AnswerMalformedError: The request was sent; the answer is not valid HTTP/1.
            AnswerTooLargeError: The request was sent; the answer exceeds the limit.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        stream = await self._acquire(min(timeout_s, CONNECT_TIMEOUT_S), request.request_id)
        if not may_send():
            self._return_to_idle(stream)
            raise SendRefusedError(
                f"the dispatcher may not send to {self.address} any more; nothing was sent"
            )
        remaining_s = deadline_s - loop.time()
        if remaining_s <= 0:
            self._return_to_idle(stream)
            raise NotSentError(
                f"the timeout of {timeout_s} s expired while connecting to {self.address}"
            )
        return await self._send_and_read(stream, request, remaining_s, matches)

    def close(self) -> None:
        """Closes all idle connections."""
        for stream, _ in self._idle:
            stream.set_close_callback(None)
            stream.close()
        self._idle.clear()

    async def _send_and_read(
        self,
        stream: IOStream,
        request: HttpRequest,
        remaining_s: float,
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
        if stream.closed():
            raise NotSentError(f"the connection to {self.address} was closed before the send")
        try:
            write_message(connection, start_line, headers, request.body or None)
            connection.finish()
        except StreamClosedError as error:
            # A part of the request may have been written before the connection closed.
            raise AnswerLostError(
                f"the connection to {self.address} was closed during the send"
            ) from error
        return await self._read_answer(stream, connection, request, remaining_s, matches)

    async def _read_answer(
        self,
        stream: IOStream,
        connection: HTTP1Connection,
        request: HttpRequest,
        remaining_s: float,
        matches: Callable[[HttpAnswer], bool] | None,
    ) -> HttpAnswer:
        reader = _AnswerReader(self._answer_limit_bytes, self._memory, stream.close)
        timeouts: list[bool] = []

        def expire() -> None:
            # Closing the stream also ends a body without length, which is not complete then.
            if not reader.complete:
                timeouts.append(True)
            stream.close()

        timer = asyncio.get_running_loop().call_later(remaining_s, expire)
        try:
            if not await connection.read_response(reader):
                reader.malformed = True
        except StreamClosedError:
            pass
        except asyncio.CancelledError:
            stream.close()
            raise
        except Exception:
            log.exception("An answer cannot be read.", extra={"address": self.address})
            stream.close()
        finally:
            timer.cancel()
            reader.release()
        if reader.complete and stream.error is None and not timeouts:
            first = self._record_answer(stream, request.request_id)
            answer = HttpAnswer(reader.status, reader.headers, reader.body(), first)
            if matches is not None and not matches(answer):
                stream.close()
                raise AnswerMismatchError(
                    f"the answer of {self.address} belongs to another request"
                )
            self._keep_or_close(stream, reader.headers)
            return answer
        stream.close()
        if reader.too_large:
            raise AnswerTooLargeError(
                f"the answer of {self.address} exceeds {self._answer_limit_bytes} bytes"
            )
        if timeouts:
            raise AnswerTimeoutError(
                f"no complete answer from {self.address} within {remaining_s:.3f} s"
            )
        if reader.malformed:
            count("malformed_answers")
            log.warning(
                "Answer is not valid HTTP; the connection was closed.",
                extra={"address": self.address, "request_id": request.request_id},
            )
            raise AnswerMalformedError(f"the answer of {self.address} is not valid HTTP")
        raise AnswerLostError(
            f"the connection to {self.address} ended before the answer was complete"
        )

    def _record_answer(self, stream: IOStream, request_id: str) -> bool:
        """Records an answer on a connection; returns whether it is the first one there."""
        first = stream not in self._answered_ids
        answered = self._answered_ids.setdefault(stream, deque(maxlen=MAX_REMEMBERED_IDS))
        if request_id:
            answered.append(request_id)
        return first

    async def _acquire(self, timeout_s: float, request_id: str) -> IOStream:
        now_s = asyncio.get_running_loop().time()
        for index in reversed(range(len(self._idle))):
            stream, idle_since_s = self._idle[index]
            if request_id in self._answered_ids.get(stream, ()):
                continue
            del self._idle[index]
            if stream.closed():
                continue
            stream.set_close_callback(None)
            # Bytes received on an idle connection belong to no request, so it is not reused.
            if now_s - idle_since_s > self._idle_limit_s or stream._read_buffer_size:
                stream.close()
                continue
            return stream
        return await self._connect(timeout_s)

    async def _connect(self, timeout_s: float) -> IOStream:
        try:
            stream = await self._tcp.connect(self._host, self._port, timeout=timeout_s)
        except (TimeoutError, OSError, StreamClosedError) as error:
            raise NotSentError(f"connecting to {self.address} failed: {error}") from error
        if stream.closed():
            # Tornado reports a connection that the server closed at once as connected.
            raise NotSentError(f"{self.address} closed the connection as soon as it was open")
        stream.set_nodelay(True)
        _detect_broken_connections(stream.socket)
        # A network that is cut may hold a request up; it must not arrive once it was given up.
        reset_on_close(stream.socket)
        return stream

    def _keep_or_close(self, stream: IOStream, headers: HTTPHeaders) -> None:
        """Keeps the connection after a complete answer unless the server asked to close it."""
        server_closes = headers.get("Connection", "").lower() == "close"
        if server_closes or stream.writing():
            stream.close()
            return
        self._idle_limit_s = _idle_limit_s(headers.get("Keep-Alive", ""))
        self._return_to_idle(stream)

    def _return_to_idle(self, stream: IOStream) -> None:
        if stream.closed():
            return
        # Without a close callback, Tornado does not notice that the peer closed an idle stream.
        stream.set_close_callback(self.on_idle_close or _ignore_close)
        self._idle.append((stream, asyncio.get_running_loop().time()))


def _is_allowed(line: ResponseStartLine) -> bool:
    """Returns whether a status line is that of an interim or final answer of HTTP/1."""
    if line.version not in HTTP_VERSIONS or line.code == SWITCHING_PROTOCOLS:
        return False
    return line.code in INTERIM_STATUSES or line.code in FINAL_STATUSES


def _ignore_close() -> None:
    """Does nothing; ``_acquire`` reads from the stream whether it is closed."""


def _idle_limit_s(keep_alive: str) -> float:
    """Returns how long a connection may stay idle, given the server's Keep-Alive header."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        digits = value.isascii() and value.isdecimal() and len(value) <= MAX_TIMEOUT_DIGITS
        if name.lower() == "timeout" and digits:
            return min(MAX_IDLE_S, int(value) * IDLE_FRACTION)
    return MAX_IDLE_S


def _detect_broken_connections(sock: socket.socket) -> None:
    """Makes the operating system close a connection whose peer no longer acknowledges data."""
    enable_tcp_keepalive(sock, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
