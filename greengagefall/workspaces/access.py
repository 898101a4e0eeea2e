"""Decides whether a request's API key gives it access, and to which workspace."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.workspaces.directory import Workspace, WorkspaceDirectory


class KeyVerdict(Enum):
    """What follows from a request's API key.

    Attributes:
        ACCEPTED: The request may be executed.
        UNKNOWN: The request has no key, several keys or an unknown one.
        UNREADABLE: The key is, or may be, that of a workspace whose entry could not be read.
    """

    ACCEPTED = "accepted"
    UNKNOWN = "unknown"
    UNREADABLE = "unreadable"


class KeyCheck(NamedTuple):
    """Result of a check.

    Attributes:
        verdict: What follows.
        workspace: The workspace of the key; None if none is known or needed.
    """

    verdict: KeyVerdict
    workspace: Workspace | None = None


def check_api_keys(
    directory: WorkspaceDirectory, api_keys: Sequence[str], *, public: bool
) -> KeyCheck:
    """Checks the API keys that a request carries.

    Args:
        directory: Workspaces of the configuration in force.
        api_keys: All keys of the request.
        public: Whether the route needs no key.
    """
    if not directory.required or public:
        return KeyCheck(KeyVerdict.ACCEPTED)
    # A repeated key is refused even if its values are equal: a server or proxy in between may have
    # used another of them.
    if len(api_keys) != 1 or not api_keys[0]:
        return KeyCheck(KeyVerdict.UNKNOWN)
    workspace = directory.find(api_keys[0])
    if workspace is None:
        verdict = KeyVerdict.UNKNOWN if directory.complete else KeyVerdict.UNREADABLE
        return KeyCheck(verdict)
    if not workspace.readable:
        return KeyCheck(KeyVerdict.UNREADABLE, workspace)
    return KeyCheck(KeyVerdict.ACCEPTED, workspace)


def request_priority(route_priority: int, workspace: Workspace | None) -> int:
    """Returns the priority of a request: that of its workspace if it has one."""
    if workspace is None or workspace.priority is None:
        return route_priority
    return workspace.priority
