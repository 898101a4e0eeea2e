"""The coordinator process: standby until elected, then active until the lease is lost."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING

from greengagefall.coordinator.active import ActiveCoordinator
from greengagefall.coordinator.admin import AdminServer
from greengagefall.coordinator.contacts import LeadershipClaim
from greengagefall.coordinator.election import Election
from greengagefall.coordinator.standby import StandbyView
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.store.client import StoreClient
from greengagefall.store.host_list import HostListClient
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from greengagefall.config.coordinator import CoordinatorSettings
    from greengagefall.store.model import Store

log = logging.getLogger(__name__)

ROLE_COORDINATOR = "coordinator"
STORE_CALLS_PER_S = 20.0
RESIGN_TIMEOUT_S = 2.0


class CoordinatorProcess:
    """One coordinator process.

    Attributes:
        active: The active coordinator, None while this process is standby.
    """

    def __init__(self, settings: CoordinatorSettings, store: Store | None = None) -> None:
        """Creates the process as standby, without starting it.

        Args:
            settings: Checked settings.
            store: The platform's key-value service; None creates a client from the settings.
        """
        self.active: ActiveCoordinator | None = None
        self._settings = settings
        self._clock = SystemClock()
        self._store = store or StoreClient(
            settings.store,
            calls_per_s=STORE_CALLS_PER_S,
            host=settings.host,
            zone=settings.zone,
        )
        self._host_list = HostListClient(settings.host_list) if settings.host_list else None
        self._hello = Hello(
            PROTOCOL_VERSION,
            ROLE_COORDINATOR,
            settings.host,
            settings.zone,
            uuid.uuid4().hex,
            "",
            "",
        )
        self._link = PeerLink(settings.entry_peer, self._hello)
        self._view = StandbyView(self._link, self._host_list, settings.host, settings.zone)
        self._election = Election(
            self._store,
            self._view,
            settings.host,
            settings.zone,
            settings.lease_ttl_s,
            self._clock,
        )
        self._admin = AdminServer(settings.admin_listen, self) if settings.admin_listen else None
        self._task: asyncio.Task | None = None

    @property
    def ready(self) -> bool:
        """Whether the process is active with all records read, or connected to its entry host."""
        if self.active is not None:
            return self.active.records.all_read
        return self._link.connected

    @property
    def term(self) -> int:
        """Term that this process won last, 0 for none."""
        return self._election.term

    async def start(self) -> None:
        """Starts as standby."""
        await self._store.start()
        if self._host_list is not None:
            await self._host_list.start()
        await self._link.start()
        if self._admin is not None:
            await self._admin.start()
        self._task = start_supervised(self._run, "coordinator")

    async def close(self) -> None:
        """Stops the process and revokes its lease."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                await self._election.resign()
        except TimeoutError:
            log.warning("Coordinator lease was not revoked in time. It will expire by its TTL.")
        if self._admin is not None:
            await self._admin.close()
        await self._link.close()
        if self._host_list is not None:
            await self._host_list.close()
        await self._store.close()

    async def _run(self) -> None:
        while True:
            await self._election.campaign_until_won()
            count("coordinator_terms")
            self.active = ActiveCoordinator(
                self._store,
                self._host_list,
                self._hello,
                self._settings.entry_peer,
                self._claim,
                self._clock,
            )
            try:
                await self.active.start()
                await self._election.renew_lease_until_lost()
            finally:
                await self.active.close()
                self.active = None

    def _claim(self) -> LeadershipClaim:
        if not self._election.has_valid_lease:
            return LeadershipClaim("", 0)
        return LeadershipClaim(self._settings.host, self._election.term)
