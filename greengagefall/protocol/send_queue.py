"""Decides what is written next to a connection, and when; has no connection itself.

Control messages that fit into one fragment are written at once. Bodies wait while the connection's
write buffer holds more than ``WINDOW_BYTES``, so that nothing but one fragment precedes a control
message. Messages that wait take turns, a fragment each; large control messages go first.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.protocol.codec import encode
from greengagefall.protocol.exceptions import PeerUnreachableError, SendMemoryError
from greengagefall.protocol.messages import MESSAGE_KINDS, Fragment, FragmentsEnd

if TYPE_CHECKING:
    from greengagefall.protocol.memory_budget import Budget

# A fragment takes 52 ms on a link of 5 Mbit/s.
FRAGMENT_BYTES = 32 * 1024
WINDOW_BYTES = 32 * 1024
# Unfragmented messages with a body that may wait for one connection.
MAX_WAITING_BYTES = 8 * 1024 * 1024
MS_PER_S = 1000.0


class Written(NamedTuple):
    """What to write next.

    Attributes:
        message: The message, or a part of it.
        kind: Type name of the whole message.
        waited_s: How long the whole message waited if this is its last part, else None.
    """

    message: Any
    kind: str
    waited_s: float | None


class _Waiting:
    """A message that waits, and how much of it is written.

    Attributes:
        payload: What is split into fragments; None for a message of one piece.
        whole_frame: Whether the payload is the whole frame, not only the body.
        reserved_bytes: Memory to release once it is written or dropped.
    """

    def __init__(self, message: Any, now_s: float) -> None:
        self.message = message
        self.since_s = now_s
        self.payload: memoryview | None = None
        self.whole_frame = False
        self.message_id = 0
        self.offset = 0
        self.reserved_bytes = 0


class SendQueue:
    """Messages that wait to be written to one connection.

    Args:
        budget: Memory for waiting bodies that nothing else accounts for.
    """

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        # By call id, in the order of their turns; a negative number replaces an id that is 0.
        self._control: OrderedDict[int, _Waiting] = OrderedDict()
        self._bodies: OrderedDict[int, _Waiting] = OrderedDict()
        self._message_ids = itertools.count(1)
        self._keys = itertools.count(1)
        self._waiting_bytes = 0

    def __len__(self) -> int:
        return len(self._control) + len(self._bodies)

    def __bool__(self) -> bool:
        return bool(self._bodies or self._control)

    def must_wait(self, body: bytes, buffered_bytes: int) -> bool:
        """Returns whether a body has to wait, by its size and that of the write buffer."""
        if len(body) > FRAGMENT_BYTES or buffered_bytes > WINDOW_BYTES:
            return True
        return bool(self._bodies)

    def add(self, message: Any, now_s: float, *, reserve: bool = False) -> None:
        """Adds a message with a body.

        Args:
            message: The message.
            now_s: Time on a monotonic clock.
            reserve: Whether nothing else accounts for the memory of the body.

        Raises:
            PeerUnreachableError: Too much waits already.
            SendMemoryError: There is no memory to keep it.
        """
        waiting = _Waiting(message, now_s)
        size_bytes = len(message.body)
        is_large = size_bytes > FRAGMENT_BYTES
        if not is_large and self._waiting_bytes + size_bytes > MAX_WAITING_BYTES:
            raise PeerUnreachableError(
                f"overloaded: {self._waiting_bytes} bytes wait for the connection; nothing was sent"
            )
        if reserve and not self._budget.reserve(size_bytes):
            raise SendMemoryError(f"no memory to keep {size_bytes} bytes until they are sent")
        waiting.reserved_bytes = size_bytes if reserve else 0
        if is_large:
            self._split(waiting, message.body)
        else:
            self._waiting_bytes += size_bytes
        self._append(self._bodies, waiting)

    def add_control(self, message: Any, frame: bytes, now_s: float) -> None:
        """Adds a control message whose frame is larger than a fragment."""
        waiting = _Waiting(message, now_s)
        waiting.whole_frame = True
        self._split(waiting, frame)
        self._append(self._control, waiting)

    def next(self, now_s: float) -> Written | None:
        """Returns what to write next, None if nothing waits."""
        turns = self._control or self._bodies
        if not turns:
            return None
        key = next(iter(turns))
        waiting = turns[key]
        kind = type(waiting.message).__name__
        payload = waiting.payload
        if payload is not None and waiting.offset < len(payload):
            turns.move_to_end(key)
            return Written(_next_fragment(waiting, payload), kind, None)
        del turns[key]
        self._account_for_end(waiting)
        return Written(_last_piece(waiting, now_s), kind, now_s - waiting.since_s)

    def holds(self, call_id: int) -> bool:
        """Returns whether a message of a call is not completely written."""
        return call_id in self._control or call_id in self._bodies

    def drop(self, call_id: int) -> int | None:
        """Drops what waits of a call; returns the bytes of it that were written, None if none."""
        waiting = self._control.pop(call_id, None) or self._bodies.pop(call_id, None)
        if waiting is None:
            return None
        self._account_for_end(waiting)
        return waiting.offset

    def clear(self) -> None:
        """Drops everything, because the connection ended."""
        for waiting in [*self._control.values(), *self._bodies.values()]:
            self._account_for_end(waiting)
        self._control.clear()
        self._bodies.clear()

    def _append(self, turns: OrderedDict[int, _Waiting], waiting: _Waiting) -> None:
        call_id = waiting.message.call_id
        key = call_id if call_id and not self.holds(call_id) else -next(self._keys)
        turns[key] = waiting

    def _split(self, waiting: _Waiting, payload: bytes) -> None:
        waiting.payload = memoryview(payload)
        waiting.message_id = next(self._message_ids)

    def _account_for_end(self, waiting: _Waiting) -> None:
        if waiting.reserved_bytes:
            self._budget.release(waiting.reserved_bytes)
        if waiting.payload is None:
            self._waiting_bytes -= len(waiting.message.body)


def _next_fragment(waiting: _Waiting, payload: memoryview) -> Fragment:
    offset = waiting.offset
    data = bytes(payload[offset : offset + FRAGMENT_BYTES])
    waiting.offset += len(data)
    message = waiting.message
    kind = MESSAGE_KINDS[type(message)]
    return Fragment(message.call_id, waiting.message_id, kind, len(payload), offset, data)


def _last_piece(waiting: _Waiting, now_s: float) -> Any:
    """Returns the end of a message, with the time that it waited taken off its deadlines."""
    message = _shorten(waiting.message, now_s - waiting.since_s)
    if waiting.payload is None:
        return message
    frame = b"" if waiting.whole_frame else encode(message._replace(body=b""))
    return FragmentsEnd(message.call_id, waiting.message_id, frame)


def _shorten(message: Any, waited_s: float) -> Any:
    """Returns a request with the remaining times that it has after a wait."""
    waited_ms = int(waited_s * MS_PER_S)
    changes = {
        name: max(0, getattr(message, name) - waited_ms)
        for name in ("remaining_ms", "objective_ms")
        if name in message._fields
    }
    return message._replace(**changes) if changes else message
