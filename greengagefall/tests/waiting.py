"""Polling for a condition in tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_S = 0.01
MAX_POLLS = 2000


async def eventually(condition: Callable[[], object]) -> None:
    """Polls until ``condition`` holds; fails the test after ``MAX_POLLS`` polls."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"the condition did not hold in {MAX_POLLS} polls, {POLL_S} s apart")
