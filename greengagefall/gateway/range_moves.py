"""Carries out moves of key ranges between backend servers.

A moving range is granted to its new owner only after the former owner released it or all of the
former owner's grants have certainly expired.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.ownership.model import (
    EMPTY_ASSIGNMENT,
    NO_INCARNATION,
    Assignment,
    HostIncarnation,
    KeyRange,
    ServerIncarnation,
)
from greengagefall.ownership.pending_notices import PendingNotice
from greengagefall.protocol.gateway_messages import (
    GrantKeys,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import log_failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagefall.gateway.host_reports import HostReports
    from greengagefall.gateway.peers import Peers
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
GRANT_CALL_TIMEOUT_S = 0.6
RELEASE_TIMEOUT_S = 6.0
RETRY_INTERVAL_S = 0.2


class _Replaced(NamedTuple):
    """The assignment version that replaced a dispatcher, and when it was written."""

    version: int
    written_s: float


class _MoveId(NamedTuple):
    """Identifies a key range that moves between servers under one fence."""

    service: str
    first: int
    last: int
    source: ServerIncarnation
    owner: ServerIncarnation
    fence: int

    def without_fence(self) -> _MoveId:
        """Returns what stays the same when the range gets another fence during the move."""
        return self._replace(fence=0)

    def log_fields(self) -> dict[str, object]:
        """Returns the fields for log lines."""
        servers = {"source": self.source.server_id, "owner": self.owner.server_id}
        return {**self._asdict(), **servers}


class _Begin(NamedTuple):
    """The first assignment version that has a move, and when it was read or written."""

    version: int
    at_s: float


class RangeMoves:
    """The moves of one coordinator's assignment.

    Args:
        peers: Calls to other hosts.
        reports: Reports of the entry hosts.
        clock: Clock that counts suspended time.
        on_released: Called when a range was released and granted.
        on_unconfirmed: Called with the former owner, the service and what it has to be told, before
            a range that it did not release goes on.

    Attributes:
        released_since_s: Since when a released range is not recorded in the assignment.
    """

    def __init__(
        self,
        peers: Peers,
        reports: HostReports,
        clock: Clock,
        on_released: Callable[[], None],
        on_unconfirmed: Callable[[ServerIncarnation, str, PendingNotice], Awaitable[None]],
    ) -> None:
        self.released_since_s = math.inf
        self._peers = peers
        self._reports = reports
        self._clock = clock
        self._on_released = on_released
        self._on_unconfirmed = on_unconfirmed
        self._assignment: Assignment = EMPTY_ASSIGNMENT
        self._tasks: dict[_MoveId, asyncio.Task] = {}
        self._begun: dict[_MoveId, _Begin] = {}
        self._released: dict[_MoveId, str] = {}
        self._replaced: dict[tuple[str, HostIncarnation], _Replaced] = {}

    async def close(self) -> None:
        """Stops all moves; the next coordinator continues them."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_read(self, assignment: Assignment) -> None:
        """Sets an assignment that was read from the store; its moves count as written now."""
        self._assignment = assignment
        now = _Begin(assignment.version, self._clock.now_s())
        self._begun = dict.fromkeys(_move_ids(assignment), now)
        self._update_replaced()

    def set_written(self, assignment: Assignment) -> None:
        """Sets an assignment that this coordinator wrote; forgets moves that are finished.

        A move that only got another fence has not begun anew, unless versions lie between.
        """
        now = _Begin(assignment.version, self._clock.now_s())
        before: dict[_MoveId, _Begin] = {}
        if assignment.version == self._assignment.version + 1:
            before = {move_id.without_fence(): begin for move_id, begin in self._begun.items()}
        self._assignment = assignment
        self._begun = {
            move_id: before.get(move_id.without_fence(), now) for move_id in _move_ids(assignment)
        }
        self._released = {
            move_id: token for move_id, token in self._released.items() if move_id in self._begun
        }
        self.released_since_s = now.at_s if self._released else math.inf
        self._update_replaced()

    def _update_replaced(self) -> None:
        """Records the version and time at which each former dispatcher was replaced."""
        now = _Replaced(self._assignment.version, self._clock.now_s())
        present = {
            (server_id, former)
            for server_id, dispatching in self._assignment.dispatchers.items()
            for former in dispatching.former
        }
        self._replaced = {key: self._replaced.get(key, now) for key in present}

    def clear_released_sources(self, assignment: Assignment) -> Assignment:
        """Clears the sources of ranges that their former owner certainly no longer holds."""
        if not self._released:
            return assignment
        ranges = {}
        for service, found in assignment.key_ranges.items():
            ranges[service] = tuple(
                key_range._replace(source=NO_INCARNATION)
                if _move_id(service, key_range) in self._released
                else key_range
                for key_range in found
            )
        return assignment._replace(key_ranges=ranges)

    def former_grants_end_s(self, server_id: str, former: HostIncarnation) -> float:
        """Returns the time by which all grants of a former dispatcher have expired."""
        replaced = self._replaced.get((server_id, former))
        if replaced is None:
            return math.inf
        return self._reports.grants_expired_by_s(former, replaced.version, replaced.written_s)

    def start(self) -> None:
        """Starts a task for each moving range that its former owner has not released."""
        moving = {
            _move_id(service, key_range): key_range
            for service, key_range in _moving(self._assignment)
        }
        for move_id, task in list(self._tasks.items()):
            if move_id not in moving or task.done():
                task.cancel()
                del self._tasks[move_id]
        for move_id, key_range in moving.items():
            if move_id not in self._tasks and move_id not in self._released:
                move = self._move(move_id, key_range, self._begun[move_id].version)
                task = asyncio.create_task(move, name=f"move {move_id.first}")
                task.add_done_callback(log_failure)
                self._tasks[move_id] = task

    async def _move(self, move_id: _MoveId, key_range: KeyRange, version: int) -> None:
        """Has a range released by its former owner and granted to the new one."""
        handover_token = await self._release(move_id, key_range, version)
        # The new owner's dispatcher gets the token before the range may be merged or moved again.
        if not await self._grant(key_range, version, handover_token):
            log.warning(
                "New owner did not confirm the grant of a moved key range; its dispatcher retries.",
                extra=move_id.log_fields(),
            )
        self._released[move_id] = handover_token
        self.released_since_s = min(self.released_since_s, self._clock.now_s())
        self._on_released()

    async def _grant(self, key_range: KeyRange, version: int, handover_token: str) -> bool:
        """Requests the grant of a released range; returns whether the server accepted it."""
        dispatching = self._assignment.dispatchers.get(key_range.owner.server_id)
        if dispatching is None:
            return False
        order = GrantKeys(
            0,
            version,
            *key_range.owner,
            key_range.first,
            key_range.last,
            key_range.fence,
            handover_token,
        )
        reply = await self._peers.call(dispatching.dispatcher.host, order, GRANT_CALL_TIMEOUT_S)
        return isinstance(reply, KeysGranted) and reply.granted

    async def _release(self, move_id: _MoveId, key_range: KeyRange, version: int) -> str:
        """Waits until the former owner certainly holds no grant of the range.

        A newer incarnation of the former owner is no proof: it may have been granted the range
        before the store had its entry. It answers the release, too.

        Returns:
            The handover token; empty if the former owner did not confirm the release.
        """
        while True:
            ended_s = self._source_grants_end_s(move_id, key_range, version)
            reply = await self._order_release(key_range, version)
            if reply is not None and reply.released:
                return reply.hand_over
            # The reply only bounds the grants of the dispatcher that sent it.
            if reply is not None and len(self._granters(key_range)) == 1:
                ended_s = self._clock.now_s() + reply.ends_in_ms / MS_PER_S
            remaining_s = ended_s - self._clock.now_s()
            if remaining_s <= 0:
                self._log_unconfirmed(move_id)
                notice = PendingNotice(move_id.first, move_id.last, move_id.fence)
                await self._on_unconfirmed(move_id.source, move_id.service, notice)
                return ""
            await asyncio.sleep(min(RETRY_INTERVAL_S, remaining_s))

    def _log_unconfirmed(self, move_id: _MoveId) -> None:
        """Logs and counts that a range goes on by the expiry of its grants alone."""
        count("unconfirmed_releases")
        waited_s = self._clock.now_s() - self._begun_s(move_id)
        log.warning(
            "Former owner did not confirm a release; its grants have expired.",
            extra={
                **move_id.log_fields(),
                "waited_ms": int(waited_s * MS_PER_S),
            },
        )

    def _begun_s(self, move_id: _MoveId) -> float:
        begin = self._begun.get(move_id)
        return self._clock.now_s() if begin is None else begin.at_s

    def _granters(self, key_range: KeyRange) -> tuple[HostIncarnation, ...]:
        """Returns the host incarnations that may renew grants of a range's former owner."""
        dispatching = self._assignment.dispatchers.get(key_range.source.server_id)
        return dispatching.granters if dispatching is not None else ()

    def _source_grants_end_s(self, move_id: _MoveId, key_range: KeyRange, version: int) -> float:
        """Returns the time by which all grants of a range to its former owner have expired."""
        written_s = self._begun_s(move_id)
        ended_s = written_s
        for index, granter in enumerate(self._granters(key_range)):
            end_s = self._reports.grants_expired_by_s(granter, version, written_s)
            if index > 0:
                end_s = min(end_s, self.former_grants_end_s(key_range.source.server_id, granter))
            ended_s = max(ended_s, end_s)
        return ended_s

    async def _order_release(self, key_range: KeyRange, version: int) -> KeysReleased | None:
        """Asks the former owner's dispatcher to release a range; None without its reply."""
        granters = self._granters(key_range)
        if not granters:
            return None
        order = ReleaseKeys(
            0, version, *key_range.source, key_range.first, key_range.last, key_range.fence
        )
        reply = await self._peers.call(granters[0].host, order, RELEASE_TIMEOUT_S)
        return reply if isinstance(reply, KeysReleased) else None


def _moving(assignment: Assignment) -> list[tuple[str, KeyRange]]:
    return [
        (service, key_range)
        for service, ranges in assignment.key_ranges.items()
        for key_range in ranges
        if key_range.moving
    ]


def _move_ids(assignment: Assignment) -> list[_MoveId]:
    return [_move_id(service, key_range) for service, key_range in _moving(assignment)]


def _move_id(service: str, key_range: KeyRange) -> _MoveId:
    return _MoveId(
        service,
        key_range.first,
        key_range.last,
        key_range.source,
        key_range.owner,
        key_range.fence,
    )
