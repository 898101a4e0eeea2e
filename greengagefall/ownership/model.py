"""Records of who owns which keys and who dispatches which backend server."""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

NO_SERVER = ""
LAST_KEY = 65_535


class Life(NamedTuple):
    """One life of a backend server: its id and the Unix time of its start.

    A server that starts again under the same id is another life and holds nothing.
    """

    server_id: str
    born_ms: int


NOBODY = Life(NO_SERVER, 0)


class KeyRun(NamedTuple):
    """A run of keys and its owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Life of the server that owns it.
        fence: Fencing token of the owner; higher than that of any earlier one.
        source: Life that may still hold the run, ``NOBODY`` once it certainly does not.
    """

    first: int
    last: int
    owner: Life
    fence: int
    source: Life = NOBODY

    @property
    def moving(self) -> bool:
        """Whether another server may still hold keys of the run."""
        return self.source != NOBODY

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


class Incarnation(NamedTuple):
    """One start of an entry host's process."""

    host: str
    start_ms: int


class Dispatching(NamedTuple):
    """Who sends to a backend server and renews its grants.

    Attributes:
        dispatcher: The process that does now.
        former: Processes that may still renew grants by an earlier assignment.
    """

    dispatcher: Incarnation
    former: tuple[Incarnation, ...] = ()

    @property
    def granters(self) -> tuple[Incarnation, ...]:
        """All processes that may renew grants of the server."""
        return (self.dispatcher, *self.former)


class Assignment(NamedTuple):
    """One version of all ownership.

    Attributes:
        version: Its number; grows with each change.
        last_fence: Highest fence given so far.
        runs: Runs of each service in order; keys in no run have no owner yet.
        dispatching: Dispatching of each backend server, by server id.
    """

    version: int
    last_fence: int
    runs: dict[str, tuple[KeyRun, ...]]
    dispatching: dict[str, Dispatching]

    def run_of(self, service: str, key: int) -> KeyRun | None:
        """Returns the run that holds a key."""
        runs = self.runs.get(service, ())
        index = bisect_right(runs, key, key=lambda run: run.first) - 1
        if index < 0 or runs[index].last < key:
            return None
        return runs[index]

    def runs_of(self, service: str, life: Life) -> list[KeyRun]:
        """Returns the runs that a life of a server owns."""
        return [run for run in self.runs.get(service, ()) if run.owner == life]


EMPTY_ASSIGNMENT = Assignment(0, 0, {}, {})
