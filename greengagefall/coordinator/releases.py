"""Requests the release of slices from the dispatchers of their owners, and keeps the proofs."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from greengagefall.coordination.ring import candidates
from greengagefall.coordinator.slice_decisions import ReleaseProof
from greengagefall.protocol.exceptions import ProtocolError
from greengagefall.protocol.messages import Release, Released
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagefall.coordination.model import SliceRange
    from greengagefall.coordinator.contacts import HostConnections
    from greengagefall.coordinator.records import StoreRecords

log = logging.getLogger(__name__)

REQUEST_INTERVAL_S = 0.15
REQUEST_TIMEOUT_S = 1.0
GRANT_TTL_S = 1.5
GRANT_MARGIN_S = 0.5


class ReleaseTracker:
    """Release proofs for the slices of one back end.

    One task for each server repeats the request to the server's dispatcher until each of the
    server's slices in state ``releasing`` has a proof.

    Attributes:
        proofs: Release proof by slice.
    """

    def __init__(
        self,
        back_end: str,
        records: StoreRecords,
        connections: HostConnections,
        on_proof: Callable[[], None],
    ) -> None:
        """Creates the tracker without proofs.

        Args:
            back_end: Name of the back end.
            records: The store's records.
            connections: Connections to the zone's entry hosts.
            on_proof: Called when proofs were added.
        """
        self.proofs: dict[int, ReleaseProof] = {}
        self._back_end = back_end
        self._records = records
        self._connections = connections
        self._on_proof = on_proof
        self._tasks: dict[str, asyncio.Task] = {}

    async def close(self) -> None:
        """Stops all tasks."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start_tasks(self, servers: Iterable[str], lost_servers: Iterable[str]) -> None:
        """Starts a task for each server that has none running.

        Args:
            servers: Servers from whose dispatchers releases are requested.
            lost_servers: Servers of lost zones; their slices count as released once their grants
                have expired.
        """
        for server in servers:
            self._start_task(server, self._request_until_released)
        for server in lost_servers:
            self._start_task(server, self._wait_until_grants_expire)

    def discard_proofs(self, slice_ranges: Iterable[SliceRange]) -> None:
        """Drops the proofs of slices that were assigned to a new owner."""
        for slice_range in slice_ranges:
            for slice_id in range(slice_range.first, slice_range.last + 1):
                self.proofs.pop(slice_id, None)

    def unproved_ranges(self, server: str) -> list[SliceRange]:
        """Returns the server's slice ranges in state ``releasing`` that lack a proof."""
        slice_map = self._records.slice_map(self._back_end)
        if slice_map is None:
            return []
        return [
            slice_range
            for slice_range in slice_map.releasing_from(server)
            if not self._is_proved(slice_range)
        ]

    async def request_release_once(self, server: str) -> bool:
        """Requests the release of the unproved slices once; returns whether proofs were added."""
        slice_ranges = self.unproved_ranges(server)
        if not slice_ranges:
            return False
        version = self._records.slice_map(self._back_end).version
        if not await self._request_release(server, slice_ranges, version):
            return False
        self._record_proofs(slice_ranges)
        return True

    def _is_proved(self, slice_range: SliceRange) -> bool:
        proof = ReleaseProof(slice_range.owner, slice_range.fence)
        return all(
            self.proofs.get(number) == proof
            for number in range(slice_range.first, slice_range.last + 1)
        )

    def _start_task(self, server: str, release_task: Callable) -> None:
        running = self._tasks.get(server)
        if running is not None and not running.done():
            return
        self._tasks[server] = asyncio.create_task(release_task(server), name=f"release {server}")

    async def _request_until_released(self, server: str) -> None:
        while self.unproved_ranges(server):
            if not await self.request_release_once(server):
                await asyncio.sleep(random.uniform(0.8, 1.2) * REQUEST_INTERVAL_S)

    async def _wait_until_grants_expire(self, server: str) -> None:
        while slice_ranges := self.unproved_ranges(server):
            await asyncio.sleep(GRANT_TTL_S + GRANT_MARGIN_S)
            self._record_proofs(slice_ranges)

    async def _request_release(
        self, server: str, slice_ranges: list[SliceRange], version: int
    ) -> bool:
        """Returns whether a dispatcher reports that the server holds none of the slices."""
        bounds = [[slice_range.first, slice_range.last] for slice_range in slice_ranges]
        release = Release(0, self._back_end, server, bounds, version)
        hosts = self._possible_dispatchers(server)
        requests = [asyncio.create_task(self._request_from_host(host, release)) for host in hosts]
        try:
            for answer in asyncio.as_completed(requests):
                if await answer:
                    return True
            return False
        finally:
            for task in requests:
                task.cancel()

    def _possible_dispatchers(self, server: str) -> list[str]:
        record = self._records.members
        key = f"{self._back_end}/{server}"
        members = candidates(record.members, key) if record else ()
        hosts = [
            status.host
            for status in self._connections.statuses()
            if any(row[0] == key for row in status.servers)
        ]
        return list(dict.fromkeys([*hosts, *(member.host for member in members)]))

    async def _request_from_host(self, host: str, release: Release) -> bool:
        link = self._connections.link_to(host)
        if link is None:
            return False
        try:
            reply = await link.call(release, REQUEST_TIMEOUT_S)
        except ProtocolError as error:
            log.debug(
                "No answer from entry host %s to a release request: %s. "
                "The request is repeated until the release is proved.",
                host,
                error,
            )
            return False
        return isinstance(reply, Released) and reply.released is True

    def _record_proofs(self, slice_ranges: list[SliceRange]) -> None:
        for slice_range in slice_ranges:
            proof = ReleaseProof(slice_range.owner, slice_range.fence)
            for slice_id in range(slice_range.first, slice_range.last + 1):
                self.proofs[slice_id] = proof
        count("coordinator_releases_proved")
        self._on_proof()
