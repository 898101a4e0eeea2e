"""Options of TCP sockets."""

from __future__ import annotations

import socket


def keep_alive(sock: socket.socket, idle_s: int, interval_s: int, probes: int) -> None:
    """Has the operating system probe a connection on which nothing comes.

    Args:
        sock: A TCP socket.
        idle_s: Silence before the first probe.
        interval_s: Time between probes.
        probes: Probes without an answer after which the connection ends.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if not hasattr(socket, "TCP_KEEPIDLE"):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
