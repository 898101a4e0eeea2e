"""Notices that the store gives no answers, while watches wait for theirs.

A watch whose answer is lost looks like one without changes until its time is over. A store that
does not answer a short call may have lost the answers of the watches, too.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.gateway.records import COORDINATOR_KEY
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.gateway.following import PrefixWatcher
    from greengagefall.platform.store import PlatformStore

log = logging.getLogger(__name__)

# Interval between calls as a share of the time in which hosts have to know of a draining server.
PROBE_SHARE = 0.5


class StoreProbe:
    """Calls the store regularly; has all watches begin anew when it does not answer.

    Args:
        watchers: The followed prefixes.
        store: The store, with connections used only for these calls.
        drain_timeout_s: Time in which a draining server must get no more requests.
    """

    def __init__(
        self, watchers: Sequence[PrefixWatcher], store: PlatformStore, drain_timeout_s: float
    ) -> None:
        self._watchers = watchers
        self._store = store
        self._interval_s = PROBE_SHARE * drain_timeout_s
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the calls."""
        self._task = start_supervised(self._run, "probe watches")

    def close(self) -> None:
        """Stops the calls."""
        if self._task is not None:
            self._task.cancel()
        self._store.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            if not any(watcher.watching for watcher in self._watchers):
                continue
            if await self._store.answers(COORDINATOR_KEY):
                continue
            log.warning("Store does not answer; beginning all watches anew.")
            count("watches_given_up")
            for watcher in self._watchers:
                watcher.give_up_watch()
