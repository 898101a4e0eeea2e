"""A TCP proxy on loopback that injects network faults."""

from __future__ import annotations

import asyncio
import contextlib

from greengagefall.utils.sockets import reset_on_close

CHUNK_BYTES = 65_536


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
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.target = target
        self.clear_faults()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def clear_faults(self) -> None:
        """Ends all faults."""
        self.delay_s = 0.0
        self.drops_to_target = False
        self.drops_from_target = False
        self.refuses = False

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                reset_on_close(sock)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.refuses:
            writer.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, to_target=True),
                self._forward(target_reader, writer, to_target=False),
            )
        self._writers -= writers
        for stream_writer in writers:
            stream_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, to_target: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.drops_to_target if to_target else self.drops_from_target:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
