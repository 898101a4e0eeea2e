"""Has other hosts tell a backend server of newer fencing tokens that this host does not reach."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from greengagefall.protocol.gateway_messages import KeysReleased, ReleaseKeys

if TYPE_CHECKING:
    from greengagefall.gateway.peers import Peers
    from greengagefall.gateway.view import ClusterView
    from greengagefall.ownership.key_spans import KeySpan
    from greengagefall.ownership.model import ServerIncarnation

ASK_TIMEOUT_S = 0.6


class PeerNotices:
    """Asks the other hosts in turn, since some of them may be cut off from the server, too.

    Args:
        view: The cluster view of this host.
        peers: Calls to other hosts.
    """

    def __init__(self, view: ClusterView, peers: Peers) -> None:
        self._view = view
        self._peers = peers
        self._turns = count()

    async def ask(self, incarnation: ServerIncarnation, span: KeySpan, fence: int) -> bool:
        """Asks one host for a notice; returns whether the server confirmed it."""
        # Others know the address of a server only while it has an entry.
        entry = self._view.servers.get(incarnation.server_id)
        others = self._others()
        if entry is None or not others:
            return False
        host = others[next(self._turns) % len(others)]
        order = ReleaseKeys(0, self._view.assignment.version, *incarnation, *span, fence)
        reply = await self._peers.call(host, order, ASK_TIMEOUT_S)
        return isinstance(reply, KeysReleased) and reply.released

    def _others(self) -> list[str]:
        """Returns the other hosts; only those with a link to this one, if there are any."""
        others = sorted(self._view.hosts.keys() - {self._view.host_incarnation.host})
        return [host for host in others if self._peers.connected(host)] or others
