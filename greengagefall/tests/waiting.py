"""Waiting for a condition in tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_S = 0.01
MAX_POLLS = 2000


async def eventually(condition: Callable[[], object]) -> None:
    """Waits until ``condition`` holds; fails the test if it never does."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError("the condition never held")
