"""A TCP proxy on loopback that injects network faults."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.utils.sockets import reset_on_close

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536
# Times after its sending at which TCP repeats data that is not acknowledged.
REPETITIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)


def _concerns_all(caller_port: int) -> bool:
    return True


def concerns_none(caller_port: int) -> bool:
    """Returns that no connection is concerned, whatever the port of its caller."""
    return False


class _Chunk(NamedTuple):
    """Data and the time of the loop at which it was read."""

    written_s: float
    data: bytes


class _Pipe:
    """One direction of a connection: what was read on one side and not yet delivered to the other.

    Attributes:
        to_target: Whether the direction is that to the target.
        chunks: Data not yet delivered, in order.
        closed: Whether the sender closed the connection; delivered after the data.
        was_reset: Whether the sender reset the connection.
        outlives: Whether what the sender wrote is delivered although its process has ended.
        late_until_s: Time of the loop before which nothing is delivered.
        changed: Set when any of these attributes changed.
    """

    def __init__(self, *, to_target: bool) -> None:
        self.to_target = to_target
        self.chunks: deque[_Chunk] = deque()
        self.closed = False
        self.was_reset = False
        self.outlives = False
        self.late_until_s = 0.0
        self.changed = asyncio.Event()

    def has_ended(self) -> bool:
        """Returns whether the sender closed or reset the connection."""
        return self.closed or self.was_reset

    def is_pending(self) -> bool:
        """Returns whether anything is left to deliver."""
        return bool(self.chunks) or self.has_ended()

    def repeat_after(self, now_s: float) -> float:
        """Returns when the operating system of a killed sender repeats what is not delivered."""
        repetitions_s = (self.chunks[0].written_s + after_s for after_s in REPETITIONS_S)
        return next((time_s for time_s in repetitions_s if time_s >= now_s), math.inf)

    async def wait_for_change(self, timeout_s: float | None) -> None:
        """Waits until an attribute changes, at most ``timeout_s``; None means without a limit."""
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()

    def lose_data(self) -> None:
        """Discards the data; what is left to deliver is a reset."""
        self.chunks.clear()
        self.was_reset = True
        self.changed.set()


class _Connection:
    """A connection through the proxy.

    Attributes:
        caller_writer: Side of the caller.
        caller_port: Port of the caller.
        target_writer: Side of the target, None until the connection has reached it.
        concerned: Whether a hold concerns this connection.
        to_target: Direction to the target.
        from_target: Direction from the target.
    """

    def __init__(self, caller_writer: asyncio.StreamWriter) -> None:
        self.caller_writer = caller_writer
        self.caller_port: int = caller_writer.get_extra_info("peername")[1]
        self.target_writer: asyncio.StreamWriter | None = None
        self.concerned = False
        self.to_target = _Pipe(to_target=True)
        self.from_target = _Pipe(to_target=False)

    def pipes(self) -> tuple[_Pipe, _Pipe]:
        """Returns both directions."""
        return self.to_target, self.from_target

    def reset(self) -> None:
        """Resets both sides."""
        _reset(self.caller_writer)
        self.reset_target()

    def reset_target(self) -> None:
        """Resets the side of the target."""
        if self.target_writer is not None:
            _reset(self.target_writer)


class TcpProxy:
    """Forwards connections to one address and injects faults.

    Args:
        target: ``IP:port`` of the listener to forward to.

    Attributes:
        address: ``IP:port`` of the proxy, empty before the start.
        delay_s: Delay of each chunk of data.
        drops_to_target: Whether data sent to the target is dropped.
        drops_from_target: Whether data sent by the target is dropped.
        refuses: Whether new connections are closed immediately.
        refuses_from: Returns whether new connections from this port of a caller are reset, while
            connections that are open live on.
        holds_to_target: Whether data sent to the target is held back.
        holds_from_target: Whether data sent by the target is held back.
        discarded: How often held data was lost because its sender reset the connection.
        healed_s: Time of the loop at which the last hold ended, minus infinity before.
        late_ports: Ports of the proxy from which the target last got data that was held up.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.target = target
        self.holds_to_target = False
        self.holds_from_target = False
        self._concerns = _concerns_all
        self.refuses_from: Callable[[int], bool] = concerns_none
        self.discarded = 0
        self.healed_s = -math.inf
        self.late_ports: set[int] = set()
        self.clear_faults()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def clear_faults(self) -> None:
        """Ends all faults except a hold, which ``release`` ends."""
        self.delay_s = 0.0
        self.drops_to_target = False
        self.drops_from_target = False
        self.refuses = False

    def is_holding(self) -> bool:
        """Returns whether data is held back in any direction."""
        return self.holds_to_target or self.holds_from_target

    def hold(
        self,
        *,
        to_target: bool = True,
        from_target: bool = True,
        concerns: Callable[[int], bool] = _concerns_all,
    ) -> None:
        """Holds data back as a network partition does, until ``release``.

        The held data of a sender that resets its connection is discarded, unless the sender was
        killed (``outlive``). New connections are accepted, but never reach the target; they are
        reset at the release.

        Args:
            to_target: Whether data to the target is held.
            from_target: Whether data from the target is held.
            concerns: Returns whether connections from this port of a caller are held.
        """
        self._concerns = concerns
        for connection in self._connections:
            connection.concerned = concerns(connection.caller_port)
        self.holds_to_target = to_target
        self.holds_from_target = from_target

    def outlive(self, concerns: Callable[[int], bool]) -> int:
        """Tells the proxy that callers are killed now, before it sees the resets of their sockets.

        On loopback the end of a process resets its connections, so that the proxy cannot tell it
        from a caller that gives up. Between hosts the operating system of a killed process goes on
        sending what the process wrote.

        Args:
            concerns: Returns whether connections from this port of a caller are those of a process
                that is killed.

        Returns:
            Number of connections with data that is delivered late.
        """
        killed = [one for one in self._connections if concerns(one.caller_port)]
        for connection in killed:
            connection.to_target.outlives = True
        return sum(bool(one.target_writer and one.to_target.chunks) for one in killed)

    def target_ports(self) -> list[int]:
        """Returns the ports from which the proxy is connected to the target."""
        writers = (one.target_writer for one in self._connections)
        return [writer.get_extra_info("sockname")[1] for writer in writers if writer is not None]

    def has_left_behind(self) -> bool:
        """Returns whether anything that outlives its sender is not delivered yet."""
        return any(
            one.target_writer and one.to_target.outlives and one.to_target.chunks
            for one in self._connections
        )

    def release(self, late_s: Callable[[], float] = lambda: 0.0) -> None:
        """Ends a hold; what was held is delivered in order.

        Args:
            late_s: Returns how long after the release the data of one direction of a connection is
                delivered, since its sender repeats what was lost only after a while. What outlives
                its sender is delivered at the next of ``REPETITIONS_S``, or never after the last.
        """
        now_s = asyncio.get_running_loop().time()
        for connection in self._connections:
            for pipe in connection.pipes():
                if self._is_held(connection, pipe) and pipe.is_pending():
                    is_repeated = pipe.outlives and pipe.chunks
                    late_until_s = pipe.repeat_after(now_s) if is_repeated else now_s + late_s()
                    pipe.late_until_s = late_until_s
                pipe.changed.set()
        self.healed_s = now_s
        self.holds_to_target = False
        self.holds_from_target = False

    def reset(self, concerns: Callable[[int], bool] = _concerns_all) -> None:
        """Resets connections, as the end of the target's process does.

        While data from the target is held, callers see that only after the release.

        Args:
            concerns: Returns whether connections from this port of a caller are reset.
        """
        for connection in list(self._connections):
            if not concerns(connection.caller_port):
                continue
            if not self._is_cut(connection):
                connection.reset()
            elif connection.target_writer is not None:
                connection.reset_target()
                connection.to_target.chunks.clear()
                connection.from_target.lose_data()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection = _Connection(writer)
        connection.concerned = self.is_holding() and self._concerns(connection.caller_port)
        self._connections.add(connection)
        reading = asyncio.create_task(self._read(connection, connection.to_target, reader))
        try:
            target_reader = await self._connect(connection)
            if target_reader is not None:
                await asyncio.gather(
                    reading,
                    self._deliver(connection, connection.to_target, connection.target_writer),
                    self._read(connection, connection.from_target, target_reader),
                    self._deliver(connection, connection.from_target, writer),
                )
        except asyncio.CancelledError:
            pass
        finally:
            reading.cancel()
            self._connections.discard(connection)
            writer.close()
            if connection.target_writer is not None:
                connection.target_writer.close()

    async def _connect(self, connection: _Connection) -> asyncio.StreamReader | None:
        """Connects to the target unless that is held back; returns None if there is no connection.

        The operating system repeats the opening of a connection later than callers wait for it, so
        that a connection opened during a hold never reaches the target.
        """
        if self._is_cut(connection):
            while self._is_cut(connection):
                await connection.to_target.wait_for_change(None)
            _reset(connection.caller_writer)
            return None
        if self.refuses:
            return None
        if self.refuses_from(connection.caller_port):
            _reset(connection.caller_writer)
            return None
        host, _, port = self.target.rpartition(":")
        try:
            reader, connection.target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            connection.caller_writer.transport.abort()
            return None
        # The target's process may have ended meanwhile.
        return None if connection.caller_writer.is_closing() else reader

    def _is_cut(self, connection: _Connection) -> bool:
        return connection.concerned and self.is_holding()

    def _is_held(self, connection: _Connection, pipe: _Pipe) -> bool:
        if not connection.concerned:
            return False
        return self.holds_to_target if pipe.to_target else self.holds_from_target

    async def _read(
        self, connection: _Connection, pipe: _Pipe, reader: asyncio.StreamReader
    ) -> None:
        """Reads even while data is held, so that a reset by the sender is noticed."""
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not (self.drops_to_target if pipe.to_target else self.drops_from_target):
                    pipe.chunks.append(_Chunk(loop.time(), data))
                    pipe.changed.set()
        except OSError:
            is_late = self._is_held(connection, pipe) or pipe.late_until_s > loop.time()
            pipe.closed = is_late and pipe.outlives
            pipe.was_reset = not pipe.closed
            if is_late and pipe.was_reset:
                self.discarded += bool(pipe.chunks)
                pipe.chunks.clear()
        else:
            pipe.closed = True
        pipe.changed.set()

    async def _deliver(
        self, connection: _Connection, pipe: _Pipe, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await self._next_chunk(connection, pipe):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if pipe.to_target:
                    self._note_delivery(writer, is_late=chunk.written_s < pipe.late_until_s)
                writer.write(chunk.data)
                await writer.drain()
        if pipe.was_reset:
            _reset(writer)
        writer.close()

    def _note_delivery(self, writer: asyncio.StreamWriter, *, is_late: bool) -> None:
        port = writer.get_extra_info("sockname")[1]
        if is_late:
            self.late_ports.add(port)
        else:
            self.late_ports.discard(port)

    async def _next_chunk(self, connection: _Connection, pipe: _Pipe) -> _Chunk | None:
        """Waits for data that may be delivered; returns None after the last."""
        while True:
            wait_s = None
            if pipe.is_pending() and not self._is_held(connection, pipe):
                wait_s = pipe.late_until_s - asyncio.get_running_loop().time()
                if wait_s <= 0:
                    return pipe.chunks.popleft() if pipe.chunks else None
            await pipe.wait_for_change(wait_s)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        reset_on_close(sock)
    writer.transport.abort()
