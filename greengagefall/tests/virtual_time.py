"""An event loop whose time is virtual, and the clock that shows its time."""

from __future__ import annotations

import asyncio
import logging
import unittest
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")

STEP_S = 0.01


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def time(self) -> float:
        return self.now_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self.now_s = max(self.now_s, self._scheduled[0].when())
        super()._run_once()


class LoopClock:
    """Provides the loop's time through the product's clock interface."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now_s(self) -> float:
        return self._loop.now_s


async def wait_for(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds, in steps of virtual time."""
    while True:
        if condition():
            return
        await asyncio.sleep(STEP_S)


def run_in_virtual_time(play: Callable[[VirtualLoop], Awaitable[T]]) -> T:
    """Runs what ``play`` returns for a new event loop in virtual time; returns its result.

    Tasks that it leaves are cancelled.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(play(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)


class VirtualTimeTestCase(unittest.TestCase):
    """A test case with an event loop of its own in virtual time, and without logs.

    Attributes:
        loop: The event loop.
    """

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(asyncio.set_event_loop, None)
        self.addCleanup(self.loop.close)
