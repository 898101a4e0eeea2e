"""Stand-in for an entry host in its exchange with the coordinator."""

from __future__ import annotations

from typing import Any

from greengagefall.coordination.documents import DocumentCache
from greengagefall.entry.coordinator_tracker import CoordinatorTracker
from greengagefall.protocol.messages import (
    PROTOCOL_VERSION,
    Documents,
    Fetch,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HostReport,
    HostStatus,
    Release,
    Released,
)
from greengagefall.protocol.server import PeerServer
from greengagefall.store.host_list import ListedHost
from greengagefall.utils.clock import SystemClock


class StandInHost:
    """An entry host that answers the coordinator's messages and reports the set server states.

    Attributes:
        ignores_documents: Whether it ignores new documents and keeps its current versions.
        servers: Reported state by ``back end/server``, for the servers that it dispatches.
        releases: Whether it answers ``Release`` with released and ``confirmed``; otherwise the
            answer is not released and ``pending``.
        resigning: Whether it reports that it resigns its dispatch rights.
        release_messages: Received ``Release`` messages.
        document_cache: Documents that the coordinator sent.
        coordinator_tracker: Coordinators that heartbeats named.
    """

    def __init__(self, host: str, zone: str, incarnation: str = "1") -> None:
        """Creates the host without listening; ``start`` opens its port.

        Args:
            host: Name of the host.
            zone: Availability zone of the host.
            incarnation: Incarnation of the host.
        """
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.document_cache = DocumentCache()
        self.servers: dict[str, str] = {}
        self.releases = True
        self.ignores_documents = False
        self.resigning = False
        self.release_messages: list[Release] = []
        self.coordinator_tracker = CoordinatorTracker(SystemClock())
        self._server: PeerServer | None = None
        self.address = "127.0.0.1:0"

    async def start(self) -> None:
        """Opens the peer interface."""
        hello = Hello(
            PROTOCOL_VERSION, "entry", self.host, self.zone, self.incarnation, self.address, ""
        )
        self._server = PeerServer(self.address, hello, self._answer)
        await self._server.start()
        self.address = self._server.address

    async def close(self) -> None:
        """Closes the peer interface."""
        await self._server.close()

    async def restart(self, incarnation: str) -> None:
        """Restarts at the same address as a new incarnation with an empty document cache."""
        await self.close()
        self.incarnation = incarnation
        self.document_cache = DocumentCache()
        await self.start()

    def listed(self, state: str = "live") -> ListedHost:
        """Returns the host's entry for the host list."""
        return ListedHost(self.host, self.zone, self.address, "", state)

    @property
    def epoch(self) -> int:
        """Members epoch in its document cache, -1 for none."""
        return self.document_cache.version_of(f"members/{self.zone}")

    def _answer(self, peer: Hello, message: Any) -> Any:
        if isinstance(message, Heartbeat):
            return self._heartbeat(message)
        if isinstance(message, HostReport):
            rows = [[key, state, 1.0, 0.0, 6, 0.0, 0.0] for key, state in self.servers.items()]
            return HostStatus(
                0, self.host, self.incarnation, max(self.epoch, 0), self.resigning, rows, {}, {}
            )
        if isinstance(message, Documents):
            if not self.ignores_documents:
                self.document_cache.merge(message.documents)
            return None
        if isinstance(message, Fetch):
            return Documents(0, self.document_cache.rows_newer_than(message.versions))
        self.release_messages.append(message)
        return Released(0, self.releases, "confirmed" if self.releases else "pending", 1)

    def _heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        self.coordinator_tracker.observe(
            message.coordinator, message.coordinator_term, message.coordinator_age_ms
        )
        latest = self.coordinator_tracker.latest()
        return HeartbeatReply(
            0,
            self.host,
            self.incarnation,
            max(self.epoch, 0),
            latest.host,
            latest.term,
            latest.age_ms,
            self.document_cache.versions(),
        )
