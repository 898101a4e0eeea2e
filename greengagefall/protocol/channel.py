"""Writes whole messages to a connection and puts received fragments together."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from greengagefall.protocol.assembly import MAX_SILENCE_S, Assembler
from greengagefall.protocol.codec import encode
from greengagefall.protocol.exceptions import AssemblyError, PeerUnreachableError
from greengagefall.protocol.frames import check_writable, write_frame, write_message
from greengagefall.protocol.messages import (
    FIRST_VERSION_WITH_FRAGMENTS,
    MESSAGE_TYPES,
    Cancel,
    Fragment,
    FragmentsEnd,
)
from greengagefall.protocol.send_queue import FRAGMENT_BYTES, SendQueue
from greengagefall.utils.metrics import Counter, count, observe_ms
from greengagefall.utils.supervision import log_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.connection import Connection

    from greengagefall.protocol.assembly import Assembled
    from greengagefall.protocol.memory_budget import Budget

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# A peer that reads less than a fragment in this time gets nothing more.
STALL_TIMEOUT_S = 5.0
# Pieces that are written before other tasks run.
MAX_PIECES_AT_ONCE = 8
FRAGMENT_TYPES = (Fragment, FragmentsEnd)


class _PeerBytes(dict[str, Counter]):
    """Counters by type name; message types may be registered at any time."""

    def __missing__(self, kind: str) -> Counter:
        counter = self[kind] = Counter("peer_bytes", kind=kind)
        return counter


PEER_BYTES = _PeerBytes()


class MessageChannel:
    """One open connection, by whole messages.

    Args:
        connection: The connection.
        peer: Name of the peer for log lines.
        version: Protocol version of the connection.
        budget: Memory for large messages.
        drops_outbound: Returns whether a fault switch drops what is sent.
    """

    def __init__(
        self,
        connection: Connection,
        peer: str,
        version: int,
        budget: Budget,
        drops_outbound: Callable[[], bool],
    ) -> None:
        self.connection = connection
        self._peer = peer
        self._may_split = version >= FIRST_VERSION_WITH_FRAGMENTS
        self._drops_outbound = drops_outbound
        self._queue = SendQueue(budget)
        self._assembler = Assembler(budget)
        self._loop = asyncio.get_running_loop()
        self._pump_task: asyncio.Task | None = None
        self._silence_timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Drops incomplete messages of both directions, after the connection ended."""
        if self._pump_task is not None:
            self._pump_task.cancel()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._queue.clear()
        self._assembler.clear()

    def write(self, message: Any, *, reserve: bool = False) -> None:
        """Writes a message, or the parts of a large one as soon as it is their turn.

        Args:
            message: The message.
            reserve: Whether nothing else accounts for the memory of a body that waits.

        Raises:
            FrameError: The message is too large for the peer's version; nothing was sent.
            PeerUnreachableError: The connection is not open, or the peer does not read;
                nothing was sent.
            SendMemoryError: There is no memory to keep a body that waits; nothing was sent.
        """
        if self._drops_outbound():
            return
        buffered_bytes = check_writable(self.connection)
        body = getattr(message, "body", None)
        if body is not None and self._may_split and self._queue.must_wait(body, buffered_bytes):
            self._queue.add(message, self._loop.time(), reserve=reserve)
            self._start_pump()
            return
        frame = encode(message)
        if len(frame) > FRAGMENT_BYTES and body is None and self._may_split:
            self._queue.add_control(message, frame, self._loop.time())
            self._start_pump()
            return
        PEER_BYTES[type(message).__name__].add(write_frame(self.connection, frame))

    def is_incomplete(self, call_id: int) -> bool:
        """Returns whether a message of a call is not completely written.

        The peer cannot have handled it then.
        """
        return self._queue.holds(call_id)

    def withdraw(self, call_id: int) -> bool:
        """Drops the rest of a call's message and what arrived of its reply.

        The peer is told to drop its part of what was sent incompletely.

        Returns:
            Whether the message was not completely written, so that the peer has not handled it and
            never will.
        """
        if self._assembler and self._assembler.drop_call(call_id):
            self._write_cancel(call_id)
        if not self._queue:
            return False
        written_bytes = self._queue.drop(call_id)
        if written_bytes is None:
            return False
        count("peer_messages_withdrawn")
        if written_bytes:
            self._write_cancel(call_id)
        return True

    def drop(self, call_id: int) -> None:
        """Drops what is incomplete of a call that the peer cancelled."""
        if self._assembler:
            self._assembler.drop_call(call_id)
        if self._queue and self._queue.drop(call_id) is not None:
            count("peer_messages_withdrawn")

    def assemble(self, part: Fragment | FragmentsEnd) -> Assembled | None:
        """Adds a received part; returns the message that it completes.

        Raises:
            AssemblyError: The message failed; the connection can go on.
            FrameError: The part is malformed.
        """
        if isinstance(part, Fragment):
            self._add(part)
            return None
        try:
            return self._assembler.finish(part)
        except AssemblyError as error:
            self._report_failure(error)
            raise

    def is_assembling(self) -> bool:
        """Returns whether a message has arrived in part."""
        return bool(self._assembler)

    def _add(self, fragment: Fragment) -> None:
        try:
            added = self._assembler.add(fragment, self._loop.time())
        except AssemblyError as error:
            self._report_failure(error)
            raise
        if not added:
            count("peer_fragments_ignored")
        elif self._silence_timer is None:
            self._silence_timer = self._loop.call_later(MAX_SILENCE_S, self._drop_silent)

    def _drop_silent(self) -> None:
        self._silence_timer = None
        for failure in self._assembler.drop_silent(self._loop.time()):
            self._report_failure(failure)
        if self._assembler:
            self._silence_timer = self._loop.call_later(MAX_SILENCE_S, self._drop_silent)

    def _write_cancel(self, call_id: int) -> None:
        if self._drops_outbound():
            return
        try:
            write_message(self.connection, Cancel(call_id))
        except PeerUnreachableError:
            # The peer drops incomplete messages when the connection ends.
            return

    def _start_pump(self) -> None:
        if self._pump_task is None:
            self._pump_task = asyncio.create_task(self._pump(), name=f"pump {self._peer}")
            self._pump_task.add_done_callback(log_failure)

    async def _pump(self) -> None:
        """Writes what waits whenever the write buffer has been emptied."""
        connection = self.connection
        try:
            while self._queue:
                if connection.paused:
                    async with asyncio.timeout(STALL_TIMEOUT_S):
                        await connection.drain()
                check_writable(connection)
                self._write_some()
                # Lets other tasks run while the operating system takes everything at once.
                await asyncio.sleep(0)
        except TimeoutError:
            count("peer_stalls")
            log.warning(
                "Peer does not read. Closing the connection.",
                extra={"peer": self._peer, "messages": len(self._queue)},
            )
            connection.transport.abort()
        except (PeerUnreachableError, OSError):
            # What waits stays known as unsent until the channel is closed.
            return
        except Exception:
            # Calls must not wait for messages that no task writes any more.
            connection.transport.abort()
            raise
        finally:
            self._pump_task = None

    def _write_some(self) -> None:
        for _ in range(MAX_PIECES_AT_ONCE):
            if self.connection.paused or not self._queue:
                return
            self._write_next()

    def _write_next(self) -> None:
        written = self._queue.next(self._loop.time())
        if written is None:
            return
        if not self._drops_outbound():
            size_bytes = write_frame(self.connection, encode(written.message))
            PEER_BYTES[written.kind].add(size_bytes)
        if isinstance(written.message, Fragment):
            count("peer_fragments", kind=written.kind)
        if written.waited_s is not None:
            observe_ms("peer_queue_ms", written.waited_s * MS_PER_S, kind=written.kind)

    def _report_failure(self, error: AssemblyError) -> None:
        message_type = MESSAGE_TYPES.get(error.kind)
        kind = message_type.__name__ if message_type else "unknown"
        count("peer_message_failures", kind=kind, reason=error.reason)
        log.info(
            "Fragmented message from a peer failed.",
            extra={
                "peer": self._peer,
                "kind": kind,
                "call_id": error.call_id,
                "reason": error.reason,
                "bytes": error.payload_bytes,
            },
        )
