"""Decides which connections of clients are closed, and whether another one is accepted."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.memory.account import Holder
    from greengagefall.memory.client_limits import ClientLimits
    from greengagefall.utils.clock import Clock

# A body or an answer that moves less than ``PROGRESS_BYTES`` in this time is ended. No client that
# still works is that slow: it would need over ten hours for a body of 64 MB.
TRANSFER_STALL_S = 20.0
# From this share of the connections on, answers ask clients to close theirs, so that connections
# that wait for a next request leave room for new ones.
CLOSING_SHARE = 0.75
# A new connection gets this long to begin a request before it may be closed to make room.
MIN_SILENT_S = 0.5
# A body or an answer without progress for this long may be ended to make room.
MIN_TRANSFER_STALL_S = 2.0

HEADER_TIMEOUT = "header_timeout"
IDLE_TIMEOUT = "idle_timeout"
BODY_TIMEOUT = "body_timeout"
ANSWER_NOT_READ = "answer_not_read"
HEADS_MEMORY = "heads_memory"
MAKE_ROOM = "make_room"


class State(enum.Enum):
    """What a connection is used for now."""

    SILENT = "silent"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    WRITING = "writing"


class TrackedConnection:
    """State of a client's connection.

    Attributes:
        state: What it is used for now.
        since_s: When that began.
        head_bytes: Bytes of an incomplete header block.
        holder: Memory of the body that is read or the answer that is written.
        closes: Whether it is closed after the present answer.
    """

    def __init__(self, now_s: float) -> None:
        self.state = State.SILENT
        self.since_s = now_s
        self.head_bytes = 0
        self.holder: Holder | None = None
        self.closes = False

    def enter(self, state: State, now_s: float, holder: Holder | None = None) -> None:
        """Begins another use of the connection."""
        self.state = state
        self.since_s = now_s
        self.head_bytes = 0
        self.holder = holder


class Closing(NamedTuple):
    """A connection that is to be closed, and why."""

    connection: TrackedConnection
    reason: str


class ConnectionRegister:
    """Connections of clients that are open.

    Args:
        clock: Clock that counts suspended time.
        max_connections: Connections that may be open at once.
        max_heads_bytes: Bytes that incomplete header blocks may hold together.
    """

    def __init__(self, clock: Clock, max_connections: int, max_heads_bytes: int) -> None:
        self._clock = clock
        self._max_connections = max_connections
        self._max_heads_bytes = max_heads_bytes
        # In the order in which they were accepted.
        self._connections: dict[TrackedConnection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def has_room(self) -> bool:
        """Whether another connection may be accepted."""
        return len(self._connections) < self._max_connections

    @property
    def nearly_full(self) -> bool:
        """Whether answers should ask clients to close their connections."""
        return len(self._connections) >= CLOSING_SHARE * self._max_connections

    def open(self) -> TrackedConnection:
        """Returns the state of a connection that was accepted."""
        connection = TrackedConnection(self._clock.now_s())
        self._connections[connection] = None
        return connection

    def remove(self, connection: TrackedConnection) -> None:
        """Forgets a connection that was closed."""
        self._connections.pop(connection, None)

    def connections(self) -> Iterable[TrackedConnection]:
        """Returns all connections."""
        return self._connections

    def heads_bytes(self) -> int:
        """Returns the bytes of all incomplete header blocks."""
        return sum(connection.head_bytes for connection in self._connections)

    def overdue(self, limits: ClientLimits) -> list[Closing]:
        """Returns the connections whose time is over, or whose header blocks do not fit."""
        now_s = self._clock.now_s()
        closings = [
            Closing(connection, reason)
            for connection in self._connections
            if (reason := _overdue_reason(connection, limits, now_s))
        ]
        return closings + self._largest_heads({closing.connection for closing in closings})

    def find_removable(self) -> TrackedConnection | None:
        """Returns the connection to close for a new one, if there is one.

        First the oldest one with an incomplete header block or without any request so far, then the
        one whose body or answer has made no progress for longest. A connection that waits for its
        next request is not closed: its client may be about to send it.
        """
        latest_s = self._clock.now_s() - MIN_SILENT_S
        unused = [
            connection
            for connection in self._connections
            if connection.state in (State.HEAD, State.SILENT) and connection.since_s <= latest_s
        ]
        if unused:
            return min(unused, key=lambda connection: connection.since_s)
        latest_s = self._clock.now_s() - MIN_TRANSFER_STALL_S
        stalled = [
            (connection.holder.progress_s, number, connection)
            for number, connection in enumerate(self._connections)
            if connection.state in (State.BODY, State.WRITING)
            and connection.holder is not None
            and connection.holder.progress_s <= latest_s
        ]
        return min(stalled)[-1] if stalled else None

    def _largest_heads(self, closed: set[TrackedConnection]) -> list[Closing]:
        heads = [
            connection
            for connection in self._connections
            if connection.head_bytes and connection not in closed
        ]
        excess_bytes = sum(connection.head_bytes for connection in heads) - self._max_heads_bytes
        closings = []
        for connection in sorted(heads, key=lambda one: -one.head_bytes):
            if excess_bytes <= 0:
                break
            excess_bytes -= connection.head_bytes
            closings.append(Closing(connection, HEADS_MEMORY))
        return closings


def _overdue_reason(connection: TrackedConnection, limits: ClientLimits, now_s: float) -> str:
    """Returns why a connection has to be closed now, or an empty string."""
    age_s = now_s - connection.since_s
    if connection.state in (State.SILENT, State.IDLE):
        return IDLE_TIMEOUT if age_s > limits.idle_timeout_s else ""
    if connection.state == State.HEAD:
        return HEADER_TIMEOUT if age_s > limits.header_timeout_s else ""
    holder = connection.holder
    if holder is None or now_s - holder.progress_s <= TRANSFER_STALL_S:
        return ""
    if connection.state == State.BODY:
        return BODY_TIMEOUT
    return ANSWER_NOT_READ if connection.state == State.WRITING else ""
