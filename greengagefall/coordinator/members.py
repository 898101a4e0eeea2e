"""Decides which hosts join, are replaced, resign or are removed; writes the members records."""

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
from greengagefall.coordinator.keys import BACKENDS_PREFIX
from greengagefall.coordinator.write_retry import WriteBackoff
from greengagefall.store.host_list import STATE_LEAVING
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import run_logging_errors

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
FIRST_EPOCH_WAIT_S = 1.0
REMOVE_AFTER_S = 5.0


class MembersChange(NamedTuple):
    """Changes that the next epoch makes to the members.

    Attributes:
        updated: Members that join, replace another incarnation or changed in another field.
        removed: Hosts to remove.
        lost_hosts: ``host/incarnation`` of members that operators attested as lost.
    """

    updated: tuple[Member, ...]
    removed: tuple[str, ...]
    lost_hosts: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether the members stay as they are."""
        return not any(self)


def member_from_observation(observation: HostObservation) -> Member:
    """Returns the member entry of a host that answers."""
    return Member(
        observation.host,
        observation.incarnation,
        observation.address,
        observation.http_address,
        observation.resigning,
    )


def plan_change(
    record: MembersRecord,
    observations: Mapping[str, HostObservation],
    silent_s: Mapping[str, float],
    listed_states: Mapping[str, str] | None,
    lost_hosts: Collection[str],
) -> MembersChange:
    """Returns the changes that bring the members in line with the observed hosts.

    A host that does not answer stays a member until the platform's host list marks it as
    leaving or omits it, or operators attest it as lost.

    Args:
        record: The current record.
        observations: Observations of the hosts that answered recently, by host.
        silent_s: Seconds since the last answer of each member.
        listed_states: State by host in the platform's list, None if the list was not read yet.
        lost_hosts: ``host/incarnation`` that operators attested as lost.
    """
    members = {member.host: member for member in record.members}
    not_lost = {
        host: observation
        for host, observation in observations.items()
        if member_id(host, observation.incarnation) not in lost_hosts
    }
    updated = [
        member_from_observation(observation)
        for host, observation in not_lost.items()
        if members.get(host) != member_from_observation(observation)
        and (host in members or not observation.resigning)
    ]
    attested_lost = [
        member_id(member.host, member.incarnation)
        for member in record.members
        if member_id(member.host, member.incarnation) in lost_hosts
    ]
    removed = [
        host
        for host in members
        if host not in observations
        and silent_s.get(host, 0.0) >= REMOVE_AFTER_S
        and _is_leaving_or_unlisted(host, listed_states)
    ]
    return MembersChange(tuple(sorted(updated)), tuple(removed), tuple(attested_lost))


def _is_leaving_or_unlisted(host: str, listed_states: Mapping[str, str] | None) -> bool:
    return listed_states is not None and listed_states.get(host, STATE_LEAVING) == STATE_LEAVING


class MembersController:
    """Writes the members records of the zone while its coordinator is active."""

    def __init__(
        self,
        zone: str,
        records: StoreRecords,
        connections: HostConnections,
        listed_hosts: HostListFollower,
        clock: Clock,
        wakeup: Wakeup,
    ) -> None:
        """Creates the controller without starting its task.

        Args:
            zone: Own availability zone.
            records: The store's records.
            connections: Connections to the zone's entry hosts.
            listed_hosts: The zone's hosts in the platform's host list.
            clock: Source of time.
            wakeup: Set when records or observations of hosts changed.
        """
        self._zone = zone
        self._records = records
        self._connections = connections
        self._listed_hosts = listed_hosts
        self._clock = clock
        self._wakeup = wakeup
        self._known_record: MembersRecord | None = None
        self._known_at_s = 0.0
        self._answered: dict[str, HostAnswer] = {}
        self._last_answer_at_s: dict[str, float] = {}
        self._first_answer_at_s: float | None = None
        self._changed_at_s: float | None = None
        self._write_backoff = WriteBackoff()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that writes the records."""
        self._task = asyncio.create_task(self._run(), name="members")

    async def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait(CHECK_INTERVAL_S)
            if self._records.all_read:
                await run_logging_errors("members", self.step())
            await asyncio.sleep(self._write_backoff.delay_s())

    async def step(self) -> None:
        """Writes the next record if the members changed and the current epoch is complete."""
        record = self._records.members
        observations = self._update_observations(record)
        if record is None:
            await self._write_first(observations)
            return
        lost_hosts = self._records.config.lost_hosts
        change = self._plan(record, observations, lost_hosts)
        if change.is_empty:
            self._changed_at_s = None
            return
        if not self._batch_is_over():
            return
        if not is_epoch_complete(record, self._answered, lost_hosts):
            count("coordinator_epoch_waits")
            return
        await self._write_next(record, change)

    def _update_observations(self, record: MembersRecord | None) -> dict[str, HostObservation]:
        """Records the answers to heartbeats that were sent after the record was read.

        Only these answers prove that a member's process has ended, see ``HostAnswer``.
        """
        now_s = self._clock.now_s()
        if record != self._known_record:
            self._known_record, self._known_at_s = record, now_s
            self._answered.clear()
        observations = self._connections.observations(sent_since_s=self._known_at_s)
        for host, observation in observations.items():
            self._answered[host] = HostAnswer(
                observation.incarnation, observation.epoch, observation.address
            )
            self._last_answer_at_s[host] = now_s
        members = record.members if record else ()
        for member in members:
            self._last_answer_at_s.setdefault(member.host, now_s)
        return observations

    def _plan(
        self,
        record: MembersRecord,
        observations: dict[str, HostObservation],
        lost_hosts: Collection[str],
    ) -> MembersChange:
        now_s = self._clock.now_s()
        silent_s = {
            host: now_s - answered_at_s for host, answered_at_s in self._last_answer_at_s.items()
        }
        return plan_change(record, observations, silent_s, self._listed_hosts.states(), lost_hosts)

    def _batch_is_over(self) -> bool:
        now_s = self._clock.now_s()
        if self._changed_at_s is None:
            self._changed_at_s = now_s
        return now_s - self._changed_at_s >= BATCH_S

    async def _write_first(self, observations: dict[str, HostObservation]) -> None:
        now_s = self._clock.now_s()
        lost_hosts = self._records.config.lost_hosts
        members = [
            member_from_observation(observation)
            for host, observation in observations.items()
            if member_id(host, observation.incarnation) not in lost_hosts
        ]
        if not members:
            return
        if self._first_answer_at_s is None:
            self._first_answer_at_s = now_s
        expected = self._listed_hosts.states()
        all_answered = expected is not None and expected.keys() <= observations.keys()
        if not all_answered and now_s - self._first_answer_at_s < FIRST_EPOCH_WAIT_S:
            return
        await self._write(first_members_record(self._zone, members))

    async def _write_next(self, record: MembersRecord, change: MembersChange) -> None:
        # The map floors must be read after the answers and attestations that this change relies
        # on: the members that moved on to the current epoch and those that have ended.
        reread = await self._records.read(BACKENDS_PREFIX)
        if isinstance(reread, Err) or self._records.members != record:
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
        self._write_backoff.record_outcome(written)
        if isinstance(written, Err):
            log.warning(
                "Members record of epoch %d is not confirmed as written: %s. Trying again.",
                record.epoch,
                written.err_value,
            )
            return
        if not written.ok_value:
            count("coordinator_lost_races", record="members")
            return
        self._changed_at_s = None
        hosts = ", ".join(member.host for member in record.members)
        log.info("Members record of epoch %d is written; members: %s.", record.epoch, hosts)
