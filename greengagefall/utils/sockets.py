"""Options of TCP sockets."""

from __future__ import annotations

import socket
import struct

# SO_LINGER, enabled with a time of 0 s.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def enable_tcp_keepalive(sock: socket.socket, idle_s: int, interval_s: int, probes: int) -> None:
    """Enables TCP keepalive, so that the operating system detects a dead connection.

    Args:
        sock: A TCP socket.
        idle_s: Idle time before the first probe, in seconds.
        interval_s: Time between probes, in seconds.
        probes: Number of unanswered probes after which the connection is closed.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if not hasattr(socket, "TCP_KEEPIDLE"):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)


def reset_on_close(sock: socket.socket) -> None:
    """Makes the end of the socket reset its connection and discard what is not delivered yet.

    Otherwise the operating system goes on sending after a close, so that the peer may receive a
    message long after its sender has given it up. Not every platform resets the connections of a
    process that is killed, so nothing may rest on that.

    Args:
        sock: A TCP socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
