"""Reads and writes single messages on a WebSocket connection."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, Any

from websockets.frames import CloseCode
from websockets.protocol import State

from greengagefall.protocol.codec import MAX_FRAME_BYTES, decode, encode
from greengagefall.protocol.exceptions import FrameError, PeerUnreachableError, VersionError
from greengagefall.protocol.messages import OLDER_VERSIONS, PROTOCOL_VERSION, Hello
from greengagefall.protocol.send_queue import WINDOW_BYTES
from greengagefall.utils.sockets import enable_tcp_keepalive

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection

MAX_WRITE_BUFFER_BYTES = 2 * MAX_FRAME_BYTES
# Bytes that the operating system holds unsent; more of them would delay control messages.
MAX_UNSENT_SOCKET_BYTES = 64 * 1024
MAX_QUEUED_FRAMES = 256
CLOSE_TIMEOUT_S = 0.2

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3

websockets_log = logging.getLogger("greengagefall.protocol.wire")
websockets_log.setLevel(logging.CRITICAL)

CONNECTION_OPTIONS: dict[str, Any] = {
    "compression": None,
    "max_size": MAX_FRAME_BYTES,
    "max_queue": MAX_QUEUED_FRAMES,
    "ping_interval": None,
    "close_timeout": CLOSE_TIMEOUT_S,
    "write_limit": (WINDOW_BYTES, WINDOW_BYTES // 4),
    "logger": websockets_log,
}


def write_message(connection: Connection, message: tuple) -> int:
    """Writes one message without waiting for the peer; returns the size of its frame.

    Raises:
        FrameError: The message is larger than ``MAX_FRAME_BYTES``; nothing was sent.
        PeerUnreachableError: The connection is not open, or the peer does not read;
            nothing was sent.
    """
    check_writable(connection)
    return write_frame(connection, encode(message))


def check_writable(connection: Connection) -> int:
    """Checks that a frame can be written now; returns the size of the write buffer.

    Raises:
        PeerUnreachableError: The connection is not open, or the peer does not read.
    """
    transport = connection.transport
    if connection.protocol.state is not State.OPEN or transport.is_closing():
        raise PeerUnreachableError("the connection is not open; nothing was sent")
    buffered_bytes = transport.get_write_buffer_size()
    if buffered_bytes > MAX_WRITE_BUFFER_BYTES:
        raise PeerUnreachableError(
            f"overloaded: the write buffer holds over {MAX_WRITE_BUFFER_BYTES} bytes; "
            "nothing was sent"
        )
    return buffered_bytes


def write_frame(connection: Connection, frame: bytes) -> int:
    """Writes a frame to an open connection; returns its size.

    Raises:
        FrameError: The frame is larger than ``MAX_FRAME_BYTES``; nothing was sent.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(f"frame has {len(frame)} bytes; expected at most {MAX_FRAME_BYTES}")
    connection.protocol.send_binary(frame)
    connection.send_data()
    return len(frame)


async def close_connection(
    connection: Connection, code: int = CloseCode.NORMAL_CLOSURE, reason: str = ""
) -> None:
    """Closes a connection in ``CLOSE_TIMEOUT_S``, even if the peer does not read."""
    try:
        # The library waits without a limit until the peer has read what was written before.
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await connection.close(code, reason)
    except TimeoutError:
        return
    finally:
        connection.transport.abort()


def read_call_id(message: Any) -> int:
    """Returns the call id of a received message.

    Raises:
        FrameError: The message has no valid call id.
    """
    call_id = getattr(message, "call_id", None)
    if type(call_id) is not int or call_id < 0:
        raise FrameError(f"call_id of {type(message).__name__} is not a non-negative integer")
    return call_id


async def read_hello(connection: Connection) -> Hello:
    """Returns the peer's first message.

    Raises:
        FrameError: The first message is not a valid hello.
        VersionError: This process does not speak the peer's protocol version.
    """
    message = decode(await connection.recv())
    if not isinstance(message, Hello):
        raise FrameError(f"the first message is {type(message).__name__}; expected Hello")
    if message.version != PROTOCOL_VERSION and message.version not in OLDER_VERSIONS:
        raise VersionError(f"protocol version is {message.version!r}; expected {PROTOCOL_VERSION}")
    if not all(isinstance(field, str) for field in message[1:]):
        raise FrameError("a field of the hello is not a string; expected strings after the version")
    return message


def set_socket_options(connection: Connection) -> None:
    """Disables Nagle's algorithm and lets the operating system detect a dead peer when idle."""
    sock = connection.transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if hasattr(socket, "TCP_NOTSENT_LOWAT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_SOCKET_BYTES)
    enable_tcp_keepalive(sock, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES)
