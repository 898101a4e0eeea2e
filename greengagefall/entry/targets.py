"""Resolves the backend server and the dispatcher of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok, Result

from greengagefall.coordination.model import SLICE_FREE, SLICE_RELEASING
from greengagefall.protocol import refusals
from greengagefall.protocol.messages import Answer
from greengagefall.routing.model import KIND_POOLED
from greengagefall.utils.hashing import slice_of_key

if TYPE_CHECKING:
    from greengagefall.entry.host_state import HostState
    from greengagefall.entry.pools import Pools
    from greengagefall.entry.request import CallerRequest
    from greengagefall.protocol.messages import Refusal
    from greengagefall.routing.model import BackEnd
    from greengagefall.utils.clock import Clock

NO_SLICE = -1
# An unreachable host is not chosen for this long, unless all candidates are unreachable.
AVOID_HOST_S = 1.0
WRONG_HOST_REASONS = frozenset(
    {refusals.NOT_DISPATCHER, refusals.DISPATCHER_UNREACHABLE, refusals.STOPPING}
)


class Target(NamedTuple):
    """Destination of one attempt.

    Attributes:
        server_key: ``back end/server``.
        server: Name of the backend server.
        host: Entry host that presumably dispatches the server.
        slice_id: Slice of the key, -1 for pooled back ends.
        fence: Fence of the slice, 0 for pooled back ends.
        map_version: Version of the slice map with this slice and fence, 0 for pooled back ends.
    """

    server_key: str
    server: str
    host: str
    slice_id: int
    fence: int
    map_version: int


class TargetResolver:
    """Resolves targets, and tracks which host dispatches which server.

    Args:
        state: Documents of this host.
        pools: Picks servers of pooled back ends.
        clock: Monotonic clock.
    """

    def __init__(self, state: HostState, pools: Pools, clock: Clock) -> None:
        self._state = state
        self._pools = pools
        self._clock = clock
        self._dispatcher_hosts: dict[str, str] = {}
        self._next_candidate: dict[str, int] = {}
        self._last_chosen: dict[str, str] = {}
        self._avoid_until_s: dict[str, float] = {}

    def resolve(self, request: CallerRequest, attempted_servers: set[str]) -> Result[Target, str]:
        """Returns the target of the next attempt, or the reason why there is none.

        Args:
            request: The caller's request.
            attempted_servers: Servers of a pooled back end with an earlier attempt.
        """
        if request.back_end.kind == KIND_POOLED:
            return self._find_pooled(request.back_end, attempted_servers)
        return self._find_keyed(request.back_end, request.key)

    def record_outcome(self, target: Target, outcome: Answer | Refusal) -> None:
        """Updates which host is chosen for the server from now on.

        It is the host that answered or the one that a refusal named. After another refusal that
        shows that the host does not dispatch the server, it is the next candidate.
        """
        if isinstance(outcome, Answer):
            self._dispatcher_hosts[target.server_key] = target.host
            return
        if outcome.hint_host and outcome.hint_host != target.host:
            self._dispatcher_hosts[target.server_key] = outcome.hint_host
            return
        if outcome.reason not in WRONG_HOST_REASONS:
            return
        if outcome.reason == refusals.DISPATCHER_UNREACHABLE:
            self._avoid_until_s[target.host] = self._clock.now_s() + AVOID_HOST_S
        # If many requests fail at one host, only the first of them advances to the next candidate.
        # Otherwise they would skip the host that has taken over.
        if self._dispatcher_hosts.get(target.server_key) == target.host:
            del self._dispatcher_hosts[target.server_key]
            self._next_candidate[target.server_key] = 0
        elif self._last_chosen.get(target.server_key) == target.host:
            del self._last_chosen[target.server_key]
            self._next_candidate[target.server_key] = (
                self._next_candidate.get(target.server_key, 0) + 1
            )

    def dispatcher_host(self, server_key: str, zone: str) -> str | None:
        """Returns the known dispatcher of a server, else the next candidate, None without one.

        The chosen candidate is stored, so that ``record_outcome`` can advance to the next one.
        """
        known_host = self._dispatcher_hosts.get(server_key)
        if known_host is not None and self._state.member(known_host) is not None:
            return known_host
        hosts = [member.host for member in self._state.candidates(server_key, zone)]
        if not hosts:
            return None
        now_s = self._clock.now_s()
        reachable = [host for host in hosts if self._avoid_until_s.get(host, 0.0) <= now_s] or hosts
        chosen = reachable[self._next_candidate.get(server_key, 0) % len(reachable)]
        self._last_chosen[server_key] = chosen
        return chosen

    def _find_keyed(self, back_end: BackEnd, key: str) -> Result[Target, str]:
        slice_map = self._state.slice_map(back_end.name)
        if slice_map is None:
            return Err(refusals.SLICE_FREE)
        slice_id = slice_of_key(key, slice_map.slice_count)
        slice_range = slice_map.lookup(slice_id)
        if slice_range.state == SLICE_FREE:
            return Err(refusals.SLICE_FREE)
        if slice_range.state == SLICE_RELEASING:
            return Err(refusals.SLICE_MOVING)
        return self._build_target(
            back_end, slice_range.owner, slice_id, slice_range.fence, slice_map.version
        )

    def _find_pooled(self, back_end: BackEnd, attempted_servers: set[str]) -> Result[Target, str]:
        server = self._pools.pick(back_end, attempted_servers)
        if server is None:
            attempted_servers.clear()
            return Err(refusals.NO_SERVER)
        return self._build_target(back_end, server, NO_SLICE, 0, 0)

    def _build_target(
        self, back_end: BackEnd, server: str, slice_id: int, fence: int, map_version: int
    ) -> Result[Target, str]:
        server_config = back_end.servers.get(server)
        if server_config is None:
            return Err(refusals.NO_SERVER)
        server_key = f"{back_end.name}/{server}"
        host = self.dispatcher_host(server_key, server_config.zone)
        if host is None:
            return Err(refusals.NO_DISPATCHER)
        return Ok(Target(server_key, server, host, slice_id, fence, map_version))
