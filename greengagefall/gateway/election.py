"""Elects the coordinator: the host that holds the coordinator record under a store lease."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from result import Err

from greengagefall.gateway.records import COORDINATOR_KEY, encode_coordinator
from greengagefall.ownership.model import UNKNOWN_RESTORES
from greengagefall.platform.store import Put
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagefall.gateway.view import ClusterView
    from greengagefall.platform.store import PlatformStore
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

LEASE_TTL_S = 2.0
LEASE_RENEW_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 0.1
# Hosts are ranked by processor cores. Each host waits this much longer than the one ranked before
# it, so that most hosts find a coordinator elected before they campaign.
RANK_DELAY_S = 0.06
MAX_RANK_DELAY_S = 0.6


class Election:
    """Takes part in the election and runs the coordinator while this host is elected.

    Args:
        store: The store, with connections used only for the election.
        view: The cluster view of this host.
        clock: Clock that counts suspended time.
        on_elected: Starts the coordinator.
        on_step_down: Stops the coordinator.
    """

    def __init__(
        self,
        store: PlatformStore,
        view: ClusterView,
        clock: Clock,
        on_elected: Callable[[], Awaitable[None]],
        on_step_down: Callable[[], Awaitable[None]],
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._on_elected = on_elected
        self._on_step_down = on_step_down
        self._task: asyncio.Task | None = None
        self._lease_id = 0
        self._restores = UNKNOWN_RESTORES
        self._verified_s = 0.0
        self.stopping = False

    def start(self) -> None:
        """Starts the election task."""
        self._task = start_supervised(self._run, "election")

    async def close(self) -> None:
        """Stops the coordinator and ends the lease, if this host is elected."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._lease_id:
            await self._on_step_down()
            await self._store.lease_end(self._lease_id)
            self._lease_id = 0

    def abandon(self) -> None:
        """Stops without ending the lease, which then expires."""
        self.stopping = True
        if self._task is not None:
            self._task.cancel()

    def verified_age_s(self) -> float:
        """Returns the seconds since this host was last verified to be the only coordinator."""
        return self._clock.now_s() - self._verified_s

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.stopping or self._view.coordinator is not None:
                continue
            await asyncio.sleep(self._rank_delay_s())
            if self._view.coordinator is None and not self.stopping and await self._campaign():
                await self._run_coordinator()

    def _rank_delay_s(self) -> float:
        """Returns how long this host lets hosts with more processor cores campaign first."""
        records = sorted(
            self._view.hosts.values(), key=lambda record: (-record.weight, record.host)
        )
        names = [record.host for record in records]
        own_name = self._view.host_incarnation.host
        rank = names.index(own_name) if own_name in names else len(names)
        return min(MAX_RANK_DELAY_S, rank * RANK_DELAY_S)

    async def _campaign(self) -> bool:
        """Tries to become coordinator; returns whether this host was elected."""
        started_s = self._clock.now_s()
        lease = await self._store.lease_grant(LEASE_TTL_S)
        if isinstance(lease, Err):
            return False
        own_record = encode_coordinator(self._view.host_incarnation)
        write = Put(COORDINATOR_KEY, own_record, lease.ok_value)
        written = await self._store.txn({COORDINATOR_KEY: 0}, [write])
        elected = not isinstance(written, Err) and written.ok_value is not None
        if isinstance(written, Err):
            elected = await self._is_own_record_stored(own_record)
        if not elected:
            await self._store.lease_end(lease.ok_value)
            return False
        self._lease_id = lease.ok_value
        self._restores = self._store.restores
        self._verified_s = started_s
        return True

    async def _is_own_record_stored(self, own_record: bytes) -> bool:
        """Returns whether this host's record is stored; confirms a write of unknown outcome."""
        read = await self._store.get(COORDINATOR_KEY)
        if isinstance(read, Err) or read.ok_value is None:
            return False
        return read.ok_value.value == own_record

    async def _run_coordinator(self) -> None:
        log.info("Elected as coordinator.", extra={"lease": self._lease_id})
        count("elections_won")
        self._view.coordinator = self._view.host_incarnation
        await self._on_elected()
        try:
            await self._renew_lease()
        finally:
            if not self.stopping:
                self._lease_id = 0
                await self._on_step_down()

    async def _renew_lease(self) -> None:
        """Renews the lease until it ends or another host is elected."""
        while True:
            await asyncio.sleep(LEASE_RENEW_INTERVAL_S)
            started_s = self._clock.now_s()
            held = await self._is_lease_held()
            if held is False or (held is None and self._has_other_coordinator()):
                break
            if held:
                self._verified_s = started_s
        log.warning("Coordinator lease lost; stepping down.", extra={"lease": self._lease_id})
        if self._view.coordinator == self._view.host_incarnation:
            self._view.coordinator = None

    async def _is_lease_held(self) -> bool | None:
        """Renews the lease; returns whether this host holds it, None if that is not known.

        A restored store gives out ids of leases again, so that the renewed lease may be that of
        another host. If the store still has this host's record, it had the lease before the
        record, and no other host can have got its id.
        """
        renewed = await self._store.lease_keep(self._lease_id)
        if isinstance(renewed, Err):
            return None
        if not renewed.ok_value or self._store.restores == self._restores:
            return renewed.ok_value
        restores = self._store.restores
        read = await self._store.get(COORDINATOR_KEY)
        if isinstance(read, Err):
            return None
        own_record = encode_coordinator(self._view.host_incarnation)
        held = read.ok_value is not None and read.ok_value.value == own_record
        log.info(
            "Checked the coordinator record after a restore of the store.",
            extra={"held": held, "restores": restores, "before": self._restores},
        )
        if held:
            self._restores = restores
        return held

    def _has_other_coordinator(self) -> bool:
        coordinator = self._view.coordinator
        return coordinator is not None and coordinator != self._view.host_incarnation
