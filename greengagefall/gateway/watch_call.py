"""A call to the store that waits for long, and can be given up from outside."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from result import Err, Result

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from greengagefall.store.exceptions import StoreError

T = TypeVar("T")


class WatchCall:
    """Runs one call at a time."""

    def __init__(self) -> None:
        self._call: asyncio.Task | None = None
        self._reason: StoreError | None = None

    async def run(
        self, call: Coroutine[None, None, Result[T, StoreError]]
    ) -> Result[T, StoreError]:
        """Returns the result of a call, or the reason for which it was given up."""
        self._reason = None
        self._call = asyncio.create_task(call, name="watch call")
        try:
            return await self._call
        except asyncio.CancelledError:
            if self._reason is None or asyncio.current_task().cancelling():
                raise
            return Err(self._reason)
        finally:
            self._call.cancel()

    def give_up(self, reason: StoreError) -> bool:
        """Ends the present call; returns whether there was one."""
        if self._call is None or self._call.done():
            return False
        self._reason = reason
        self._call.cancel()
        return True
