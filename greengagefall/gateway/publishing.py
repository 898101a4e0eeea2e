"""Pushes new assignments to entry hosts as differences, in full to hosts without the base."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagefall.ownership import rows
from greengagefall.ownership.model import EMPTY_ASSIGNMENT, Assignment, HostIncarnation
from greengagefall.protocol.gateway_messages import NO_BASE_VERSION, AssignmentAck, AssignmentPush

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.gateway.host_reports import HostReports
    from greengagefall.gateway.peers import Peers

PUSH_TIMEOUT_S = 0.6


class AssignmentPublisher:
    """Pushes assignments and records which hosts acknowledged them.

    Args:
        peers: Calls to other hosts.
        reports: Records the acknowledgements.
    """

    def __init__(self, peers: Peers, reports: HostReports) -> None:
        self._peers = peers
        self._reports = reports
        self._newest: Assignment = EMPTY_ASSIGNMENT
        self._full_push: AssignmentPush | None = None
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Cancels all pushes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_newest(self, assignment: Assignment) -> None:
        """Sets the assignment that is sent in full to lagging hosts."""
        self._newest = assignment
        self._full_push = None

    def publish(
        self, before: Assignment, newest: Assignment, targets: Iterable[HostIncarnation]
    ) -> None:
        """Sends the difference between two versions to hosts."""
        self.set_newest(newest)
        message = _difference_message(before, newest)
        for target in targets:
            self._start(target, message)

    def send_full(self, target: HostIncarnation) -> None:
        """Sends a host the full newest assignment."""
        self._start(target, self._full_message())

    def _start(self, target: HostIncarnation, message: AssignmentPush) -> None:
        task = asyncio.create_task(self._push(target, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _push(self, target: HostIncarnation, message: AssignmentPush) -> None:
        reply = await self._peers.call(target.host, message, PUSH_TIMEOUT_S)
        if not isinstance(reply, AssignmentAck):
            return
        self._reports.record_ack(target, reply.version)
        if reply.version < message.version and message.base_version != NO_BASE_VERSION:
            await self._push(target, self._full_message())

    def _full_message(self) -> AssignmentPush:
        if self._full_push is None:
            self._full_push = _difference_message(EMPTY_ASSIGNMENT, self._newest)._replace(
                base_version=NO_BASE_VERSION
            )
        return self._full_push


def _difference_message(before: Assignment, newest: Assignment) -> AssignmentPush:
    change = rows.difference(before, newest)
    return AssignmentPush(
        0, before.version, newest.version, newest.last_fence, change.rows, change.removed
    )
