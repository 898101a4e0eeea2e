"""The simulated store: its data, and the store as one host reaches it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok

from greengagefall.ownership.model import UNKNOWN_RESTORES
from greengagefall.platform.store import KeyValue
from greengagefall.store.exceptions import StoreOutcomeUnknownError, StoreUnavailableError

if TYPE_CHECKING:
    import random

    from greengagefall.tests.ownership_simulation import Simulation
    from greengagefall.tests.simulated_hosts import SimulatedHost
    from greengagefall.tests.virtual_time import VirtualLoop


class _StoreCopy(NamedTuple):
    """A copy of the store's data and when it was made."""

    at_s: float
    key_values: dict[str, KeyValue]
    leases: dict[int, tuple[float, float]]
    lease_by_key: dict[str, int]
    revision: int


class StoreData:
    """The keys and leases of the simulated store, and copies of them.

    Attributes:
        key_values: The key-values, by key.
        restores: How often the data came back from a copy.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.key_values: dict[str, KeyValue] = {}
        self.restores = 1
        self._loop = loop
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_by_key: dict[str, int] = {}
        self._revision = 1
        self._copies: list[_StoreCopy] = []

    def write(self, expected, writes, deletes=()) -> int | None:
        for key, revision in expected.items():
            key_value = self.key_values.get(key)
            if (key_value.mod_revision if key_value else 0) != revision:
                return None
        if any(write.lease_id and write.lease_id not in self._leases for write in writes):
            return None
        self._revision += 1
        for write in writes:
            if write.lease_id:
                self._lease_by_key[write.key] = write.lease_id
            self.key_values[write.key] = KeyValue(write.key, write.value, self._revision)
        for key in deletes:
            self.key_values.pop(key, None)
        return self._revision

    def new_lease(self, ttl_s: float) -> int:
        self._revision += 1
        self._leases[self._revision] = (self._loop.now_s + ttl_s, ttl_s)
        return self._revision

    def keep_lease(self, lease_id: int) -> bool:
        if lease_id not in self._leases:
            return False
        ttl_s = self._leases[lease_id][1]
        self._leases[lease_id] = (self._loop.now_s + ttl_s, ttl_s)
        return True

    def end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        for key in [key for key, owner in self._lease_by_key.items() if owner == lease_id]:
            self.key_values.pop(key, None)
            del self._lease_by_key[key]

    def end_expired_leases(self) -> None:
        for lease_id, (end_s, _) in list(self._leases.items()):
            if end_s < self._loop.now_s:
                self.end_lease(lease_id)

    def keep_copy(self) -> None:
        """Keeps a copy of the store's data, for ``restore``."""
        self._copies.append(
            _StoreCopy(
                self._loop.now_s,
                dict(self.key_values),
                dict(self._leases),
                dict(self._lease_by_key),
                self._revision,
            )
        )

    def restore(self, age_s: float) -> None:
        """Replaces the store's data by a copy of about that age; revisions go back too."""
        older = [copy for copy in self._copies if copy.at_s <= self._loop.now_s - age_s]
        copy = older[-1] if older else self._copies[0]
        self.key_values = dict(copy.key_values)
        self._lease_by_key = dict(copy.lease_by_key)
        self._leases = {
            lease_id: (self._loop.now_s + ttl_s, ttl_s)
            for lease_id, (_, ttl_s) in copy.leases.items()
        }
        self._revision = copy.revision
        self.restores += 1


class SimulatedStore:
    """Simulates the store as one host reaches it.

    Args:
        simulation: The simulation.
        host: The host.
        rng: Random numbers; by default those that choose the faults, too.
    """

    def __init__(
        self, simulation: Simulation, host: SimulatedHost, rng: random.Random | None = None
    ) -> None:
        self._simulation = simulation
        self._rng = rng or simulation.rng
        self._host = host
        self.restores = UNKNOWN_RESTORES

    async def _is_reachable(self) -> bool:
        await asyncio.sleep(self._rng.uniform(0.002, 0.008))
        if not self._simulation.store_up or self._simulation.is_cut(self._host.name, "store"):
            await asyncio.sleep(self._rng.choice((0.0, 1.0)))
            return False
        self.restores = self._simulation.store_data.restores
        return True

    async def get(self, key):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        return Ok(self._simulation.store_data.key_values.get(key))

    async def txn(self, expected, writes, deletes=()):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        rng = self._rng
        if rng.random() < self._simulation.lost_share:
            if rng.random() < 0.5:
                delay_s = rng.uniform(0.1, 5.0)
                self._simulation.loop.call_later(
                    delay_s, self._simulation.store_data.write, expected, writes, deletes
                )
            else:
                self._simulation.store_data.write(expected, writes, deletes)
            await asyncio.sleep(1.0)
            return Err(StoreOutcomeUnknownError("the answer of the simulated store was lost"))
        return Ok(self._simulation.store_data.write(expected, writes, deletes))

    async def lease_grant(self, ttl_s):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        return Ok(self._simulation.store_data.new_lease(ttl_s))

    async def lease_keep(self, lease_id):
        if not await self._is_reachable():
            return Err(StoreUnavailableError("the simulated store is unreachable"))
        return Ok(self._simulation.store_data.keep_lease(lease_id))

    async def lease_end(self, lease_id):
        if await self._is_reachable():
            self._simulation.store_data.end_lease(lease_id)
        return Ok(None)
