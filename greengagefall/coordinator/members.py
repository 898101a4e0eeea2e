"""Members records of the zone: who joins, is replaced, resigns, leaves or is lost."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from result import Err

from greengagefall.coordination.epochs import (
    HostAnswer,
    first_members_record,
    is_epoch_complete,
    member_id,
    next_members_record,
)
from greengagefall.coordination.model import Member, MembersRecord
from greengagefall.coordinator.guard import run_logging_errors
from greengagefall.coordinator.keys import BACKENDS_PREFIX
from greengagefall.coordinator.write_retry import WriteBackoff
from greengagefall.store.host_list import STATE_LEAVING
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from greengagefall.coordinator.contacts import HostConnections, HostObservation
    from greengagefall.coordinator.hosts import HostListFollower
    from greengagefall.coordinator.records import StoreRecords
    from greengagefall.coordinator.wakeup import Wakeup
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
BATCH_S = 0.3
FIRST_EPOCH_SETTLE_S = 1.0
REMOVE_AFTER_S = 5.0


class MembersChange(NamedTuple):
    """What the next epoch changes.

    Attributes:
        updated: Members that joined, replaced another incarnation or changed otherwise.
        removed: Hosts to take out.
        lost_hosts: ``host/incarnation`` of members that operators attested as lost.
    """

    updated: tuple[Member, ...]
    removed: tuple[str, ...]
    lost_hosts: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to change."""
        return not any(self)


def member_from_observation(sight: HostObservation) -> Member:
    """Returns the entry of a host that answers."""
    return Member(sight.host, sight.incarnation, sight.address, sight.http_address, sight.resigning)


def plan_change(
    record: MembersRecord,
    observations: Mapping[str, HostObservation],
    silent_s: Mapping[str, float],
    listed: Mapping[str, str] | None,
    lost_hosts: Collection[str],
) -> MembersChange:
    """Returns how the members differ from what is known of the hosts.

    A host that does not answer stays a member: it leaves only if the platform's host list
    agrees, or operators attested it as lost.

    Args:
        record: The present record.
        observations: Hosts that answered lately.
        silent_s: Seconds for which each member has not answered.
        listed: State by host in the platform's list, None if the list is not known.
        lost_hosts: ``host/incarnation`` that operators attested as lost.
    """
    members = {member.host: member for member in record.members}
    alive = {
        host: sight
        for host, sight in observations.items()
        if member_id(host, sight.incarnation) not in lost_hosts
    }
    seen = [
        member_from_observation(sight)
        for host, sight in alive.items()
        if members.get(host) != member_from_observation(sight)
        and (host in members or not sight.resigning)
    ]
    ended = [
        member_id(member.host, member.incarnation)
        for member in record.members
        if member_id(member.host, member.incarnation) in lost_hosts
    ]
    leaving = [
        host
        for host in members
        if host not in observations
        and silent_s.get(host, 0.0) >= REMOVE_AFTER_S
        and _list_says_gone(host, listed)
    ]
    return MembersChange(tuple(sorted(seen)), tuple(leaving), tuple(ended))


def _list_says_gone(host: str, listed: Mapping[str, str] | None) -> bool:
    return listed is not None and listed.get(host, STATE_LEAVING) == STATE_LEAVING


class MembersController:
    """Writes the members records of the zone while its coordinator is active."""

    def __init__(
        self,
        zone: str,
        records: StoreRecords,
        contacts: HostConnections,
        listed: HostListFollower,
        clock: Clock,
        wakeup: Wakeup,
    ) -> None:
        """Prepares the keeper.

        Args:
            zone: Own availability zone.
            records: The store's records.
            contacts: Connections with the zone's hosts.
            listed: The platform's host list.
            clock: Source of time.
            wakeup: Set when records or contacts changed.
        """
        self._zone = zone
        self._records = records
        self._contacts = contacts
        self._listed = listed
        self._clock = clock
        self._wakeup = wakeup
        self._known_record: MembersRecord | None = None
        self._known_at_s = 0.0
        self._answered: dict[str, HostAnswer] = {}
        self._last_seen_s: dict[str, float] = {}
        self._first_seen_s: float | None = None
        self._changed_s: float | None = None
        self._retry = WriteBackoff()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that keeps the record."""
        self._task = asyncio.create_task(self._run(), name="members")

    async def close(self) -> None:
        """Ends the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait(CHECK_INTERVAL_S)
            if self._records.all_read:
                await run_logging_errors("members", self.step())
            await asyncio.sleep(self._retry.delay_s())

    async def step(self) -> None:
        """Writes the next record if the members differ and the epoch is complete."""
        record = self._records.members
        sights = self._note_sights(record)
        if record is None:
            await self._write_first(sights)
            return
        lost_hosts = self._records.config.lost_hosts
        change = self._plan(record, sights, lost_hosts)
        if change.is_empty:
            self._changed_s = None
            return
        if not self._batch_is_over():
            return
        if not is_epoch_complete(record, self._answered, lost_hosts):
            count("coordinator_epoch_waits")
            return
        await self._write_next(record, change)

    def _note_sights(self, record: MembersRecord | None) -> dict[str, HostObservation]:
        """Takes the answers to heartbeats that were sent after the record was read.

        Only these prove that a member has ended, see ``HostAnswer``.
        """
        now_s = self._clock.now_s()
        if record != self._known_record:
            self._known_record, self._known_at_s = record, now_s
            self._answered.clear()
        sights = self._contacts.observations(asked_since_s=self._known_at_s)
        for host, sight in sights.items():
            self._answered[host] = HostAnswer(sight.incarnation, sight.epoch, sight.address)
            self._last_seen_s[host] = now_s
        members = record.members if record else ()
        for member in members:
            self._last_seen_s.setdefault(member.host, now_s)
        return sights

    def _plan(
        self, record: MembersRecord, sights: dict[str, HostObservation], lost_hosts: Collection[str]
    ) -> MembersChange:
        now_s = self._clock.now_s()
        silent_s = {host: now_s - seen_s for host, seen_s in self._last_seen_s.items()}
        return plan_change(record, sights, silent_s, self._listed.states(), lost_hosts)

    def _batch_is_over(self) -> bool:
        now_s = self._clock.now_s()
        if self._changed_s is None:
            self._changed_s = now_s
        return now_s - self._changed_s >= BATCH_S

    async def _write_first(self, sights: dict[str, HostObservation]) -> None:
        now_s = self._clock.now_s()
        lost_hosts = self._records.config.lost_hosts
        members = [
            member_from_observation(sight)
            for host, sight in sights.items()
            if member_id(host, sight.incarnation) not in lost_hosts
        ]
        if not members:
            return
        if self._first_seen_s is None:
            self._first_seen_s = now_s
        expected = self._listed.states()
        all_answer = expected is not None and expected.keys() <= sights.keys()
        if not all_answer and now_s - self._first_seen_s < FIRST_EPOCH_SETTLE_S:
            return
        await self._write(first_members_record(self._zone, members))

    async def _write_next(self, record: MembersRecord, change: MembersChange) -> None:
        # The floors must be read after the moves and ends that the change relies on.
        read = await self._records.read(BACKENDS_PREFIX)
        if isinstance(read, Err) or self._records.members != record:
            return
        following = next_members_record(
            record,
            updated=change.updated,
            removed=change.removed,
            lost_hosts=change.lost_hosts,
            map_floors=self._records.slice_versions(),
        )
        await self._write(following)

    async def _write(self, record: MembersRecord) -> None:
        written = await self._records.write_members(record)
        self._retry.record_outcome(written)
        if isinstance(written, Err):
            log.warning("Members of epoch %d are not written: %s.", record.epoch, written.err_value)
            return
        if not written.ok_value:
            count("coordinator_lost_races", record="members")
            return
        self._changed_s = None
        hosts = ", ".join(member.host for member in record.members)
        log.info("Members record of epoch %d is written; members: %s.", record.epoch, hosts)
