"""Records of who owns which keys and who dispatches which backend server."""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

from greengagefall.ownership.key_spans import KeySpan

NO_SERVER = ""
LAST_KEY = 65_535
# Where it is not known how often the store was restored from an older copy of its data.
UNKNOWN_RESTORES = -1


class ServerIncarnation(NamedTuple):
    """One process lifetime of a backend server: its id and the Unix time of its start.

    A server that restarts under the same id is a new incarnation and holds no keys.
    """

    server_id: str
    start_ms: int


NO_INCARNATION = ServerIncarnation(NO_SERVER, 0)


class KeyRange(NamedTuple):
    """A contiguous range of keys and its owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Incarnation of the server that owns the keys.
        fence: Fencing token of the owner; higher than that of any earlier owner.
        source: Former owner that may still hold some of the keys; ``NO_INCARNATION`` once it
            certainly holds none.
    """

    first: int
    last: int
    owner: ServerIncarnation
    fence: int
    source: ServerIncarnation = NO_INCARNATION

    @property
    def moving(self) -> bool:
        """Whether the former owner may still hold keys of the range."""
        return self.source != NO_INCARNATION

    @property
    def span(self) -> KeySpan:
        """The keys."""
        return KeySpan(self.first, self.last)

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


class HostIncarnation(NamedTuple):
    """One process lifetime of an entry host."""

    host: str
    start_ms: int


class DispatcherRecord(NamedTuple):
    """The hosts that send requests to a backend server and may renew its grants.

    Attributes:
        dispatcher: Host incarnation that dispatches the server now.
        former: Host incarnations that may still renew grants under an earlier assignment.
    """

    dispatcher: HostIncarnation
    former: tuple[HostIncarnation, ...] = ()

    @property
    def granters(self) -> tuple[HostIncarnation, ...]:
        """All host incarnations that may renew grants of the server."""
        return (self.dispatcher, *self.former)


class Assignment(NamedTuple):
    """One version of the ownership of all keys.

    Attributes:
        version: Version number; it increases with each change.
        last_fence: Highest fencing token issued so far.
        key_ranges: Key ranges of each service, in order; a key outside of them has no owner yet.
        dispatchers: Dispatcher record of each backend server, by server id.
    """

    version: int
    last_fence: int
    key_ranges: dict[str, tuple[KeyRange, ...]]
    dispatchers: dict[str, DispatcherRecord]

    def find_key_range(self, service: str, key: int) -> KeyRange | None:
        """Returns the key range that contains a key, or None."""
        key_ranges = self.key_ranges.get(service, ())
        index = bisect_right(key_ranges, key, key=lambda key_range: key_range.first) - 1
        if index < 0 or key_ranges[index].last < key:
            return None
        return key_ranges[index]

    def key_ranges_owned_by(self, service: str, incarnation: ServerIncarnation) -> list[KeyRange]:
        """Returns the key ranges that an incarnation of a server owns."""
        return [
            key_range
            for key_range in self.key_ranges.get(service, ())
            if key_range.owner == incarnation
        ]

    def key_ranges_of(self, service: str, server_id: str) -> list[KeyRange]:
        """Returns the key ranges that any incarnation of a server owns."""
        return [
            key_range
            for key_range in self.key_ranges.get(service, ())
            if key_range.owner.server_id == server_id
        ]


EMPTY_ASSIGNMENT = Assignment(0, 0, {}, {})
