"""Follows the store through a relay of the availability zone, or by this host's own watches.

A few hosts of each zone, its relays, watch the store; the others poll one of them. The number of
store calls therefore grows with the zones, not with the hosts. A host whose relays are silent or
out of date watches the store by itself, so that none of the operators' time limits depends on
another host. A host that is polled although it is no relay becomes one, so that lost relays are
replaced.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.gateway.followed_keys import PrefixChanges
from greengagefall.gateway.relaying import NOT_RELAYING
from greengagefall.platform.store import KeyValue
from greengagefall.protocol.gateway_messages import StoreChanges, StorePoll
from greengagefall.protocol.messages import Failure
from greengagefall.utils.hashing import hash64
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from greengagefall.gateway.following import PrefixWatcher
    from greengagefall.gateway.peers import Peers
    from greengagefall.gateway.relaying import StoreRelay
    from greengagefall.gateway.view import ClusterView, HostRecord
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
RELAYS_PER_ZONE = 2
# In a smaller zone, all hosts watch the store.
MIN_ZONE_HOSTS = 8
# Longest wait of a poll for a change, and for the reply in addition to that.
POLL_WAIT_S = 0.5
POLL_TIMEOUT_S = 0.4
# Pause after a reply with changes, in which further ones accumulate.
CHANGE_PAUSE_S = 0.15
# A relay whose last proof is older than this is not used.
MAX_RELAY_AGE_S = 0.8
# A relay that failed is not polled for this long; the pause doubles with each failure in a row.
FAILED_RELAY_PAUSE_S = 2.0
MAX_FAILED_RELAY_PAUSE_S = 30.0
# A relay that answers but is not up to date is not polled for this long.
OUTDATED_RELAY_PAUSE_S = 0.3
# A host that starts waits this long for a relay before it reads all keys from the store.
STARTUP_WAIT_S = 1.5
CHECK_INTERVAL_S = 0.1
# A host that was polled although it is no relay stays one for this long.
PROMOTION_S = 10.0


class _FailedRelay(NamedTuple):
    """A relay that did not answer: until when it is not polled, and for how long in all."""

    until_s: float
    pause_s: float


class RelayFollower:
    """Follows the store through a relay of the zone, or by this host's own watches.

    Args:
        watchers: The followed prefixes, in the same order on all hosts. The last one is that of the
            hosts, which is read from the store at the start.
        relay: Answers the polls of other hosts.
        view: The cluster view of this host.
        peers: Calls to other hosts.
        clock: Clock that counts suspended time.

    Attributes:
        relayed: Whether this host follows a relay now.
        on_check: Called in short intervals while this host watches by itself.
    """

    def __init__(
        self,
        watchers: Sequence[PrefixWatcher],
        relay: StoreRelay,
        view: ClusterView,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._watchers = watchers
        self._relay = relay
        self._view = view
        self._peers = peers
        self._clock = clock
        self._started_s = clock.now_s()
        self._verified_s = clock.now_s()
        self._failed: dict[str, _FailedRelay] = {}
        self._outdated_until_s: dict[str, float] = {}
        self._failed_last = False
        self._task: asyncio.Task | None = None
        self.relayed = False
        self.on_check: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Starts to follow the store."""
        self._started_s = self._clock.now_s()
        self._verified_s = self._started_s
        self._watchers[-1].start()
        self._task = start_supervised(self._run, "follow relay")

    def close(self) -> None:
        """Stops following; the watchers are closed by their owner."""
        if self._task is not None:
            self._task.cancel()

    def lag_s(self) -> float:
        """Returns how long ago this host certainly knew all changes, at most.

        Changes during an outage of the store can't be older than its end.
        """
        self._note_own_proof()
        reachable_since_s = max(watcher.reachable_since_s for watcher in self._watchers)
        # A watch that is refreshed may have missed changes since its last proof.
        proved_s = [watcher.proved_s for watcher in self._watchers if watcher.refreshing]
        known_s = min([self._verified_s, *proved_s])
        return self._clock.now_s() - max(known_s, reachable_since_s)

    def _note_own_proof(self) -> None:
        """Notes up to when this host certainly knows all changes by its own watches."""
        if all(watcher.watching for watcher in self._watchers):
            lag_s = max(watcher.batch_delay_s() for watcher in self._watchers)
            self._verified_s = max(self._verified_s, self._clock.now_s() - lag_s)

    def watching_host_count(self) -> int:
        """Returns the approximate number of hosts that watch the store now."""
        if not self._is_relay():
            return len(self._view.hosts)
        return RELAYS_PER_ZONE * len({record.zone for record in self._view.hosts.values()})

    async def _run(self) -> None:
        while True:
            relay = self._choose()
            if relay is not None and await self._poll(relay):
                continue
            if relay is None and not self._is_starting():
                self._watch()
            if relay is None or self._is_starting():
                self._note_own_proof()
                self.on_check()
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_starting(self) -> bool:
        """Returns whether this host has no keys yet and still waits for a relay."""
        if self._is_relay() or all(watcher.loaded.is_set() for watcher in self._watchers):
            return False
        if self._watchers[-1].loaded.is_set() and not self._ranked():
            return False
        return self._clock.now_s() - self._started_s < STARTUP_WAIT_S

    def _ranked(self) -> list[HostRecord]:
        """Returns the hosts that may be relays of this zone, strongest first."""
        zone = self._view.settings.zone
        hosts = [record for record in self._view.hosts.values() if record.zone == zone]
        if len(hosts) < MIN_ZONE_HOSTS:
            return []
        able = [record for record in hosts if record.relays]
        return sorted(able, key=lambda record: (-record.weight, record.host))

    def _is_relay(self) -> bool:
        # The other hosts rely on what the coordinator knows by itself.
        if self._view.is_coordinator:
            return True
        if self._clock.now_s() - self._relay.last_poll_s < PROMOTION_S:
            return True
        own = self._view.host_incarnation.host
        return any(record.host == own for record in self._ranked()[:RELAYS_PER_ZONE])

    def _choose(self) -> HostRecord | None:
        """Returns the relay to poll; None if this host has to watch by itself."""
        if self._is_relay():
            return None
        own = self._view.host_incarnation.host
        now_s = self._clock.now_s()
        alive = [
            record
            for record in self._ranked()
            if record.host != own
            and (record.host not in self._failed or self._failed[record.host].until_s <= now_s)
        ]
        usable = [
            record
            for record in alive[:RELAYS_PER_ZONE]
            if self._outdated_until_s.get(record.host, 0.0) <= now_s
        ]
        # Hosts divide themselves among the relays.
        return min(usable, key=lambda record: hash64(own, record.host), default=None)

    async def _poll(self, relay: HostRecord) -> bool:
        """Polls a relay once; returns whether it was up to date."""
        sent_s = self._clock.now_s()
        wait_s = POLL_WAIT_S if self.relayed and not self._failed_last else 0.0
        message = StorePoll(
            0,
            [watcher.revision for watcher in self._watchers],
            int(wait_s * MS_PER_S),
            min(watcher.restores for watcher in self._watchers),
        )
        reply = await self._peers.call(relay.host, message, wait_s + POLL_TIMEOUT_S)
        if isinstance(reply, Failure) and reply.reason == NOT_RELAYING.reason:
            self._note_outdated(relay, None)
            return False
        if not isinstance(reply, StoreChanges):
            self._note_failed(relay)
            return False
        older = reply.restores < max(watcher.restores for watcher in self._watchers)
        if older or reply.verified_age_ms > MAX_RELAY_AGE_S * MS_PER_S:
            self._note_outdated(relay, reply.verified_age_ms)
            return False
        try:
            changed = self._apply(reply)
        except (ValueError, TypeError) as error:
            log.error(
                "Reply of a relay is malformed; it is not polled for a while.",
                extra={"relay": relay.host, "error": repr(error)},
            )
            self._note_failed(relay)
            return False
        self._failed.pop(relay.host, None)
        self._failed_last = False
        self._note_relay_proof(sent_s + (reply.waited_ms - reply.verified_age_ms) / MS_PER_S)
        if not self.relayed:
            log.info("Following the store through a relay.", extra={"relay": relay.host})
            self._pause()
        if changed:
            await asyncio.sleep(CHANGE_PAUSE_S)
        return True

    def _apply(self, reply: StoreChanges) -> bool:
        """Applies the changes in a reply; returns whether there were any."""
        reachable_since_s = self._clock.now_s() - reply.reachable_ms / MS_PER_S
        all_changes = [_decode(fields) for fields in reply.prefixes]
        with self._view.batch_notifications():
            for watcher, changes in zip(self._watchers, all_changes, strict=True):
                watcher.apply_relayed(changes, reachable_since_s, reply.restores)
        return any(changes.puts or changes.deletions for changes in all_changes)

    def _note_relay_proof(self, proved_s: float) -> None:
        """Notes when the relay certainly knew all changes that this host now knows."""
        self._verified_s = max(self._verified_s, proved_s)
        for watcher in self._watchers:
            watcher.note_proof(proved_s)

    def _pause(self) -> None:
        """Stops this host's own watches."""
        self.relayed = True
        for watcher in self._watchers:
            watcher.pause()

    def _watch(self) -> None:
        """Starts this host's own watches, unless they run."""
        if self.relayed:
            log.info(
                "Watching the store without a relay.",
                extra={"unverified_s": round(self._clock.now_s() - self._verified_s, 3)},
            )
            count("relays_lost")
        self.relayed = False
        for watcher in self._watchers:
            watcher.start()

    def _note_outdated(self, relay: HostRecord, verified_age_ms: int | None) -> None:
        """Pauses a relay that is alive but does not know all changes."""
        self._failed_last = True
        self._outdated_until_s[relay.host] = self._clock.now_s() + OUTDATED_RELAY_PAUSE_S
        count("relay_failures", reason="outdated")
        log.info(
            "Relay does not know all changes; it is not polled for a while.",
            extra={
                "relay": relay.host,
                "verified_age_ms": verified_age_ms,
                "unverified_s": round(self._clock.now_s() - self._verified_s, 3),
            },
        )

    def _note_failed(self, relay: HostRecord) -> None:
        """Pauses a relay that does not answer."""
        self._failed_last = True
        count("relay_failures", reason="no_answer")
        if self._is_starting():
            return
        before = self._failed.get(relay.host)
        pause_s = FAILED_RELAY_PAUSE_S if before is None else 2 * before.pause_s
        pause_s = min(pause_s, MAX_FAILED_RELAY_PAUSE_S)
        self._failed[relay.host] = _FailedRelay(self._clock.now_s() + pause_s, pause_s)
        log.info(
            "Relay does not answer; it is not polled for a while.",
            extra={
                "relay": relay.host,
                "pause_s": pause_s,
                "unverified_s": round(self._clock.now_s() - self._verified_s, 3),
            },
        )


def _decode(fields: list[Any]) -> PrefixChanges:
    revision, complete, puts, deletions = fields
    return PrefixChanges(
        revision,
        complete,
        [KeyValue(*put) for put in puts],
        [(key, deleted) for key, deleted in deletions],
    )
