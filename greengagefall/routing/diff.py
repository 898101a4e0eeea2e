"""Differences between two configuration documents."""

from __future__ import annotations

from typing import Any, NamedTuple

from greengagefall.routing.fields import join_path

VERSION_FIELDS = ("version", "patch_id")


class Difference(NamedTuple):
    """A changed field.

    Attributes:
        path: Dotted path of the field.
        before: JSON value before the change; None if the field was absent.
        after: JSON value after the change; None if the field is absent.
    """

    path: str
    before: Any
    after: Any


def diff_documents(before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    """Returns the changed fields in order of path, except version and patch id."""
    differences = _diff_objects("", before, after)
    return [item for item in differences if item.path not in VERSION_FIELDS]


def _diff_objects(path: str, before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    differences: list[Difference] = []
    for field in sorted(before.keys() | after.keys()):
        differences.extend(
            _diff_values(join_path(path, field), before.get(field), after.get(field))
        )
    return differences


def _diff_values(path: str, before: Any, after: Any) -> list[Difference]:
    if before == after:
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        return _diff_objects(path, before, after)
    return [Difference(path, before, after)]
