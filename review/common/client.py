"""Stand-in for clients: one HTTP request on a new connection, and steady traffic."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from typing import NamedTuple

HOST_NAME = "shop.example"
NO_ANSWER = 0
CONNECT_TIMEOUT_S = 1.0


class Reply(NamedTuple):
    """What a client saw of one request.

    Attributes:
        request_id: Its id.
        status: Status of the answer, ``NO_ANSWER`` without a complete one.
        signed: Whether the answer had the server's signature.
        body: Its body.
        sent_s: When it was sent.
        ended_s: When the answer was complete, or the client left.
    """

    request_id: str
    status: int
    signed: bool
    body: bytes
    sent_s: float
    ended_s: float


async def request(
    address: str,
    method: str,
    path: str,
    deadline_s: float,
    *,
    request_id: str,
    key: int | None = None,
    body: bytes = b"",
) -> Reply:
    """Sends one request on a new connection and waits until its deadline."""
    sent_s = time.monotonic()
    host, _, port = address.rpartition(":")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {int(deadline_s * 1000)}",
        f"Content-Length: {len(body)}",
    ]
    if key is not None:
        lines.append(f"Shard-Key: {key}")
    status, signed, answer = NO_ANSWER, False, b""
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {}
            for line in head[1:]:
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
            answer = await reader.readexactly(int(fields.get("content-length", "0")))
            status, signed = int(head[0].split()[1]), "upstream-signature" in fields
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        status = NO_ANSWER
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return Reply(request_id, status, signed, answer, sent_s, time.monotonic())


class Route(NamedTuple):
    """A kind of requests."""

    method: str
    prefix: str
    deadline_s: float
    keyed: bool


class Traffic:
    """Sends requests of one kind at a steady rate, to all entry addresses in turn.

    Attributes:
        replies: What the clients saw, in the order of the ends.
    """

    def __init__(
        self, addresses: list[str], route: Route, per_s: float, name: str, body: bytes = b""
    ) -> None:
        self.replies: list[Reply] = []
        self._addresses = itertools.cycle(addresses)
        self._route = route
        self._per_s = per_s
        self._name = name
        self._body = body
        self._numbers = itertools.count(1)
        self._random = random.Random(name)
        self._task: asyncio.Task | None = None
        self._open: set[asyncio.Task] = set()

    def start(self) -> None:
        """Starts to send."""
        self._task = asyncio.create_task(self._send())

    async def close(self) -> None:
        """Stops sending and waits for the last requests."""
        if self._task is not None:
            self._task.cancel()
        await asyncio.gather(*self._open)

    async def _send(self) -> None:
        while True:
            task = asyncio.create_task(self._one(f"{self._name}-{next(self._numbers)}"))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            await asyncio.sleep(1 / self._per_s)

    async def _one(self, request_id: str) -> None:
        key = self._random.randrange(65536) if self._route.keyed else None
        reply = await request(
            next(self._addresses),
            self._route.method,
            f"{self._route.prefix}{request_id}",
            self._route.deadline_s,
            request_id=request_id,
            key=key,
            body=self._body,
        )
        self.replies.append(reply)
