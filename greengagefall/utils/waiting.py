"""Polling for a condition that has no event to wait for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_S = 0.01


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Polls until ``condition`` holds or the timeout expires; returns whether it holds."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not condition():
        if loop.time() >= deadline_s:
            return False
        await asyncio.sleep(POLL_S)
    return True
