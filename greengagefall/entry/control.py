"""Control loops of an entry host: endorsements, heartbeats and the return of dispatch rights."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.coordination.candidate import TICK_S
from greengagefall.coordination.ring import neighbours
from greengagefall.protocol.exceptions import ProtocolError
from greengagefall.protocol.messages import (
    Documents,
    Endorsed,
    Fetch,
    Heartbeat,
    HeartbeatReply,
)
from greengagefall.utils.hashing import hash64
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from greengagefall.coordination.candidate import Candidate, OutgoingRequest
    from greengagefall.entry.coordinator_tracker import CoordinatorTracker
    from greengagefall.entry.dispatch_table import DispatcherTable
    from greengagefall.entry.host_state import HostState
    from greengagefall.entry.peer_table import PeerLinks

log = logging.getLogger(__name__)

ENDORSE_TIMEOUT_S = 0.5
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 2.0
HAND_BACK_INTERVAL_S = 1.0
MAX_HOSTS_PER_OTHER_ZONE = 2


class ControlLoops:
    """Runs the loops for endorsements, heartbeats and handing back dispatch rights.

    Args:
        state: Documents of this host.
        peers: Links to other entry hosts.
        candidate: Holds and requests the dispatch rights of this host.
        coordinator_tracker: Tracks the coordinator of the zone.
        dispatcher_table: This host's dispatchers.
    """

    def __init__(
        self,
        state: HostState,
        peers: PeerLinks,
        candidate: Candidate,
        coordinator_tracker: CoordinatorTracker,
        dispatcher_table: DispatcherTable,
    ) -> None:
        self._state = state
        self._peers = peers
        self._candidate = candidate
        self._coordinator_tracker = coordinator_tracker
        self._dispatcher_table = dispatcher_table
        self._loops: list[asyncio.Task] = []
        self._calls: set[asyncio.Task] = set()
        self._fetching = False
        self._heartbeat_round = 0

    def start(self) -> None:
        """Starts all loops."""
        self._loops = [
            start_supervised(self._endorse_loop, "endorse"),
            start_supervised(self._heartbeat_loop, "heartbeats"),
            start_supervised(self._hand_back_loop, "hand back"),
        ]

    async def close(self) -> None:
        """Stops all loops and calls."""
        tasks = [*self._loops, *self._calls]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def request_endorsements(self) -> None:
        """Sends all endorsement requests that are due."""
        maps = self._state.document_cache.slice_maps()
        versions = {name: slice_map.version for name, slice_map in maps.items()}
        for outgoing in self._candidate.build_requests(versions):
            self._spawn(self._request_endorsement(outgoing))
        self._dispatcher_table.on_rights_changed()

    async def resign(self) -> None:
        """Resigns all dispatch rights for good, so that the next candidates can acquire them."""
        self._candidate.resign()
        outgoing = self._candidate.build_requests({})
        await asyncio.gather(*(self._request_endorsement(one) for one in outgoing))

    def fetch_if_newer(self, host: str, versions: dict[str, int]) -> None:
        """Fetches documents from a peer if ``versions`` names newer ones than this host has."""
        own_versions = self._state.document_cache.versions()
        if all(own_versions.get(name, -1) >= version for name, version in versions.items()):
            return
        if self._fetching:
            return
        self._fetching = True
        self._spawn(self._fetch(host))

    async def _endorse_loop(self) -> None:
        while True:
            self.request_endorsements()
            await asyncio.sleep(TICK_S)

    async def _request_endorsement(self, outgoing: OutgoingRequest) -> None:
        host = outgoing.member.host
        try:
            reply = await self._peers.call(host, outgoing.request, ENDORSE_TIMEOUT_S)
        except ProtocolError:
            count("endorse_failures")
            return
        if isinstance(reply, Endorsed):
            self._candidate.on_reply(reply, outgoing.sent_at_s)
            self._dispatcher_table.on_rights_changed()

    async def _hand_back_loop(self) -> None:
        """Hands rights back to preferred candidates that have been available again for a while."""
        while True:
            await asyncio.sleep(HAND_BACK_INTERVAL_S)
            for server_key in self._candidate.servers_to_hand_back():
                await self._dispatcher_table.hand_back_right(server_key)

    async def _heartbeat_loop(self) -> None:
        while True:
            for host in self._heartbeat_hosts():
                self._spawn(self._send_heartbeat(host))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat_hosts(self) -> list[str]:
        """Returns the ring neighbours and one host of each other zone, round robin among a few."""
        record = self._state.members_record(self._state.zone)
        ring_neighbours = [] if record is None else neighbours(record.members, self._state.host)
        self._heartbeat_round += 1
        by_zone = self._hosts_of_other_zones()
        one_per_zone = [hosts[self._heartbeat_round % len(hosts)] for hosts in by_zone.values()]
        return [member.host for member in ring_neighbours] + one_per_zone

    def _hosts_of_other_zones(self) -> dict[str, list[str]]:
        """Returns up to ``MAX_HOSTS_PER_OTHER_ZONE`` hosts of each other zone, always the same."""
        by_zone: dict[str, list[str]] = {}
        for member in self._state.members():
            zone = self._state.zone_of(member.host)
            if zone is not None and zone != self._state.zone:
                by_zone.setdefault(zone, []).append(member.host)
        own_host = self._state.host
        return {
            zone: sorted(hosts, key=lambda host: hash64(own_host, host))[:MAX_HOSTS_PER_OTHER_ZONE]
            for zone, hosts in by_zone.items()
        }

    async def _send_heartbeat(self, host: str) -> None:
        latest = self._coordinator_tracker.latest()
        message = Heartbeat(
            0,
            self._state.host,
            self._state.epoch(),
            latest.host,
            latest.term,
            latest.age_ms,
            self._state.document_cache.versions(),
        )
        try:
            reply = await self._peers.call(host, message, HEARTBEAT_TIMEOUT_S)
        except ProtocolError:
            count("heartbeat_failures")
            return
        if not isinstance(reply, HeartbeatReply):
            return
        if self._state.zone_of(host) == self._state.zone:
            self._coordinator_tracker.observe(
                reply.coordinator, reply.coordinator_term, reply.coordinator_age_ms
            )
        self.fetch_if_newer(host, reply.versions)

    async def _fetch(self, host: str) -> None:
        try:
            message = Fetch(0, self._state.document_cache.versions())
            reply = await self._peers.call(host, message, FETCH_TIMEOUT_S)
        except ProtocolError:
            count("fetch_failures")
            return
        finally:
            self._fetching = False
        if isinstance(reply, Documents):
            self._state.merge(reply)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
