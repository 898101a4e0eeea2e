"""Connections of the active coordinator to the entry hosts of its zone."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.coordination.documents import split_into_batches
from greengagefall.protocol.exceptions import ProtocolError
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.messages import (
    Documents,
    Heartbeat,
    HeartbeatReply,
    HostReport,
    HostStatus,
)
from greengagefall.utils.supervision import run_logging_errors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagefall.coordination.documents import DocumentCache
    from greengagefall.protocol.messages import Hello
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.5
MAX_ANSWER_AGE_S = 3.0
# Hosts push state changes of their servers at once; requested reports refresh the loads.
HEARTBEATS_PER_REPORT = 4
MAX_INTERVAL_S = 1.0
INTERVAL_PER_HOST_S = 0.0125


def heartbeat_interval_s(host_count: int) -> float:
    """Returns the interval between heartbeats to one host; it grows with the number of hosts."""
    return min(MAX_INTERVAL_S, max(HEARTBEAT_INTERVAL_S, host_count * INTERVAL_PER_HOST_S))


class LeadershipClaim(NamedTuple):
    """Host and term that the coordinator announces in heartbeats.

    Attributes:
        host: Host of the coordinator, empty while its lease may have expired.
        term: Term of the coordinator, 0 while its lease may have expired.
    """

    host: str
    term: int


class HostObservation(NamedTuple):
    """What the coordinator last knew of an answering entry host.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of its entry process.
        address: ``IP:port`` of its peer interface.
        http_address: ``IP:port`` of its HTTP interface for callers.
        epoch: Members epoch under which it acts.
        resigning: Whether it is shutting down.
    """

    host: str
    incarnation: str
    address: str
    http_address: str
    epoch: int
    resigning: bool


class HostConnection:
    """Connection to one entry host, with its last heartbeat reply and status.

    Attributes:
        address: ``IP:port`` of the host's peer interface.
        link: Link to the host, which reconnects by itself.
        status: Last status of the host, None if there was none on this connection.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        document_cache: DocumentCache,
        clock: Clock,
        claim: Callable[[], LeadershipClaim],
        on_change: Callable[[], None],
        interval_s: Callable[[], float],
    ) -> None:
        self.address = address
        self.link = PeerLink(
            address, hello, on_connect=self._on_connect, on_message=self._on_pushed
        )
        self.status: HostStatus | None = None
        self._hello = hello
        self._document_cache = document_cache
        self._clock = clock
        self._claim = claim
        self._on_change = on_change
        self._interval_s = interval_s
        self._exchanges = 0
        self._versions: dict[str, int] | None = None
        self._answered_at_s: float | None = None
        self._answered_heartbeat_sent_at_s = 0.0
        self._observation: HostObservation | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the link and the heartbeats."""
        await self.link.start()
        self._task = asyncio.create_task(self._run(), name=f"contact {self.address}")

    async def close(self) -> None:
        """Stops the heartbeats and closes the link."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.link.close()

    def observation(self) -> HostObservation | None:
        """Returns the last observation, None if it is older than ``MAX_ANSWER_AGE_S``."""
        if (
            self._answered_at_s is None
            or self._clock.now_s() - self._answered_at_s > MAX_ANSWER_AGE_S
        ):
            return None
        return self._observation

    def answered_heartbeat_sent_at_s(self) -> float:
        """Returns when the last answered heartbeat was sent, 0 before the first answer."""
        return self._answered_heartbeat_sent_at_s

    def push_documents(self) -> None:
        """Sends the documents of which the host has an older version or none."""
        if self._versions is None:
            return
        rows = split_into_batches(self._document_cache.rows_newer_than(self._versions))
        if rows and all(self.link.send(Documents(0, batch)) for batch in rows):
            self._versions = self._document_cache.versions()

    def _on_connect(self, peer: Hello) -> None:
        self._versions = None
        self.status = None
        self._exchanges = 0

    def _on_pushed(self, message: object) -> None:
        if isinstance(message, HostStatus):
            self._apply_status(message)

    async def _run(self) -> None:
        await asyncio.sleep(random.uniform(0, HEARTBEAT_INTERVAL_S / 5))
        while True:
            if self.link.connected:
                await run_logging_errors("contacts", self._exchange())
            await asyncio.sleep(self._interval_s())

    async def _exchange(self) -> None:
        claim = self._claim()
        heartbeat = Heartbeat(
            0, self._hello.host, 0, claim.host, claim.term, 0, self._document_cache.versions()
        )
        sent_at_s = self._clock.now_s()
        try:
            reply = await self.link.call(heartbeat, CALL_TIMEOUT_S)
            if isinstance(reply, HeartbeatReply):
                self._apply_reply(reply, sent_at_s)
            if self._exchanges % HEARTBEATS_PER_REPORT == 0:
                status = await self.link.call(HostReport(0), CALL_TIMEOUT_S)
                if isinstance(status, HostStatus):
                    self._apply_status(status)
            self._exchanges += 1
        except ProtocolError as error:
            log.debug(
                "No answer from entry host %s: %s. It is asked again at the next heartbeat.",
                self.address,
                error,
            )

    def _apply_reply(self, reply: HeartbeatReply, sent_at_s: float) -> None:
        self._versions = dict(reply.versions)
        self.push_documents()
        peer = self.link.peer
        if peer is None or peer.incarnation != reply.incarnation:
            return
        if peer.zone != self._hello.zone:
            log.warning(
                "Entry host %s reports zone %s, not the own zone. Its state is ignored.",
                peer.host,
                peer.zone,
            )
            return
        resigning = bool(self.status and self.status.resigning)
        observation = HostObservation(
            reply.host, reply.incarnation, self.address, peer.http_address, reply.epoch, resigning
        )
        self._answered_heartbeat_sent_at_s = sent_at_s
        self._set_observation(observation)

    def _apply_status(self, status: HostStatus) -> None:
        before, self.status = self.status, status
        if self._observation is not None and self._observation.incarnation == status.incarnation:
            self._set_observation(
                self._observation._replace(epoch=status.epoch, resigning=status.resigning)
            )
        if before is None or _states(before) != _states(status):
            self._on_change()

    def _set_observation(self, observation: HostObservation) -> None:
        before = self.observation()
        self._observation = observation
        self._answered_at_s = self._clock.now_s()
        if before != observation:
            self._on_change()


class HostConnections:
    """Connections of the active coordinator to the entry hosts, one per peer address."""

    def __init__(
        self,
        hello: Hello,
        document_cache: DocumentCache,
        clock: Clock,
        claim: Callable[[], LeadershipClaim],
        on_change: Callable[[], None],
    ) -> None:
        """Creates the set without connections.

        Args:
            hello: First message to each host.
            document_cache: Documents to push.
            clock: Source of time.
            claim: Returns the host and term that heartbeats announce.
            on_change: Called when an observation of a host or the state of a server changed.
        """
        self._hello = hello
        self._document_cache = document_cache
        self._clock = clock
        self._claim = claim
        self._on_change = on_change
        self._connections: dict[str, HostConnection] = {}

    async def set_addresses(self, addresses: Iterable[str]) -> None:
        """Opens and closes connections so that there is one for each of these addresses."""
        wanted = set(addresses)
        for address in wanted - self._connections.keys():
            connection = HostConnection(
                address,
                self._hello,
                self._document_cache,
                self._clock,
                self._claim,
                self._on_change,
                lambda: heartbeat_interval_s(len(self._connections)),
            )
            self._connections[address] = connection
            await connection.start()
        removed = [self._connections.pop(address) for address in self._connections.keys() - wanted]
        await asyncio.gather(*(connection.close() for connection in removed))

    async def close(self) -> None:
        """Closes all connections."""
        await self.set_addresses([])

    def push_documents(self) -> None:
        """Sends each host the documents of which it has an older version or none."""
        for connection in self._connections.values():
            connection.push_documents()

    def observations(self, sent_since_s: float = float("-inf")) -> dict[str, HostObservation]:
        """Returns the observations of the hosts that answered recently, by host.

        Args:
            sent_since_s: Hosts are omitted if their last answered heartbeat was sent earlier.
        """
        connections = self._connections.values()
        observations = (
            one.observation()
            for one in connections
            if one.answered_heartbeat_sent_at_s() >= sent_since_s
        )
        return {
            observation.host: observation for observation in observations if observation is not None
        }

    def statuses(self) -> list[HostStatus]:
        """Returns the last status of each host that answered recently."""
        return [
            connection.status
            for connection in self._connections.values()
            if connection.status is not None and connection.observation() is not None
        ]

    def link_to(self, host: str) -> PeerLink | None:
        """Returns the link to a host, None unless it answered recently."""
        for connection in self._connections.values():
            observation = connection.observation()
            if observation is not None and observation.host == host:
                return connection.link
        return None


def _states(status: HostStatus) -> list[tuple[str, str]]:
    return [(row[0], row[1]) for row in status.servers]
