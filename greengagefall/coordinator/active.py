"""The parts of a coordinator that run only while it is active."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.coordinator.contacts import HostConnections
from greengagefall.coordinator.hosts import HostListFollower
from greengagefall.coordinator.members import MembersController
from greengagefall.coordinator.records import StoreRecords
from greengagefall.coordinator.slices import SliceMapController
from greengagefall.coordinator.wakeup import Wakeup
from greengagefall.coordinator.watch import RecordsWatch
from greengagefall.routing.model import KIND_KEYED
from greengagefall.utils.supervision import run_logging_errors, start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordinator.contacts import LeadershipClaim
    from greengagefall.protocol.messages import Hello
    from greengagefall.store.host_list import HostListClient
    from greengagefall.store.model import Store
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

ARRANGE_INTERVAL_S = 1.0
PUSH_BATCH_S = 0.02


class ActiveCoordinator:
    """The active coordinator of a zone.

    Attributes:
        records: The store's records.
        connections: Connections to the zone's entry hosts.
    """

    def __init__(
        self,
        store: Store,
        host_list: HostListClient | None,
        hello: Hello,
        entry_peer: str,
        claim: Callable[[], LeadershipClaim],
        clock: Clock,
    ) -> None:
        """Creates the parts without starting them.

        Args:
            store: The platform's key-value service.
            host_list: The platform's host list, None if there is none.
            hello: First message to each host.
            entry_peer: Peer address of the own host's entry process.
            claim: Returns the host and term that heartbeats announce.
            clock: Source of time.
        """
        self._zone = hello.zone
        self._entry_peer = entry_peer
        self._clock = clock
        self._arrange_wakeup = Wakeup()
        self._push_wakeup = Wakeup()
        self._members_wakeup = Wakeup()
        self._slice_wakeups: dict[str, Wakeup] = {}
        self._controllers: dict[str, SliceMapController] = {}
        self.records = StoreRecords(store, self._zone, self._records_changed)
        self.connections = HostConnections(
            hello, self.records.document_cache, clock, claim, self._connections_changed
        )
        self._watch = RecordsWatch(store, self.records, self._records_changed)
        self._listed_hosts = HostListFollower(host_list, self._zone, self._arrange_wakeup.set)
        self._members = MembersController(
            self._zone,
            self.records,
            self.connections,
            self._listed_hosts,
            clock,
            self._members_wakeup,
        )
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts all parts."""
        await self._listed_hosts.start()
        await self._watch.start()
        await self._members.start()
        self._tasks = [
            start_supervised(self._push, "push"),
            start_supervised(self._arrange, "arrange"),
        ]

    async def close(self) -> None:
        """Stops all parts; the next coordinator continues unfinished releases from the store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(controller.close() for controller in self._controllers.values()))
        await self._members.close()
        await self._watch.close()
        await self._listed_hosts.close()
        await self.connections.close()

    def _records_changed(self) -> None:
        self._push_wakeup.set()
        self._arrange_wakeup.set()
        self._connections_changed()

    def _connections_changed(self) -> None:
        self._members_wakeup.set()
        for wakeup in self._slice_wakeups.values():
            wakeup.set()

    async def _push(self) -> None:
        """Pushes changed documents, batching the changes of ``PUSH_BATCH_S``."""
        while True:
            await self._push_wakeup.wait(ARRANGE_INTERVAL_S)
            await asyncio.sleep(PUSH_BATCH_S)
            self.connections.push_documents()

    async def _arrange(self) -> None:
        """Keeps a connection to each known host and a controller for each keyed back end."""
        while True:
            await run_logging_errors("arrange", self.connections.set_addresses(self._addresses()))
            await run_logging_errors("arrange", self._arrange_controllers())
            await self._arrange_wakeup.wait(ARRANGE_INTERVAL_S)

    def _addresses(self) -> set[str]:
        record = self.records.members
        members = record.members + record.previous if record else ()
        return {
            self._entry_peer,
            *self._listed_hosts.addresses(),
            *(member.address for member in members),
        }

    async def _arrange_controllers(self) -> None:
        wanted = {
            name
            for name, back_end in self.records.config.back_ends.items()
            if back_end.kind == KIND_KEYED
        }
        for name in self._controllers.keys() - wanted:
            del self._slice_wakeups[name]
            await self._controllers.pop(name).close()
        for name in sorted(wanted - self._controllers.keys()):
            wakeup = self._slice_wakeups[name] = Wakeup()
            controller = SliceMapController(
                name, self._zone, self.records, self.connections, self._clock, wakeup
            )
            self._controllers[name] = controller
            await controller.start()
            wakeup.set()
