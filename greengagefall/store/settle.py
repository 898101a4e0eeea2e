"""Writes that are carried through lost answers.

No answer never counts as a result: the key is read back. A write whose answer was lost may
still take effect after a read that did not see it; the same conditional write is then sent
again, of which only one can succeed.
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
    is_mine: IsOwnValue,
    *,
    lease_id: int = 0,
    timeout_s: float = CONFIRM_TIMEOUT_S,
    rng: random.Random | None = None,
) -> Result[bool, StoreError]:
    """Creates a key and finds out whether our value is the one that stands.

    Args:
        store: The store.
        key: Key to create.
        value: Its value; must hold something by which ``is_mine`` knows it.
        is_mine: Whether a value read back is ours.
        lease_id: Lease that the key goes with, or 0.
        timeout_s: Time after which the error of the last try is returned.
        rng: Source of the jitter.

    Returns:
        Whether ours stands, or an error. ``StoreOutcomeUnknownError`` means that our
        write may still take effect.
    """

    def stands(found: KeyValue | None) -> bool | None:
        return None if found is None else is_mine(found.value)

    return await _settle(
        store, key, lambda: store.create(key, value, lease_id), stands, Backoff(rng), timeout_s
    )


async def replace_confirmed(
    store: Store,
    key: str,
    value: dict[str, Any],
    mod_revision: int,
    is_mine: IsOwnValue,
    *,
    lease_id: int = 0,
    timeout_s: float = CONFIRM_TIMEOUT_S,
    rng: random.Random | None = None,
) -> Result[bool, StoreError]:
    """Replaces a value and finds out whether ours is the one that stands.

    Takes and returns what ``create_confirmed`` does; ``mod_revision`` is the revision of the
    value that is replaced.
    """

    def stands(found: KeyValue | None) -> bool | None:
        if mod_revision == (found.mod_revision if found is not None else 0):
            return None
        return found is not None and is_mine(found.value)

    def write() -> Awaitable[Result[bool, StoreError]]:
        return store.replace(key, value, mod_revision, lease_id)

    return await _settle(store, key, write, stands, Backoff(rng), timeout_s)


async def _settle(
    store: Store,
    key: str,
    write: Callable[[], Awaitable[Result[bool, StoreError]]],
    stands: Callable[[KeyValue | None], bool | None],
    backoff: Backoff,
    give_up_s: float,
) -> Result[bool, StoreError]:
    """Writes and reads back until it is certain whether ours stands.

    ``stands`` returns None for what the key holds while the write can still succeed.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + give_up_s
    unknown: StoreOutcomeUnknownError | None = None
    while True:
        written = await write()
        if isinstance(written, Ok) and written.ok_value:
            return Ok(True)
        error = written.err_value if isinstance(written, Err) else None
        if isinstance(error, StoreOutcomeUnknownError):
            unknown = error
            count("store_read_backs")
        elif error is not None and not isinstance(error, StoreUnavailableError):
            return Err(unknown or error)
        if not isinstance(error, StoreUnavailableError):
            read = await store.get(key)
            if isinstance(read, Ok) and (standing := stands(read.ok_value)) is not None:
                return Ok(standing)
            error = read.err_value if isinstance(read, Err) else error
        if loop.time() >= end_s:
            return Err(unknown or error or StoreUnavailableError(f"{key}: changes too often"))
        backoff.record_failure()
        await backoff.wait()
