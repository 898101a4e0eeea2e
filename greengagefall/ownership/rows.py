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
    Dispatching,
    Incarnation,
    KeyRun,
    Life,
)

DISPATCHING_MARK = "@"

Rows = dict[str, list[Any]]


class Difference(NamedTuple):
    """What turns one version into another.

    Attributes:
        rows: Rows that are new or changed.
        gone: Names of rows that no longer exist.
    """

    rows: Rows
    gone: list[str]


def to_rows(assignment: Assignment) -> Rows:
    """Returns the rows of an assignment."""
    rows: Rows = {}
    for service, runs in assignment.runs.items():
        for run in runs:
            rows[f"{service}/{run.first}"] = [run.last, *run.owner, run.fence, *run.source]
    for server_id, dispatching in assignment.dispatching.items():
        former = [field for incarnation in dispatching.former for field in incarnation]
        rows[DISPATCHING_MARK + server_id] = [*dispatching.dispatcher, *former]
    return rows


def from_rows(version: int, last_fence: int, rows: Rows) -> Assignment:
    """Returns the assignment in some rows.

    Raises:
        AssignmentError: A row is malformed.
    """
    runs: dict[str, list[KeyRun]] = {}
    dispatching: dict[str, Dispatching] = {}
    try:
        for name, row in rows.items():
            if name.startswith(DISPATCHING_MARK):
                dispatching[name.removeprefix(DISPATCHING_MARK)] = _dispatching(row)
                continue
            service, _, first = name.rpartition("/")
            last, owner_id, owner_born, fence, source_id, source_born = row
            run = KeyRun(
                int(first), last, Life(owner_id, owner_born), fence, Life(source_id, source_born)
            )
            runs.setdefault(service, []).append(run)
    except (ValueError, TypeError, IndexError) as error:
        raise AssignmentError(f"malformed row: {error!r}") from error
    ordered = {service: tuple(sorted(found)) for service, found in runs.items()}
    return Assignment(version, last_fence, ordered, dispatching)


def difference(old: Assignment, new: Assignment) -> Difference:
    """Returns what turns ``old`` into ``new``."""
    old_rows = to_rows(old)
    new_rows = to_rows(new)
    changed = {name: row for name, row in new_rows.items() if old_rows.get(name) != row}
    return Difference(changed, [name for name in old_rows if name not in new_rows])


def patched(old: Assignment, version: int, last_fence: int, change: Difference) -> Assignment:
    """Returns the version that a difference leads to.

    Raises:
        AssignmentError: A row is malformed.
    """
    rows = to_rows(old)
    for name in change.gone:
        rows.pop(name, None)
    rows.update(change.rows)
    return from_rows(version, last_fence, rows)


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


def _dispatching(row: list[Any]) -> Dispatching:
    incarnations = [Incarnation(row[index], row[index + 1]) for index in range(0, len(row), 2)]
    return Dispatching(incarnations[0], tuple(incarnations[1:]))
