"""Records that the coordination parts exchange and keep."""

from __future__ import annotations

from typing import NamedTuple

SLICE_FREE = "free"
SLICE_OWNED = "owned"
SLICE_RELEASING = "releasing"


class Member(NamedTuple):
    """An entry host in a members record.

    Attributes:
        host: Name of the entry host.
        incarnation: Id drawn at process start; a restart draws another.
        address: ``IP:port`` of its peer interface.
        http_address: ``IP:port`` of its callers' interface.
        resigned: Whether it is leaving and wants no dispatching.
    """

    host: str
    incarnation: str
    address: str
    http_address: str
    resigned: bool


class MembersRecord(NamedTuple):
    """Entry hosts of one availability zone in one epoch.

    Attributes:
        zone: The availability zone.
        epoch: Number that grows with each change.
        members: Current members.
        previous_epoch: Epoch before this one.
        previous: Members of the epoch before.
        gone: ``host/incarnation`` of previous members that have certainly ended.
        map_floors: Newest slice map version by back end, read from the store after the epoch
            before was complete and all of ``gone`` had ended.
    """

    zone: str
    epoch: int
    members: tuple[Member, ...]
    previous_epoch: int
    previous: tuple[Member, ...]
    gone: tuple[str, ...]
    map_floors: dict[str, int]


class SliceRange(NamedTuple):
    """Consecutive slices with the same entry in the slice map.

    Attributes:
        first: First slice.
        last: Last slice, inclusive.
        state: ``free``, ``owned`` or ``releasing``.
        owner: Name of the backend server, empty when free.
        fence: Number of the slice map version that made ``owner`` the owner.
        home_zone: Availability zone where the slices live in quiet times.
    """

    first: int
    last: int
    state: str
    owner: str
    fence: int
    home_zone: str


class SliceDelta(NamedTuple):
    """One change of a slice map: version ``version - 1`` to ``version``.

    Attributes:
        back_end: Name of the back end.
        version: Version after the change; also the fence of new owners.
        change_id: Unique id, to recognise one's own change on read-back.
        ranges: The new entries of the changed slices.
    """

    back_end: str
    version: int
    change_id: str
    ranges: tuple[SliceRange, ...]


class GrantRange(NamedTuple):
    """Consecutive slices granted to a backend server under one fence."""

    first: int
    last: int
    fence: int
