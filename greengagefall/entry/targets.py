"""Finds the backend server and the dispatcher of a request."""

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
# For how long a host without a connection is asked after the other candidates.
AVOID_HOST_S = 1.0
WRONG_HOST_REASONS = frozenset(
    {refusals.NOT_DISPATCHER, refusals.DISPATCHER_UNREACHABLE, refusals.STOPPING}
)


class Target(NamedTuple):
    """Where one try goes.

    Attributes:
        server_key: ``back end/server``.
        server: Name of the backend server.
        host: Entry host that is taken for its dispatcher.
        slice_id: Slice of the key, -1 for pooled back ends.
        fence: Fence of the slice, 0 for pooled back ends.
        map_version: Slice map version that says so.
    """

    server_key: str
    server: str
    host: str
    slice_id: int
    fence: int
    map_version: int


class TargetResolver:
    """Remembers which host dispatches which server, and where to look next.

    Args:
        state: Documents of this host.
        pools: Picks among servers of pooled back ends.
        clock: Monotonic clock.
    """

    def __init__(self, state: HostState, pools: Pools, clock: Clock) -> None:
        self._state = state
        self._pools = pools
        self._clock = clock
        self._known: dict[str, str] = {}
        self._turn: dict[str, int] = {}
        self._last_tried: dict[str, str] = {}
        self._avoid_until_s: dict[str, float] = {}

    def resolve(self, request: CallerRequest, tried: set[str]) -> Result[Target, str]:
        """Returns the target of the next try, or the reason why there is none.

        Args:
            request: The caller's request.
            tried: Pooled servers that were tried already.
        """
        if request.back_end.kind == KIND_POOLED:
            return self._find_pooled(request.back_end, tried)
        return self._find_keyed(request.back_end, request.key)

    def record_outcome(self, target: Target, outcome: Answer | Refusal) -> None:
        """Takes in who answered for a server, or who is said to dispatch it."""
        if isinstance(outcome, Answer):
            self._known[target.server_key] = target.host
            return
        if outcome.hint_host and outcome.hint_host != target.host:
            self._known[target.server_key] = outcome.hint_host
            return
        if outcome.reason not in WRONG_HOST_REASONS:
            return
        if outcome.reason == refusals.DISPATCHER_UNREACHABLE:
            self._avoid_until_s[target.host] = self._clock.now_s() + AVOID_HOST_S
        # Of many requests that failed at one host only the first moves on to the next.
        if self._known.get(target.server_key) == target.host:
            del self._known[target.server_key]
            self._turn[target.server_key] = 0
        elif self._last_tried.get(target.server_key) == target.host:
            del self._last_tried[target.server_key]
            self._turn[target.server_key] = self._turn.get(target.server_key, 0) + 1

    def dispatcher_host(self, server_key: str, zone: str) -> str | None:
        """Returns the host to ask for a server: the one known, else the candidates in turn."""
        known = self._known.get(server_key)
        if known is not None and self._state.member(known) is not None:
            return known
        hosts = [member.host for member in self._state.candidates(server_key, zone)]
        if not hosts:
            return None
        now_s = self._clock.now_s()
        near = [host for host in hosts if self._avoid_until_s.get(host, 0.0) <= now_s] or hosts
        chosen = near[self._turn.get(server_key, 0) % len(near)]
        self._last_tried[server_key] = chosen
        return chosen

    def _find_keyed(self, back_end: BackEnd, key: str) -> Result[Target, str]:
        slice_map = self._state.slice_map(back_end.name)
        if slice_map is None:
            return Err(refusals.SLICE_FREE)
        slice_id = slice_of_key(key, slice_map.slice_count)
        run = slice_map.lookup(slice_id)
        if run.state == SLICE_FREE:
            return Err(refusals.SLICE_FREE)
        if run.state == SLICE_RELEASING:
            return Err(refusals.SLICE_MOVING)
        return self._target(back_end, run.owner, slice_id, run.fence, slice_map.version)

    def _find_pooled(self, back_end: BackEnd, tried: set[str]) -> Result[Target, str]:
        server = self._pools.pick(back_end, tried)
        if server is None:
            tried.clear()
            return Err(refusals.NO_SERVER)
        return self._target(back_end, server, NO_SLICE, 0, 0)

    def _target(
        self, back_end: BackEnd, server: str, slice_id: int, fence: int, map_version: int
    ) -> Result[Target, str]:
        record = back_end.servers.get(server)
        if record is None:
            return Err(refusals.NO_SERVER)
        server_key = f"{back_end.name}/{server}"
        host = self.dispatcher_host(server_key, record.zone)
        if host is None:
            return Err(refusals.NO_DISPATCHER)
        return Ok(Target(server_key, server, host, slice_id, fence, map_version))
