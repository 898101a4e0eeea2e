"""Serves the readiness check for the platform and metrics for operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from greengagefall.utils.metrics import render_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerRequest

OK = 200
UNAVAILABLE = 503
METRICS_PATH = "/metrics"
REASONS = {OK: "OK", UNAVAILABLE: "Service Unavailable"}


class StatusServer:
    """Serves readiness on one address and metrics on another.

    Args:
        readiness_address: ``IP:port`` of the readiness check.
        metrics_address: ``IP:port`` of the metrics, empty for none.
        is_ready: Whether this host is ready for requests of callers.
    """

    def __init__(
        self, readiness_address: str, metrics_address: str, is_ready: Callable[[], bool]
    ) -> None:
        self._addresses = [address for address in (readiness_address, metrics_address) if address]
        self._is_ready = is_ready
        self._server = HTTPServer(self._on_request)

    def start(self) -> None:
        """Opens the ports."""
        for address in self._addresses:
            host, _, port = address.rpartition(":")
            self._server.listen(int(port), address=host)

    async def close(self) -> None:
        """Closes the ports."""
        self._server.stop()
        await self._server.close_all_connections()

    def _on_request(self, request: HTTPServerRequest) -> None:
        if request.path == METRICS_PATH:
            self._write(request, OK, "text/plain; charset=utf-8", render_text())
            return
        ready = self._is_ready()
        status = OK if ready else UNAVAILABLE
        self._write(request, status, "application/json", json.dumps({"ready": ready}))

    def _write(self, request: HTTPServerRequest, status: int, content_type: str, text: str) -> None:
        body = text.encode()
        fields = HTTPHeaders({"Content-Type": content_type, "Content-Length": str(len(body))})
        line = ResponseStartLine("HTTP/1.1", status, REASONS[status])
        request.connection.write_headers(line, fields, body)
        request.connection.finish()
