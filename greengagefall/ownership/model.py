"""Records of who owns which keys and who dispatches which backend server."""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

NO_SERVER = ""
LAST_KEY = 65_535


class ServerIncarnation(NamedTuple):
    """One life of a backend server: its id and the Unix time of its start.

    A server that starts again under the same id is another life and holds nothing.
    """

    server_id: str
    start_ms: int


NO_INCARNATION = ServerIncarnation(NO_SERVER, 0)


class KeyRange(NamedTuple):
    """A run of keys and its owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Life of the server that owns it.
        fence: Fencing token of the owner; higher than that of any earlier one.
        source: Life that may still hold the run, ``NO_INCARNATION`` once it certainly does not.
    """

    first: int
    last: int
    owner: ServerIncarnation
    fence: int
    source: ServerIncarnation = NO_INCARNATION

    @property
    def moving(self) -> bool:
        """Whether another server may still hold keys of the run."""
        return self.source != NO_INCARNATION

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


class HostIncarnation(NamedTuple):
    """One start of an entry host's process."""

    host: str
    start_ms: int


class DispatcherRecord(NamedTuple):
    """Who sends to a backend server and renews its grants.

    Attributes:
        dispatcher: The process that does now.
        former: Processes that may still renew grants by an earlier assignment.
    """

    dispatcher: HostIncarnation
    former: tuple[HostIncarnation, ...] = ()

    @property
    def granters(self) -> tuple[HostIncarnation, ...]:
        """All processes that may renew grants of the server."""
        return (self.dispatcher, *self.former)


class Assignment(NamedTuple):
    """One version of all ownership.

    Attributes:
        version: Its number; grows with each change.
        last_fence: Highest fence given so far.
        key_ranges: Runs of each service in order; keys in no run have no owner yet.
        dispatchers: Dispatching of each backend server, by server id.
    """

    version: int
    last_fence: int
    key_ranges: dict[str, tuple[KeyRange, ...]]
    dispatchers: dict[str, DispatcherRecord]

    def find_key_range(self, service: str, key: int) -> KeyRange | None:
        """Returns the run that holds a key."""
        runs = self.key_ranges.get(service, ())
        index = bisect_right(runs, key, key=lambda run: run.first) - 1
        if index < 0 or runs[index].last < key:
            return None
        return runs[index]

    def key_ranges_owned_by(self, service: str, life: ServerIncarnation) -> list[KeyRange]:
        """Returns the runs that a life of a server owns."""
        return [run for run in self.key_ranges.get(service, ()) if run.owner == life]


EMPTY_ASSIGNMENT = Assignment(0, 0, {}, {})
