"""Stand-in for the platform's lagging host list, in Prometheus HTTP service discovery form.

``POST /register`` sets an entry. ``GET /hosts`` returns the entries with a lag, which
``POST /fault`` sets.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections import deque
from typing import Any, NamedTuple

import click
import tornado.web

from greengagefall.standins.faults import change_faults
from greengagefall.standins.http import HttpListener, JsonHandler, serve_until_stopped
from greengagefall.utils.logs import setup_logging

log = logging.getLogger(__name__)

MAX_PENDING_CHANGES = 10_000
STATES = ("live", "leaving", "removed")
LABELS = ("host", "zone", "state", "http")


class HostListFaults(NamedTuple):
    """Active faults.

    Attributes:
        lag_s: Age of the returned list in seconds.
        down: Whether ``GET /hosts`` is refused with 503.
    """

    lag_s: float = 0.0
    down: bool = False


class HostListHandler(JsonHandler):
    """Base class of the handlers."""

    def initialize(self, service: HostListService) -> None:
        """Stores the service."""
        self.service = service


class HostsHandler(HostListHandler):
    """Returns the host list."""

    def get(self) -> None:
        """Answers the list as it was ``lag_s`` ago."""
        if self.service.faults.down:
            raise tornado.web.HTTPError(503, "host list is down")
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.service.entries(time.monotonic())))


class RegisterHandler(HostListHandler):
    """Sets entries."""

    def post(self) -> None:
        """Sets one host: ``host``, ``zone``, ``address``, ``http``, ``state``."""
        body = self.json_body()
        state = body.get("state", "live")
        if state not in STATES or not body.get("host"):
            raise tornado.web.HTTPError(400, f"host and a state out of {STATES} are needed")
        labels = {name: str(body.get(name, "")) for name in LABELS}
        labels["state"] = state
        entry = {"targets": [str(body.get("address", ""))], "labels": labels}
        self.service.register(entry, time.monotonic())
        self.finish(entry)


class FaultHandler(HostListHandler):
    """Injects faults."""

    def post(self) -> None:
        """Sets the faults named in the body."""
        try:
            self.service.faults = change_faults(self.service.faults, self.json_body())
        except ValueError as error:
            raise tornado.web.HTTPError(400, str(error)) from error
        self.finish(self.service.faults._asdict())


class HostListService:
    """Serves the host list on one address.

    Args:
        listen: ``IP:port`` to listen on.
        lag_s: Age of the returned list in seconds.
    """

    def __init__(self, listen: str, lag_s: float = 0.0) -> None:
        self.faults = HostListFaults(lag_s=lag_s)
        self._pending_changes: deque[tuple[float, dict[str, Any]]] = deque()
        self._visible: dict[str, dict[str, Any]] = {}
        handler_args = {"service": self}
        self._listener = HttpListener(
            listen,
            [
                (r"/hosts", HostsHandler, handler_args),
                (r"/register", RegisterHandler, handler_args),
                (r"/fault", FaultHandler, handler_args),
            ],
        )

    @property
    def address(self) -> str:
        """``IP:port`` on which the service listens."""
        return self._listener.address

    async def start(self) -> None:
        """Starts listening."""
        await self._listener.start()
        log.info("Host list listens on %s.", self.address)

    async def close(self) -> None:
        """Stops listening."""
        await self._listener.close()

    def register(self, entry: dict[str, Any], now_s: float) -> None:
        """Sets the entry of one host; it becomes visible after the lag."""
        if len(self._pending_changes) >= MAX_PENDING_CHANGES:
            self._apply(self._pending_changes.popleft()[1])
        self._pending_changes.append((now_s, entry))

    def entries(self, now_s: float) -> list[dict[str, Any]]:
        """Returns the list as it was ``lag_s`` before ``now_s``."""
        while self._pending_changes and self._pending_changes[0][0] <= now_s - self.faults.lag_s:
            self._apply(self._pending_changes.popleft()[1])
        return [self._visible[host] for host in sorted(self._visible)]

    def _apply(self, entry: dict[str, Any]) -> None:
        host = entry["labels"]["host"]
        if entry["labels"]["state"] == "removed":
            self._visible.pop(host, None)
        else:
            self._visible[host] = entry


@click.command()
@click.option("--listen", required=True, help="IP:port to listen on.")
@click.option("--lag-s", default=0.0, show_default=True, help="Age of what the list shows.")
@click.option("--log-level", default="WARNING", show_default=True, help="Lowest level logged.")
def main(listen: str, lag_s: float, log_level: str) -> None:
    """Runs a stand-in of the platform's host list until SIGTERM."""
    setup_logging(log_level)
    asyncio.run(serve_until_stopped(HostListService(listen, lag_s)))


if __name__ == "__main__":
    main()
