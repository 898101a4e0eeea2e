"""Transitions of the members record of a zone.

A record of epoch E + 1 may be written only once epoch E is complete: of each witness group that
E changed, more than half of the witnesses have moved to E or their processes have certainly ended.
After it learnt of the moves and ends, the coordinator reads the newest slice map versions from the
store and writes them to the record as ``map_floors``. So every version that a witness of an earlier
epoch stored is at most the floor in the record, even if that witness has since restarted and lost
its state.
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
    """A host's answer to a request that was sent after the current record was read.

    An answer to an earlier request may come from a process that ended before the member in the
    record started, so it proves nothing.

    Attributes:
        incarnation: Incarnation of the process that answered.
        epoch: Epoch that the process uses.
        address: ``IP:port`` to which the request was sent.
    """

    incarnation: str
    epoch: int
    address: str


def member_id(host: str, incarnation: str) -> str:
    """Returns the id by which a record lists a member whose process has ended."""
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
        record: The current record, complete.
        updated: Members that answered with this incarnation, or whose ``resigned`` changed. They
            answered a request that was sent after ``record`` was read (see ``HostAnswer``), so
            another incarnation at the same address proves that the member's incarnation ended. At
            another address it only replaces the member.
        removed: Hosts to remove; they still count as previous members that have to move.
        lost_hosts: ``host/incarnation`` that operators attested as lost; they are removed.
        map_floors: Newest slice map version of each back end, read from the store after
            ``record`` was known to be complete and all ends were known.
    """
    members = {member.host: member for member in record.members}
    ended = {member_id(*member[:2]) for member in record.members} & set(lost_hosts)
    for member in updated:
        known = members.get(member.host)
        if known and known.incarnation != member.incarnation and known.address == member.address:
            ended.add(member_id(*known[:2]))
        members[member.host] = member
    for host in removed:
        members.pop(host, None)
    kept = [member for member in members.values() if member_id(*member[:2]) not in ended]
    return MembersRecord(
        zone=record.zone,
        epoch=record.epoch + 1,
        members=_sorted(kept),
        previous_epoch=record.epoch,
        previous=record.members,
        gone=tuple(sorted(ended)),
        map_floors=merge_max_versions(record.map_floors, map_floors or {}),
    )


def merge_max_versions(*version_maps: dict[str, int]) -> dict[str, int]:
    """Returns the highest version of each back end in any of the maps."""
    merged: dict[str, int] = {}
    for versions in version_maps:
        for back_end, version in versions.items():
            merged[back_end] = max(version, merged.get(back_end, 0))
    return merged


def is_epoch_complete(
    record: MembersRecord, answers: Mapping[str, HostAnswer], lost_hosts: Collection[str] = ()
) -> bool:
    """Returns whether the next epoch may be written.

    Every window of the previous ring is checked, rather than only the groups of known servers,
    because the set of servers comes from the configuration and may differ between hosts.

    Args:
        record: The current record.
        answers: Answer of each host. An incarnation other than the previous member's at the
            same address proves that the previous member has ended.
        lost_hosts: ``host/incarnation`` that operators attested as lost.
    """
    return not incomplete_windows(record, answers, lost_hosts)


def incomplete_windows(
    record: MembersRecord, answers: Mapping[str, HostAnswer], lost_hosts: Collection[str] = ()
) -> list[Members]:
    """Returns the changed windows in which no majority has moved or ended."""
    order = ring_order(record.previous)
    ended = {*record.gone, *lost_hosts}
    unchanged = _unchanged_windows(record)
    windows = [ring_window(order, index) for index in range(len(order))]
    return [
        group
        for group in windows
        if identities(group) not in unchanged
        and 2 * sum(_has_moved(record.epoch, member, answers, ended) for member in group)
        <= len(group)
    ]


def identities(group: Members) -> tuple[tuple[str, str], ...]:
    """Returns host and incarnation of each member, to compare groups of witnesses."""
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
    epoch: int, member: Member, answers: Mapping[str, HostAnswer], ended: Collection[str]
) -> bool:
    if member_id(member.host, member.incarnation) in ended:
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
    """Reads a members record from a JSON document made by ``members_record_to_json``."""
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
