"""Connections of the active coordinator with the entry hosts of its zone."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination.documents import split_into_batches
from greengagefall.coordinator.guard import run_logging_errors
from greengagefall.protocol.exceptions import ProtocolError
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.messages import (
    Documents,
    Heartbeat,
    HeartbeatReply,
    HostReport,
    HostStatus,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagefall.coordination.documents import DocumentCache
    from greengagefall.protocol.messages import Hello
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.5
MAX_ANSWER_AGE_S = 3.0
# Hosts push changes of state; reports bring the loads.
HEARTBEATS_PER_REPORT = 4
MAX_INTERVAL_S = 1.0
INTERVAL_PER_HOST_S = 0.0125


def heartbeat_interval_s(host_count: int) -> float:
    """Returns the time between heartbeats to one host, longer in a large zone."""
    return min(MAX_INTERVAL_S, max(HEARTBEAT_INTERVAL_S, host_count * INTERVAL_PER_HOST_S))


class LeadershipClaim(NamedTuple):
    """What the coordinator says of itself in heartbeats.

    Attributes:
        host: Its host, empty while its lease is not certain.
        term: Its term.
    """

    host: str
    term: int


class HostObservation(NamedTuple):
    """What the coordinator knows of an entry host that answered lately.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of its entry process.
        address: ``IP:port`` of its peer interface.
        http_address: ``IP:port`` of its callers' interface.
        epoch: Members epoch it acts under.
        resigning: Whether it is stopping.
    """

    host: str
    incarnation: str
    address: str
    http_address: str
    epoch: int
    resigning: bool


class HostConnection:
    """Connection with one entry host, with its last heartbeat reply and status.

    Attributes:
        address: ``IP:port`` of the host's peer interface.
        link: The connection.
        status: Last status of the host, or None.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        book: DocumentCache,
        clock: Clock,
        claim: Callable[[], LeadershipClaim],
        on_change: Callable[[], None],
        interval_s: Callable[[], float],
    ) -> None:
        self.address = address
        self.link = PeerLink(address, hello, on_connect=self._connected, on_message=self._on_pushed)
        self.status: HostStatus | None = None
        self._hello = hello
        self._book = book
        self._clock = clock
        self._claim = claim
        self._on_change = on_change
        self._interval_s = interval_s
        self._beats = 0
        self._versions: dict[str, int] | None = None
        self._heard_at_s: float | None = None
        self._asked_at_s = 0.0
        self._sight: HostObservation | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the connection and the heartbeats."""
        await self.link.start()
        self._task = asyncio.create_task(self._run(), name=f"contact {self.address}")

    async def close(self) -> None:
        """Stops the heartbeats and ends the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.link.close()

    def observation(self) -> HostObservation | None:
        """Returns what is known of the host, None unless it answered lately."""
        if self._heard_at_s is None or self._clock.now_s() - self._heard_at_s > MAX_ANSWER_AGE_S:
            return None
        return self._sight

    def asked_at_s(self) -> float:
        """Returns when the heartbeat was sent that ``observation`` answers."""
        return self._asked_at_s

    def push_documents(self) -> None:
        """Sends the documents that the host does not have yet."""
        if self._versions is None:
            return
        rows = split_into_batches(self._book.rows_newer_than(self._versions))
        if rows and all(self.link.send(Documents(0, batch)) for batch in rows):
            self._versions = self._book.versions()

    def _connected(self, peer: Hello) -> None:
        self._versions = None
        self.status = None
        self._beats = 0

    def _on_pushed(self, message: object) -> None:
        if isinstance(message, HostStatus):
            self._note_status(message)

    async def _run(self) -> None:
        await asyncio.sleep(random.uniform(0, HEARTBEAT_INTERVAL_S / 5))
        while True:
            if self.link.connected:
                await run_logging_errors("contacts", self._exchange())
            await asyncio.sleep(self._interval_s())

    async def _exchange(self) -> None:
        claim = self._claim()
        heartbeat = Heartbeat(
            0, self._hello.host, 0, claim.host, claim.term, 0, self._book.versions()
        )
        asked_at_s = self._clock.now_s()
        try:
            reply = await self.link.call(heartbeat, CALL_TIMEOUT_S)
            if isinstance(reply, HeartbeatReply):
                self._note_reply(reply, asked_at_s)
            if self._beats % HEARTBEATS_PER_REPORT == 0:
                status = await self.link.call(HostReport(0), CALL_TIMEOUT_S)
                if isinstance(status, HostStatus):
                    self._note_status(status)
            self._beats += 1
        except ProtocolError as error:
            log.debug(
                "No answer from entry host %s: %s. It is asked again at the next heartbeat.",
                self.address,
                error,
            )

    def _note_reply(self, reply: HeartbeatReply, asked_at_s: float) -> None:
        self._versions = dict(reply.versions)
        self.push_documents()
        peer = self.link.peer
        if peer is None or peer.incarnation != reply.incarnation:
            return
        if peer.zone != self._hello.zone:
            log.warning("Host %s is in zone %s, not in ours.", peer.host, peer.zone)
            return
        resigning = bool(self.status and self.status.resigning)
        sight = HostObservation(
            reply.host, reply.incarnation, self.address, peer.http_address, reply.epoch, resigning
        )
        self._asked_at_s = asked_at_s
        self._see(sight)

    def _note_status(self, status: HostStatus) -> None:
        before, self.status = self.status, status
        if self._sight is not None and self._sight.incarnation == status.incarnation:
            self._see(self._sight._replace(epoch=status.epoch, resigning=status.resigning))
        if before is None or _states(before) != _states(status):
            self._on_change()

    def _see(self, sight: HostObservation) -> None:
        before = self.observation()
        self._sight = sight
        self._heard_at_s = self._clock.now_s()
        if before != sight:
            self._on_change()


class HostConnections:
    """The contacts of the active coordinator, by address."""

    def __init__(
        self,
        hello: Hello,
        book: DocumentCache,
        clock: Clock,
        claim: Callable[[], LeadershipClaim],
        on_change: Callable[[], None],
    ) -> None:
        """Prepares the contacts.

        Args:
            hello: First message to each host.
            book: Documents to push.
            clock: Source of time.
            claim: Returns what heartbeats say of the coordinator.
            on_change: Called when a host or a server's state changed.
        """
        self._hello = hello
        self._book = book
        self._clock = clock
        self._claim = claim
        self._on_change = on_change
        self._contacts: dict[str, HostConnection] = {}

    async def set_addresses(self, addresses: Iterable[str]) -> None:
        """Keeps contact with exactly these addresses."""
        wanted = set(addresses)
        for address in wanted - self._contacts.keys():
            contact = HostConnection(
                address,
                self._hello,
                self._book,
                self._clock,
                self._claim,
                self._on_change,
                lambda: heartbeat_interval_s(len(self._contacts)),
            )
            self._contacts[address] = contact
            await contact.start()
        ended = [self._contacts.pop(address) for address in self._contacts.keys() - wanted]
        await asyncio.gather(*(contact.close() for contact in ended))

    async def close(self) -> None:
        """Ends all contacts."""
        await self.set_addresses([])

    def push_documents(self) -> None:
        """Sends each host the documents that it does not have yet."""
        for contact in self._contacts.values():
            contact.push_documents()

    def observations(self, asked_since_s: float = float("-inf")) -> dict[str, HostObservation]:
        """Returns what is known of the hosts that answered lately, by host.

        Args:
            asked_since_s: Answers to heartbeats sent before this time are left out.
        """
        contacts = self._contacts.values()
        sights = (one.observation() for one in contacts if one.asked_at_s() >= asked_since_s)
        return {sight.host: sight for sight in sights if sight is not None}

    def statuses(self) -> list[HostStatus]:
        """Returns the last status of each host that answered lately."""
        return [
            contact.status
            for contact in self._contacts.values()
            if contact.status is not None and contact.observation() is not None
        ]

    def link_to(self, host: str) -> PeerLink | None:
        """Returns the connection with a host that answered lately."""
        for contact in self._contacts.values():
            sight = contact.observation()
            if sight is not None and sight.host == host:
                return contact.link
        return None


def _states(status: HostStatus) -> list[tuple[str, str]]:
    return [(row[0], row[1]) for row in status.servers]
