"""Pools of pooled back ends with their policies for picking, ejection and hedging."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from greengagefall.balancing.ejection import EJECTIONS, Ejection
from greengagefall.balancing.hedging import HEDGES, Hedge
from greengagefall.balancing.pick import SERVER_PICKS, ServerPick
from greengagefall.balancing.server_views import ServerViews
from greengagefall.protocol import refusals
from greengagefall.protocol.messages import Answer
from greengagefall.routing.model import KIND_POOLED, SERVER_ACTIVE, ZONE_IN

if TYPE_CHECKING:
    from greengagefall.protocol.messages import Refusal
    from greengagefall.routing.model import BackEnd, RoutingConfig
    from greengagefall.utils.clock import Clock

AVOID_SERVER_S = 1.0
# A server that was refused for one of these reasons currently can't be reached by any request.
UNAVAILABLE_REASONS = frozenset(
    {
        refusals.DISPATCHER_UNREACHABLE,
        refusals.NO_DISPATCHER,
        refusals.SERVER_DRAINING,
        refusals.SERVER_UNREACHABLE,
    }
)


class Pool:
    """Policies and state of one pooled back end, kept until its configuration changes."""

    def __init__(self, back_end: BackEnd, clock: Clock, rng: random.Random) -> None:
        policies = back_end.policies
        tuning = back_end.tuning
        self.back_end = back_end
        self._clock = clock
        self._avoid_until_s: dict[str, float] = {}
        self.views = ServerViews(clock)
        for server in back_end.servers.values():
            self.views.set_server(server.name, server.zone, server.slots, server.weight)
        weights = {server.name: server.weight for server in back_end.servers.values()}
        self.picker: ServerPick = SERVER_PICKS[policies["pick"]](rng, tuning)
        ejection = EJECTIONS[policies["ejection"]]
        self.ejection: Ejection = ejection(weights, clock, tuning)
        self.hedge: Hedge = HEDGES[policies["hedge"]](tuning)

    def avoid(self, server: str) -> None:
        """Excludes an unavailable server from picks for ``AVOID_SERVER_S``."""
        self._avoid_until_s[server] = self._clock.now_s() + AVOID_SERVER_S

    def avoided_servers(self) -> set[str]:
        """Returns the servers that are excluded now because they were unavailable."""
        now_s = self._clock.now_s()
        return {name for name, until_s in self._avoid_until_s.items() if until_s > now_s}


class PoolAttempt:
    """One attempt at a server of a pool; it counts as in flight until ``end`` is called."""

    def __init__(self, pool: Pool, server: str) -> None:
        self._pool = pool
        self._server = server
        pool.views.on_send(server)

    def end(self, outcome: Answer | Refusal | None, latency_ms: float) -> None:
        """Records the outcome; None means that the attempt was cancelled."""
        if isinstance(outcome, Answer):
            self._pool.views.on_answer(self._server, outcome.queue_length, latency_ms)
            self._pool.ejection.on_result(self._server, latency_ms, True)
            return
        self._pool.views.on_no_answer(self._server, 0)
        if outcome is not None and outcome.reason in UNAVAILABLE_REASONS:
            self._pool.avoid(self._server)
        if outcome is not None:
            self._pool.ejection.on_result(self._server, latency_ms, False)


class Pools:
    """Holds the pools of all pooled back ends.

    Args:
        zone: Availability zone of this entry host.
        clock: Monotonic clock.
    """

    def __init__(self, zone: str, clock: Clock) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = random.Random()
        self._pools: dict[str, Pool] = {}
        self._zones: dict[str, str] = {}

    def set_config(self, config: RoutingConfig) -> None:
        """Applies a new configuration; the pools of unchanged back ends keep their state."""
        self._zones = config.zones
        for back_end in config.back_ends.values():
            if back_end.kind != KIND_POOLED:
                continue
            pool = self._pools.get(back_end.name)
            if pool is None or pool.back_end != back_end:
                self._pools[back_end.name] = Pool(back_end, self._clock, self._rng)

    def pick(self, back_end: BackEnd, attempted_servers: set[str]) -> str | None:
        """Returns a server without an earlier attempt, or None if there is none.

        Ejected and avoided servers are picked only if no other server is left.
        """
        pool = self._pools[back_end.name]
        ejected = pool.ejection.ejected() | pool.avoided_servers()
        views = [view for view in pool.views.views() if self._may_pick(pool, view.name)]
        chosen = pool.picker.pick(views, self._zone, attempted_servers | ejected)
        if chosen is None:
            chosen = pool.picker.pick(views, self._zone, attempted_servers)
        return chosen

    def begin_attempt(self, back_end: BackEnd, server: str) -> PoolAttempt:
        """Records that an attempt is about to be sent."""
        return PoolAttempt(self._pools[back_end.name], server)

    def hedge(self, back_end: BackEnd) -> Hedge:
        """Returns the hedging policy of a back end."""
        return self._pools[back_end.name].hedge

    def _may_pick(self, pool: Pool, name: str) -> bool:
        server = pool.back_end.servers[name]
        return server.state == SERVER_ACTIVE and self._zones.get(server.zone, ZONE_IN) == ZONE_IN
