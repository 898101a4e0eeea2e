"""The dispatchers of an entry host."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.coordination.grants import GrantTracker
from greengagefall.dispatch.answer_memory import AnswerMemory
from greengagefall.dispatch.server_dispatcher import ServerDispatcher
from greengagefall.protocol import refusals
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.routing.model import SERVER_ACTIVE, ZONE_IN
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.candidate import Candidate
    from greengagefall.entry.host_state import HostState
    from greengagefall.protocol.messages import Answer, Forward, Refusal, Release
    from greengagefall.routing.model import BackEnd, BackendServer, RoutingConfig
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

HAND_BACK_TIMEOUT_S = 2.0
# Memory for the unfinished answers of all servers together.
UNFINISHED_ANSWERS_BYTES = 64 * 1024 * 1024


class DispatcherTable:
    """Holds one dispatcher per backend server for which this host is a candidate.

    Args:
        state: Documents of this host.
        candidate: Holds and requests the dispatch rights of this host.
        clock: Monotonic clock.
        on_state_change: Called when the health state of a server changes.
    """

    def __init__(
        self,
        state: HostState,
        candidate: Candidate,
        clock: Clock,
        on_state_change: Callable[[], None],
    ) -> None:
        self._on_state_change = on_state_change
        self._state = state
        self._candidate = candidate
        self._clock = clock
        self._answer_memory = AnswerMemory(UNFINISHED_ANSWERS_BYTES)
        self._dispatchers: dict[str, ServerDispatcher] = {}
        self._accepting = True
        self._closing: set[asyncio.Task] = set()

    def refresh(self) -> None:
        """Starts and closes dispatchers after a change of configuration or members."""
        config = self._state.config_holder.current
        servers = self._zone_servers(config)
        self._candidate.set_servers(servers)
        for key in list(self._dispatchers):
            right = self._candidate.right(key)
            if right is not self._dispatchers[key].right:
                self._close_later(self._dispatchers.pop(key))
        for key, (back_end, server) in servers.items():
            if self._candidate.right(key) is not None:
                self._start_or_update(key, back_end, server, config)

    def on_slices_changed(self, back_end: str) -> None:
        """Requests an immediate renewal of the grants of a back end's servers."""
        for dispatcher in self._dispatchers.values():
            if dispatcher.back_end.name == back_end:
                dispatcher.grants.request_renewal()

    def on_rights_changed(self) -> None:
        """Requests an immediate renewal by the dispatchers that have a new right."""
        for dispatcher in self._dispatchers.values():
            if dispatcher.right.fence != dispatcher.grants.right_fence:
                dispatcher.grants.request_renewal()

    async def submit(self, forward: Forward) -> Answer | Refusal:
        """Submits a request to this host's dispatcher of the server, if it holds the right."""
        key = f"{forward.back_end}/{forward.server}"
        dispatcher = self._dispatchers.get(key)
        if not self._accepting:
            return self._refuse_with_hint(forward, refusals.STOPPING)
        if dispatcher is None or not dispatcher.right.may_send():
            return self._refuse_with_hint(forward, refusals.NOT_DISPATCHER)
        return await dispatcher.submit(forward)

    def _refuse_with_hint(self, forward: Forward, reason: str) -> Refusal:
        """Refuses a request and names the host that holds the right, if it is another one."""
        holder = self._candidate.dispatcher_host(f"{forward.back_end}/{forward.server}")
        hint_host = "" if holder == self._state.host else holder
        return make_refusal(
            forward.request_id, reason, call_id=forward.call_id, hint_host=hint_host
        )

    def stop_accepting(self) -> None:
        """Refuses new requests from now on; queued and sent requests continue."""
        self._accepting = False

    def check_release(self, message: Release) -> tuple[bool, str, int]:
        """Returns whether a server released its slices, the reason, and the dispatcher's fence."""
        dispatcher = self._dispatchers.get(f"{message.back_end}/{message.server}")
        if dispatcher is None:
            return False, "not_dispatcher", 0
        released, reason = dispatcher.check_release(message.slice_bounds, message.map_version)
        return released, reason, dispatcher.right.fence

    def active_dispatchers(self) -> list[ServerDispatcher]:
        """Returns the dispatchers whose dispatch right this host holds now."""
        return [
            dispatcher for dispatcher in self._dispatchers.values() if dispatcher.right.may_send()
        ]

    def get(self, server_key: str) -> ServerDispatcher | None:
        """Returns the dispatcher of a server, even if this host does not hold the right."""
        return self._dispatchers.get(server_key)

    def in_flight(self) -> int:
        """Returns the number of queued and sent requests of all dispatchers."""
        return sum(dispatcher.in_flight() for dispatcher in self._dispatchers.values())

    async def close(self) -> None:
        """Closes all dispatchers."""
        dispatchers = list(self._dispatchers.values())
        self._dispatchers.clear()
        await asyncio.gather(*(dispatcher.close() for dispatcher in dispatchers), *self._closing)

    async def hand_back_right(self, server_key: str) -> None:
        """Waits for the requests in flight to a server, then hands back its dispatch right."""
        dispatcher = self._dispatchers.get(server_key)
        if dispatcher is None:
            return
        dispatcher.accepting = False
        await wait_until(lambda: not dispatcher.in_flight(), HAND_BACK_TIMEOUT_S)
        self._candidate.give_back(server_key)
        dispatcher.accepting = True

    def _zone_servers(self, config: RoutingConfig) -> dict[str, tuple[BackEnd, BackendServer]]:
        return {
            f"{back_end.name}/{server.name}": (back_end, server)
            for back_end in config.back_ends.values()
            for server in back_end.servers.values()
            if server.zone == self._state.zone
        }

    def _start_or_update(
        self, key: str, back_end: BackEnd, server: BackendServer, config: RoutingConfig
    ) -> None:
        current = self._dispatchers.get(key)
        if current is not None and current.can_update_in_place(back_end, server):
            current.update(back_end, server, config.limits)
            current.gate.set_draining(_is_draining(server, config))
            return
        if current is not None:
            self._close_later(current)
        dispatcher = ServerDispatcher(
            back_end,
            server,
            config.limits,
            self._candidate.right(key),
            GrantTracker(key, self._clock),
            lambda: self._state.slice_map(back_end.name),
            self._clock,
            self._on_state_change,
            self._answer_memory,
        )
        self._dispatchers[key] = dispatcher
        dispatcher.gate.set_draining(_is_draining(server, config))
        dispatcher.start()

    def _close_later(self, dispatcher: ServerDispatcher) -> None:
        task = asyncio.create_task(dispatcher.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _is_draining(server: BackendServer, config: RoutingConfig) -> bool:
    zone_state = config.zones.get(server.zone, ZONE_IN)
    return server.state != SERVER_ACTIVE or zone_state != ZONE_IN
