"""Assignments as flat rows, for the store and for differences between versions.

A row is a list of numbers and texts under a name: ``service/first key`` for a run, ``@server`` for
dispatching. A difference is the rows that changed and the names that went.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2

from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)

DISPATCHER_ROW_PREFIX = "@"

Rows = dict[str, list[Any]]


class Difference(NamedTuple):
    """What turns one version into another.

    Attributes:
        rows: Rows that are new or changed.
        removed: Names of rows that no longer exist.
    """

    rows: Rows
    removed: list[str]


def to_rows(assignment: Assignment) -> Rows:
    """Returns the rows of an assignment."""
    rows: Rows = {}
    for service, runs in assignment.key_ranges.items():
        for run in runs:
            rows[_run_name(service, run.first)] = _run_row(run)
    for server_id, dispatching in assignment.dispatchers.items():
        rows[DISPATCHER_ROW_PREFIX + server_id] = _dispatching_row(dispatching)
    return rows


def from_rows(version: int, last_fence: int, rows: Rows) -> Assignment:
    """Returns the assignment in some rows.

    Raises:
        AssignmentError: A row is malformed.
    """
    return apply_difference(EMPTY_ASSIGNMENT, version, last_fence, Difference(rows, []))


def difference(old: Assignment, new: Assignment) -> Difference:
    """Returns what turns ``old`` into ``new``."""
    rows: Rows = {}
    gone: list[str] = []
    for service in old.key_ranges.keys() | new.key_ranges.keys():
        if old.key_ranges.get(service) == new.key_ranges.get(service):
            continue
        before = {run.first: run for run in old.key_ranges.get(service, ())}
        after = {run.first: run for run in new.key_ranges.get(service, ())}
        changed = [run for first, run in after.items() if before.get(first) != run]
        rows.update({_run_name(service, run.first): _run_row(run) for run in changed})
        gone += [_run_name(service, first) for first in before if first not in after]
    for server_id, dispatching in new.dispatchers.items():
        if old.dispatchers.get(server_id) != dispatching:
            rows[DISPATCHER_ROW_PREFIX + server_id] = _dispatching_row(dispatching)
    gone += [
        DISPATCHER_ROW_PREFIX + server_id
        for server_id in old.dispatchers
        if server_id not in new.dispatchers
    ]
    return Difference(rows, gone)


def apply_difference(
    old: Assignment, version: int, last_fence: int, change: Difference
) -> Assignment:
    """Returns the version that a difference leads to; the cost is that of the difference.

    Raises:
        AssignmentError: A row is malformed.
    """
    dispatching = dict(old.dispatchers)
    touched: dict[str, dict[int, KeyRange]] = {}

    def runs_of(service: str) -> dict[int, KeyRange]:
        if service not in touched:
            touched[service] = {run.first: run for run in old.key_ranges.get(service, ())}
        return touched[service]

    try:
        for name in change.removed:
            if name.startswith(DISPATCHER_ROW_PREFIX):
                dispatching.pop(name.removeprefix(DISPATCHER_ROW_PREFIX), None)
                continue
            service, _, first = name.rpartition("/")
            runs_of(service).pop(int(first), None)
        for name, row in change.rows.items():
            if name.startswith(DISPATCHER_ROW_PREFIX):
                dispatching[name.removeprefix(DISPATCHER_ROW_PREFIX)] = _dispatching(row)
                continue
            service, _, first = name.rpartition("/")
            runs_of(service)[int(first)] = _run(int(first), row)
    except (ValueError, TypeError, IndexError, AttributeError) as error:
        raise AssignmentError(f"malformed row: {error!r}") from error
    runs = dict(old.key_ranges)
    for service, found in touched.items():
        runs[service] = tuple(run for _, run in sorted(found.items()))
        if not found:
            del runs[service]
    return Assignment(version, last_fence, runs, dispatching)


def encode(assignment: Assignment, writer: str) -> bytes:
    """Returns the stored form; ``writer`` tells who wrote it."""
    fields = [assignment.version, assignment.last_fence, writer, to_rows(assignment)]
    return cbor2.dumps(fields)


def decode(value: bytes) -> Assignment:
    """Returns the assignment in its stored form.

    Raises:
        AssignmentError: The value can't be read.
    """
    if not value:
        return EMPTY_ASSIGNMENT
    try:
        version, last_fence, _, rows = cbor2.loads(value)
        return from_rows(version, last_fence, rows)
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
        raise AssignmentError(f"not an assignment: {error!r}") from error


def _dispatching(row: list[Any]) -> DispatcherRecord:
    incarnations = [HostIncarnation(row[index], row[index + 1]) for index in range(0, len(row), 2)]
    return DispatcherRecord(incarnations[0], tuple(incarnations[1:]))


def _dispatching_row(dispatching: DispatcherRecord) -> list[Any]:
    former = [field for incarnation in dispatching.former for field in incarnation]
    return [*dispatching.dispatcher, *former]


def _run_name(service: str, first: int) -> str:
    return f"{service}/{first}"


def _run_row(run: KeyRange) -> list[Any]:
    return [run.last, *run.owner, run.fence, *run.source]


def _run(first: int, row: list[Any]) -> KeyRange:
    last, owner_id, owner_born, fence, source_id, source_born = row
    return KeyRange(
        first,
        last,
        ServerIncarnation(owner_id, owner_born),
        fence,
        ServerIncarnation(source_id, source_born),
    )
