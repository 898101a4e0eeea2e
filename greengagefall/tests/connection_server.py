"""A base class of servers that write raw bytes on real connections."""

from __future__ import annotations

import asyncio
import contextlib


class ConnectionServer:
    """Listens on loopback and serves each connection until it ends.

    Attributes:
        address: ``IP:port``, empty before the start.
        connections: Number of accepted connections.
    """

    def __init__(self) -> None:
        self.address = ""
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Starts listening; returns the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, which is closed afterwards."""
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        with (
            contextlib.closing(writer),
            contextlib.suppress(
                asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError
            ),
        ):
            await self.serve(reader, writer)
