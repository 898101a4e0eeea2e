"""Encodes assignments as flat rows, for the store and for differences between versions.

A row is a named list of numbers and strings. The name is ``service/first key`` for a key range and
``@server`` for a dispatcher. A difference holds the changed rows and the names of removed ones.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2

from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    LAST_KEY,
    UNKNOWN_RESTORES,
    Assignment,
    DispatcherRecord,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)

DISPATCHER_ROW_PREFIX = "@"
# Between the writer and the number of restores in a stored value.
RESTORES_SEPARATOR = "#"
# Numbers up to here fit into 64 bits.
MAX_NUMBER = 2**63 - 1

Rows = dict[str, list[Any]]


class StoredRows(NamedTuple):
    """A decoded value of the store.

    Attributes:
        assignment: The assignment.
        restores: How often the store had been restored when it was written; ``UNKNOWN_RESTORES``
            if the writer did not know.
    """

    assignment: Assignment
    restores: int


class Difference(NamedTuple):
    """The changes from one version of the assignment to another.

    Attributes:
        rows: Rows that are new or changed.
        removed: Names of rows that no longer exist.
    """

    rows: Rows
    removed: list[str]


def to_rows(assignment: Assignment) -> Rows:
    """Returns an assignment as rows."""
    rows: Rows = {}
    for service, key_ranges in assignment.key_ranges.items():
        for key_range in key_ranges:
            rows[_range_row_name(service, key_range.first)] = _range_row(key_range)
    for server_id, record in assignment.dispatchers.items():
        rows[DISPATCHER_ROW_PREFIX + server_id] = _dispatcher_row(record)
    return rows


def from_rows(version: int, last_fence: int, rows: Rows) -> Assignment:
    """Returns the assignment that the rows describe.

    Raises:
        AssignmentError: A row is malformed.
    """
    return apply_difference(EMPTY_ASSIGNMENT, version, last_fence, Difference(rows, []))


def difference(old: Assignment, new: Assignment) -> Difference:
    """Returns the changes from ``old`` to ``new``."""
    rows: Rows = {}
    removed: list[str] = []
    for service in old.key_ranges.keys() | new.key_ranges.keys():
        if old.key_ranges.get(service) == new.key_ranges.get(service):
            continue
        before = {key_range.first: key_range for key_range in old.key_ranges.get(service, ())}
        after = {key_range.first: key_range for key_range in new.key_ranges.get(service, ())}
        changed = [
            key_range for first, key_range in after.items() if before.get(first) != key_range
        ]
        rows.update(
            {
                _range_row_name(service, key_range.first): _range_row(key_range)
                for key_range in changed
            }
        )
        removed += [_range_row_name(service, first) for first in before if first not in after]
    for server_id, record in new.dispatchers.items():
        if old.dispatchers.get(server_id) != record:
            rows[DISPATCHER_ROW_PREFIX + server_id] = _dispatcher_row(record)
    removed += [
        DISPATCHER_ROW_PREFIX + server_id
        for server_id in old.dispatchers
        if server_id not in new.dispatchers
    ]
    return Difference(rows, removed)


def apply_difference(
    old: Assignment, version: int, last_fence: int, change: Difference
) -> Assignment:
    """Applies a difference to ``old``.

    Only services that the difference names are rebuilt, so that the cost depends on its size.

    Raises:
        AssignmentError: A row is malformed.
    """
    dispatchers = dict(old.dispatchers)
    touched: dict[str, dict[int, KeyRange]] = {}

    def ranges_of(service: str) -> dict[int, KeyRange]:
        if service not in touched:
            touched[service] = {
                key_range.first: key_range for key_range in old.key_ranges.get(service, ())
            }
        return touched[service]

    try:
        for name in change.removed:
            if name.startswith(DISPATCHER_ROW_PREFIX):
                dispatchers.pop(name.removeprefix(DISPATCHER_ROW_PREFIX), None)
                continue
            service, _, first = name.rpartition("/")
            ranges_of(service).pop(int(first), None)
        for name, row in change.rows.items():
            if name.startswith(DISPATCHER_ROW_PREFIX):
                dispatchers[name.removeprefix(DISPATCHER_ROW_PREFIX)] = _dispatcher_from_row(row)
                continue
            service, _, first = name.rpartition("/")
            ranges_of(service)[int(first)] = _range_from_row(int(first), row)
    except (ValueError, TypeError, IndexError, AttributeError) as error:
        raise AssignmentError(
            f"Rows of assignment version {version} are malformed: {type(error).__name__}"
        ) from error
    key_ranges = dict(old.key_ranges)
    for service, found in touched.items():
        key_ranges[service] = tuple(key_range for _, key_range in sorted(found.items()))
        if not found:
            del key_ranges[service]
    return Assignment(version, last_fence, key_ranges, dispatchers)


def encode(assignment: Assignment, writer: str, restores: int = UNKNOWN_RESTORES) -> bytes:
    """Encodes an assignment for the store.

    Args:
        assignment: The assignment.
        writer: Names the host that writes it.
        restores: How often the store was restored before the write.
    """
    # Hosts of earlier versions read exactly four fields and ignore the writer.
    written = f"{writer}{RESTORES_SEPARATOR}{restores}"
    fields = [assignment.version, assignment.last_fence, written, to_rows(assignment)]
    return cbor2.dumps(fields)


def decode(value: bytes) -> Assignment:
    """Decodes an assignment from the store.

    Raises:
        AssignmentError: The value can't be read.
    """
    return decode_stored(value).assignment


def decode_stored(value: bytes) -> StoredRows:
    """Decodes an assignment from the store, and when it was written.

    Raises:
        AssignmentError: The value can't be read.
    """
    if not value:
        return StoredRows(EMPTY_ASSIGNMENT, UNKNOWN_RESTORES)
    try:
        version, last_fence, written, rows = cbor2.loads(value)
        _, _, restores = written.partition(RESTORES_SEPARATOR)
        assignment = from_rows(_whole(version), _whole(last_fence), rows)
        return StoredRows(assignment, int(restores or UNKNOWN_RESTORES))
    except (cbor2.CBORError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise AssignmentError(
            f"Stored value of {len(value)} bytes is not an assignment: {type(error).__name__}"
        ) from error


def _whole(value: object, maximum: int = MAX_NUMBER) -> int:
    """Returns a whole number within bounds; raises ValueError for anything else."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
        raise ValueError("a number is malformed or too large")
    return value


def _text(value: object) -> str:
    """Returns a text that can be encoded; raises ValueError for anything else."""
    if not isinstance(value, str):
        raise ValueError("a name is malformed")
    value.encode()
    return value


def _dispatcher_from_row(row: list[Any]) -> DispatcherRecord:
    incarnations = [
        HostIncarnation(_text(row[index]), _whole(row[index + 1]))
        for index in range(0, len(row), 2)
    ]
    return DispatcherRecord(incarnations[0], tuple(incarnations[1:]))


def _dispatcher_row(record: DispatcherRecord) -> list[Any]:
    former = [field for incarnation in record.former for field in incarnation]
    return [*record.dispatcher, *former]


def _range_row_name(service: str, first: int) -> str:
    return f"{service}/{first}"


def _range_row(key_range: KeyRange) -> list[Any]:
    return [key_range.last, *key_range.owner, key_range.fence, *key_range.source]


def _range_from_row(first: int, row: list[Any]) -> KeyRange:
    last, owner_id, owner_start_ms, fence, source_id, source_start_ms = row
    if not 0 <= first <= _whole(last, LAST_KEY):
        raise ValueError("the bounds of a key range are malformed")
    return KeyRange(
        first,
        last,
        ServerIncarnation(_text(owner_id), _whole(owner_start_ms)),
        _whole(fence),
        ServerIncarnation(_text(source_id), _whole(source_start_ms)),
    )
