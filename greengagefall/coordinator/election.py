"""Election of the active coordinator of a zone by a lease in the store.

A standby makes no store call while its own entry host receives heartbeats of a coordinator.
Once these have stopped for the lease's TTL, the standbys campaign one after another, in a hash
order that differs for each term. The rate of campaigns in a zone does not depend on its number
of hosts.
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
    """What the own entry host knows about the zone's coordinator.

    Attributes:
        host: Host of the coordinator, empty if no heartbeat of one was received yet.
        term: Term of the coordinator.
        age_s: Time since its last heartbeat.
    """

    host: str
    term: int
    age_s: float


class ZoneView(Protocol):
    """What a standby learns without calls to the store."""

    async def known_coordinator(self) -> KnownCoordinator | None:
        """Returns what the own entry host knows, None while it does not answer."""

    async def hosts(self) -> Sequence[str]:
        """Returns the known entry hosts of the zone."""


class Election:
    """The part of one process in the election of its zone's coordinator.

    Attributes:
        term: Term won last, 0 for none; each winner in the zone has a higher one.
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
        """Creates the election without a lease.

        Args:
            store: The platform's key-value service.
            view: Source of the known coordinator and hosts that makes no store calls.
            host: Own host.
            zone: Own availability zone.
            lease_ttl_s: TTL of the lease.
            clock: Source of time.
            rng: Source of jitter, None for an own one.
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
        """Whether the lease is held and its TTL has certainly not passed."""
        return self._lease_id != 0 and self._clock.now_s() < self._lease_until_s

    async def campaign_until_won(self) -> int:
        """Campaigns whenever the known coordinator is silent; returns the term once won."""
        campaign_at_s: float | None = None
        while True:
            known = await self._view.known_coordinator()
            if not self._is_coordinator_silent(known):
                campaign_at_s = None
                await asyncio.sleep(self._rng.uniform(0.8, 1.2) * POLL_INTERVAL_S)
                continue
            if campaign_at_s is None:
                campaign_at_s = self._clock.now_s() + await self._first_campaign_delay_s(known.term)
            if self._clock.now_s() < campaign_at_s:
                await asyncio.sleep(POLL_INTERVAL_S / 5)
                continue
            if await self._campaign():
                return self.term
            campaign_at_s = self._clock.now_s() + await self._next_campaign_delay_s()

    async def renew_lease_until_lost(self) -> None:
        """Renews the lease; returns once the store reports it as expired or refuses to renew it."""
        while self._lease_id:
            sent_at_s = self._clock.now_s()
            renewed = await self._store.lease_keepalive(self._lease_id)
            delay_s = RENEWAL_RETRY_S
            if isinstance(renewed, Ok) and renewed.ok_value > 0:
                self._lease_until_s = sent_at_s + self._lease_ttl_s
                delay_s = self._lease_ttl_s / RENEWALS_PER_LEASE
            elif isinstance(renewed, Ok) or isinstance(renewed.err_value, StoreRefusedError):
                log.warning(
                    "Coordinator lease of term %d has expired. Returning to standby.", self.term
                )
                count("coordinator_leases_lost")
                self._lease_id = 0
                return
            await asyncio.sleep(delay_s)

    async def resign(self) -> None:
        """Revokes the lease, if one is held."""
        lease_id, self._lease_id = self._lease_id, 0
        if lease_id:
            await self._store.lease_revoke(lease_id)

    def _is_coordinator_silent(self, known: KnownCoordinator | None) -> bool:
        if known is None:
            return False
        return not known.host or known.age_s >= self._lease_ttl_s

    async def _first_campaign_delay_s(self, term: int) -> float:
        """Returns the delay of the first campaign, by rank so that one host campaigns at a time."""
        hosts = {*await self._view.hosts(), self._host}
        order = sorted(hosts, key=lambda host: hash64(str(term), host))
        return (order.index(self._host) + self._rng.random()) * TURN_S

    async def _next_campaign_delay_s(self) -> float:
        """Returns the delay of a further campaign: one ``TURN_S`` for each host, with jitter."""
        hosts = {*await self._view.hosts(), self._host}
        return len(hosts) * TURN_S * self._rng.uniform(0.5, 1.5)

    async def _campaign(self) -> bool:
        """Campaigns once; returns whether it won, False also if the store does not answer."""
        count("coordinator_campaigns")
        found = await self._store.range(self._key)
        if isinstance(found, Err):
            return False
        key_values, revision = found.ok_value
        current = next((key_value for key_value in key_values if key_value.key == self._key), None)
        if current is not None and current.value.get("host") != self._host:
            return False
        sent_at_s = self._clock.now_s()
        lease = await self._store.lease_grant(self._lease_ttl_s)
        if isinstance(lease, Err):
            return False
        # The revision grows with every write, so terms grow even if the record was deleted.
        term = revision + 1
        if not await self._write(current, term, lease.ok_value):
            await self._store.lease_revoke(lease.ok_value)
            return False
        self.term = term
        self._lease_id = lease.ok_value
        self._lease_until_s = sent_at_s + self._lease_ttl_s
        log.info("Elected as coordinator in term %d.", term)
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
