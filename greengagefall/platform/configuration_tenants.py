"""Reads the workspaces of the routing configuration.

API keys are secrets: what is noted about this section shows no texts at all, since a key may be at
a wrong place.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.platform.fields import MAX_TEXT_CHARS, is_encodable
from greengagefall.workspaces.directory import NO_WORKSPACES, Workspace, WorkspaceDirectory

if TYPE_CHECKING:
    from greengagefall.platform.entry_reader import EntryReader

SECTION = "tenants"
# Control characters in ASCII: all below a space, and the last one.
SPACE = 0x20
DELETE = 0x7F
# Holds the keys whose workspace is unknown; no readable name is empty.
UNKNOWN = Workspace("", readable=False)


class WorkspaceEntry(NamedTuple):
    """A workspace, without its keys.

    Attributes:
        path: Its place in the document.
        workspace: What the entry says about it.
        key_count: Number of its readable keys.
        unsendable_keys: Places of keys that no header can carry unchanged.
        keys_complete: Whether all its keys could be read.
    """

    path: str
    workspace: Workspace
    key_count: int
    unsendable_keys: tuple[int, ...]
    keys_complete: bool


class Workspaces(NamedTuple):
    """The workspaces of a configuration.

    Attributes:
        entries: All workspaces in the order of the document.
        directory: Workspaces by key.
    """

    entries: tuple[WorkspaceEntry, ...]
    directory: WorkspaceDirectory


class _Tenant(NamedTuple):
    """An entry.

    Attributes:
        workspace: What it says about the workspace.
        keys: Its readable keys, by place in the list.
        reader: Reader of the entry.
        keys_complete: Whether all its keys could be read.
    """

    workspace: Workspace
    keys: dict[int, str]
    reader: EntryReader
    keys_complete: bool

    def __repr__(self) -> str:
        """Describes the entry without its keys."""
        return f"_Tenant({self.workspace!r}, keys={len(self.keys)})"


def read_workspaces(document: EntryReader) -> Workspaces:
    """Returns the workspaces and their keys."""
    if SECTION not in document:
        return Workspaces((), NO_WORKSPACES)
    rows = document.hiding_texts().rows(SECTION)
    tenants = _without_ambiguous_names([_read_tenant(row) for row in rows.readers])
    names = _names_by_key(tenants)
    workspaces = [tenant.workspace for tenant in tenants if tenant.workspace.name]
    if UNKNOWN.name in names.values():
        workspaces.append(UNKNOWN)
    directory = WorkspaceDirectory(
        workspaces,
        names,
        required=True,
        complete=rows.complete and all(tenant.keys_complete for tenant in tenants),
    )
    return Workspaces(tuple(_entry(tenant) for tenant in tenants), directory)


def _entry(tenant: _Tenant) -> WorkspaceEntry:
    unsendable = (
        index
        for index, key in tenant.keys.items()
        if key.strip() != key or any(ord(char) < SPACE or ord(char) == DELETE for char in key)
    )
    return WorkspaceEntry(
        tenant.reader.path,
        tenant.workspace,
        len(tenant.keys),
        tuple(unsendable),
        tenant.keys_complete,
    )


def _read_tenant(row: EntryReader) -> _Tenant:
    workspace = Workspace(
        name=_read_name(row),
        priority=int(row.number("priority")) if "priority" in row else None,
        rate_per_s=row.number("ratePerS", 0.0),
        burst=row.number("burst", 0.0),
    )
    # An unreadable key does not make the workspace and its other keys unusable.
    workspace = workspace._replace(readable=row.readable)
    items = row.items("apiKeys")
    keys = {}
    for index, key in enumerate(items or ()):
        if isinstance(key, str) and key and is_encodable(key):
            keys[index] = key
        else:
            row.note(f"apiKeys[{index}]", key, "a text")
    return _Tenant(workspace, keys, row, items is not None and len(keys) == len(items))


def _read_name(row: EntryReader) -> str:
    """Returns the name, which has to be a valid header value."""
    before = row.readable
    name = row.text("name")
    if row.readable != before:
        return ""
    if name.isascii() and name.isprintable() and name.strip() == name:
        return name
    row.note("name", name, f"up to {MAX_TEXT_CHARS} printable ASCII characters")
    return ""


def _without_ambiguous_names(tenants: list[_Tenant]) -> list[_Tenant]:
    """Marks workspaces unreadable that several entries describe, since none is known to be right.

    Whether the entries agree is not compared: their quotas and keys may be meant to differ.
    """
    counts = Counter(tenant.workspace.name for tenant in tenants)
    checked = []
    for tenant in tenants:
        workspace = tenant.workspace
        if workspace.name and counts[workspace.name] > 1:
            tenant.reader.note("name", workspace.name, "a name that no other entry has")
            tenant = tenant._replace(workspace=workspace._replace(readable=False))
        checked.append(tenant)
    return checked


def _names_by_key(tenants: list[_Tenant]) -> dict[str, str]:
    """Returns the workspace's name for each key; ``UNKNOWN`` for a key of several workspaces."""
    names: dict[str, str] = {}
    for tenant in tenants:
        for index, key in tenant.keys.items():
            name = tenant.workspace.name
            if names.setdefault(key, name) != name:
                tenant.reader.note(f"apiKeys[{index}]", key, "a key that no other workspace has")
                names[key] = UNKNOWN.name
    return names
