"""Fetches documents from other entry hosts at startup, which works while the store is down."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from result import Err

from greengagefall.protocol.exceptions import ProtocolError
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.messages import Documents, Fetch
from greengagefall.store.host_list import HostListClient
from greengagefall.utils.supervision import start_supervised
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.entry.host_state import HostState
    from greengagefall.protocol.messages import Hello

log = logging.getLogger(__name__)

START_DELAY_S = 1.0
RETRY_PAUSE_S = 0.5
CONNECT_TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 2.0


class Bootstrap:
    """Fetches documents from other entry hosts until this host has what it needs.

    Usually the coordinator of the zone pushes the documents first. Without a coordinator, for
    example during an outage of the store, any other entry host can provide them.

    Args:
        state: Documents of this host.
        hello: First message that is sent to each peer.
        seeds: Peer addresses from which documents are fetched first.
        host_list: Address of the platform's host list, empty if there is none.
        is_done: Returns whether this host has the documents it needs.
    """

    def __init__(
        self,
        state: HostState,
        hello: Hello,
        seeds: tuple[str, ...],
        host_list: str,
        is_done: Callable[[], bool],
    ) -> None:
        self._state = state
        self._hello = hello
        self._seeds = seeds
        self._host_list = HostListClient(host_list) if host_list else None
        self._is_done = is_done
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts fetching documents."""
        if self._host_list is not None:
            await self._host_list.start()
        self._task = start_supervised(self._fetch_until_done, "fetch documents")

    async def close(self) -> None:
        """Stops fetching documents."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._host_list is not None:
            await self._host_list.close()

    async def _fetch_until_done(self) -> None:
        await asyncio.sleep(random.uniform(0.5, 1.0) * START_DELAY_S)
        while not self._is_done():
            for address in await self._addresses():
                await self._fetch_from(address)
                if self._is_done():
                    return
            await asyncio.sleep(random.uniform(0.5, 1.5) * RETRY_PAUSE_S)

    async def _addresses(self) -> list[str]:
        """Returns the seeds, then the listed hosts of this zone, then those of the other zones."""
        listed = []
        if self._host_list is not None:
            fetched = await self._host_list.fetch()
            listed = [] if isinstance(fetched, Err) else fetched.ok_value
        random.shuffle(listed)
        own_zone_first = sorted(listed, key=lambda host: host.zone != self._state.zone)
        addresses = [*self._seeds, *(host.address for host in own_zone_first)]
        return [address for address in dict.fromkeys(addresses) if address != self._hello.address]

    async def _fetch_from(self, address: str) -> None:
        link = PeerLink(address, self._hello)
        await link.start()
        try:
            if not await wait_until(lambda: link.connected, CONNECT_TIMEOUT_S):
                return
            message = Fetch(0, self._state.document_cache.versions())
            reply = await link.call(message, FETCH_TIMEOUT_S)
        except ProtocolError as error:
            log.debug(
                "Fetching documents from entry host %s failed: %s. The next address is tried.",
                address,
                error,
            )
            return
        finally:
            await link.close()
        if isinstance(reply, Documents) and self._state.merge(reply):
            log.info("Received new documents from entry host %s.", address)
