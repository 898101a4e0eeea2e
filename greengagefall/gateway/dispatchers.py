"""Channels to the backend servers that this host dispatches."""

from __future__ import annotations

import asyncio
import logging
import math
from functools import partial
from typing import TYPE_CHECKING

from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.gateway import outcomes
from greengagefall.gateway.model import NO_KEY
from greengagefall.gateway.server_channel import ServerChannel
from greengagefall.ownership.key_load import KeyCounter
from greengagefall.ownership.model import ServerIncarnation
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from greengagefall.gateway.grants import ReleaseOutcome
    from greengagefall.gateway.view import ClusterView
    from greengagefall.protocol.gateway_messages import (
        Dispatch,
        Dispatched,
        GrantKeys,
        NotDispatched,
        ReleaseKeys,
    )
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
PERCENT = 100
# Share of the time that operators allow for which leaving servers and zones still get work.
DRAIN_WORK_SHARE = 0.5
CHECK_INTERVAL_S = 0.2
# A channel that is no longer needed stays this long, for releases and late requests.
CHANNEL_CLOSE_DELAY_S = 4.0
# A server that started again has told the store after at most this many of its beats.
RESTART_DETECTION_HEARTBEATS = 1.3
MAX_ANSWER_BYTES = 64 * 1024 * 1024


def _open_pool(address: str) -> ConnectionPool:
    return ConnectionPool(address, MAX_ANSWER_BYTES)


class ChannelManager:
    """Opens and closes channels as the assignment says.

    Args:
        view: What this host knows.
        clock: Clock that counts suspended time.
        open_pool: Makes the connections to a server out of its address.

    Attributes:
        refuse_from_s: Time from which new requests are refused, before the end of the process.
    """

    def __init__(
        self,
        view: ClusterView,
        clock: Clock,
        open_pool: Callable[[str], ConnectionPool] = _open_pool,
    ) -> None:
        self._open_pool = open_pool
        self.refuse_from_s = math.inf
        self._view = view
        self._clock = clock
        self._channels: dict[ServerIncarnation, ServerChannel] = {}
        self._unneeded_s: dict[ServerIncarnation, float] = {}
        self._keys: dict[str, KeyCounter] = {}
        self._task: asyncio.Task | None = None
        view.add_listener(self.reconcile)

    def start(self) -> None:
        """Begins to check for servers and zones that have to be left alone."""
        self._task = asyncio.create_task(self._check(), name="dispatchers")

    def close(self) -> None:
        """Closes all channels."""
        if self._task is not None:
            self._task.cancel()
        for channel in self._channels.values():
            channel.close()

    @property
    def idle(self) -> bool:
        """Whether no request waits or runs at any server."""
        return all(channel.idle for channel in self._channels.values())

    def reconcile(self) -> None:
        """Brings channels in line with what is known."""
        for life, channel in self._channels.items():
            entry = self._view.servers.get(life.server_id)
            if entry is not None and entry.start_ms == life.start_ms and entry != channel.entry:
                channel.update_entry(entry)
        for server_id, dispatching in self._view.assignment.dispatchers.items():
            if dispatching.dispatcher == self._view.host_incarnation:
                self._open(server_id)
        for life, channel in self._channels.items():
            self._set_runs(life, channel)
        self._mark_leaving()

    async def submit(self, request: Dispatch) -> Dispatched | NotDispatched:
        """Runs a request at one of this host's servers, or tells why there is no answer."""
        received_s = self._clock.now_s()
        if received_s >= self.refuse_from_s:
            return self._refuse(request, outcomes.STOPPING)
        channel = self._choose(request)
        if channel is None:
            reason = outcomes.NOT_OWNER if request.server_id else outcomes.NO_SERVER
            return self._refuse(request, reason)
        if request.key != NO_KEY and channel.grants is not None:
            self._keys.setdefault(request.service, KeyCounter()).add(request.key)
        return await channel.submit(request, received_s)

    async def release(self, order: ReleaseKeys) -> ReleaseOutcome | None:
        """Takes keys back from a server; None if this host cannot tell anything of it."""
        if order.version > self._view.assignment.version:
            return None
        channel = self._channels.get(ServerIncarnation(order.server_id, order.start_ms))
        if channel is None or channel.grants is None:
            return None
        outcome = await channel.grants.release(order.first, order.last, order.fence)
        log.info(
            "Release of keys finished.",
            extra={**_order_facts(order), **outcome._asdict()},
        )
        return outcome

    async def grant(self, order: GrantKeys) -> bool:
        """Grants keys that nobody else holds; returns whether the server took them."""
        life = ServerIncarnation(order.server_id, order.start_ms)
        channel = self._channels.get(life)
        # Another life at the same address must not get keys of the one before.
        if channel is None or channel.grants is None or self._view.has_newer_incarnation(life):
            return False
        granted = await channel.grants.grant(order.first, order.last, order.fence, order.hand_over)
        log.info("Grant of keys finished.", extra={**_order_facts(order), "granted": granted})
        return granted

    def server_states(self) -> list[list[Any]]:
        """Returns the state of this host's servers, as ``HostBeat.servers``."""
        return [
            [
                life.server_id,
                int(channel.queue.service_time_s * MS_PER_S),
                channel.queue.in_flight,
                len(channel.queue),
                channel.health.up,
            ]
            for life, channel in self._channels.items()
            if self._is_mine(life)
        ]

    def pop_key_counts(self) -> list[list[Any]]:
        """Returns the requests by key since the last call, as ``HostBeat.keys``."""
        return [[service, counter.pop_counts()] for service, counter in self._keys.items()]

    def _open(self, server_id: str) -> None:
        """Opens a channel to the present life of a server, unless there is one."""
        entry = self._view.servers.get(server_id)
        service = self._view.find_service(entry.service) if entry else None
        if entry is None or service is None:
            return
        life = ServerIncarnation(server_id, entry.start_ms)
        if life in self._channels:
            return
        channel = ServerChannel(
            entry,
            service,
            self._clock,
            self._view.is_assignment_current,
            partial(self._view.is_entry_current, server_id),
            self._open_pool(entry.address),
            RESTART_DETECTION_HEARTBEATS * self._view.settings.heartbeat_s
            + self._view.entry_lag_s(),
        )
        self._channels[life] = channel
        channel.start()

    def _choose(self, request: Dispatch) -> ServerChannel | None:
        if request.server_id:
            entry = self._view.servers.get(request.server_id)
            born_ms = entry.start_ms if entry else 0
            return self._channels.get(ServerIncarnation(request.server_id, born_ms))
        candidates = [
            channel
            for life, channel in self._channels.items()
            if channel.entry.service == request.service
            and self._is_mine(life)
            and not channel.admission_closed
            and self._view.is_usable(channel.entry)
        ]
        alive = [channel for channel in candidates if channel.health.up]
        return min(alive or candidates, key=ServerChannel.expected_finish_s, default=None)

    def _refuse(self, request: Dispatch, reason: str) -> NotDispatched:
        count("dispatch_failures", reason=reason)
        log.info(
            "No server for a request here.",
            extra={
                "request_id": request.request_id,
                "server": request.server_id,
                "service": request.service,
                "reason": reason,
                "version": self._view.assignment.version,
            },
        )
        return outcomes.failure(reason, load_percent=PERCENT, server_id=request.server_id)

    def _is_mine(self, life: ServerIncarnation) -> bool:
        dispatching = self._view.assignment.dispatchers.get(life.server_id)
        return dispatching is not None and dispatching.dispatcher == self._view.host_incarnation

    def _set_runs(self, life: ServerIncarnation, channel: ServerChannel) -> None:
        if channel.grants is None:
            return
        runs = []
        if self._is_mine(life) and not self._view.has_newer_incarnation(life):
            runs = self._view.assignment.key_ranges_owned_by(channel.entry.service, life)
        channel.set_key_ranges(runs)

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._mark_leaving()
            self._close_unneeded()

    def _mark_leaving(self) -> None:
        """Ends new work at servers whose time after leaving or evacuation is over."""
        now_s = self._clock.now_s()
        bounds = self._view.settings.bounds
        for life, channel in self._channels.items():
            left_s = self._view.draining_since_s.get(life.server_id)
            evacuated_s = self._view.evacuated.get(channel.entry.zone)
            channel.admission_closed = (
                self._view.has_newer_incarnation(life)
                or (
                    left_s is not None
                    and now_s - left_s > DRAIN_WORK_SHARE * bounds.drain_timeout_s
                )
                or (
                    evacuated_s is not None
                    and now_s - evacuated_s > DRAIN_WORK_SHARE * bounds.evacuation_timeout_s
                )
            )

    def _close_unneeded(self) -> None:
        now_s = self._clock.now_s()
        for life, channel in list(self._channels.items()):
            entry = self._view.servers.get(life.server_id)
            present = entry is not None and entry.start_ms == life.start_ms
            if (present and self._is_mine(life)) or not channel.idle:
                self._unneeded_s.pop(life, None)
                continue
            since_s = self._unneeded_s.setdefault(life, now_s)
            if now_s - since_s > CHANNEL_CLOSE_DELAY_S:
                channel.close()
                del self._channels[life]
                del self._unneeded_s[life]


def _order_facts(order: ReleaseKeys | GrantKeys) -> dict[str, object]:
    return {
        "server": order.server_id,
        "first": order.first,
        "last": order.last,
        "fence": order.fence,
        "version": order.version,
    }
