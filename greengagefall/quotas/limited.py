"""The workspaces of the current configuration that have a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.quotas.arithmetic import is_limited

if TYPE_CHECKING:
    from greengagefall.gateway.view import ClusterView
    from greengagefall.workspaces.directory import Workspace, WorkspaceDirectory


class LimitedWorkspaces:
    """Workspaces with a limit by name, built once for each version of the configuration.

    Args:
        view: Cluster view of this host.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self._directory: WorkspaceDirectory | None = None
        self._limited: dict[str, Workspace] = {}

    def current(self) -> dict[str, Workspace]:
        """Returns the workspaces with a limit."""
        directory = self._view.routing_table.workspaces
        if directory is not self._directory:
            self._directory = directory
            self._limited = {
                name: workspace
                for name, workspace in directory.workspaces.items()
                if is_limited(workspace)
            }
        return self._limited
