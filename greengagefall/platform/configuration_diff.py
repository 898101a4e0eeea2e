"""Differences between two routing configurations, by the names of their entries.

API keys are only counted.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.platform.configuration import decode_configuration
from greengagefall.platform.configuration_check import DIFFERENCE, ERROR, Finding
from greengagefall.platform.configuration_tenants import SECTION as WORKSPACES_SECTION
from greengagefall.platform.fields import shown, shown_without_text

if TYPE_CHECKING:
    from collections.abc import Iterator

API_KEYS = "apiKeys"
WORKSPACE_MEMBERS = ("name", API_KEYS, "priority", "ratePerS", "burst")
VERSION = "version"
# Members that identify the entries of a list, so that an inserted entry does not change all others.
IDENTITIES = {
    "listeners": ("hostname",),
    "routingRules": ("match", "prefix"),
    "clusters": ("name",),
    "tenants": ("name",),
    "trafficSplit": ("service",),
}


class _Leaf(NamedTuple):
    """A value that is compared as a whole, and how it is shown."""

    value: Any
    text: str


ABSENT = _Leaf(None, "absent")


def diff_configurations(before: dict[str, Any], after: dict[str, Any]) -> list[Finding]:
    """Returns what a new configuration changes, and whether hosts would apply it.

    Raises:
        RecordError: One of them has no readable version.
    """
    old_version = decode_configuration(before).table.version
    new_version = decode_configuration(after).table.version
    findings = []
    if new_version <= old_version:
        text = f"is {new_version:x}, not above {old_version:x}; hosts would ignore the document"
        findings.append(Finding(ERROR, VERSION, text))
    old, new = (dict(_leaves("", "", document)) for document in (before, after))
    for path in sorted(old.keys() | new.keys()):
        first, second = old.get(path, ABSENT), new.get(path, ABSENT)
        if path != VERSION and first != second:
            findings.append(Finding(DIFFERENCE, path, _describe(path, first, second)))
    return findings


def _describe(path: str, before: _Leaf, after: _Leaf) -> str:
    if not path.endswith(f".{API_KEYS}"):
        return f"{before.text} -> {after.text}"
    old, new = (_texts(leaf.value) for leaf in (before, after))
    return f"{len(new - old)} added, {len(old - new)} removed"


def _texts(value: Any) -> set[str]:
    items = value if isinstance(value, list) else []
    return {item for item in items if isinstance(item, str)}


def _leaves(path: str, name: str, value: Any) -> Iterator[tuple[str, _Leaf]]:
    """Yields all values that are neither objects nor lists of known entries, with their paths."""
    if name == WORKSPACES_SECTION:
        yield from _workspace_leaves(path, value)
    elif isinstance(value, dict) and value:
        for member in value:
            member_path = f"{path}.{member}" if path else member
            yield from _leaves(member_path, member, value[member])
    elif name in IDENTITIES and isinstance(value, list) and value:
        for identity, row in _identified(name, value):
            yield from _leaves(f"{path}[{identity}]", "", row)
    else:
        yield path, _Leaf(value, shown(value))


def _workspace_leaves(path: str, value: Any) -> Iterator[tuple[str, _Leaf]]:
    """Yields the members of workspaces without texts and names that may be API keys."""
    if not isinstance(value, list) or not value:
        yield path, _Leaf(value, shown_without_text(value))
        return
    for identity, row in _identified(WORKSPACES_SECTION, value):
        members = row if isinstance(row, dict) else {"": row}
        for index, (member, item) in enumerate(members.items()):
            shown_name = member if member in WORKSPACE_MEMBERS else f"#{index}"
            yield f"{path}[{identity}].{shown_name}", _Leaf(item, shown_without_text(item))


def _identified(list_name: str, rows: list[Any]) -> Iterator[tuple[str, Any]]:
    """Yields the entries of a list with their names; further ones of one name are numbered."""
    counts: Counter[str] = Counter()
    for index, row in enumerate(rows):
        identity = _identity(list_name, row) or f"#{index}"
        counts[identity] += 1
        yield identity + (f"#{counts[identity]}" if counts[identity] > 1 else ""), row


def _identity(list_name: str, row: Any) -> str:
    for step in IDENTITIES[list_name]:
        row = row.get(step) if isinstance(row, dict) else None
    return row if isinstance(row, str) else ""
