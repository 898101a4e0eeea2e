"""Sends new assignments to entry hosts.

The hosts that a new version concerns, because they may grant keys of a changed range or dispatch a
changed server, get it at once. All others get the differences up to the newest version with the
reply to their next heartbeat, so that several versions travel together.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership import rows
from greengagefall.ownership.model import EMPTY_ASSIGNMENT, Assignment, HostIncarnation, KeyRange
from greengagefall.protocol.gateway_messages import NO_BASE_VERSION, AssignmentAck, AssignmentPush
from greengagefall.utils.supervision import log_failure

if TYPE_CHECKING:
    from greengagefall.gateway.host_reports import HostReports
    from greengagefall.gateway.peers import Peers
    from greengagefall.utils.clock import Clock

PUSH_TIMEOUT_S = 0.6
# Versions from which differences can be sent. A host with an older one gets the full assignment.
MAX_BASE_VERSIONS = 64


class _LastPush(NamedTuple):
    """The newest version that was sent to a host, and when."""

    version: int
    sent_s: float


class AssignmentPublisher:
    """Pushes assignments and records which hosts acknowledged them.

    Args:
        peers: Calls to other hosts.
        reports: Records the acknowledgements.
        clock: Clock that counts suspended time.
    """

    def __init__(self, peers: Peers, reports: HostReports, clock: Clock) -> None:
        self._peers = peers
        self._reports = reports
        self._clock = clock
        self._newest: Assignment = EMPTY_ASSIGNMENT
        self._bases: dict[int, Assignment] = {}
        self._messages: dict[int, AssignmentPush] = {}
        self._last_pushes: dict[HostIncarnation, _LastPush] = {}
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Cancels all pushes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_newest(self, assignment: Assignment) -> None:
        """Sets the assignment that hosts should have."""
        if assignment.version != self._newest.version:
            self._bases[self._newest.version] = self._newest
            while len(self._bases) > MAX_BASE_VERSIONS:
                del self._bases[next(iter(self._bases))]
        self._newest = assignment
        self._messages = {}

    def publish(self, newest: Assignment, own: HostIncarnation) -> None:
        """Sets the newest assignment and sends it to the hosts that it concerns.

        Args:
            newest: The newest assignment.
            own: The coordinator itself, which needs no message.
        """
        before = self._newest
        self.set_newest(newest)
        for target in sorted(concerned_hosts(before, newest) - {own}):
            self._start(target, before.version)

    def bring_up_to_date(self, target: HostIncarnation, version: int) -> None:
        """Sends a host the differences from its version, unless they are on their way."""
        last = self._last_pushes.get(target)
        now_s = self._clock.now_s()
        if last is not None and last.version > version and now_s - last.sent_s < PUSH_TIMEOUT_S:
            return
        self._start(target, version)

    def _start(self, target: HostIncarnation, base_version: int) -> None:
        self._last_pushes[target] = _LastPush(self._newest.version, self._clock.now_s())
        message = self._message(base_version)._replace(rate_limits=self._reports.rate_limits())
        task = asyncio.create_task(self._push(target, message), name=f"push {target.host}")
        self._tasks.add(task)
        task.add_done_callback(log_failure)
        task.add_done_callback(self._tasks.discard)

    async def _push(self, target: HostIncarnation, message: AssignmentPush) -> None:
        reply = await self._peers.call(target.host, message, PUSH_TIMEOUT_S)
        if not isinstance(reply, AssignmentAck):
            return
        self._reports.record_ack(target, reply.version)
        if reply.version < message.version and reply.version != message.base_version:
            # The host did not have the base version.
            self._start(target, reply.version)

    def _message(self, base_version: int) -> AssignmentPush:
        message = self._messages.get(base_version)
        if message is None:
            base = self._bases.get(base_version)
            if base is None:
                base, base_version = EMPTY_ASSIGNMENT, NO_BASE_VERSION
            message = _difference_message(base, self._newest, base_version)
            self._messages[base_version] = message
        return message


def concerned_hosts(before: Assignment, newest: Assignment) -> set[HostIncarnation]:
    """Returns the hosts that have to know at once what changed between two versions.

    These are the hosts that may grant keys of a changed key range, and the hosts that dispatch a
    server whose dispatcher changed.
    """
    servers = {
        server_id
        for server_id in before.dispatchers.keys() | newest.dispatchers.keys()
        if before.dispatchers.get(server_id) != newest.dispatchers.get(server_id)
    }
    for service in before.key_ranges.keys() | newest.key_ranges.keys():
        old = before.key_ranges.get(service, ())
        new = newest.key_ranges.get(service, ())
        if old is not new:
            servers |= _servers_of(set(old) ^ set(new))
    return {
        granter
        for assignment in (before, newest)
        for server_id in servers
        if server_id in assignment.dispatchers
        for granter in assignment.dispatchers[server_id].granters
    }


def _servers_of(key_ranges: set[KeyRange]) -> set[str]:
    return {key_range.owner.server_id for key_range in key_ranges} | {
        key_range.source.server_id for key_range in key_ranges
    }


def full_message(assignment: Assignment) -> AssignmentPush:
    """Returns an assignment in full."""
    return _difference_message(EMPTY_ASSIGNMENT, assignment, NO_BASE_VERSION)


def _difference_message(base: Assignment, newest: Assignment, base_version: int) -> AssignmentPush:
    change = rows.difference(base, newest)
    return AssignmentPush(
        0, base_version, newest.version, newest.last_fence, change.rows, change.removed
    )
