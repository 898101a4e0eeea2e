"""Passes changes of the store on to other hosts of the availability zone.

A relay tells with each reply how long ago it was proved to know all changes, since the host that
polls it must not depend on a relay that is cut off; see ``relay_following``.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

from greengagefall.gateway.records import COORDINATOR_KEY
from greengagefall.protocol.gateway_messages import StoreChanges
from greengagefall.protocol.messages import Failure
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.gateway.followed_keys import PrefixChanges
    from greengagefall.gateway.following import PrefixWatcher
    from greengagefall.platform.store import PlatformStore
    from greengagefall.protocol.gateway_messages import StorePoll
    from greengagefall.utils.clock import Clock

MS_PER_S = 1000.0
# Interval between proofs that the store answers, and how long they go on after the last poll.
PROBE_INTERVAL_S = 0.3
PROBE_AFTER_POLL_S = 3.0
# Longest reported time without an outage, for a host that has seen none.
MAX_REACHABLE_S = 1e6
NOT_RELAYING = Failure(0, "not_relaying")


class StoreRelay:
    """Answers polls of other hosts with the changes that this host's watches reported.

    Args:
        watchers: The followed prefixes, in the same order on all hosts.
        store: The store, with connections used only for probes.
        clock: Clock that counts suspended time.

    Attributes:
        last_poll_s: When the last poll arrived.
    """

    def __init__(
        self, watchers: Sequence[PrefixWatcher], store: PlatformStore, clock: Clock
    ) -> None:
        self._watchers = watchers
        self._store = store
        self._clock = clock
        self._verified_s = -math.inf
        self.last_poll_s = -math.inf
        self._waiting: set[asyncio.Future[None]] = set()
        self._probe_task: asyncio.Task | None = None
        for watcher in watchers:
            watcher.on_change = self._wake

    def close(self) -> None:
        """Stops probing the store."""
        if self._probe_task is not None:
            self._probe_task.cancel()

    async def poll(self, message: StorePoll) -> StoreChanges | Failure:
        """Returns the changes since the sender's revisions, once there are any."""
        received_s = self._clock.now_s()
        self.last_poll_s = received_s
        if not self._watching():
            return NOT_RELAYING
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = start_supervised(self._probe, "probe store")
        if self._verified_s == -math.inf:
            await self._verify()
        end_s = received_s + message.wait_ms / MS_PER_S
        while not self._has_news(message):
            remaining_s = end_s - self._clock.now_s()
            if remaining_s <= 0:
                break
            await self._wait_for_change(remaining_s)
        return self._reply(message, received_s)

    def _watching(self) -> bool:
        """Returns whether all prefixes are known up to the same restore of the store."""
        same_restore = len({watcher.restores for watcher in self._watchers}) == 1
        return same_restore and all(watcher.watching for watcher in self._watchers)

    def _has_news(self, message: StorePoll) -> bool:
        return message.restores != self._restores() or any(
            min(watcher.last_change, watcher.revision) > revision
            for watcher, revision in zip(self._watchers, message.revisions, strict=True)
        )

    def _restores(self) -> int:
        return min(watcher.restores for watcher in self._watchers)

    def _reply(self, message: StorePoll, received_s: float) -> StoreChanges | Failure:
        now_s = self._clock.now_s()
        if not self._watching() or self._verified_s == -math.inf:
            return NOT_RELAYING
        reachable_since_s = max(watcher.reachable_since_s for watcher in self._watchers)
        comparable = message.restores == self._restores()
        return StoreChanges(
            0,
            [
                _encode(watcher.changes_since(revision if comparable else 0))
                for watcher, revision in zip(self._watchers, message.revisions, strict=True)
            ],
            _to_ms(now_s - self._verified_s),
            int((now_s - received_s) * MS_PER_S),
            _to_ms(min(now_s - reachable_since_s, MAX_REACHABLE_S)),
            self._restores(),
        )

    def _wake(self) -> None:
        for waiting in self._waiting:
            if not waiting.done():
                waiting.set_result(None)

    async def _wait_for_change(self, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        waiting = loop.create_future()
        self._waiting.add(waiting)
        timer = loop.call_later(timeout_s, _set_done, waiting)
        try:
            await waiting
        finally:
            timer.cancel()
            self._waiting.discard(waiting)

    async def _probe(self) -> None:
        """Proves again and again that the store answers, while other hosts poll."""
        while self._clock.now_s() - self.last_poll_s < PROBE_AFTER_POLL_S:
            await self._verify()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _verify(self) -> None:
        """Notes when all changes were known, if the store answers and no watch has failed.

        A watch may read changes up to its batch delay later.
        """
        started_s = self._clock.now_s()
        if not self._watching() or not await self._store.is_reachable(COORDINATOR_KEY):
            return
        if self._watching() and self._store.restores == self._restores():
            lag_s = max(watcher.batch_delay_s() for watcher in self._watchers)
            self._verified_s = max(self._verified_s, started_s - lag_s)


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


def _to_ms(duration_s: float) -> int:
    return math.ceil(duration_s * MS_PER_S)


def _encode(changes: PrefixChanges) -> list[Any]:
    return [
        changes.revision,
        changes.complete,
        [list(key_value) for key_value in changes.puts],
        [list(deletion) for deletion in changes.deletions],
    ]
