"""Records of the backend server stand-in, which the bench oracles check."""

from __future__ import annotations

import json
import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from greengagefall.coordination.model import GrantRange

DEFAULT_MAX_RECORDS = 500_000
JOURNAL_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND

OUTCOME_PENDING = "pending"
OUTCOME_RUNNING = "running"
OUTCOME_RUN = "run"
OUTCOME_STOPPED = "stopped"
OUTCOME_NOT_RUN = "not_run"


class RequestRecord(TypedDict):
    """Record of one request.

    Times are seconds of ``time.time()``; ``started_s`` is 0 for a request that wasn't executed.
    ``outcome`` is ``run`` (executed), ``stopped`` (started, then cancelled or stopped because its
    grant expired), ``not_run``, ``pending`` (not started yet) or ``running``.
    """

    request_id: str
    method: str
    path: str
    slice: int
    slice_fence: int
    dispatch_fence: int
    arrived_s: float
    started_s: float
    ended_s: float
    outcome: str
    reason: str
    in_flight: int
    cold: bool
    incarnation: str


class GrantRecord(TypedDict):
    """A grant held unchanged from ``from_s`` to ``until_s``, in seconds of ``time.time()``."""

    fence: int
    map_version: int
    runs: list[list[int]]
    from_s: float
    until_s: float
    incarnation: str


class ColdRecord(TypedDict):
    """A cold start from ``from_s`` to ``until_s``, in seconds of ``time.time()``.

    ``refused_s`` is the time of its first refusal, 0 if there was none. ``at_start`` is true for
    the cold start that follows the start of the process.
    """

    from_s: float
    until_s: float
    cold_slots: int
    announced: bool
    at_start: bool
    refused_s: float
    incarnation: str


class StartRecord(TypedDict):
    """Start of a server process; ``at_s`` is in seconds of ``time.time()``."""

    at_s: float
    incarnation: str


class Records:
    """Bounded records of one server process.

    Args:
        server: Name of the server.
        incarnation: Id of the process lifetime.
        max_requests: Number of request records kept; older ones are dropped and counted.
        journal: File to which each record is appended as a JSON line, so that the records survive
            a killed process; empty for none.
    """

    def __init__(self, server: str, incarnation: str, max_requests: int, journal: str = "") -> None:
        self.server = server
        self.incarnation = incarnation
        self.dropped = 0
        self.requests: deque[RequestRecord] = deque(maxlen=max_requests)
        self.grants: list[GrantRecord] = []
        self.cold_starts: list[ColdRecord] = []
        self._wall_offset_s = time.time() - time.monotonic()
        self.start = StartRecord(at_s=time.time(), incarnation=incarnation)
        self._journal_fd = os.open(journal, JOURNAL_FLAGS, 0o644) if journal else -1
        self.append_to_journal("start", self.start)

    def close(self) -> None:
        """Closes the journal."""
        if self._journal_fd >= 0:
            os.close(self._journal_fd)
            self._journal_fd = -1

    def wall_s(self, monotonic_s: float) -> float:
        """Converts a monotonic time to seconds of ``time.time()``."""
        return monotonic_s + self._wall_offset_s

    def add_request(self, record: RequestRecord) -> None:
        """Adds the record of a request that just arrived."""
        if len(self.requests) == self.requests.maxlen:
            self.dropped += 1
        self.requests.append(record)

    def append_to_journal(self, kind: str, record: Any) -> None:
        """Appends the current state of a record to the journal."""
        if self._journal_fd < 0:
            return
        row = {"kind": kind, "server": self.server, "record": record}
        os.write(self._journal_fd, json.dumps(row).encode() + b"\n")

    def add_grant(
        self,
        fence: int,
        map_version: int,
        runs: tuple[GrantRange, ...],
        now_s: float,
        until_s: float,
    ) -> None:
        """Adds the record of an accepted grant; a renewal extends the last record.

        A grant that arrived after its own expiry only ends the record of the previous grant.
        """
        from_s, end_s = self.wall_s(now_s), self.wall_s(until_s)
        rows = [list(granted) for granted in runs]
        last = self.grants[-1] if self.grants else None
        if last is not None and last["until_s"] > from_s:
            same = (last["fence"], last["map_version"], last["runs"]) == (fence, map_version, rows)
            last["until_s"] = end_s if same else from_s
            self.append_to_journal("grant", last)
            if same:
                return
        if until_s <= now_s:
            return
        record = GrantRecord(
            fence=fence,
            map_version=map_version,
            runs=rows,
            from_s=from_s,
            until_s=end_s,
            incarnation=self.incarnation,
        )
        self.grants.append(record)
        self.append_to_journal("grant", record)

    def as_json(self) -> dict[str, Any]:
        """Returns all records as one JSON object."""
        return {
            "server": self.server,
            "incarnation": self.incarnation,
            "dropped": self.dropped,
            "starts": [self.start],
            "requests": list(self.requests),
            "grants": self.grants,
            "colds": self.cold_starts,
        }
