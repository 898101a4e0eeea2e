"""Calls between entry hosts, including calls of this host to itself."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from greengagefall.entry.peer_table import PeerLinks
from greengagefall.protocol.exceptions import (
    PeerLostError,
    PeerMemoryError,
    PeerTimeoutError,
    ProtocolError,
)
from greengagefall.protocol.gateway_messages import Dispatch
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.protocol.messages import PROTOCOL_VERSION, Failure, Hello
from greengagefall.protocol.server import PeerServer
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagefall.gateway.view import ClusterView, HostRecord
    from greengagefall.protocol.memory_budget import Budget

log = logging.getLogger(__name__)

ROLE = "gateway"
UNREACHABLE = Failure(0, "unreachable")
REPLY_LOST = Failure(0, "lost")
NO_PEER_MEMORY = Failure(0, "no_peer_memory")
# Memory for large messages of all links, as a share of the host's.
LINK_MEMORY_SHARE = 1 / 4


class Peers:
    """Manages the peer server of this host and its links to other hosts.

    Args:
        view: The cluster view of this host.
        handler: Handles messages; returns the reply, None, or a coroutine for the reply.
        budget: Memory for large messages; by default ``LINK_MEMORY_SHARE`` of the host's.
    """

    def __init__(
        self,
        view: ClusterView,
        handler: Callable[[Hello, Any], Awaitable[Any] | Any],
        budget: Budget | None = None,
    ) -> None:
        self._view = view
        self._handler = handler
        settings = view.settings
        self._hello = Hello(
            PROTOCOL_VERSION,
            ROLE,
            settings.host,
            settings.zone,
            str(view.host_incarnation.start_ms),
            settings.peer_address,
            settings.caller_address,
        )
        budget = budget or MemoryBudget(int(LINK_MEMORY_SHARE * settings.memory_bytes))
        self._server = PeerServer(settings.peer_address, self._hello, handler, budget=budget)
        self._links = PeerLinks(self._hello, self._ignore_message, budget)
        self._known_hosts: dict[str, HostRecord] = {}
        view.add_listener(self._update_links)

    async def start(self) -> None:
        """Starts the server for other hosts."""
        await self._server.start()

    async def close(self) -> None:
        """Closes the server and all links."""
        await self._links.close()
        await self._server.close()

    async def call(self, host: str, message: Any, timeout_s: float) -> Any:
        """Sends a message to a host; returns its reply, or a ``Failure`` if there is none.

        ``UNREACHABLE`` means that the message was not sent, ``NO_PEER_MEMORY`` that the host
        dropped it before it was complete, and ``REPLY_LOST`` that the host may have handled it.
        """
        if host == self._view.host_incarnation.host:
            reply = self._handler(self._hello, message)
            return await reply if hasattr(reply, "__await__") else reply
        try:
            return await self._links.call(host, message, timeout_s)
        except (PeerLostError, PeerTimeoutError) as error:
            self._report_failure(host, message, error)
            return REPLY_LOST
        except PeerMemoryError as error:
            self._report_failure(host, message, error)
            return NO_PEER_MEMORY
        except ProtocolError as error:
            self._report_failure(host, message, error)
            return UNREACHABLE

    def connected(self, host: str) -> bool:
        """Returns whether a call to a host can be sent without waiting for a connection."""
        return host == self._view.host_incarnation.host or self._links.is_connected(host)

    def is_lost(self, host: str) -> bool:
        """Returns whether the link to a host is broken; False without one."""
        return host != self._view.host_incarnation.host and self._links.is_lost(host)

    def _update_links(self) -> None:
        if self._view.hosts == self._known_hosts:
            return
        self._known_hosts = dict(self._view.hosts)
        others = [
            record
            for record in self._view.hosts.values()
            if record.host != self._view.host_incarnation.host
        ]
        self._links.set_members(others)

    def _ignore_message(self, message: Any) -> None:
        log.warning(
            "Unexpected message from a peer is ignored.", extra={"kind": type(message).__name__}
        )

    def _report_failure(self, host: str, message: Any, error: Exception) -> None:
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
