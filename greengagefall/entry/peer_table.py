"""Links to other entry hosts, opened on first use."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from greengagefall.protocol.exceptions import PeerUnreachableError
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagefall.coordination.model import Member
    from greengagefall.protocol.memory_budget import Budget
    from greengagefall.protocol.messages import Hello

log = logging.getLogger(__name__)

FIRST_CONNECT_TIMEOUT_S = 0.3


class PeerLinks:
    """Holds one link per entry host that this host calls.

    Args:
        hello: First message that is sent to each peer.
        on_message: Called with each pushed message.
        budget: Memory for large replies on all links.
    """

    def __init__(
        self, hello: Hello, on_message: Callable[[Any], None], budget: Budget | None = None
    ) -> None:
        self._hello = hello
        self._budget = budget or MemoryBudget()
        self._on_message = on_message
        self._links: dict[str, PeerLink] = {}
        self._opened_at_s: dict[str, float] = {}
        self._members: dict[str, Member] = {}
        self._closing: set[asyncio.Task] = set()

    def set_members(self, members: Iterable[Member]) -> None:
        """Sets the member hosts of all zones and closes the links to other hosts."""
        self._members = {member.host: member for member in members}
        for host, link in list(self._links.items()):
            member = self._members.get(host)
            if member is None or member.address != link.address:
                del self._links[host]
                self._close_later(link)

    async def close(self) -> None:
        """Closes all links."""
        links = list(self._links.values())
        self._links.clear()
        await asyncio.gather(*(link.close() for link in links), *self._closing)

    def member(self, host: str) -> Member | None:
        """Returns the member record of a host, None if it isn't a member."""
        return self._members.get(host)

    def is_connected(self, host: str) -> bool:
        """Returns whether the host has an open link that answers probes."""
        link = self._links.get(host)
        return link is not None and link.connected and not link.suspect

    def is_lost(self, host: str) -> bool:
        """Returns whether the host has a link that is closed or does not answer probes."""
        return host in self._links and not self.is_connected(host)

    def connected_hosts(self) -> list[str]:
        """Returns the hosts with an open link."""
        return [host for host in self._links if self.is_connected(host)]

    async def call(self, host: str, message: Any, timeout_s: float) -> Any:
        """Sends a request to a host and returns its reply.

        Raises:
            FrameError: The message is too large; nothing was sent.
            PeerUnreachableError: The message was not sent completely, or the peer has no memory
                for it; the peer has not handled it and never will.
            PeerLostError: The connection ended after the message was written, or the reply cannot
                be put together.
            PeerTimeoutError: No reply came in time.
        """
        link = await self._link(host)
        await self._wait_first_connection(host, link, timeout_s)
        if link.suspect:
            raise PeerUnreachableError(f"host {host} does not answer probes; the call is not sent")
        return await link.call(message, timeout_s)

    async def _link(self, host: str) -> PeerLink:
        link = self._links.get(host)
        if link is not None:
            return link
        member = self._members.get(host)
        if member is None:
            raise PeerUnreachableError(f"host {host} is in no members record; the call is not sent")
        link = PeerLink(
            member.address, self._hello, on_message=self._on_message, budget=self._budget
        )
        self._links[host] = link
        self._opened_at_s[host] = asyncio.get_running_loop().time()
        await link.start()
        return link

    async def _wait_first_connection(self, host: str, link: PeerLink, timeout_s: float) -> None:
        """Waits up to ``FIRST_CONNECT_TIMEOUT_S`` from the opening of a link for its connection.

        It returns at once if the link was connected before or that time has passed.
        """
        if link.ever_connected:
            return
        age_s = asyncio.get_running_loop().time() - self._opened_at_s[host]
        remaining_s = min(timeout_s, FIRST_CONNECT_TIMEOUT_S - age_s)
        if remaining_s > 0:
            await wait_until(lambda: link.connected, remaining_s)

    def _close_later(self, link: PeerLink) -> None:
        task = asyncio.create_task(link.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
