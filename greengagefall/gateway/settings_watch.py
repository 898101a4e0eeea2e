"""Takes changes of the platform's settings file while the process runs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.platform.exceptions import PlatformSettingsError
from greengagefall.platform.settings import read_platform_settings

if TYPE_CHECKING:
    from pathlib import Path

    from greengagefall.gateway.view import ClusterView

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 2.0


class SettingsWatch:
    """Reads the settings file when it changed, with or without a signal.

    The operators' bounds take effect; name, zone and addresses stay those of the start, since
    others know the process by them.

    Args:
        path: The settings file.
        view: What this host knows.
    """

    def __init__(self, path: Path, view: ClusterView) -> None:
        self._path = path
        self._view = view
        self._changed_ns = self._modified_ns()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to look for changes."""
        self._task = asyncio.create_task(self._run(), name="settings")

    def close(self) -> None:
        """Stops."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def reload(self) -> bool:
        """Reads the file now; returns whether its settings are in force."""
        try:
            facts = read_platform_settings(self._path)
        except PlatformSettingsError as error:
            log.error("The changed settings are not used.", extra={"error": str(error)})
            return False
        before = self._view.settings
        self._view.settings = before._replace(bounds=facts.bounds, heartbeat_s=facts.heartbeat_s)
        if facts != self._view.settings:
            log.warning("Name, zone and addresses are used from the next start on.")
        log.info("Settings reloaded.", extra={"changed": before != self._view.settings})
        return True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            modified_ns = self._modified_ns()
            if modified_ns != self._changed_ns:
                self._changed_ns = modified_ns
                self.reload()

    def _modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            log.warning("The settings file cannot be seen.", extra={"error": str(error)})
            return 0
