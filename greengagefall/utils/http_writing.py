"""Writes HTTP messages with Tornado without copying large bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.httputil import HTTPConnection, HTTPHeaders, RequestStartLine, ResponseStartLine

# Tornado joins a body that it gets with the headers to one string.
MAX_JOINED_BYTES = 64 * 1024


def write_message(
    connection: HTTPConnection,
    start_line: RequestStartLine | ResponseStartLine,
    headers: HTTPHeaders,
    body: bytes | None,
) -> None:
    """Writes the start line, the headers and the body if there is one."""
    if body is None or len(body) <= MAX_JOINED_BYTES:
        connection.write_headers(start_line, headers, body)
        return
    connection.write_headers(start_line, headers)
    connection.write(body)
