"""Tells backend servers of newer fencing tokens while the process of their dispatcher is gone.

A server's dispatcher tells it (``fence_notices``). Between the end of that process and the first
notices of the next dispatcher a server that is reached again may take an outdated grant.
"""

from __future__ import annotations

import asyncio
import math
import zlib
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.gateway.fence_notices import FenceNotices
from greengagefall.gateway.server_health import ServerHealth
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from greengagefall.dispatch.connection_pool import ConnectionPool
    from greengagefall.gateway.model import ServerEntry
    from greengagefall.gateway.view import ClusterView
    from greengagefall.ownership.key_spans import KeySpan
    from greengagefall.ownership.model import HostIncarnation, ServerIncarnation
    from greengagefall.utils.clock import Clock

CHECK_INTERVAL_S = 0.1
# A link may break for a moment while the process at its other end goes on.
LOST_LINK_DELAY_S = 0.3
# One of them may be cut off from the server, or may not know that the dispatcher is gone.
STAND_INS_PER_SERVER = 2
# A server takes a limited number of connections.
MAX_NOTICES_AT_ONCE = 1
# A host without a coordinator reads the assignment from the store about every 1.9 s at first. One
# that has an older assignment could release keys that the server got since.
MAX_ASSIGNMENT_AGE_S = 2.0


class _Notices(NamedTuple):
    """The notices of one server, the connections that they use, and the dispatcher that is gone."""

    notices: FenceNotices
    pool: ConnectionPool
    dispatcher: HostIncarnation


class StandInNotices:
    """Sends the notices of servers for which this host stands in.

    Which hosts stand in follows from the hosts' and the server's names, so that nothing has to be
    agreed on.

    Args:
        view: The cluster view of this host.
        clock: Clock that counts suspended time.
        open_pool: Creates the connection pool of a server from its address.
        is_lost: Returns whether the link to a host is broken.
        ask_others: Has another host tell a server; returns whether the server confirmed it.
    """

    def __init__(
        self,
        view: ClusterView,
        clock: Clock,
        open_pool: Callable[[str], ConnectionPool],
        is_lost: Callable[[str], bool],
        ask_others: Callable[[ServerIncarnation, KeySpan, int], Awaitable[bool]],
    ) -> None:
        self._view = view
        self._clock = clock
        self._open_pool = open_pool
        self._is_lost = is_lost
        self._ask_others = ask_others
        self._lost_since_s: dict[str, float] = {}
        self._notices: dict[ServerIncarnation, _Notices] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to look for servers whose dispatcher is gone."""
        self._view.add_listener(self._apply_assignment)
        self._task = start_supervised(self._run, "stand-in notices")

    def close(self) -> None:
        """Stops sending notices."""
        if self._task is not None:
            self._view.remove_listener(self._apply_assignment)
            self._task.cancel()
            self._task = None
        for incarnation in list(self._notices):
            self._close(incarnation)

    async def _run(self) -> None:
        while True:
            self._update()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _update(self) -> None:
        """Opens and closes the notices of servers as the view requires."""
        self._note_lost_links()
        wanted = self._servers_to_tell()
        for incarnation, opened in list(self._notices.items()):
            if wanted.get(incarnation) != opened.dispatcher:
                self._close(incarnation)
        for incarnation, dispatcher in wanted.items():
            if incarnation not in self._notices:
                self._open(incarnation, dispatcher)

    def _note_lost_links(self) -> None:
        now_s = self._clock.now_s()
        self._lost_since_s = {
            host: self._lost_since_s.get(host, now_s)
            for host in self._view.hosts
            if self._is_lost(host)
        }

    def _is_gone(self, host: HostIncarnation) -> bool:
        """Returns whether a later process replaced a host's, or its link is lost for a while."""
        record = self._view.hosts.get(host.host)
        if record is not None and record.start_ms > host.start_ms:
            return True
        lost_since_s = self._lost_since_s.get(host.host, math.inf)
        return self._clock.now_s() - lost_since_s >= LOST_LINK_DELAY_S

    def _servers_to_tell(self) -> dict[ServerIncarnation, HostIncarnation]:
        """Returns the servers for which this host stands in, and their dispatchers."""
        dispatchers = {one.dispatcher for one in self._view.assignment.dispatchers.values()}
        gone = {host for host in dispatchers if self._is_gone(host)}
        if not gone or not self._is_assignment_recent():
            return {}
        alive = [host for host in self._view.hosts if not self._is_lost(host)]
        own = self._view.host_incarnation.host
        return {
            entry.incarnation: dispatching.dispatcher
            for server_id, dispatching in self._view.assignment.dispatchers.items()
            if dispatching.dispatcher in gone
            and (entry := self._view.servers.get(server_id)) is not None
            and self._is_keyed(entry)
            and is_stand_in(own, server_id, alive)
        }

    def _is_assignment_recent(self) -> bool:
        return self._view.assignment_age_s() < MAX_ASSIGNMENT_AGE_S

    def _is_keyed(self, entry: ServerEntry) -> bool:
        service = self._view.find_service(entry.service)
        return service is not None and service.keyed

    def _open(self, incarnation: ServerIncarnation, dispatcher: HostIncarnation) -> None:
        entry = self._view.servers[incarnation.server_id]
        pool = self._open_pool(entry.address)

        def may_tell() -> bool:
            dispatching = self._view.assignment.dispatchers.get(incarnation.server_id)
            return (
                dispatching is not None
                and dispatching.dispatcher == dispatcher
                and self._is_assignment_recent()
                and not self._view.is_replaced(incarnation, entry.address)
            )

        async def ask_others(span: KeySpan, fence: int) -> bool:
            return await self._ask_others(incarnation, span, fence)

        notices = FenceNotices(
            incarnation.server_id,
            pool,
            ServerHealth(self._clock),
            self._clock,
            may_tell,
            MAX_NOTICES_AT_ONCE,
        )
        notices.ask_others = ask_others
        notices.set_assignment(self._view.assignment, entry.service)
        self._notices[incarnation] = _Notices(notices, pool, dispatcher)
        notices.start()
        count("fence_notices_of_stand_ins")

    def _close(self, incarnation: ServerIncarnation) -> None:
        opened = self._notices.pop(incarnation)
        opened.notices.close()
        opened.pool.close()

    def _apply_assignment(self) -> None:
        """Applies a newer assignment at once, so that no keys that it gives are released."""
        for incarnation, opened in self._notices.items():
            entry = self._view.servers.get(incarnation.server_id)
            if entry is not None:
                opened.notices.set_assignment(self._view.assignment, entry.service)


def is_stand_in(
    host: str, server_id: str, alive: Iterable[str], stand_ins: int = STAND_INS_PER_SERVER
) -> bool:
    """Returns whether a host is one of those that stand in for the dispatcher of a server."""
    own_rank = _rank(host, server_id)
    before = (other for other in alive if _rank(other, server_id) < own_rank)
    return len(list(islice(before, stand_ins))) < stand_ins


def _rank(host: str, server_id: str) -> int:
    return zlib.crc32(f"{server_id} {host}".encode())
