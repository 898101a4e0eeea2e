"""HTTP server for callers that knows whether a request is being read or an answer written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import Any

    from tornado.httputil import HTTPConnection, HTTPHeaders, RequestStartLine, ResponseStartLine


class _RequestReader(HTTPMessageDelegate):
    """Passes a request on and is in ``reading`` from its header until its end."""

    def __init__(self, delegate: HTTPMessageDelegate, reading: set[_RequestReader]) -> None:
        self._delegate = delegate
        self._reading = reading

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Begins to read the body."""
        self._reading.add(self)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Passes a part of the body on."""
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Passes the end of the request on."""
        self._reading.discard(self)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Passes on that the connection ended before the request."""
        self._reading.discard(self)
        self._delegate.on_connection_close()


class CallerConnections(HTTPServer):
    """HTTP server for callers; arguments as for Tornado's server."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Prepares the server."""
        super().initialize(*args, **kwargs)
        self._reading: set[_RequestReader] = set()
        self._open: set[Any] = set()

    @property
    def busy(self) -> bool:
        """Whether a body is being read or an answer has not left this process."""
        return bool(self._reading) or any(opened.stream.writing() for opened in self._open)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Prepares to read the next request of a connection."""
        self._open.add(server_conn)
        return _RequestReader(super().start_request(server_conn, request_conn), self._reading)

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that was closed."""
        self._open.discard(server_conn)
        super().on_close(server_conn)
