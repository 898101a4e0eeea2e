"""Tells entry hosts of new assignments, as differences where they have the version before."""

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
    """Pushes assignments and notes who acknowledged them.

    Args:
        peers: Calls to other hosts.
        reports: Learns of acknowledgements.
    """

    def __init__(self, peers: Peers, reports: HostReports) -> None:
        self._peers = peers
        self._reports = reports
        self._newest: Assignment = EMPTY_ASSIGNMENT
        self._whole: AssignmentPush | None = None
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Stops all pushes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_newest(self, assignment: Assignment) -> None:
        """Sets what hosts that are behind get."""
        self._newest = assignment
        self._whole = None

    def publish(
        self, before: Assignment, newest: Assignment, targets: Iterable[HostIncarnation]
    ) -> None:
        """Sends hosts what turned one version into the next."""
        self.set_newest(newest)
        message = _message(before, newest)
        for target in targets:
            self._start(target, message)

    def send_full(self, target: HostIncarnation) -> None:
        """Sends a host the whole newest assignment."""
        self._start(target, self._whole_message())

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
            await self._push(target, self._whole_message())

    def _whole_message(self) -> AssignmentPush:
        if self._whole is None:
            self._whole = _message(EMPTY_ASSIGNMENT, self._newest)._replace(
                base_version=NO_BASE_VERSION
            )
        return self._whole


def _message(before: Assignment, newest: Assignment) -> AssignmentPush:
    change = rows.difference(before, newest)
    return AssignmentPush(
        0, before.version, newest.version, newest.last_fence, change.rows, change.removed
    )
