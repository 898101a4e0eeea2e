"""Reads one request of a client; its body is held within the memory account."""

from __future__ import annotations

import asyncio
import io
from typing import TYPE_CHECKING, Protocol

from tornado.httputil import HTTPMessageDelegate, HTTPServerRequest

from greengagefall.gateway import outcomes
from greengagefall.memory.budget import BODIES
from greengagefall.memory.client_limits import DEFAULT_LIMITS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httputil import HTTPConnection, HTTPHeaders, RequestStartLine, ResponseStartLine

    from greengagefall.memory.account import Holder, MemoryAccount
    from greengagefall.memory.client_limits import ClientLimits

# How long a body that does not fit waits for others to end or to be evicted, without being read.
ROOM_WAIT_S = 1.5
ROOM_CHECK_S = 0.05
# After a refusal the rest of the body is read and dropped for this long; closing at once could
# reset the connection before the client has read the answer.
LINGER_S = 1.0
# A longer number is larger than any limit.
MAX_LENGTH_DIGITS = 18
# Bytes of a header line besides name and value.
LINE_OVERHEAD_BYTES = 4


class RequestSink(Protocol):
    """Takes the requests that were read."""

    def on_request(self, reader: RequestReader) -> None:
        """Serves a complete request."""

    def on_refusal(self, reader: RequestReader, reason: str) -> None:
        """Writes a refusal, without finishing the answer."""


class RequestReader(HTTPMessageDelegate):
    """Reads a request; refuses it if its header block or its body is too large for this host.

    Args:
        connection: Connection that carries the request.
        account: Memory that clients hold.
        read_limits: Returns the limits on the request.
        sink: Takes the request.
        on_body: Called when the header block was read and the body begins.

    Attributes:
        connection: Connection that carries the request.
        request: The request, None until its header block was read.
        body: Holder of the body's memory, None until the header block was read.
        reading: Whether the body is being read.
        size_bytes: Bytes of the body that were read.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        account: MemoryAccount,
        read_limits: Callable[[], ClientLimits],
        sink: RequestSink,
        on_body: Callable[[RequestReader], None],
    ) -> None:
        self.connection = connection
        self.request: HTTPServerRequest | None = None
        self.reading = False
        self.body: Holder | None = None
        self._account = account
        self._read_limits = read_limits
        self._limits = DEFAULT_LIMITS
        self._on_body = on_body
        self._sink = sink
        self._buffer = io.BytesIO()
        self.size_bytes = 0
        self._refused = False
        self._finished = False
        self._linger: asyncio.TimerHandle | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Begins to read the body, unless it cannot be accepted."""
        self.request = HTTPServerRequest(
            connection=self.connection, start_line=start_line, headers=headers
        )
        self.reading = True
        self.body = self._account.open(BODIES, self._evict)
        self._limits = self._read_limits()
        self._on_body(self)
        head_bytes = sum(
            len(name) + len(value) + LINE_OVERHEAD_BYTES for name, value in headers.get_all()
        )
        if head_bytes + len(start_line.path) > self._limits.max_header_bytes:
            self.refuse(outcomes.HEADERS_TOO_LARGE)
            return
        length = headers.get("Content-Length", "")
        if not (length.isascii() and length.isdecimal()):
            return
        if len(length) > MAX_LENGTH_DIGITS or int(length) > self._limits.max_body_bytes:
            self.refuse(outcomes.BODY_TOO_LARGE)
        elif int(length) > self._account.limit_bytes(BODIES):
            self.refuse(outcomes.MEMORY_FULL)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps a part of the body; while there is no room for it, reading pauses."""
        if self._refused:
            return None
        self.size_bytes += len(chunk)
        if self.size_bytes > self._limits.max_body_bytes:
            self.refuse(outcomes.BODY_TOO_LARGE)
            return None
        if not self.body.grow(len(chunk)):
            return self._wait_for_room(chunk)
        self._keep(chunk)
        return None

    def finish(self) -> None:
        """Passes the request on."""
        self.reading = False
        if self._refused:
            self._end_answer()
            return
        self.body.pin()
        # Returned without a copy, unlike the value of other buffers.
        self.request.body = self._buffer.getvalue()
        self._buffer = io.BytesIO()
        self._sink.on_request(self)

    def on_connection_close(self) -> None:
        """Drops what was read of a request whose connection ended."""
        self.reading = False
        self._drop()
        if self._linger is not None:
            self._linger.cancel()

    def refuse(self, reason: str) -> None:
        """Refuses the request, which was not passed on, and drops its body."""
        if self._refused or not self.reading:
            return
        self._refused = True
        self._drop()
        self._linger = asyncio.get_running_loop().call_later(LINGER_S, self._end_answer)
        self._sink.on_refusal(self, reason)

    def time_out(self) -> None:
        """Refuses a request whose body makes no progress."""
        self.refuse(outcomes.BODY_TIMEOUT)

    def drop_unread(self) -> None:
        """Frees what was read of a request that was not passed on; its connection ended."""
        if self.reading or self.request is None:
            self._drop()

    def _evict(self, reason: str) -> None:
        self.refuse(outcomes.MEMORY_FULL)

    def _keep(self, chunk: bytes) -> None:
        self.body.advance(len(chunk))
        self._buffer.write(chunk)

    async def _wait_for_room(self, chunk: bytes) -> None:
        deadline_s = asyncio.get_running_loop().time() + ROOM_WAIT_S
        while not self._refused and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(ROOM_CHECK_S)
            if self.connection.stream.closed():
                return
            if self.body.grow(len(chunk)):
                self._keep(chunk)
                return
        self.refuse(outcomes.MEMORY_FULL)

    def _drop(self) -> None:
        self._buffer = io.BytesIO()
        if self.body is not None:
            self.body.close()

    def _end_answer(self) -> None:
        """Finishes the answer to a refused request; the connection closes unless all was read."""
        if self._finished:
            return
        self._finished = True
        if self._linger is not None:
            self._linger.cancel()
        if not self.connection.stream.closed():
            self.connection.finish()
