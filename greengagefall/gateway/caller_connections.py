"""HTTP server for callers that bounds what their connections hold."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer

from greengagefall.gateway.caller_acceptor import CHUNK_BYTES, CallerAcceptor
from greengagefall.gateway.caller_body import RequestReader
from greengagefall.gateway.caller_streams import drop_unread, unread_bytes, unwritten_bytes
from greengagefall.memory.budget import ANSWERS, CONNECTION_BYTES, CONNECTIONS, HEADS
from greengagefall.memory.client_limits import LimitHistory
from greengagefall.memory.connections import (
    BODY_TIMEOUT,
    MAKE_ROOM,
    Closing,
    ConnectionRegister,
    State,
    TrackedConnection,
)
from greengagefall.utils.metrics import set_level
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1ServerConnection
    from tornado.httputil import HTTPConnection
    from tornado.iostream import IOStream

    from greengagefall.gateway.caller_body import RequestSink
    from greengagefall.memory.account import Holder
    from greengagefall.memory.client_limits import ClientLimits
    from greengagefall.memory.host_memory import HostMemory
    from greengagefall.utils.clock import Clock

CHECK_INTERVAL_S = 0.1
# Tornado closes a connection beyond this without an answer; a little above the limit the reader
# still answers with 431.
MIN_HEADER_BYTES = 65_536
HEADER_MARGIN_BYTES = 16_384


class _Connection:
    """A connection with its state, and the request that is being read or served on it.

    Attributes:
        stream: Stream of the connection.
        tracked: State by which it may be closed.
        reader: Reader of the present request, None before the first one.
        unwritten_bytes: Bytes of the answer that were not written at the last check.
    """

    def __init__(self, stream: IOStream, tracked: TrackedConnection) -> None:
        self.stream = stream
        self.tracked = tracked
        self.reader: RequestReader | None = None
        self.unwritten_bytes = 0


class CallerConnections(HTTPServer):
    """HTTP server for callers.

    Args:
        address: ``IP:port`` to listen on.
        sink: Takes the requests that were read.
        memory: What decides on the memory of callers.
        clock: Clock that counts suspended time.
        read_limits: Returns the limits of the configuration in force, None without one.
    """

    def initialize(
        self,
        address: str,
        sink: RequestSink,
        memory: HostMemory,
        clock: Clock,
        read_limits: Callable[[], ClientLimits | None],
    ) -> None:
        """Prepares the server; Tornado calls this in place of a constructor."""
        super().initialize(_refuse_direct_use, chunk_size=CHUNK_BYTES)
        # Timeouts are applied by the check; Tornado's cover idle time and header block together.
        self.conn_params.header_timeout = None
        # Bodies are limited by the reader, which answers with 413.
        self.conn_params.max_body_size = 1 << 62
        self._sink = sink
        self._account = memory.account
        self._clock = clock
        self._decisions = memory.decisions
        self._read_limits = read_limits
        self._history = LimitHistory(clock)
        self._register = ConnectionRegister(
            clock, memory.budget.connections, memory.account.limit_bytes(HEADS)
        )
        self._open: dict[Any, _Connection] = {}
        self._by_stream: dict[Any, _Connection] = {}
        self._by_tracked: dict[TrackedConnection, _Connection] = {}
        self._acceptor = CallerAcceptor(address, self._make_room, self._on_accept, self._on_pause)
        self._check_task: asyncio.Task | None = None
        self._apply_limits()

    @property
    def busy(self) -> bool:
        """Whether a body is being read or an answer has not left this process."""
        return any(
            one.stream.writing() or (one.reader is not None and one.reader.reading)
            for one in self._open.values()
        )

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._register)

    @property
    def nearly_full(self) -> bool:
        """Whether answers should ask callers to close their connections."""
        return self._register.nearly_full

    def start_serving(self) -> None:
        """Opens the port and starts to check connections."""
        self._acceptor.start()
        self._check_task = start_supervised(self._check, "caller connections")

    def stop(self) -> None:
        """Closes the port."""
        self._acceptor.close()
        super().stop()

    async def close_all_connections(self) -> None:
        """Closes all connections."""
        if self._check_task is not None:
            self._check_task.cancel()
        await super().close_all_connections()

    def hold_answer(self, request_connection: HTTPConnection, size_bytes: int) -> bool:
        """Takes the memory of an answer until it is written; returns False if it does not fit."""
        one = self._by_stream.get(request_connection.stream)
        if one is None:
            return True
        holder = self._account.open(ANSWERS, lambda reason: self._close(one, reason))
        fits = holder.grow(size_bytes)
        if not fits:
            holder.close()
        one.unwritten_bytes = size_bytes
        one.tracked.enter(State.WRITING, self._clock.now_s(), holder)
        return fits

    def close_after_answer(self, request_connection: HTTPConnection) -> None:
        """Closes a connection once its present answer is written."""
        one = self._by_stream.get(request_connection.stream)
        if one is not None:
            one.tracked.closes = True

    def serve_body(self, reader: RequestReader) -> None:
        """Records that a request was read and is being served."""
        one = self._by_stream.get(reader.connection.stream)
        if one is not None:
            one.tracked.enter(State.SERVING, self._clock.now_s())

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTPConnection
    ) -> RequestReader:
        """Prepares to read the next request of a connection."""
        one = self._by_stream[server_conn.stream]
        self._open[server_conn] = one
        self._release_answer(one)
        if one.reader is not None:
            one.tracked.enter(State.IDLE, self._clock.now_s())
        if one.tracked.closes:
            one.stream.close()
        one.reader = RequestReader(
            request_conn, self._account, self._history.current, self._sink, self._on_body_begins
        )
        return one.reader

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forgets a connection that was closed."""
        one = self._open.pop(server_conn, None)
        if one is not None:
            self._release_answer(one)
            if one.reader is not None:
                one.reader.drop_unread()
            drop_unread(one.stream)
            self._register.remove(one.tracked)
            self._by_stream.pop(one.stream, None)
            self._by_tracked.pop(one.tracked, None)
        super().on_close(server_conn)

    def _on_accept(self, stream: IOStream, address: tuple) -> None:
        one = _Connection(stream, self._register.open())
        self._by_stream[stream] = one
        self._by_tracked[one.tracked] = one
        self.handle_stream(stream, address)

    def _on_pause(self, reason: str) -> None:
        self._decisions.record("paused", reason, connections=len(self._register))

    def _on_body_begins(self, reader: RequestReader) -> None:
        one = self._by_stream.get(reader.connection.stream)
        if one is not None:
            one.tracked.enter(State.BODY, self._clock.now_s(), reader.body)

    def _make_room(self) -> bool:
        """Returns whether another connection may be accepted, after closing one for it."""
        if self._register.has_room:
            return True
        removable = self._register.find_removable()
        if removable is None:
            return False
        self._close_recorded(Closing(removable, MAKE_ROOM))
        return True

    async def _check(self) -> None:
        while True:
            self._apply_limits()
            self._measure()
            for closing in self._register.overdue(self._history.current()):
                self._close_recorded(closing)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _apply_limits(self) -> None:
        limits = self._read_limits()
        if limits is not None:
            self._history.update(limits)
        allowed_bytes = max(MIN_HEADER_BYTES, self._history.current().max_header_bytes)
        self.conn_params.max_header_size = allowed_bytes + HEADER_MARGIN_BYTES

    def _measure(self) -> None:
        """Updates what connections hold and how far their answers are written."""
        now_s = self._clock.now_s()
        for one in self._by_stream.values():
            tracked = one.tracked
            if tracked.state == State.WRITING:
                self._measure_answer(one)
            elif tracked.state in (State.SILENT, State.IDLE, State.HEAD):
                head_bytes = unread_bytes(one.stream)
                if head_bytes and tracked.state != State.HEAD:
                    tracked.enter(State.HEAD, now_s)
                tracked.head_bytes = head_bytes
        self._account.set_level(HEADS, self._register.heads_bytes())
        self._account.set_level(CONNECTIONS, len(self._register) * CONNECTION_BYTES)
        for part, held_bytes in self._account.parts_bytes.items():
            set_level("memory_held_bytes", held_bytes, part=part)
        set_level("client_connections", len(self._register))

    def _measure_answer(self, one: _Connection) -> None:
        left_bytes = unwritten_bytes(one.stream)
        holder: Holder | None = one.tracked.holder
        if holder is not None and left_bytes < one.unwritten_bytes:
            holder.advance(one.unwritten_bytes - left_bytes)
        one.unwritten_bytes = left_bytes

    def _release_answer(self, one: _Connection) -> None:
        if one.tracked.state == State.WRITING and one.tracked.holder is not None:
            one.tracked.holder.close()

    def _close_recorded(self, closing: Closing) -> None:
        one = self._by_tracked.get(closing.connection)
        if one is None:
            return
        tracked = closing.connection
        self._decisions.record(
            "closed",
            closing.reason,
            state=tracked.state.value,
            age_s=round(self._clock.now_s() - tracked.since_s, 2),
            held_bytes=tracked.holder.held_bytes if tracked.holder else tracked.head_bytes,
            connections=len(self._register),
        )
        self._close(one, closing.reason)

    def _close(self, one: _Connection, reason: str) -> None:
        """Closes a connection; a body that makes no progress is refused first."""
        if reason == BODY_TIMEOUT and one.reader is not None:
            one.reader.time_out()
            return
        # Its descriptor is free at once, although Tornado reports the end later.
        self._register.remove(one.tracked)
        one.stream.close()


def _refuse_direct_use(request: object) -> None:
    """Stands for Tornado's request callback, which ``start_request`` does without."""
    raise NotImplementedError
