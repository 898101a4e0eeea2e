"""Conditional writes whose outcome is confirmed even if the answer is lost.

A lost answer counts neither as success nor as failure: the key is read back. A write
whose answer was lost may still take effect after a read that did not see it. The same conditional
write is therefore sent again; only one of these writes can succeed.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagefall.store.backoff import Backoff
from greengagefall.store.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    import random

    from greengagefall.store.model import KeyValue, Store

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 10.0

IsOwnValue = Callable[[dict[str, Any]], bool]


async def create_confirmed(
    store: Store,
    key: str,
    value: dict[str, Any],
    is_own_value: IsOwnValue,
    *,
    lease_id: int = 0,
    timeout_s: float = CONFIRM_TIMEOUT_S,
    rng: random.Random | None = None,
) -> Result[bool, StoreError]:
    """Creates a key and confirms whether the stored value is the caller's own.

    Args:
        store: The store.
        key: Key to create.
        value: Its value, which must contain what ``is_own_value`` recognises it by.
        is_own_value: Returns whether a value that was read back is the caller's own.
        lease_id: Lease that the key is attached to, or 0.
        timeout_s: Time after which the error of the last attempt is returned.
        rng: Random number generator for the jitter.

    Returns:
        Whether the caller's own value is stored, or an error. ``StoreOutcomeUnknownError``
        means that the write may still take effect.
    """

    def is_stored(found: KeyValue | None) -> bool | None:
        return None if found is None else is_own_value(found.value)

    return await _confirm(
        store, key, lambda: store.create(key, value, lease_id), is_stored, Backoff(rng), timeout_s
    )


async def replace_confirmed(
    store: Store,
    key: str,
    value: dict[str, Any],
    mod_revision: int,
    is_own_value: IsOwnValue,
    *,
    lease_id: int = 0,
    timeout_s: float = CONFIRM_TIMEOUT_S,
    rng: random.Random | None = None,
) -> Result[bool, StoreError]:
    """Replaces a value and confirms whether the stored value is the caller's own.

    The other arguments and the result are those of ``create_confirmed``; ``mod_revision`` is the
    revision of the value to replace.
    """

    def is_stored(found: KeyValue | None) -> bool | None:
        if mod_revision == (found.mod_revision if found is not None else 0):
            return None
        return found is not None and is_own_value(found.value)

    def write() -> Awaitable[Result[bool, StoreError]]:
        return store.replace(key, value, mod_revision, lease_id)

    return await _confirm(store, key, write, is_stored, Backoff(rng), timeout_s)


async def _confirm(
    store: Store,
    key: str,
    write: Callable[[], Awaitable[Result[bool, StoreError]]],
    is_stored: Callable[[KeyValue | None], bool | None],
    backoff: Backoff,
    timeout_s: float,
) -> Result[bool, StoreError]:
    """Writes and reads back until it is certain whether the caller's own value is stored.

    ``is_stored`` returns None if the write can still succeed given what the key holds.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    unknown_outcome: StoreOutcomeUnknownError | None = None
    while True:
        written = await write()
        if isinstance(written, Ok) and written.ok_value:
            return Ok(True)
        error = written.err_value if isinstance(written, Err) else None
        if isinstance(error, StoreOutcomeUnknownError):
            unknown_outcome = error
            count("store_read_backs")
        elif error is not None and not isinstance(error, StoreUnavailableError):
            return Err(unknown_outcome or error)
        if not isinstance(error, StoreUnavailableError):
            read = await store.get(key)
            if isinstance(read, Ok) and (stored := is_stored(read.ok_value)) is not None:
                return Ok(stored)
            error = read.err_value if isinstance(read, Err) else error
        if loop.time() >= deadline_s:
            return Err(
                unknown_outcome
                or error
                or StoreUnavailableError(
                    f"{key}: the write was not confirmed in time; the key changes too often"
                )
            )
        backoff.record_failure()
        await backoff.wait()
