"""Gets slices released by the servers that own them, and keeps the proofs."""

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

ASK_INTERVAL_S = 0.15
ASK_TIMEOUT_S = 1.0
GRANT_TTL_S = 1.5
GRANT_MARGIN_S = 0.5


class ReleaseTracker:
    """Proofs of release for the slices of one back end.

    One task for each server asks the server's dispatcher until nothing is left to prove.
    """

    def __init__(
        self,
        back_end: str,
        records: StoreRecords,
        contacts: HostConnections,
        on_proof: Callable[[], None],
    ) -> None:
        """Prepares without proofs.

        Args:
            back_end: Name of the back end.
            records: The store's records.
            contacts: Connections with the zone's hosts.
            on_proof: Called after each proof.
        """
        self.proofs: dict[int, ReleaseProof] = {}
        self._back_end = back_end
        self._records = records
        self._contacts = contacts
        self._on_proof = on_proof
        self._tasks: dict[str, asyncio.Task] = {}

    async def close(self) -> None:
        """Ends all tasks."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start_tasks(self, servers: Iterable[str], lost: Iterable[str]) -> None:
        """Sees to it that each server has a task while it has something to release.

        Args:
            servers: Servers whose dispatchers are to be asked.
            lost: Servers of lost zones, whose grants are left to run out.
        """
        for server in servers:
            self._start(server, self._ask_until_released)
        for server in lost:
            self._start(server, self._wait_until_run_out)

    def discard_proofs(self, runs: Iterable[SliceRange]) -> None:
        """Drops the proofs of slices that were appointed anew."""
        for run in runs:
            for slice_id in range(run.first, run.last + 1):
                self.proofs.pop(slice_id, None)

    def unproved_ranges(self, server: str) -> list[SliceRange]:
        """Returns the runs that the server still has to release."""
        slice_map = self._records.slice_map(self._back_end)
        if slice_map is None:
            return []
        return [run for run in slice_map.releasing_from(server) if not self._is_proved(run)]

    async def ask_once(self, server: str) -> bool:
        """Asks once whether the server released what it has to; keeps the proof if so."""
        runs = self.unproved_ranges(server)
        if not runs:
            return False
        version = self._records.slice_map(self._back_end).version
        if not await self._ask(server, runs, version):
            return False
        self._prove(runs)
        return True

    def _is_proved(self, run: SliceRange) -> bool:
        proof = ReleaseProof(run.owner, run.fence)
        return all(self.proofs.get(number) == proof for number in range(run.first, run.last + 1))

    def _start(self, server: str, work: Callable) -> None:
        running = self._tasks.get(server)
        if running is not None and not running.done():
            return
        self._tasks[server] = asyncio.create_task(work(server), name=f"release {server}")

    async def _ask_until_released(self, server: str) -> None:
        while self.unproved_ranges(server):
            if not await self.ask_once(server):
                await asyncio.sleep(random.uniform(0.8, 1.2) * ASK_INTERVAL_S)

    async def _wait_until_run_out(self, server: str) -> None:
        while runs := self.unproved_ranges(server):
            await asyncio.sleep(GRANT_TTL_S + GRANT_MARGIN_S)
            self._prove(runs)

    async def _ask(self, server: str, runs: list[SliceRange], version: int) -> bool:
        """Returns whether a dispatcher reports that the server holds none of the runs."""
        bounds = [[run.first, run.last] for run in runs]
        release = Release(0, self._back_end, server, bounds, version)
        hosts = self._hosts_to_ask(server)
        asked = [asyncio.create_task(self._ask_host(host, release)) for host in hosts]
        try:
            for answer in asyncio.as_completed(asked):
                if await answer:
                    return True
            return False
        finally:
            for task in asked:
                task.cancel()

    def _hosts_to_ask(self, server: str) -> list[str]:
        record = self._records.members
        key = f"{self._back_end}/{server}"
        members = candidates(record.members, key) if record else ()
        hosts = [
            status.host
            for status in self._contacts.statuses()
            if any(row[0] == key for row in status.servers)
        ]
        return list(dict.fromkeys([*hosts, *(member.host for member in members)]))

    async def _ask_host(self, host: str, release: Release) -> bool:
        link = self._contacts.link_to(host)
        if link is None:
            return False
        try:
            reply = await link.call(release, ASK_TIMEOUT_S)
        except ProtocolError as error:
            log.debug("No answer to a release from %s: %s.", host, error)
            return False
        return isinstance(reply, Released) and reply.released is True

    def _prove(self, runs: list[SliceRange]) -> None:
        for run in runs:
            proof = ReleaseProof(run.owner, run.fence)
            for slice_id in range(run.first, run.last + 1):
                self.proofs[slice_id] = proof
        count("coordinator_releases_proved")
        self._on_proof()
