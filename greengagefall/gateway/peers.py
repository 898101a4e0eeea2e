"""Calls between entry hosts, this one included."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from greengagefall.entry.peer_table import PeerLinks
from greengagefall.protocol.exceptions import PeerLostError, PeerTimeoutError, ProtocolError
from greengagefall.protocol.gateway_messages import Dispatch
from greengagefall.protocol.messages import PROTOCOL_VERSION, Failure, Hello
from greengagefall.protocol.server import PeerServer
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagefall.gateway.view import ClusterView

log = logging.getLogger(__name__)

ROLE = "gateway"
UNREACHABLE = Failure(0, "unreachable")
LOST = Failure(0, "lost")


class Peers:
    """The peer server of this host and its links to others.

    Args:
        view: What this host knows.
        handler: Answers messages; returns the reply, None, or a coroutine for it.
    """

    def __init__(
        self, view: ClusterView, handler: Callable[[Hello, Any], Awaitable[Any] | Any]
    ) -> None:
        self._view = view
        self._handler = handler
        facts = view.settings
        self._hello = Hello(
            PROTOCOL_VERSION,
            ROLE,
            facts.host,
            facts.zone,
            str(view.host_incarnation.start_ms),
            facts.peer_address,
            facts.caller_address,
        )
        self._server = PeerServer(facts.peer_address, self._hello, handler)
        self._links = PeerLinks(self._hello, self._ignore)
        view.add_listener(self._take_hosts)

    async def start(self) -> None:
        """Opens the port for other hosts."""
        await self._server.start()

    async def close(self) -> None:
        """Closes the port and all links."""
        await self._links.close()
        await self._server.close()

    async def call(self, host: str, message: Any, timeout_s: float) -> Any:
        """Returns the reply of a host; a ``Failure`` if there is none.

        ``UNREACHABLE`` means that nothing was sent, ``LOST`` that it may have been handled.
        """
        if host == self._view.host_incarnation.host:
            reply = self._handler(self._hello, message)
            return await reply if hasattr(reply, "__await__") else reply
        try:
            return await self._links.call(host, message, timeout_s)
        except (PeerLostError, PeerTimeoutError) as error:
            self._note_failure(host, message, error)
            return LOST
        except ProtocolError as error:
            self._note_failure(host, message, error)
            return UNREACHABLE

    def connected(self, host: str) -> bool:
        """Returns whether a call to a host would be sent now."""
        return host == self._view.host_incarnation.host or self._links.is_connected(host)

    def _take_hosts(self) -> None:
        others = [
            record
            for record in self._view.hosts.values()
            if record.host != self._view.host_incarnation.host
        ]
        self._links.set_members(others)

    def _ignore(self, message: Any) -> None:
        log.warning("Unexpected message.", extra={"kind": type(message).__name__})

    def _note_failure(self, host: str, message: Any, error: Exception) -> None:
        count("peer_call_failures", kind=type(message).__name__, error=type(error).__name__)
        request_id = message.request_id if isinstance(message, Dispatch) else ""
        log.info(
            "Call to another host failed.",
            extra={
                "peer": host,
                "kind": type(message).__name__,
                "request_id": request_id,
                "error": str(error),
            },
        )
