"""Caches outcomes of non-idempotent requests.

A request that is resent with the same id gets the outcome of its first execution.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.protocol.messages import Answer, Refusal

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

MAX_ENTRIES = 20_000
MAX_AGE_S = 60.0

Outcome = Answer | Refusal


class _Entry(NamedTuple):
    """A cached execution; the future holds the outcome as soon as it is known."""

    future: asyncio.Future[Outcome]
    started_at_s: float


class OutcomeCache:
    """Cache of outcomes by request key (request id, method, path), bounded in size and age.

    The cache belongs to one dispatcher in one process. A new dispatcher of the same backend server
    starts with an empty cache.
    """

    def __init__(self, clock: Clock, max_entries: int = MAX_ENTRIES, max_age_s: float = MAX_AGE_S):
        self._clock = clock
        self._max_entries = max_entries
        self._max_age_s = max_age_s
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def find(self, request_key: str) -> asyncio.Future[Outcome] | None:
        """Returns the execution of this key that is in flight or cached, None if there is none."""
        self._remove_expired()
        entry = self._entries.get(request_key)
        return entry.future if entry else None

    def begin(self, request_key: str) -> None:
        """Records that the execution of the request with this key begins."""
        future = asyncio.get_running_loop().create_future()
        self._entries[request_key] = _Entry(future, self._clock.now_s())

    def end(self, request_key: str, outcome: Outcome) -> None:
        """Stores the outcome, or removes the entry of a request that was not executed.

        A request that was not executed may be sent again and executed later.
        """
        entry = self._entries.get(request_key)
        if entry is None:
            return
        if not entry.future.done():
            entry.future.set_result(outcome)
        if isinstance(outcome, Refusal) and outcome.not_run:
            del self._entries[request_key]

    def _remove_expired(self) -> None:
        oldest_kept_s = self._clock.now_s() - self._max_age_s
        while self._entries:
            request_key, entry = next(iter(self._entries.items()))
            fits = len(self._entries) <= self._max_entries
            if not entry.future.done():
                return
            if fits and entry.started_at_s >= oldest_kept_s:
                return
            del self._entries[request_key]
