"""Proofs that a host knows all changes in the store, and the refresh of watches without one.

A watch whose answer is lost looks like one without changes. A host therefore relies on what it
knows only for a short time after a proof: an answer of the store to itself, or the statement of a
host that had such an answer and knows of no later change. The coordinator proves its own state by
short watches and states it in its replies to heartbeats. A host that hears nothing of it uses short
watches, too.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.gateway.following import PrefixWatcher
    from greengagefall.gateway.view import ClusterView
    from greengagefall.protocol.gateway_messages import BeatReply, HostBeat
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Shares of the time in which hosts have to know of a draining server: the interval of the
# coordinator's proofs, and the age of a proof at which all keys are read again. The rest is left
# for that read, and for a heartbeat that gets no reply.
PROOF_INTERVAL_SHARE = 0.5
REFRESH_SHARE = 0.8
# Shortest watch, after an answer whose proof is already old.
MIN_WATCH_S = 0.1
# Time beyond the batch delay after which a change that another host knows should have arrived.
CATCH_UP_S = 0.15


class StoreKnowledge(NamedTuple):
    """What a host that watches the store knows of it.

    Attributes:
        restores: Restores of the store up to which the revisions count.
        age_ms: How long ago the host certainly knew all changes.
        last_changes: Revision of the last known change under each followed prefix.
    """

    restores: int
    age_ms: int
    last_changes: tuple[int, ...]

    def to_row(self) -> list[int]:
        """Returns the fields as in ``HostBeat.store_knowledge``."""
        return [self.restores, self.age_ms, *self.last_changes]

    @classmethod
    def from_row(cls, row: Sequence[int], prefix_count: int) -> StoreKnowledge | None:
        """Returns the knowledge in a message; None if there is none that can be read."""
        if len(row) != prefix_count + 2 or not all(isinstance(value, int) for value in row):
            return None
        restores, age_ms, *last_changes = row
        return cls(restores, age_ms, tuple(last_changes))


class _Ahead(NamedTuple):
    """Up to where another host knows the store, and since when this host is behind that."""

    restores: int
    revision: int
    since_s: float


class StoreProofs:
    """Exchanges proofs with the coordinator; has watches begin anew that may have lost an answer.

    Args:
        watchers: The followed prefixes, in the same order on all hosts.
        view: The cluster view of this host.
        clock: Clock that counts suspended time.
        drain_timeout_s: Time in which a draining server must get no more requests.
    """

    def __init__(
        self,
        watchers: Sequence[PrefixWatcher],
        view: ClusterView,
        clock: Clock,
        drain_timeout_s: float,
    ) -> None:
        self._watchers = watchers
        self._view = view
        self._clock = clock
        self._interval_s = PROOF_INTERVAL_SHARE * drain_timeout_s
        self._refresh_age_s = REFRESH_SHARE * drain_timeout_s
        self._was_coordinator = False
        # A host that starts waits for a coordinator as long as for a proof.
        self._told_s = clock.now_s()
        self._ahead: dict[PrefixWatcher, _Ahead] = {}
        for watcher in watchers:
            watcher.max_proof_age_s = drain_timeout_s
            watcher.max_watch_s = partial(self._max_watch_s, watcher)

    def add_to_beat(self, beat: HostBeat, coordinator: str) -> HostBeat:
        """Returns a heartbeat with what this host knows, if it watches the store.

        Args:
            beat: The heartbeat.
            coordinator: Host to which it is sent.
        """
        knowledge = self._knowledge()
        if knowledge is None or not self._view.reads_proofs(coordinator):
            return beat
        return beat._replace(store_knowledge=knowledge.to_row())

    def add_to_reply(self, beat: HostBeat, reply: BeatReply) -> BeatReply:
        """Returns a reply to a heartbeat with what this host knows, if the sender can use it.

        What the heartbeat states is no proof, since it may have been on its way for long.
        """
        heard = StoreKnowledge.from_row(beat.store_knowledge, len(self._watchers))
        if heard is None:
            return reply
        self._compare(heard)
        knowledge = self._knowledge()
        if knowledge is None:
            return reply
        return reply._replace(store_knowledge=knowledge.to_row())

    def on_reply(self, sent_s: float, reply: BeatReply) -> None:
        """Takes what the coordinator states as a proof, unless it knows later changes.

        Args:
            sent_s: When the heartbeat was sent.
            reply: The reply.
        """
        heard = StoreKnowledge.from_row(reply.store_knowledge, len(self._watchers))
        if heard is None:
            return
        proved_s = sent_s - heard.age_ms / MS_PER_S
        self._told_s = max(self._told_s, proved_s)
        for watcher in self._compare(heard):
            watcher.note_proof(proved_s)

    def check(self) -> None:
        """Has watches begin anew that have no recent proof, or less than another host knows."""
        now_s = self._clock.now_s()
        is_elected = self._view.is_coordinator and not self._was_coordinator
        self._was_coordinator = self._view.is_coordinator
        for watcher in self._watchers:
            if now_s - watcher.proved_s > self._refresh_age_s:
                self._refresh(watcher, "no_proof")
            elif self._is_behind(watcher, now_s):
                self._refresh(watcher, "behind")
            elif is_elected:
                self._refresh(watcher, "elected")

    def _knowledge(self) -> StoreKnowledge | None:
        """Returns what this host knows; None if it does not watch all prefixes by itself."""
        restores = {watcher.restores for watcher in self._watchers}
        if len(restores) != 1 or not all(watcher.following for watcher in self._watchers):
            return None
        age_s = self._clock.now_s() - min(watcher.proved_s for watcher in self._watchers)
        last_changes = tuple(watcher.last_change for watcher in self._watchers)
        # Rounded up: a proof must not look newer than it is.
        return StoreKnowledge(restores.pop(), int(age_s * MS_PER_S) + 1, last_changes)

    def _compare(self, heard: StoreKnowledge) -> list[PrefixWatcher]:
        """Returns the watchers that know all that another host knows; notes the others."""
        level = []
        for watcher, revision in zip(self._watchers, heard.last_changes, strict=True):
            if heard.restores < watcher.restores:
                continue
            if (heard.restores, revision) <= (watcher.restores, watcher.revision):
                level.append(watcher)
                continue
            before = self._ahead.get(watcher)
            since_s = self._clock.now_s() if before is None else before.since_s
            self._ahead[watcher] = _Ahead(heard.restores, revision, since_s)
        return level

    def _is_behind(self, watcher: PrefixWatcher, now_s: float) -> bool:
        """Returns whether a change that another host knows should have arrived by now."""
        ahead = self._ahead.get(watcher)
        if ahead is None:
            return False
        if (ahead.restores, ahead.revision) <= (watcher.restores, watcher.revision):
            del self._ahead[watcher]
            return False
        return now_s - ahead.since_s > watcher.batch_delay_s() + CATCH_UP_S

    def _refresh(self, watcher: PrefixWatcher, reason: str) -> None:
        ahead = self._ahead.pop(watcher, None)
        if not watcher.refresh():
            return
        count("watches_refreshed", reason=reason)
        log.info(
            "Reading all keys again, since the watch may have lost its answer.",
            extra={
                "prefix": watcher.prefix,
                "reason": reason,
                "proof_age_s": round(self._clock.now_s() - watcher.proved_s, 3),
                "revision": watcher.revision,
                "heard_revision": ahead.revision if ahead is not None else 0,
            },
        )

    def _max_watch_s(self, watcher: PrefixWatcher) -> float:
        """Returns the longest duration of a watch that begins now."""
        now_s = self._clock.now_s()
        is_told = now_s - self._told_s <= self._refresh_age_s
        if is_told and not self._view.is_coordinator:
            return float("inf")
        due_s = watcher.proved_s + self._interval_s
        return min(self._interval_s, max(MIN_WATCH_S, due_s - now_s))
