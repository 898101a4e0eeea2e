"""Sends heartbeats to the coordinator; its replies confirm that the assignment is current."""

from __future__ import annotations

import asyncio
import logging
import math
from contextlib import suppress
from typing import TYPE_CHECKING

from result import Err

from greengagefall.gateway.assignment_store import restores_since
from greengagefall.gateway.records import ASSIGNMENT_KEY
from greengagefall.ownership import rows
from greengagefall.ownership.exceptions import AssignmentError
from greengagefall.protocol.gateway_messages import BeatReply, HostBeat
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from greengagefall.gateway.dispatchers import ChannelManager
    from greengagefall.gateway.peers import Peers
    from greengagefall.gateway.store_proofs import StoreProofs
    from greengagefall.gateway.view import ClusterView
    from greengagefall.ownership.model import HostIncarnation
    from greengagefall.platform.store import PlatformStore
    from greengagefall.quotas.host_quotas import HostQuotas
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 0.6
# Minimum interval between heartbeats that are sent to get a newer assignment soon.
UPDATE_INTERVAL_S = 0.05
# The assignment is read from the store if the coordinator has not answered for this long; a host
# that has none yet reads it at once.
STORE_READ_DELAY_S = 1.5
STORE_READ_INTERVAL_S = 1.0


class HeartbeatSender:
    """Sends heartbeats to the coordinator; reads the store while the coordinator does not answer.

    Args:
        view: The cluster view of this host.
        peers: Calls to other hosts.
        channels: Channels to the servers of this host; they provide server states and key counts.
        store: The store.
        clock: Clock that counts suspended time.
        quotas: Limiter roles of this host; None if it takes none.
        proofs: Proofs that this host knows the store; None if it exchanges none.
    """

    def __init__(
        self,
        view: ClusterView,
        peers: Peers,
        channels: ChannelManager,
        store: PlatformStore,
        clock: Clock,
        quotas: HostQuotas | None = None,
        proofs: StoreProofs | None = None,
    ) -> None:
        self._quotas = quotas
        self._proofs = proofs
        self._view = view
        self._peers = peers
        self._channels = channels
        self._store = store
        self._clock = clock
        self._last_answered_s = clock.now_s()
        self._last_store_read_s = -math.inf
        self._known_coordinator: HostIncarnation | None = None
        self._update_needed = asyncio.Event()
        self._task: asyncio.Task | None = None
        self.stopping = False

    def start(self) -> None:
        """Starts the task that sends heartbeats."""
        self._view.add_listener(self._on_change)
        self._channels.on_new_fence_needed = self.request_update
        self._task = start_supervised(self._run, "beats")

    def close(self) -> None:
        """Stops the task that sends heartbeats."""
        if self._task is not None:
            self._view.remove_listener(self._on_change)
            self._task.cancel()
            self._task = None

    def request_update(self) -> None:
        """Sends a heartbeat soon; the coordinator answers it with a newer assignment."""
        self._update_needed.set()

    async def send_heartbeat(self) -> None:
        """Sends one heartbeat now."""
        coordinator = self._view.coordinator
        sent_s = self._clock.now_s()
        if coordinator is not None:
            message = HostBeat(
                0,
                self._view.host_incarnation.host,
                self._view.host_incarnation.start_ms,
                self._view.assignment.version,
                self.stopping,
                self._channels.server_states(),
                self._channels.pop_key_counts(),
                self._channels.rate_limits(),
                self._channels.suspect_fences(),
                int(self._view.assignment_age_s() * MS_PER_S),
            )
            if self._quotas is not None:
                message = self._quotas.add_roles(sent_s, message, coordinator.host)
            if self._proofs is not None:
                message = self._proofs.add_to_beat(message, coordinator.host)
            reply = await self._peers.call(coordinator.host, message, HEARTBEAT_TIMEOUT_S)
            if isinstance(reply, BeatReply):
                self._last_answered_s = sent_s
                if self._quotas is not None:
                    self._quotas.on_reply(sent_s, reply)
                if self._proofs is not None:
                    self._proofs.on_reply(sent_s, reply)
                self._view.confirm_assignment(
                    reply.assignment_version, sent_s - reply.verified_age_ms / MS_PER_S
                )
                return
        starting = coordinator is not None and not self._view.assignment.version
        silent = sent_s - self._last_answered_s > STORE_READ_DELAY_S
        if (starting or silent) and sent_s - self._last_store_read_s > STORE_READ_INTERVAL_S:
            self._last_store_read_s = sent_s
            await self._read_assignment()

    def _on_change(self) -> None:
        """Sends a heartbeat soon to a coordinator that is new to this host."""
        if self._view.coordinator != self._known_coordinator:
            self._known_coordinator = self._view.coordinator
            self.request_update()

    async def _run(self) -> None:
        while True:
            self._update_needed.clear()
            await self.send_heartbeat()
            await asyncio.sleep(UPDATE_INTERVAL_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S - UPDATE_INTERVAL_S):
                    await self._update_needed.wait()

    async def _read_assignment(self) -> None:
        started_s = self._clock.now_s()
        read = await self._store.get(ASSIGNMENT_KEY)
        if isinstance(read, Err) or read.ok_value is None:
            return
        try:
            stored = rows.decode_stored(read.ok_value.value)
        except AssignmentError as error:
            log.error(
                "Stored assignment is malformed; keeping the current one.",
                extra={"error": str(error)},
            )
            return
        if restores_since(stored, self._store.restores):
            log.warning(
                "Stored assignment is from before a restore of the store; not using it.",
                extra={"version": stored.assignment.version, "restores": self._store.restores},
            )
            return
        self._view.update_assignment(stored.assignment)
        self._view.confirm_assignment(stored.assignment.version, started_s)
