"""Options of TCP sockets."""

from __future__ import annotations

import socket


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
