"""Simulated entry hosts, which run the product's own code."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from greengagefall.gateway.beats import HeartbeatSender
from greengagefall.gateway.coordinator import Coordinator
from greengagefall.gateway.dispatchers import ChannelManager
from greengagefall.gateway.election import Election
from greengagefall.gateway.handlers import PeerHandlers
from greengagefall.gateway.model import (
    OperatorLimits,
    PlatformSettings,
    RoutingTable,
    Service,
)
from greengagefall.gateway.notice_delivery import NoticeDelivery
from greengagefall.gateway.peer_notices import PeerNotices
from greengagefall.gateway.stand_in_notices import StandInNotices
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import HostIncarnation
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.tests.simulated_network import SimulatedPeers, SimulatedPool
from greengagefall.tests.simulated_servers import SERVICE
from greengagefall.tests.simulated_store import SimulatedStore
from greengagefall.tests.virtual_time import LoopClock

if TYPE_CHECKING:
    from greengagefall.ownership.model import ServerIncarnation
    from greengagefall.tests.ownership_simulation import Simulation

TABLE = RoutingTable(
    1, {}, {SERVICE: Service(SERVICE, "/health", 100, 3.0, 8.0, True, 5.0)}, 0, 0, 0.0
)
# Time after which a host knows of a change in the store.
WATCH_DELAY_S = 0.1
STORE_READ_S = 0.005


class SimulatedHost:
    """One incarnation of an entry host."""

    def __init__(self, simulation: Simulation, name: str, zone: str, start_ms: int) -> None:
        self.name = name
        self.zone = zone
        self.up = True
        self._simulation = simulation
        clock = LoopClock(simulation.loop)
        settings = PlatformSettings(
            name, zone, "", "", f"{name}:1", "", 1.0, 1.0, 20.0, 1.0, OperatorLimits()
        )
        self.host_incarnation = HostIncarnation(name, start_ms)
        self.view = ClusterView(settings, self.host_incarnation, clock)
        store = SimulatedStore(simulation, self)
        peers = SimulatedPeers(simulation, self)
        self.channels = ChannelManager(
            self.view, clock, lambda address: SimulatedPool(simulation, self, address)
        )
        self.view.is_entry_in_store = lambda server_id: (
            simulation.store_up
            and not simulation.is_cut(name, "store")
            and simulation.loop.now_s - simulation.store_reachable_since_s > 2 * WATCH_DELAY_S
            and server_id in simulation.server_entries
        )
        self.channels.is_listed = self._is_listed
        self.channels.ask_others = PeerNotices(self.view, peers).ask
        # With random numbers of their own, so that seeds keep their faults.
        rng = random.Random(f"{name} {start_ms}")
        self.stand_in = StandInNotices(
            self.view,
            clock,
            lambda address: SimulatedPool(simulation, self, address, rng),
            peers.is_lost,
            PeerNotices(self.view, SimulatedPeers(simulation, self, rng)).ask,
        )
        self.notice_delivery = NoticeDelivery(
            self.view,
            SimulatedStore(simulation, self, rng),
            clock,
            lambda address: SimulatedPool(simulation, self, address, rng),
            peers.is_lost,
        )
        self.handlers = PeerHandlers(self.view, self.channels)
        self.hello = Hello(PROTOCOL_VERSION, "gateway", name, zone, str(start_ms), "", "")
        self.heartbeats = HeartbeatSender(self.view, peers, self.channels, store, clock)

        async def become_coordinator():
            coordinator = Coordinator(store, self.view, peers, clock, self.election.verified_age_s)
            self.handlers.coordinator = coordinator
            coordinator.start()

        async def step_down():
            coordinator = self.handlers.coordinator
            self.handlers.coordinator = None
            if coordinator is not None:
                await coordinator.close()

        self.election = Election(store, self.view, clock, become_coordinator, step_down)

    async def _is_listed(self, incarnation: ServerIncarnation) -> bool:
        """Reads from the simulated store whether it lists an incarnation of a server."""
        await asyncio.sleep(STORE_READ_S)
        simulation = self._simulation
        if not simulation.store_up or simulation.is_cut(self.name, "store"):
            return False
        written = simulation.server_entries.get(incarnation.server_id)
        return written is not None and written[0].incarnation == incarnation

    def record(self) -> HostRecord:
        return HostRecord(
            self.name, self.host_incarnation.start_ms, f"{self.name}:1", self.zone, 1.0
        )

    def start(self) -> None:
        self.view.update_routing_table(TABLE)
        self.channels.start()
        self.stand_in.start()
        self.notice_delivery.start()
        self.heartbeats.start()
        self.election.start()

    async def kill(self) -> None:
        self.up = False
        self.election.abandon()
        self.heartbeats.close()
        self.channels.close()
        self.stand_in.close()
        self.notice_delivery.close()
        if self.handlers.coordinator is not None:
            await self.handlers.coordinator.close()
            self.handlers.coordinator = None
