"""Wakes a task that also acts at intervals."""

from __future__ import annotations

import asyncio


class Wakeup:
    """An event that a waiting task consumes."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wakes the waiting task, or lets its next wait return at once."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Returns after ``set`` or after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            pass
        self._event.clear()
