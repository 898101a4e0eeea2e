"""Streaming watch on a connection of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from typing import TYPE_CHECKING, Any

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from greengagefall.store.exceptions import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tornado.httputil import ResponseStartLine
    from tornado.iostream import IOStream

log = logging.getLogger(__name__)

MAX_QUEUED_CHUNKS = 64
MAX_LINE_BYTES = 16 * 1024 * 1024


class _ChunkReader(HTTPMessageDelegate):
    """Puts the chunks of a response into a queue; None marks the end of the response."""

    def __init__(self) -> None:
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self.status = 0

    async def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Stores the HTTP status."""
        self.status = getattr(start_line, "code", 0)

    async def data_received(self, chunk: bytes) -> None:
        """Queues a chunk; a full queue stops reading from the connection."""
        await self.chunks.put(chunk)


class WatchStream:
    """Reads the lines of one streaming call.

    Args:
        address: ``IP:port`` of the gateway.
        headers: Headers of the call.
        connect_timeout_s: Timeout for connecting.
    """

    def __init__(self, address: str, headers: dict[str, str], connect_timeout_s: float) -> None:
        self._address = address
        self._headers = headers
        self._connect_timeout_s = connect_timeout_s
        self._reader = _ChunkReader()
        self._stream: IOStream | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, path: str, body: dict[str, Any]) -> None:
        """Connects and sends the call.

        Raises:
            StoreUnavailableError: The connection could not be established.
        """
        host, _, port = self._address.rpartition(":")
        payload = json.dumps(body).encode()
        headers = HTTPHeaders(self._headers)
        headers["Host"] = self._address
        headers["Content-Length"] = str(len(payload))
        try:
            self._stream = await asyncio.wait_for(
                TCPClient().connect(host, int(port)), self._connect_timeout_s
            )
            connection = HTTP1Connection(self._stream, is_client=True)
            connection.write_headers(RequestStartLine("POST", path, "HTTP/1.1"), headers, payload)
            connection.finish()
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        self._reading = asyncio.create_task(self._read(connection))

    async def close(self) -> None:
        """Closes the connection."""
        if self._stream is not None:
            self._stream.close()
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)

    async def lines(self, first_deadline_s: float, until_s: float) -> AsyncIterator[dict[str, Any]]:
        """Yields the JSON objects until ``until_s`` of the event loop's clock.

        Raises:
            StoreUnavailableError: Nothing was received until ``first_deadline_s``, the connection
                ended, or a line is malformed.
        """
        chunk = await self._next_chunk(first_deadline_s)
        if chunk is None:
            raise StoreUnavailableError("the store did not confirm the watch in time")
        pending = b""
        while chunk is not None:
            *lines, pending = (pending + chunk).split(b"\n")
            if len(pending) > MAX_LINE_BYTES:
                raise StoreUnavailableError(f"a line of the watch is over {MAX_LINE_BYTES} bytes")
            for line in lines:
                if line.strip():
                    yield self._parse(line)
            chunk = await self._next_chunk(until_s)

    async def _read(self, connection: HTTP1Connection) -> None:
        with contextlib.suppress(StreamClosedError):
            await connection.read_response(self._reader)
        await self._reader.chunks.put(None)

    async def _next_chunk(self, until_s: float) -> bytes | None:
        remaining_s = until_s - asyncio.get_running_loop().time()
        try:
            chunk = await asyncio.wait_for(self._reader.chunks.get(), max(0.0, remaining_s))
        except TimeoutError:
            return None
        if chunk is None:
            raise StoreUnavailableError("the connection of the watch ended")
        if self._reader.status != 200:
            raise StoreUnavailableError(
                f"status of the watch is {self._reader.status}; expected 200"
            )
        return chunk

    def _parse(self, line: bytes) -> dict[str, Any]:
        try:
            row = json.loads(line)
            result = row["result"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise StoreUnavailableError(
                f"a line of the watch has no result: {line[:200]!r}"
            ) from error
        if not isinstance(result, dict):
            raise StoreUnavailableError(
                f"result in a line of the watch is not an object: {line[:200]!r}"
            )
        return result
