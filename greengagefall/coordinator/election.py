"""Which coordinator of a zone is active: a lease in the store, silence as the trigger.

A standby makes no store call while its own entry host hears of a live coordinator.
After silence the standbys try in turn, in a hash order that differs for each term. The pace
of a zone's tries does not depend on its number of hosts.
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from result import Err, Ok

from greengagefall.coordinator.keys import coordinator_key
from greengagefall.store.exceptions import StoreRefusedError
from greengagefall.utils.hashing import hash64
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.store.model import KeyValue, Store
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.25
TURN_S = 0.5
RENEWALS_PER_LEASE = 3
RENEWAL_RETRY_S = 0.5


class KnownCoordinator(NamedTuple):
    """What the own entry host knows of the zone's coordinator.

    Attributes:
        host: Host of the coordinator, empty if there was none yet.
        term: Its term.
        age_s: Time since it was heard.
    """

    host: str
    term: int
    age_s: float


class ZoneView(Protocol):
    """What a standby learns without the store."""

    async def known_coordinator(self) -> KnownCoordinator | None:
        """Returns what the own entry host knows; None while that does not answer."""

    async def hosts(self) -> Sequence[str]:
        """Returns the entry hosts of the zone as far as they are known."""


class Election:
    """Takes part in the election of a zone's coordinator.

    Attributes:
        term: Term won last; grows with each winner.
    """

    def __init__(
        self,
        store: Store,
        view: ZoneView,
        host: str,
        zone: str,
        lease_ttl_s: int,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Prepares a candidate.

        Args:
            store: The platform's key-value service.
            view: Knowledge that costs no store call.
            host: Own host.
            zone: Own availability zone.
            lease_ttl_s: Lifetime of the lease.
            clock: Source of time.
            rng: Source of jitter.
        """
        self.term = 0
        self._store = store
        self._view = view
        self._host = host
        self._key = coordinator_key(zone)
        self._lease_ttl_s = lease_ttl_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._lease_id = 0
        self._lease_until_s = 0.0

    @property
    def has_valid_lease(self) -> bool:
        """Whether the lease has certainly not run out."""
        return self._lease_id != 0 and self._clock.now_s() < self._lease_until_s

    async def campaign_until_won(self) -> int:
        """Waits for the turn after silence, campaigns until won, and returns the term."""
        turn_s: float | None = None
        while True:
            heard = await self._view.known_coordinator()
            if not self._is_silence(heard):
                turn_s = None
                await asyncio.sleep(self._rng.uniform(0.8, 1.2) * POLL_INTERVAL_S)
                continue
            if turn_s is None:
                turn_s = self._clock.now_s() + await self._first_turn_s(heard.term)
            if self._clock.now_s() < turn_s:
                await asyncio.sleep(POLL_INTERVAL_S / 5)
                continue
            if await self._campaign():
                return self.term
            turn_s = self._clock.now_s() + await self._next_turn_s()

    async def renew_until_lost(self) -> None:
        """Renews the lease, and returns once it is certainly lost."""
        while self._lease_id:
            asked_s = self._clock.now_s()
            renewed = await self._store.lease_keepalive(self._lease_id)
            pause_s = RENEWAL_RETRY_S
            if isinstance(renewed, Ok) and renewed.ok_value > 0:
                self._lease_until_s = asked_s + self._lease_ttl_s
                pause_s = self._lease_ttl_s / RENEWALS_PER_LEASE
            elif isinstance(renewed, Ok) or isinstance(renewed.err_value, StoreRefusedError):
                log.warning("The lease of term %d has run out.", self.term)
                count("coordinator_leases_lost")
                self._lease_id = 0
                return
            await asyncio.sleep(pause_s)

    async def resign(self) -> None:
        """Gives the lease back."""
        lease_id, self._lease_id = self._lease_id, 0
        if lease_id:
            await self._store.lease_revoke(lease_id)

    def _is_silence(self, heard: KnownCoordinator | None) -> bool:
        if heard is None:
            return False
        return not heard.host or heard.age_s >= self._lease_ttl_s

    async def _first_turn_s(self, term: int) -> float:
        """Returns the delay of the first try by rank, so that one host tries at a time."""
        hosts = {*await self._view.hosts(), self._host}
        order = sorted(hosts, key=lambda host: hash64(str(term), host))
        return (order.index(self._host) + self._rng.random()) * TURN_S

    async def _next_turn_s(self) -> float:
        """Returns the delay of another try: one turn of every host, with jitter."""
        hosts = {*await self._view.hosts(), self._host}
        return len(hosts) * TURN_S * self._rng.uniform(0.5, 1.5)

    async def _campaign(self) -> bool:
        """Tries once to become the coordinator; no answer counts as no."""
        count("coordinator_campaigns")
        found = await self._store.range(self._key)
        if isinstance(found, Err):
            return False
        items, revision = found.ok_value
        current = next((item for item in items if item.key == self._key), None)
        if current is not None and current.value.get("host") != self._host:
            return False
        asked_s = self._clock.now_s()
        lease = await self._store.lease_grant(self._lease_ttl_s)
        if isinstance(lease, Err):
            return False
        # The revision grows with every write, so terms grow even while the record is deleted.
        term = revision + 1
        if not await self._write(current, term, lease.ok_value):
            await self._store.lease_revoke(lease.ok_value)
            return False
        self.term = term
        self._lease_id = lease.ok_value
        self._lease_until_s = asked_s + self._lease_ttl_s
        log.info("Coordinator in term %d.", term)
        return True

    async def _write(self, current: KeyValue | None, term: int, lease_id: int) -> bool:
        record = {"host": self._host, "term": term}
        if current is None:
            written = await self._store.create(self._key, record, lease_id)
        else:
            written = await self._store.replace(self._key, record, current.mod_revision, lease_id)
        if isinstance(written, Ok):
            return written.ok_value
        found = await self._store.get(self._key)
        if isinstance(found, Err) or found.ok_value is None:
            return False
        return found.ok_value.lease_id == lease_id
