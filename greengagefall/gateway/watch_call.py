"""A call to the store that waits for long, and can be given up from outside."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from result import Err, Result

from greengagefall.store.exceptions import StoreError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class WatchCall:
    """Runs one call at a time."""

    def __init__(self) -> None:
        self._call: asyncio.Task | None = None
        self._given_up = False

    async def run(
        self, call: Coroutine[None, None, Result[T, StoreError]]
    ) -> Result[T, StoreError]:
        """Returns the result of a call, or an error if it was given up."""
        self._given_up = False
        self._call = asyncio.create_task(call, name="watch call")
        try:
            return await self._call
        except asyncio.CancelledError:
            if not self._given_up or asyncio.current_task().cancelling():
                raise
            return Err(StoreUnavailableError("the watch was given up"))
        finally:
            self._call.cancel()

    def give_up(self) -> None:
        """Ends the present call, if there is one."""
        if self._call is not None and not self._call.done():
            self._given_up = True
            self._call.cancel()
