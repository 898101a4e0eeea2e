"""HTTP listener and handler base class of the stand-ins."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from typing import TYPE_CHECKING, Any, Protocol

import tornado.httpserver
import tornado.netutil
import tornado.web

if TYPE_CHECKING:
    from collections.abc import Sequence

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 80 * 1024 * 1024
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StandIn(Protocol):
    """A stand-in that can be started and closed."""

    async def start(self) -> None:
        """Starts listening."""

    async def close(self) -> None:
        """Stops listening and drops open requests."""


class JsonHandler(tornado.web.RequestHandler):
    """Base class of handlers that read and write JSON objects."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH")

    def json_body(self) -> dict[str, Any]:
        """Returns the JSON object in the request body; answers 400 if there is none."""
        try:
            body = json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise tornado.web.HTTPError(400, f"body is not JSON: {error}") from error
        if not isinstance(body, dict):
            raise tornado.web.HTTPError(400, "body is not a JSON object")
        return body

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers errors as JSON."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        message = getattr(error, "log_message", None) or self._reason
        self.finish({"error": message, "code": status_code})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs unexpected exceptions; ``HTTPError`` is a regular refusal and isn't logged."""
        if not isinstance(value, tornado.web.HTTPError):
            log.error(
                "Request handler raised an unexpected exception; the request fails.",
                exc_info=(typ, value, tb),
            )


class HttpListener:
    """Serves a tornado application on one address.

    Args:
        address: ``IP:port`` to listen on; port 0 picks a free port.
        routes: Routes of the application, as tornado takes them.
    """

    def __init__(self, address: str, routes: Sequence[tuple]) -> None:
        self.address = address
        app = tornado.web.Application(list(routes), log_function=lambda handler: None)
        self._server = tornado.httpserver.HTTPServer(app, max_buffer_size=MAX_BODY_BYTES)

    async def start(self) -> None:
        """Binds the address and starts serving; ``address`` then contains the bound port."""
        host, _, port = self.address.rpartition(":")
        sockets = tornado.netutil.bind_sockets(int(port), host)
        self.address = f"{host}:{sockets[0].getsockname()[1]}"
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stops serving and closes every connection."""
        self._server.stop()
        await self.drop_connections()

    async def drop_connections(self) -> None:
        """Closes every connection and goes on serving."""
        await self._server.close_all_connections()


async def serve_until_stopped(stand_in: StandIn) -> None:
    """Runs a stand-in until the process gets SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopped.set)
    await stand_in.start()
    await stopped.wait()
    await stand_in.close()
