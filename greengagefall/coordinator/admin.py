"""Health, readiness and metrics of the coordinator over HTTP."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from greengagefall.utils import invariants
from greengagefall.utils.metrics import render_text

if TYPE_CHECKING:
    from greengagefall.coordinator.active import ActiveCoordinator

log = logging.getLogger(__name__)

SERVICE_UNAVAILABLE = 503


class ProcessState(Protocol):
    """What the administrative paths tell of the process.

    Attributes:
        active: The coordinator while this process is elected, else None.
        term: Number of its election.
        ready: Whether the process can do its part.
    """

    active: ActiveCoordinator | None

    @property
    def term(self) -> int:
        """Number of the election."""

    @property
    def ready(self) -> bool:
        """Whether the process can do its part."""


class _ProcessHandler(RequestHandler):
    """Base of handlers that ask the process."""

    def initialize(self, process: ProcessState) -> None:
        """Takes the process."""
        self.process = process


class HealthHandler(_ProcessHandler):
    """Answers while the process runs."""

    def get(self) -> None:
        """Writes the role, the term and the violations of invariants."""
        self.write(
            {
                "active": self.process.active is not None,
                "term": self.process.term,
                "violations": invariants.violations(),
            }
        )


class ReadyHandler(_ProcessHandler):
    """Tells whether the process can do its part."""

    def get(self) -> None:
        """Answers 200 or 503."""
        if not self.process.ready:
            self.set_status(SERVICE_UNAVAILABLE)
        self.write({"ready": self.process.ready})


class MetricsHandler(_ProcessHandler):
    """Metrics in the Prometheus text format."""

    def get(self) -> None:
        """Writes all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(render_text())


class AdminServer:
    """Serves the administrative paths."""

    def __init__(self, listen: str, process: ProcessState) -> None:
        """Prepares the server.

        Args:
            listen: ``IP:port``; port 0 takes a free one.
            process: The process to report on.
        """
        self.address = listen
        arguments = {"process": process}
        self._server = HTTPServer(
            Application(
                [
                    ("/.greengagefall/health", HealthHandler, arguments),
                    ("/.greengagefall/ready", ReadyHandler, arguments),
                    ("/.greengagefall/metrics", MetricsHandler, arguments),
                ],
                log_function=_log_nothing,
            )
        )

    async def start(self) -> None:
        """Opens the port; ``address`` then carries the real one."""
        host, port = self.address.rsplit(":", 1)
        sockets = bind_sockets(int(port), host)
        self.address = f"{host}:{sockets[0].getsockname()[1]}"
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Closes the port and all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def _log_nothing(handler: RequestHandler) -> None:
    """Leaves requests out of the log."""
