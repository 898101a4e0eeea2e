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
    """Process state that the administrative paths report.

    Attributes:
        active: The active coordinator while this process is elected, else None.
        term: Term that this process won last, 0 for none.
        ready: Whether the process is ready as standby or as active coordinator.
    """

    active: ActiveCoordinator | None

    @property
    def term(self) -> int:
        """Term that this process won last, 0 for none."""

    @property
    def ready(self) -> bool:
        """Whether the process is ready as standby or as active coordinator."""


class _ProcessHandler(RequestHandler):
    """Base of the handlers that read the process state."""

    def initialize(self, process: ProcessState) -> None:
        """Stores the process to report on."""
        self.process = process


class HealthHandler(_ProcessHandler):
    """Liveness check: answers as long as the process runs."""

    def get(self) -> None:
        """Writes whether the process is active, its term and the violated invariants."""
        self.write(
            {
                "active": self.process.active is not None,
                "term": self.process.term,
                "violations": invariants.violations(),
            }
        )


class ReadyHandler(_ProcessHandler):
    """Readiness check of the process."""

    def get(self) -> None:
        """Answers 200 if the process is ready, else 503."""
        if not self.process.ready:
            self.set_status(SERVICE_UNAVAILABLE)
        self.write({"ready": self.process.ready})


class MetricsHandler(_ProcessHandler):
    """Serves metrics in the Prometheus text format."""

    def get(self) -> None:
        """Writes all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(render_text())


class AdminServer:
    """Serves the administrative paths."""

    def __init__(self, listen: str, process: ProcessState) -> None:
        """Creates the server without opening its port.

        Args:
            listen: ``IP:port`` to listen on; port 0 selects a free port.
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
        """Opens the port and sets ``address`` to the port in use."""
        host, port = self.address.rsplit(":", 1)
        sockets = bind_sockets(int(port), host)
        self.address = f"{host}:{sockets[0].getsockname()[1]}"
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Closes the port and all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def _log_nothing(handler: RequestHandler) -> None:
    """Suppresses the log line that Tornado writes for each request."""
