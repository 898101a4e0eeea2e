"""Remembers requests that may not be repeated, so that a resent id joins the first run."""

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
    """A remembered run; the future holds its outcome once known."""

    future: asyncio.Future[Outcome]
    started_at_s: float


class OutcomeCache:
    """Outcomes by run key (request id, method, path), bounded in number and age.

    It reaches as far as one dispatcher's right in one process: a new dispatcher of the
    same backend server starts with an empty memory.
    """

    def __init__(self, clock: Clock, entries: int = MAX_ENTRIES, age_s: float = MAX_AGE_S):
        self._clock = clock
        self._entry_limit = entries
        self._age_s = age_s
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def find(self, run_key: str) -> asyncio.Future[Outcome] | None:
        """Returns the run with this key that is in flight or remembered, if any."""
        self._forget_old()
        entry = self._entries.get(run_key)
        return entry.future if entry else None

    def begin(self, run_key: str) -> None:
        """Notes that a run with this key begins."""
        future = asyncio.get_running_loop().create_future()
        self._entries[run_key] = _Entry(future, self._clock.now_s())

    def end(self, run_key: str, outcome: Outcome) -> None:
        """Keeps the outcome; a request that did not run is forgotten and may run later."""
        entry = self._entries.get(run_key)
        if entry is None:
            return
        if not entry.future.done():
            entry.future.set_result(outcome)
        if isinstance(outcome, Refusal) and outcome.not_run:
            del self._entries[run_key]

    def _forget_old(self) -> None:
        oldest_kept_s = self._clock.now_s() - self._age_s
        while self._entries:
            run_key, entry = next(iter(self._entries.items()))
            in_bounds = len(self._entries) <= self._entry_limit
            if not entry.future.done():
                return
            if in_bounds and entry.started_at_s >= oldest_kept_s:
                return
            del self._entries[run_key]
