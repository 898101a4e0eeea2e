"""Accepts connections of clients while there is room for them."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

from tornado.netutil import bind_sockets

from greengagefall.gateway.caller_streams import CallerStream

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

BACKLOG = 1024
# Connections that are accepted at a time before other work goes on.
BATCH = 64
PAUSE_S = 0.05
# Bytes of a body that are read at a time. A connection may hold twice as much outside the account.
CHUNK_BYTES = 32_768


class CallerAcceptor:
    """Listens on an address; pauses while there is no room instead of trying again and again.

    Args:
        address: ``IP:port``.
        make_room: Returns whether another connection may be accepted, after closing one for it.
        on_accept: Called with the stream and the peer's address of each new connection.
        on_pause: Called with the reason when accepting pauses.
    """

    def __init__(
        self,
        address: str,
        make_room: Callable[[], bool],
        on_accept: Callable[[CallerStream, tuple], object],
        on_pause: Callable[[str], None],
    ) -> None:
        self._address = address
        self._make_room = make_room
        self._on_accept = on_accept
        self._on_pause = on_pause
        self._sockets: list[socket.socket] = []
        self._timers: dict[socket.socket, asyncio.TimerHandle] = {}

    def start(self) -> None:
        """Opens the port."""
        host, _, port = self._address.rpartition(":")
        self._sockets = bind_sockets(int(port), address=host, backlog=BACKLOG)
        for listening in self._sockets:
            self._resume(listening)

    def close(self) -> None:
        """Closes the port."""
        for listening in self._sockets:
            timer = self._timers.pop(listening, None)
            if timer is not None:
                timer.cancel()
            asyncio.get_running_loop().remove_reader(listening)
            listening.close()
        self._sockets = []

    def _resume(self, listening: socket.socket) -> None:
        self._timers.pop(listening, None)
        asyncio.get_running_loop().add_reader(listening, self._accept_some, listening)

    def _pause(self, listening: socket.socket, reason: str) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        self._timers[listening] = loop.call_later(PAUSE_S, self._resume, listening)
        self._on_pause(reason)

    def _accept_some(self, listening: socket.socket) -> None:
        for _ in range(BATCH):
            if not self._make_room():
                self._pause(listening, "no_room")
                return
            try:
                accepted, address = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # The process or the system has no descriptor or no memory for another socket.
                self._pause(listening, errno.errorcode.get(error.errno, "unknown"))
                return
            accepted.setblocking(False)
            stream = CallerStream(accepted, read_chunk_size=CHUNK_BYTES)
            self._on_accept(stream, address)
