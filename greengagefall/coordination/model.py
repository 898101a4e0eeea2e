"""Records that the coordination parts exchange and store."""

from __future__ import annotations

from typing import NamedTuple

SLICE_FREE = "free"
SLICE_OWNED = "owned"
SLICE_RELEASING = "releasing"


class Member(NamedTuple):
    """An entry host in a members record.

    Attributes:
        host: Name of the entry host.
        incarnation: Id drawn at process start; a restarted process draws another one.
        address: ``IP:port`` of its peer interface.
        http_address: ``IP:port`` of its interface for callers.
        resigned: Whether the host has resigned: it is shutting down and wants no dispatch rights.
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
        epoch: Number that increases with each change.
        members: Current members.
        previous_epoch: Number of the previous epoch.
        previous: Members of the previous epoch.
        gone: ``host/incarnation`` of previous members whose process has certainly ended.
        map_floors: Newest slice map version by back end, read from the store after the
            previous epoch was complete and the processes of all members in ``gone`` had ended.
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
        home_zone: Availability zone that should own the slices in normal operation.
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
        change_id: Unique id, by which the writer recognises its change when reading it back.
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
