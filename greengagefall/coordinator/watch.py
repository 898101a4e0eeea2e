"""Follows the store's records: reads a range, watches it, and repeats both when the watch ends."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from typing import TYPE_CHECKING

from result import Err

from greengagefall.coordinator.records import RECORD_PREFIXES
from greengagefall.limits.backoff import full_jitter
from greengagefall.store.exceptions import StoreError
from greengagefall.store.model import EVENT_PUT
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import run_logging_errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordinator.records import StoreRecords
    from greengagefall.store.model import Store

log = logging.getLogger(__name__)

RETRY_BASE_MS = 200.0
RETRY_CAP_MS = 5000.0


class RecordsWatch:
    """Keeps ``StoreRecords`` up to date with one task for each kind of record."""

    def __init__(self, store: Store, records: StoreRecords, on_change: Callable[[], None]) -> None:
        """Creates the watches without starting them.

        Args:
            store: The platform's key-value service.
            records: Records to keep up to date.
            on_change: Called after each change.
        """
        self._store = store
        self._records = records
        self._on_change = on_change
        self._rng = random.Random()
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts one task for each of ``RECORD_PREFIXES``."""
        for prefix in RECORD_PREFIXES:
            task = asyncio.create_task(self._follow(prefix), name=f"watch {prefix}")
            self._tasks.append(task)

    async def close(self) -> None:
        """Stops all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _follow(self, prefix: str) -> None:
        attempt = 0
        while True:
            started_s = asyncio.get_running_loop().time()
            await run_logging_errors("watch", self._read_and_watch(prefix))
            if asyncio.get_running_loop().time() - started_s > RETRY_CAP_MS / 1000:
                attempt = 0
            count("coordinator_watch_breaks", prefix=prefix)
            delay_ms = full_jitter(attempt, RETRY_BASE_MS, RETRY_CAP_MS, self._rng)
            await asyncio.sleep(delay_ms / 1000)
            attempt += 1

    async def _read_and_watch(self, prefix: str) -> None:
        read = await self._records.read(prefix)
        if isinstance(read, Err):
            log.warning(
                "Records under %s cannot be read: %s. Trying again.", prefix, read.err_value
            )
            return
        await self._watch(prefix, read.ok_value + 1)

    async def _watch(self, prefix: str, from_revision: int) -> None:
        try:
            async with contextlib.aclosing(self._store.watch(prefix, from_revision)) as events:
                async for event in events:
                    if event.kind == EVENT_PUT and not self._records.apply_record(event.key_value):
                        log.info(
                            "A record under %s is missing. Reading all records again.",
                            prefix,
                        )
                        return
                    self._on_change()
        except StoreError as error:
            log.info("Watch of %s failed: %s. Reading all records again.", prefix, error)
