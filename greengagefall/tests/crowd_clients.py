"""Clients of a crowd: raw connections that send and read what no ordinary client would."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from typing import TYPE_CHECKING

from greengagefall.standins.platform_documents import caller_headers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

DEADLINE_MS = 8000
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 65_536
CHUNK_BYTES = 50_000
PIECE_BYTES = 20_000
PIECE_PAUSE_S = 0.02
SLOW_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.05
FOREVER_S = 3600.0
ZEROS = bytes(8_000_000)
ENDLESS_FIELD = b"X-Field: " + b"y" * 8000 + b"\r\n"

_numbers = itertools.count()


def head(method: str, path: str, *fields: str) -> bytes:
    """Returns the head of a request with a new id."""
    rows = caller_headers(f"crowd-{next(_numbers)}", DEADLINE_MS, None)
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in rows), *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@contextlib.asynccontextmanager
async def connection(address: str, receive_bytes: int = 0) -> AsyncIterator[socket.socket]:
    """Opens a connection; with ``receive_bytes``, with a small receive buffer."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.setblocking(False)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        yield sock


async def send(sock: socket.socket, data: bytes | memoryview) -> None:
    """Sends all of some data."""
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def read(sock: socket.socket, size_bytes: int = READ_BYTES) -> bytes:
    """Returns the next bytes.

    Raises:
        ConnectionError: The connection has ended.
    """
    data = await asyncio.get_running_loop().sock_recv(sock, size_bytes)
    if not data:
        raise ConnectionError("the host closed the connection")
    return data


async def stay_open() -> None:
    """Waits until the crowd ends."""
    await asyncio.sleep(FOREVER_S)


def body(size_bytes: int) -> memoryview:
    """Returns bytes of a body, which all clients share."""
    return memoryview(ZEROS)[:size_bytes]


async def send_whole(sock: socket.socket, size_bytes: int, left_out_bytes: int = 0) -> None:
    """Sends a request whose body has a length, without the last bytes of the body."""
    await send(sock, head("POST", "/orders/1", f"Content-Length: {size_bytes}"))
    await send(sock, body(size_bytes - left_out_bytes))


async def send_chunks(sock: socket.socket, size_bytes: int, left_out_bytes: int = 0) -> None:
    """Sends a request with a chunked body, without the last bytes of the body."""
    await send(sock, head("POST", "/orders/1", "Transfer-Encoding: chunked"))
    for _ in range(size_bytes // CHUNK_BYTES - 1):
        await send(sock, b"%x\r\n" % CHUNK_BYTES + body(CHUNK_BYTES) + b"\r\n")
    await send(sock, b"%x\r\n" % CHUNK_BYTES + body(CHUNK_BYTES - left_out_bytes))
    if not left_out_bytes:
        await send(sock, b"\r\n0\r\n\r\n")


async def send_pieces(sock: socket.socket, size_bytes: int, left_out_bytes: int = 0) -> None:
    """Sends a request whose body comes piece by piece, without its last bytes."""
    await send(sock, head("POST", "/orders/1", f"Content-Length: {size_bytes}"))
    for start in range(0, size_bytes - left_out_bytes, PIECE_BYTES):
        await send(sock, body(min(PIECE_BYTES, size_bytes - left_out_bytes - start)))
        await asyncio.sleep(PIECE_PAUSE_S)


async def read_answer(sock: socket.socket) -> None:
    """Reads one answer."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += await read(sock)
    fields, _, rest = received.partition(b"\r\n\r\n")
    lengths = [line for line in fields.split(b"\r\n") if line.lower().startswith(b"content-length")]
    remaining_bytes = int(lengths[0].partition(b":")[2]) - len(rest) if lengths else 0
    while remaining_bytes > 0:
        remaining_bytes -= len(await read(sock))
