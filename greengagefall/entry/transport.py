"""Sends attempts to the entry host of the dispatcher, through a relay if necessary."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagefall.protocol import refusals
from greengagefall.protocol.exceptions import (
    FrameError,
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from greengagefall.protocol.make_refusal import make_refusal
from greengagefall.protocol.messages import Answer, Refusal
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from greengagefall.entry.dispatch_table import DispatcherTable
    from greengagefall.entry.host_state import HostState
    from greengagefall.entry.peer_table import PeerLinks
    from greengagefall.entry.targets import Target
    from greengagefall.protocol.messages import Forward

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Added to the timeout of a call, so that the dispatcher's own refusal at the deadline arrives
# before the call times out.
REPLY_MARGIN_S = 0.1

Outcome = Answer | Refusal


class ForwardTransport:
    """Sends attempts to the dispatchers of this host or of peers.

    Args:
        state: Documents of this host.
        peers: Links to other entry hosts.
        dispatcher_table: This host's dispatchers.
    """

    def __init__(
        self, state: HostState, peers: PeerLinks, dispatcher_table: DispatcherTable
    ) -> None:
        self._state = state
        self._peers = peers
        self._dispatcher_table = dispatcher_table

    async def send(self, target: Target, forward: Forward) -> Outcome:
        """Sends one attempt and returns its outcome; expected failures are refusals."""
        if target.host == self._state.host:
            return await self._dispatcher_table.submit(forward)
        outcome = await self.send_to(target.host, forward)
        if isinstance(outcome, Answer) or outcome.reason != refusals.DISPATCHER_UNREACHABLE:
            return outcome
        relay = self._relay_for(target.host)
        if relay is None:
            return outcome
        count("relayed_requests")
        return await self.send_to(relay, forward._replace(relay_host=target.host))

    async def send_to(self, host: str, forward: Forward) -> Outcome:
        """Sends a message to a host and returns the outcome."""
        timeout_s = forward.remaining_ms / MS_PER_S + REPLY_MARGIN_S
        try:
            reply = await self._peers.call(host, forward, timeout_s)
        except (PeerUnreachableError, FrameError):
            return make_refusal(forward.request_id, refusals.DISPATCHER_UNREACHABLE)
        except PeerLostError:
            return make_refusal(forward.request_id, refusals.OUTCOME_UNKNOWN)
        except PeerTimeoutError:
            return make_refusal(forward.request_id, refusals.TIMED_OUT)
        return self._check_reply(forward, reply)

    async def relay(self, forward: Forward) -> Outcome:
        """Relays a message to another host, as the only hop between two disconnected zones."""
        if forward.relay_host == self._state.host:
            return await self._dispatcher_table.submit(forward)
        return await self.send_to(forward.relay_host, forward._replace(relay_host=""))

    def _check_reply(self, forward: Forward, reply: object) -> Outcome:
        if not isinstance(reply, (Answer, Refusal)):
            return make_refusal(forward.request_id, refusals.OUTCOME_UNKNOWN)
        if reply.request_id != forward.request_id:
            log.error(
                "An entry host replied with the id of another request. The reply is discarded; "
                "the request is refused as crossed_answer."
            )
            return make_refusal(forward.request_id, refusals.CROSSED_ANSWER)
        return reply

    def _relay_for(self, host: str) -> str | None:
        """Returns a connected host of a third zone, None if there is none."""
        target = self._state.zone_of(host)
        for other in self._peers.connected_hosts():
            zone = self._state.zone_of(other)
            if zone not in (target, self._state.zone, None):
                return other
        return None
