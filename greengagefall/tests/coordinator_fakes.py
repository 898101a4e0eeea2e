"""Fake entry hosts and settings for tests of the coordinator."""

from __future__ import annotations

from typing import Any, NamedTuple

from result import Ok

from greengagefall.coordination.documents import DocumentBook
from greengagefall.entry.coordinator_watch import CoordinatorWatch
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

BACK_END = "proofdesk"


class Settings(NamedTuple):
    """The fields of the coordinator's settings that the process reads."""

    host: str
    zone: str
    entry_peer: str
    lease_ttl_s: int = 2
    store: str = ""
    host_list: str = ""
    admin_listen: str = ""


class FakeHostList:
    """A host list in memory."""

    def __init__(self, hosts: list[ListedHost]) -> None:
        self.hosts = hosts

    async def fetch(self) -> Ok:
        return Ok(list(self.hosts))


class FakeHost:
    """An entry host that answers the coordinator and dispatches what it is told to.

    Attributes:
        ignores_documents: Whether it stays at the versions that it has.
        servers: State by ``back end/server`` that it reports.
        releases: What it answers to ``Release``.
        asked: The ``Release`` messages that came.
    """

    def __init__(self, host: str, zone: str, incarnation: str = "1") -> None:
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.book = DocumentBook()
        self.servers: dict[str, str] = {}
        self.releases = True
        self.ignores_documents = False
        self.resigning = False
        self.asked: list[Release] = []
        self.seen = CoordinatorWatch(SystemClock())
        self._server: PeerServer | None = None
        self.address = "127.0.0.1:0"

    async def start(self) -> None:
        hello = Hello(
            PROTOCOL_VERSION, "entry", self.host, self.zone, self.incarnation, self.address, ""
        )
        self._server = PeerServer(self.address, hello, self._answer)
        await self._server.start()
        self.address = self._server.address

    async def close(self) -> None:
        await self._server.close()

    async def restart(self, incarnation: str) -> None:
        await self.close()
        self.incarnation = incarnation
        self.book = DocumentBook()
        await self.start()

    def listed(self, state: str = "live") -> ListedHost:
        return ListedHost(self.host, self.zone, self.address, "", state)

    @property
    def epoch(self) -> int:
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
                self.book.offer(message.documents)
            return None
        if isinstance(message, Fetch):
            return Documents(0, self.book.newer_than(message.versions))
        self.asked.append(message)
        return Released(0, self.releases, "confirmed" if self.releases else "pending", 1)

    def _heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        self.seen.hear_of(message.coordinator, message.coordinator_term, message.coordinator_age_ms)
        seen = self.seen.seen()
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


def config_document(version: int, servers: dict[str, dict], **changes: Any) -> dict:
    """Returns a configuration with one keyed back end; ``changes`` replace top fields."""
    document = {
        "version": version,
        "patch_id": f"patch-{version}",
        "zones": {"ee-north-a": {"state": "in"}, "ee-north-b": {"state": "in"}},
        "back_ends": {BACK_END: {"kind": "keyed", "slices": 64, "servers": servers}},
    }
    return document | changes


def servers_of(zone: str, *names: str) -> dict[str, dict]:
    """Returns servers of a zone."""
    return {
        name: {"address": f"127.0.0.1:{ord(name[0])}{name[1]}", "zone": zone, "slots": 6}
        for name in names
    }
