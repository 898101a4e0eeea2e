"""Transitions of the members record of a zone.

A record of epoch E + 1 may be written only once epoch E is complete: of each witness group that
E changed, more than half has moved to E or has certainly ended. The coordinator then reads the
newest slice map versions from the store, after it learnt of the moves and ends, and puts them
into the record as ``map_floors``. So every version that a witness of an earlier epoch stored,
also one that has lost its memory since, is at most the floor in the record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from result import Err, Ok, Result

from greengagefall.coordination.exceptions import InvalidDocumentError
from greengagefall.coordination.model import Member, MembersRecord
from greengagefall.coordination.ring import Members, ring_order, ring_window

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

FIRST_EPOCH = 1


class HostAnswer(NamedTuple):
    """A host's answer to a question that was sent after the present record was read.

    An answer to an earlier question may come from a process that ended before the member in
    the record began, and then proves nothing.

    Attributes:
        incarnation: Incarnation of the process that answered.
        epoch: Epoch it acts under.
        address: ``IP:port`` where it was asked.
    """

    incarnation: str
    epoch: int
    address: str


def member_id(host: str, incarnation: str) -> str:
    """Returns the id under which a record lists a member that has ended."""
    return f"{host}/{incarnation}"


def first_members_record(zone: str, members: Iterable[Member]) -> MembersRecord:
    """Returns the record of the first epoch of a zone."""
    return MembersRecord(zone, FIRST_EPOCH, _sorted(members), 0, (), (), {})


def next_members_record(
    record: MembersRecord,
    *,
    updated: Iterable[Member] = (),
    removed: Iterable[str] = (),
    lost_hosts: Iterable[str] = (),
    map_floors: dict[str, int] | None = None,
) -> MembersRecord:
    """Returns the record of the next epoch.

    Args:
        record: The present record, complete.
        updated: Members that answered with this incarnation, or whose ``resigned`` changed. They
            answered a question that was sent after ``record`` was read, see ``HostAnswer``, so
            that another incarnation on the same address proves the end of the member's. On
            another address it only takes the member's place.
        removed: Hosts to take out; they still count as previous members that have to move.
        lost_hosts: ``host/incarnation`` that operators attested as lost; they are taken out.
        map_floors: Newest slice map version of each back end, read from the store after the
            completeness of ``record`` and all ends were learnt.
    """
    members = {member.host: member for member in record.members}
    gone = {member_id(*member[:2]) for member in record.members} & set(lost_hosts)
    for member in updated:
        known = members.get(member.host)
        if known and known.incarnation != member.incarnation and known.address == member.address:
            gone.add(member_id(*known[:2]))
        members[member.host] = member
    for host in removed:
        members.pop(host, None)
    kept = [member for member in members.values() if member_id(*member[:2]) not in gone]
    return MembersRecord(
        zone=record.zone,
        epoch=record.epoch + 1,
        members=_sorted(kept),
        previous_epoch=record.epoch,
        previous=record.members,
        gone=tuple(sorted(gone)),
        map_floors=merge_max_versions(record.map_floors, map_floors or {}),
    )


def merge_max_versions(*floors: dict[str, int]) -> dict[str, int]:
    """Returns the highest version of each back end."""
    merged: dict[str, int] = {}
    for one in floors:
        for back_end, version in one.items():
            merged[back_end] = max(version, merged.get(back_end, 0))
    return merged


def is_epoch_complete(
    record: MembersRecord, answers: Mapping[str, HostAnswer], lost_hosts: Collection[str] = ()
) -> bool:
    """Returns whether the next epoch may be written.

    Every window of the previous ring is looked at, not the groups of known servers alone, since
    the set of servers belongs to the configuration and may differ between hosts.

    Args:
        record: The present record.
        answers: Answer of each host. Another incarnation than the previous member's on the
            same address proves that this one has ended.
        lost_hosts: ``host/incarnation`` that operators attested as lost.
    """
    return not incomplete_windows(record, answers, lost_hosts)


def incomplete_windows(
    record: MembersRecord, answers: Mapping[str, HostAnswer], lost_hosts: Collection[str] = ()
) -> list[Members]:
    """Returns the changed windows of which no majority has moved or ended."""
    order = ring_order(record.previous)
    gone = {*record.gone, *lost_hosts}
    unchanged = _unchanged_windows(record)
    windows = [ring_window(order, index) for index in range(len(order))]
    return [
        group
        for group in windows
        if identities(group) not in unchanged
        and 2 * sum(_has_moved(record.epoch, member, answers, gone) for member in group)
        <= len(group)
    ]


def identities(group: Members) -> tuple[tuple[str, str], ...]:
    """Returns host and incarnation of each member, the same for the same witnesses."""
    return tuple((member.host, member.incarnation) for member in group)


def _unchanged_windows(record: MembersRecord) -> set[tuple[tuple[str, str], ...]]:
    joined = {member.host for member in record.members} - {
        member.host for member in record.previous
    }
    if joined:
        return set()
    order = ring_order(record.members)
    return {identities(ring_window(order, index)) for index in range(len(order))}


def _has_moved(
    epoch: int, member: Member, answers: Mapping[str, HostAnswer], gone: Collection[str]
) -> bool:
    if member_id(member.host, member.incarnation) in gone:
        return True
    answer = answers.get(member.host)
    if answer is None:
        return False
    if answer.incarnation == member.incarnation:
        return answer.epoch >= epoch
    return answer.address == member.address


def _sorted(members: Iterable[Member]) -> Members:
    return tuple(sorted(members))


def members_record_to_json(record: MembersRecord) -> dict[str, Any]:
    """Returns a members record as a JSON document."""
    document = record._asdict()
    document["members"] = [member._asdict() for member in record.members]
    document["previous"] = [member._asdict() for member in record.previous]
    document["gone"] = list(record.gone)
    return document


def members_record_from_json(
    document: dict[str, Any],
) -> Result[MembersRecord, InvalidDocumentError]:
    """Reads a members record out of a JSON document made by ``members_record_to_json``."""
    try:
        return Ok(
            MembersRecord(
                zone=str(document["zone"]),
                epoch=int(document["epoch"]),
                members=tuple(Member(**member) for member in document["members"]),
                previous_epoch=int(document["previous_epoch"]),
                previous=tuple(Member(**member) for member in document["previous"]),
                gone=tuple(document["gone"]),
                map_floors={str(k): int(v) for k, v in document["map_floors"].items()},
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(InvalidDocumentError(f"members record: {error!r}"))
