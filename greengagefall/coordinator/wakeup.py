"""An event for a task that also runs at intervals."""

from __future__ import annotations

import asyncio


class Wakeup:
    """An event that is cleared when a wait for it returns."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wakes the waiting task; if none waits, the next wait returns at once."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Returns after ``set`` or after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            pass
        self._event.clear()
