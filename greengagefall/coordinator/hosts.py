"""Polls the platform's host list, which lags behind the real state."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from result import Err

from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.store.host_list import HostListClient, ListedHost

log = logging.getLogger(__name__)

FETCH_INTERVAL_S = 2.0


class HostListFollower:
    """The entry hosts of one zone as the platform last listed them."""

    def __init__(
        self, client: HostListClient | None, zone: str, on_change: Callable[[], None]
    ) -> None:
        """Creates the follower without starting it.

        Args:
            client: Client of the host list, None if there is none.
            zone: Own availability zone.
            on_change: Called when the list changed.
        """
        self._client = client
        self._zone = zone
        self._on_change = on_change
        self._hosts: tuple[ListedHost, ...] | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to poll the list, if there is one."""
        if self._client is not None:
            self._task = start_supervised(self._run, "host list")

    async def close(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def states(self) -> dict[str, str] | None:
        """Returns the state of each listed host, None until the list was read once."""
        if self._hosts is None:
            return None
        return {listed.host: listed.state for listed in self._hosts}

    def addresses(self) -> list[str]:
        """Returns the peer addresses of the listed hosts."""
        return [listed.address for listed in self._hosts or ()]

    async def fetch(self) -> None:
        """Reads the list once; keeps the last one if the call fails."""
        if self._client is None:
            return
        found = await self._client.fetch()
        if isinstance(found, Err):
            log.debug("Host list cannot be read: %s. The last list stays in use.", found.err_value)
            return
        hosts = tuple(sorted(host for host in found.ok_value if host.zone == self._zone))
        if hosts != self._hosts:
            self._hosts = hosts
            self._on_change()

    async def _run(self) -> None:
        while True:
            await self.fetch()
            await asyncio.sleep(random.uniform(0.5, 1.5) * FETCH_INTERVAL_S)
