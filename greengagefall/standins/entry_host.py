"""Stand-in of an entry host, as the coordinator sees it."""

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
    """An entry host that answers the coordinator and dispatches what it is told to.

    Attributes:
        ignores_documents: Whether it stays at the versions that it has.
        servers: State by ``back end/server`` that it reports.
        releases: What it answers to ``Release``.
        asked: The ``Release`` messages that came.
    """

    def __init__(self, host: str, zone: str, incarnation: str = "1") -> None:
        """Prepares the host; ``start`` opens its port.

        Args:
            host: Its name.
            zone: Its availability zone.
            incarnation: Its incarnation.
        """
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.book = DocumentCache()
        self.servers: dict[str, str] = {}
        self.releases = True
        self.ignores_documents = False
        self.resigning = False
        self.asked: list[Release] = []
        self.seen = CoordinatorTracker(SystemClock())
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
        """Comes back on the same address without memory."""
        await self.close()
        self.incarnation = incarnation
        self.book = DocumentCache()
        await self.start()

    def listed(self, state: str = "live") -> ListedHost:
        """Returns the entry in the host list."""
        return ListedHost(self.host, self.zone, self.address, "", state)

    @property
    def epoch(self) -> int:
        """Members epoch it knows, -1 for none."""
        return self.book.version_of(f"members/{self.zone}")

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
                self.book.merge(message.documents)
            return None
        if isinstance(message, Fetch):
            return Documents(0, self.book.rows_newer_than(message.versions))
        self.asked.append(message)
        return Released(0, self.releases, "confirmed" if self.releases else "pending", 1)

    def _heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        self.seen.observe(message.coordinator, message.coordinator_term, message.coordinator_age_ms)
        seen = self.seen.latest()
        return HeartbeatReply(
            0,
            self.host,
            self.incarnation,
            max(self.epoch, 0),
            seen.host,
            seen.term,
            seen.age_ms,
            self.book.versions(),
        )
