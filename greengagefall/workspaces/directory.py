"""Finds the workspace of an API key."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Workspace(NamedTuple):
    """A workspace of the routing configuration.

    Attributes:
        name: Its name, which backend servers get with each request.
        priority: Priority of its requests, 0 is the most urgent; None for that of the route.
        rate_per_s: Requests a second that all hosts together may pass on; 0 for no limit.
        burst: Requests that may be passed on at once beyond that rate.
        readable: Whether its entry could be read; requests of others are refused.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    readable: bool = True


class WorkspaceDirectory:
    """The workspaces of one version of the configuration, by API key.

    Only digests of the keys are kept, so that no log line or error can show a key.

    Args:
        workspaces: The workspaces.
        api_keys: Name of the workspace of each API key.
        required: Whether the configuration has workspaces, so that requests need a key.
        complete: Whether the keys of all workspaces could be read.
    """

    def __init__(
        self,
        workspaces: Iterable[Workspace] = (),
        api_keys: Mapping[str, str] | None = None,
        *,
        required: bool = False,
        complete: bool = True,
    ) -> None:
        self.workspaces = {workspace.name: workspace for workspace in workspaces}
        self.required = required
        self.complete = complete
        self._names = {_digest(key): name for key, name in (api_keys or {}).items()}

    def find(self, api_key: str) -> Workspace | None:
        """Returns the workspace that holds an API key, None if there is none."""
        name = self._names.get(_digest(api_key))
        return None if name is None else self.workspaces.get(name)


def _digest(api_key: str) -> bytes:
    return hashlib.sha256(api_key.encode("utf-8", "surrogateescape")).digest()


NO_WORKSPACES = WorkspaceDirectory()
