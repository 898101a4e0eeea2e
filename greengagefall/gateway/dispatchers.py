"""Channels to the backend servers that this host dispatches."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING

from greengagefall.dispatch.answer_memory import AnswerMemory
from greengagefall.dispatch.connection_pool import ConnectionPool
from greengagefall.gateway import outcomes
from greengagefall.gateway.fence_notices import send_release
from greengagefall.gateway.grants import ReleaseOutcome
from greengagefall.gateway.model import NO_KEY
from greengagefall.gateway.pool_choice import ServerLoad, mean_load_percent
from greengagefall.gateway.server_channel import ServerChannel
from greengagefall.gateway.server_knowledge import ServerKnowledge
from greengagefall.limits.server_rate_limit import UNLIMITED
from greengagefall.limits.stop_admission import StopAdmission
from greengagefall.limits.work_estimate import ServiceWork
from greengagefall.memory.budget import SERVER_ANSWERS
from greengagefall.memory.host_memory import open_host_memory
from greengagefall.ownership.key_load import KeyCounter
from greengagefall.ownership.key_spans import KeySpan
from greengagefall.ownership.model import ServerIncarnation
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from greengagefall.gateway.model import PlatformSettings
    from greengagefall.gateway.view import ClusterView
    from greengagefall.memory.account import MemoryAccount
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
# Share of the drain and evacuation timeouts during which new requests are still admitted.
DRAIN_ADMISSION_SHARE = 0.5
CHECK_INTERVAL_S = 0.2
# An unneeded channel stays open for this long, for releases and late requests.
CHANNEL_CLOSE_DELAY_S = 4.0
# A restarted server has written its entry to the store within this many heartbeat intervals.
RESTART_DETECTION_HEARTBEATS = 1.3
# The store has dropped the entry of a server after this many heartbeat intervals of silence.
ENTRY_EXPIRY_HEARTBEATS = 3.3
# Largest answer of one server, as a share of the host's memory.
ANSWER_SHARE = 1 / 4


def pool_opener(memory_bytes: int, account: MemoryAccount) -> Callable[[str], ConnectionPool]:
    """Returns what creates the connection pool of a server from its address."""
    memory = AnswerMemory(account.limit_bytes(SERVER_ANSWERS), account)
    answer_limit_bytes = int(ANSWER_SHARE * memory_bytes)
    return lambda address: ConnectionPool(address, answer_limit_bytes, memory=memory)


def _own_pool_opener(settings: PlatformSettings, clock: Clock) -> Callable[[str], ConnectionPool]:
    """Returns what creates pools with an account of their own, for tests of single parts."""
    memory = open_host_memory(settings.memory_bytes, settings.max_descriptors, clock)
    return pool_opener(settings.memory_bytes, memory.account)


async def _is_listed(incarnation: ServerIncarnation) -> bool:
    """Tells that the store lists an incarnation, as long as nothing else is set."""
    return True


class ChannelManager:
    """Opens and closes channels to backend servers as the assignment requires.

    Args:
        view: The cluster view of this host.
        clock: Clock that counts suspended time.
        open_pool: Creates the connection pool of a server from its address; by default the pools
            share an account of their own.
        stop: Which requests are taken while this host stops; by default it never stops.

    Attributes:
        open_pool: Creates the connection pool of a server from its address.
        is_listed: Reads from the store whether it lists a server's incarnation now.
        on_new_fence_needed: Called while a server's keys need new fencing tokens.
        ask_others: Has another host tell a server of a fencing token; returns whether the server
            confirmed it.
    """

    def __init__(
        self,
        view: ClusterView,
        clock: Clock,
        open_pool: Callable[[str], ConnectionPool] | None = None,
        stop: StopAdmission | None = None,
    ) -> None:
        self.open_pool = open_pool or _own_pool_opener(view.settings, clock)
        self._stop = stop or StopAdmission(clock)
        self._view = view
        self._clock = clock
        self._channels: dict[ServerIncarnation, ServerChannel] = {}
        self.is_listed: Callable[[ServerIncarnation], Awaitable[bool]] = _is_listed
        self.on_new_fence_needed: Callable[[], None] = lambda: None
        self.ask_others: Callable[[ServerIncarnation, KeySpan, int], Awaitable[bool]] | None = None
        self._sent_fences: dict[str, int] = {}
        self._unneeded_since_s: dict[ServerIncarnation, float] = {}
        self._works: dict[str, ServiceWork] = {}
        self._key_counters: dict[str, KeyCounter] = {}
        self._task: asyncio.Task | None = None
        self._submitted = 0
        view.add_listener(self.reconcile)

    def start(self) -> None:
        """Starts the periodic check of drain and evacuation timeouts and unneeded channels."""
        self._task = start_supervised(self._check, "dispatchers")

    def close(self) -> None:
        """Closes all channels."""
        if self._task is not None:
            self._task.cancel()
        for channel in self._channels.values():
            channel.close()

    @property
    def idle(self) -> bool:
        """Whether no request is without an outcome, or still in flight after its caller left."""
        return not self._submitted and all(channel.idle for channel in self._channels.values())

    def refuse_waiting(self) -> None:
        """Refuses all requests that wait for a slot, because the host exits."""
        for channel in self._channels.values():
            channel.refuse_waiting()

    def reconcile(self) -> None:
        """Updates all channels to the current cluster view."""
        for incarnation, channel in self._channels.items():
            entry = self._view.servers.get(incarnation.server_id)
            if (
                entry is not None
                and entry.start_ms == incarnation.start_ms
                and entry != channel.entry
            ):
                channel.update_entry(entry)
        for server_id, dispatching in self._view.assignment.dispatchers.items():
            if dispatching.dispatcher == self._view.host_incarnation:
                self._open(server_id)
        for incarnation, channel in self._channels.items():
            self._set_key_ranges(incarnation, channel)
        self._update_admission()

    async def submit(self, request: Dispatch) -> Dispatched | NotDispatched:
        """Executes a request on one of this host's servers, or returns why there is no answer."""
        received_s = self._clock.now_s()
        if not self._stop.accepts(received_s + request.remaining_ms / MS_PER_S):
            return self.refuse(request, outcomes.STOPPING)
        channel = self._choose(request)
        if channel is None:
            reason = outcomes.NOT_OWNER if request.server_id else outcomes.NO_SERVER
            return self.refuse(request, reason)
        if request.key != NO_KEY and channel.grants is not None:
            self._key_counters.setdefault(request.service, KeyCounter()).add(request.key)
        self._submitted += 1
        try:
            outcome = await channel.submit(request, received_s)
        finally:
            self._submitted -= 1
        if request.server_id:
            return outcome
        return outcome._replace(load_percent=self._pool_load_percent(request.service))

    async def release(self, order: ReleaseKeys) -> ReleaseOutcome | None:
        """Has a server release keys; None if this host cannot or the order is outdated.

        It cannot with an older assignment. An order that arrives late may concern keys that the
        server has owned again since; they must not be taken from it. A server that this host does
        not dispatch is told on behalf of its dispatcher.
        """
        if order.version > self._view.assignment.version:
            return None
        channel = self._channels.get(ServerIncarnation(order.server_id, order.start_ms))
        if channel is None:
            return await self._release_for_dispatcher(order)
        if channel.grants is None:
            return None
        if channel.grants.owns_above(order.first, order.last, order.fence):
            log.info("Outdated order to release keys is ignored.", extra=_order_fields(order))
            return None
        outcome = await channel.grants.release(order.first, order.last, order.fence)
        log.info(
            "Release of keys finished.",
            extra={**_order_fields(order), **outcome._asdict()},
        )
        return outcome

    async def _release_for_dispatcher(self, order: ReleaseKeys) -> ReleaseOutcome | None:
        """Has a server release keys that it does not own, for a dispatcher that is cut off."""
        # The server may own the keys again by now; a release would end that grant.
        if not self._view.is_assignment_current():
            return None
        incarnation = ServerIncarnation(order.server_id, order.start_ms)
        entry = self._view.servers.get(order.server_id)
        if entry is None or self._view.is_replaced(incarnation, entry.address):
            return None
        span = KeySpan(order.first, order.last)
        owned = self._view.assignment.key_ranges_of(entry.service, order.server_id)
        if any(span.overlaps(one.span) for one in owned):
            log.info("Outdated order to release keys is ignored.", extra=_order_fields(order))
            return None
        pool = self.open_pool(entry.address)
        try:
            token = await send_release(pool, order.server_id, span, order.fence)
        finally:
            pool.close()
        if token is None:
            # Grants of the dispatcher, or of an earlier process of this host, may be in force.
            return None
        log.info("Keys released for a dispatcher that is cut off.", extra=_order_fields(order))
        return ReleaseOutcome(True, token, 0.0)

    async def grant(self, order: GrantKeys) -> bool:
        """Grants keys that no other server holds; returns whether the server accepted them."""
        incarnation = ServerIncarnation(order.server_id, order.start_ms)
        channel = self._channels.get(incarnation)
        # A new incarnation at the same address must not get the keys of the former one.
        if (
            channel is None
            or channel.grants is None
            or self._view.has_newer_incarnation(incarnation)
        ):
            return False
        granted = await channel.grants.grant(order.first, order.last, order.fence, order.hand_over)
        log.info("Grant of keys finished.", extra={**_order_fields(order), "granted": granted})
        return granted

    def server_states(self) -> list[list[Any]]:
        """Returns the state of this host's servers, as ``HostBeat.server_states``."""
        return [
            [
                incarnation.server_id,
                int(channel.queue.service_time_s * MS_PER_S),
                channel.queue.in_flight,
                len(channel.queue),
                channel.health.up,
            ]
            for incarnation, channel in self._channels.items()
            if self._dispatches(incarnation)
        ]

    def rate_limits(self) -> tuple[list[Any], ...]:
        """Returns the rate limits that servers name, as ``HostBeat.rate_limits``."""
        return tuple(
            [*incarnation, channel.rate_limit.rate_per_s]
            for incarnation, channel in self._channels.items()
            if self._dispatches(incarnation) and channel.rate_limit.rate_per_s != UNLIMITED
        )

    def suspect_fences(self) -> tuple[list[Any], ...]:
        """Returns the fencing tokens to replace, as ``HostBeat.suspect_fences``."""
        return tuple(
            [*incarnation, fence]
            for incarnation, channel in self._channels.items()
            if channel.grants is not None and self._dispatches(incarnation)
            if (fence := channel.grants.fence_to_replace())
        )

    def pop_key_counts(self) -> list[list[Any]]:
        """Returns the requests by key since the last call, as ``HostBeat.key_counts``."""
        return [[service, counter.pop_counts()] for service, counter in self._key_counters.items()]

    def _open(self, server_id: str) -> None:
        """Opens a channel to the current incarnation of a server, unless there is one."""
        entry = self._view.servers.get(server_id)
        service = self._view.find_service(entry.service) if entry else None
        if entry is None or service is None:
            return
        incarnation = ServerIncarnation(server_id, entry.start_ms)
        if incarnation in self._channels:
            return
        knowledge = ServerKnowledge(
            self._view.is_assignment_current,
            partial(self._view.is_entry_current, server_id),
            partial(self._may_tell, incarnation, entry.address),
            self._view.store_lag_s,
            RESTART_DETECTION_HEARTBEATS * self._view.settings.heartbeat_s,
            ENTRY_EXPIRY_HEARTBEATS * self._view.settings.heartbeat_s,
            self._sent_fences.get(server_id, 0),
            self._view.assignment_age_s,
            partial(self.is_listed, incarnation),
        )
        work = self._works.setdefault(service.name, ServiceWork(self._clock))
        channel = ServerChannel(
            entry, service, self._clock, self.open_pool(entry.address), knowledge, self._stop, work
        )
        if channel.grants is not None:
            channel.grants.on_new_fence_needed = self._request_new_fence
            if self.ask_others is not None:
                channel.grants.notices.ask_others = partial(self.ask_others, incarnation)
        self._channels[incarnation] = channel
        named_per_s = self._view.rate_limits.get(incarnation)
        if named_per_s is not None:
            channel.take_over_rate_limit(named_per_s)
        channel.start()

    def _request_new_fence(self) -> None:
        self.on_new_fence_needed()

    def _choose(self, request: Dispatch) -> ServerChannel | None:
        if request.server_id:
            entry = self._view.servers.get(request.server_id)
            start_ms = entry.start_ms if entry else 0
            return self._channels.get(ServerIncarnation(request.server_id, start_ms))
        return min(
            self._pool_channels(request.service),
            key=lambda channel: channel.expected_finish_s(request),
            default=None,
        )

    def _pool_channels(self, service: str) -> list[ServerChannel]:
        """Returns the channels to the usable servers of a service that this host dispatches.

        Servers that do not answer are left out unless none answers.
        """
        candidates = [
            channel
            for incarnation, channel in self._channels.items()
            if channel.entry.service == service
            and self._dispatches(incarnation)
            and not channel.admission_closed
            and self._view.is_usable(channel.entry)
        ]
        return [channel for channel in candidates if channel.health.up] or candidates

    def _pool_load_percent(self, service: str) -> int:
        """Returns the load of all usable servers of a service that this host dispatches."""
        return mean_load_percent(
            ServerLoad(channel.load_percent(), channel.queue.slots)
            for channel in self._pool_channels(service)
        )

    def refuse(self, request: Dispatch, reason: str) -> NotDispatched:
        """Returns the refusal of a request that no server got."""
        count("dispatch_failures", reason=reason)
        log.info(
            "Dispatcher refused a request; the host that sent it decides about a retry.",
            extra={
                "request_id": request.request_id,
                "server": request.server_id,
                "service": request.service,
                "reason": reason,
                "version": self._view.assignment.version,
            },
        )
        return outcomes.failure(reason, load_percent=PERCENT, server_id=request.server_id)

    def _dispatches(self, incarnation: ServerIncarnation) -> bool:
        dispatching = self._view.assignment.dispatchers.get(incarnation.server_id)
        return dispatching is not None and dispatching.dispatcher == self._view.host_incarnation

    def _may_tell(self, incarnation: ServerIncarnation, address: str) -> bool:
        """Returns whether this host tells a server of fencing tokens, and it may still run."""
        dispatching = self._view.assignment.dispatchers.get(incarnation.server_id)
        if dispatching is not None and dispatching.dispatcher != self._view.host_incarnation:
            return False
        return not self._view.is_replaced(incarnation, address)

    def _set_key_ranges(self, incarnation: ServerIncarnation, channel: ServerChannel) -> None:
        if channel.grants is None:
            return
        ranges = []
        if self._dispatches(incarnation) and not self._view.has_newer_incarnation(incarnation):
            ranges = self._view.assignment.key_ranges_owned_by(channel.entry.service, incarnation)
        channel.set_key_ranges(ranges)
        channel.grants.notices.set_assignment(self._view.assignment, channel.entry.service)

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._update_admission()
            self._close_unneeded()

    def _update_admission(self) -> None:
        """Closes admission to servers that restarted or whose drain or evacuation time is over."""
        now_s = self._clock.now_s()
        limits = self._view.settings.limits
        for incarnation, channel in self._channels.items():
            draining_since_s = self._view.draining_since_s.get(incarnation.server_id)
            evacuated_since_s = self._view.evacuated_since_s.get(channel.entry.zone)
            channel.admission_closed = (
                self._view.has_newer_incarnation(incarnation)
                or (
                    draining_since_s is not None
                    and now_s - draining_since_s > DRAIN_ADMISSION_SHARE * limits.drain_timeout_s
                )
                or (
                    evacuated_since_s is not None
                    and now_s - evacuated_since_s
                    > DRAIN_ADMISSION_SHARE * limits.evacuation_timeout_s
                )
            )

    def _close_unneeded(self) -> None:
        now_s = self._clock.now_s()
        for incarnation, channel in list(self._channels.items()):
            entry = self._view.servers.get(incarnation.server_id)
            present = entry is not None and entry.start_ms == incarnation.start_ms
            if (present and self._dispatches(incarnation)) or not channel.may_close:
                self._unneeded_since_s.pop(incarnation, None)
                continue
            since_s = self._unneeded_since_s.setdefault(incarnation, now_s)
            if now_s - since_s > CHANNEL_CLOSE_DELAY_S:
                self._close(incarnation)

    def _close(self, incarnation: ServerIncarnation) -> None:
        """Closes a channel, but remembers which fencing tokens the server may have."""
        channel = self._channels.pop(incarnation)
        channel.close()
        del self._unneeded_since_s[incarnation]
        known = self._view.assignment.dispatchers
        self._sent_fences = {
            server_id: fence for server_id, fence in self._sent_fences.items() if server_id in known
        }
        if channel.grants is not None and incarnation.server_id in known:
            before = self._sent_fences.get(incarnation.server_id, 0)
            sent_fence = max(before, channel.grants.sent_fence)
            self._sent_fences[incarnation.server_id] = sent_fence


def _order_fields(order: ReleaseKeys | GrantKeys) -> dict[str, object]:
    return {
        "server": order.server_id,
        "first": order.first,
        "last": order.last,
        "fence": order.fence,
        "version": order.version,
    }
