"""Applies changes of the platform's settings file while the process runs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.platform.exceptions import PlatformSettingsError
from greengagefall.platform.settings import read_platform_settings
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from pathlib import Path

    from greengagefall.gateway.view import ClusterView

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 2.0


class SettingsWatch:
    """Reloads the settings file after a change, with or without a signal.

    The operators' limits take effect at once. Name, zone and addresses keep their values from the
    start, since other processes know this one by them.

    Args:
        path: The settings file.
        view: Cluster view of this host.
    """

    def __init__(self, path: Path, view: ClusterView) -> None:
        self._path = path
        self._view = view
        self._last_modified_ns = self._modified_ns()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to check for changes."""
        self._task = start_supervised(self._run, "settings")

    def close(self) -> None:
        """Stops checking for changes."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def reload(self) -> bool:
        """Reads the file now; returns whether its settings were applied."""
        try:
            settings = read_platform_settings(self._path)
        except PlatformSettingsError as error:
            log.error(
                "Settings file cannot be read or is invalid; keeping the earlier settings.",
                extra={"error": str(error)},
            )
            return False
        before = self._view.settings
        self._view.settings = before._replace(
            limits=settings.limits, heartbeat_s=settings.heartbeat_s
        )
        if settings != self._view.settings:
            log.warning(
                "Settings other than limits and heartbeat changed; they apply after a restart."
            )
        log.info("Settings reloaded.", extra={"changed": before != self._view.settings})
        return True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            modified_ns = self._modified_ns()
            if modified_ns != self._last_modified_ns:
                self._last_modified_ns = modified_ns
                self.reload()

    def _modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            log.warning(
                "Settings file cannot be accessed; keeping the current settings.",
                extra={"error": str(error)},
            )
            return 0
