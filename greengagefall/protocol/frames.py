"""Reads and writes single messages on a WebSocket connection."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING, Any

from websockets.protocol import State

from greengagefall.protocol.codec import MAX_FRAME_BYTES, decode, encode
from greengagefall.protocol.exceptions import FrameError, PeerUnreachableError, VersionError
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.utils.sockets import enable_tcp_keepalive

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection

MAX_WRITE_BUFFER_BYTES = 2 * MAX_FRAME_BYTES
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
    "logger": websockets_log,
}


def write_message(connection: Connection, message: tuple) -> None:
    """Writes one message without waiting for the peer.

    Raises:
        FrameError: The message is larger than ``MAX_FRAME_BYTES``; nothing was sent.
        PeerUnreachableError: The connection is not open, or the peer does not read;
            nothing was sent.
    """
    if connection.protocol.state is not State.OPEN or connection.transport.is_closing():
        raise PeerUnreachableError("the connection is not open; nothing was sent")
    if connection.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
        raise PeerUnreachableError(
            f"overloaded: the write buffer holds over {MAX_WRITE_BUFFER_BYTES} bytes; "
            "nothing was sent"
        )
    frame = encode(message)
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(f"frame has {len(frame)} bytes; expected at most {MAX_FRAME_BYTES}")
    connection.protocol.send_binary(frame)
    connection.send_data()


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
        VersionError: The peer uses another protocol version.
    """
    message = decode(await connection.recv())
    if not isinstance(message, Hello):
        raise FrameError(f"the first message is {type(message).__name__}; expected Hello")
    if message.version != PROTOCOL_VERSION:
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
    enable_tcp_keepalive(sock, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES)
