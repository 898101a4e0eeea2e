"""Tells one backend server the newest fencing token for keys that it was not granted.

The end of a grant's time does not keep an older grant from arriving later. A server that was not
reached while its keys went on is told as soon as it is reached again: after the end of a network
cut it may otherwise take a grant that the network held up, also of a host that was killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.dispatch.exceptions import DispatchError, SendRefusedError
from greengagefall.ownership.key_spans import KeySpan, without_all
from greengagefall.ownership.model import LAST_KEY
from greengagefall.ownership.unconfirmed_fences import UnconfirmedFences
from greengagefall.platform import grants as calls
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import log_failure, start_supervised

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterable

    from greengagefall.dispatch.connection_pool import ConnectionPool
    from greengagefall.gateway.server_health import ServerHealth
    from greengagefall.ownership.model import Assignment, KeyRange
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Operators excuse an outdated grant that arrives within 0.3 s after the end of a cut.
RETRY_INTERVAL_S = 0.1
NOTICE_TIMEOUT_S = 0.5
ALL_KEYS = KeySpan(0, LAST_KEY)
# A server that was never reached yet may be behind a cut.
FIRST_CONNECT_S = 0.15
# Other hosts are asked for notices once this one has not reached the server for a while.
ASK_DELAY_S = 0.3
# A server takes a limited number of connections, and resets those beyond.
MAX_NOTICES_AT_ONCE = 4
# A release of moved keys is answered within this time unless the server still works on them.
RELEASE_EXPECTED_S = 1.0


class Notice(NamedTuple):
    """A release by which a server learns a fencing token.

    Attributes:
        span: The keys.
        fence: The newest fencing token, or that of the server's own range, which a higher one
            would have it refuse.
        owned: Whether the server owns the keys.
    """

    span: KeySpan
    fence: int
    owned: bool


class FenceNotices:
    """Sends the notices to one incarnation of a server until it has answered each.

    A notice is a release of keys that the server does not own, or may not be granted yet. One call
    after the other is begun while the server is not reached, since a connection that is being
    opened during a cut does not notice its end in time. Other hosts are asked, too, since this one
    alone may be cut off.

    Args:
        server_id: The server.
        pool: Connections to the server.
        health: Records answers.
        clock: Clock that counts suspended time.
        may_tell: Whether this host is the one to tell the server, and its process may still run.
        most_at_once: Number of notices that may be on their way at once.

    Attributes:
        ask_others: Has another host send a notice; returns whether the server confirmed it.
        awaits_grant: Returns whether a range of the server may not be granted yet; other ranges
            are not told, since their grants tell the fencing token.
    """

    def __init__(
        self,
        server_id: str,
        pool: ConnectionPool,
        health: ServerHealth,
        clock: Clock,
        may_tell: Callable[[], bool],
        most_at_once: int = MAX_NOTICES_AT_ONCE,
    ) -> None:
        self.ask_others: Callable[[KeySpan, int], Awaitable[bool]] = _ask_nobody
        self.awaits_grant: Callable[[KeyRange], bool] = lambda key_range: False
        self._server_id = server_id
        self._pool = pool
        self._health = health
        self._clock = clock
        self._may_tell = may_tell
        self._most_at_once = most_at_once
        self._unconfirmed = UnconfirmedFences(clock)
        self._owned: list[KeyRange] = []
        self._version = 0
        self._fence = 0
        self._reached = True
        self._reached_by_others = False
        self._answered = False
        self._ask_from_s = 0.0
        self._tries = 0
        self._attempts: set[asyncio.Task] = set()
        self._begun: list[KeySpan] = []
        self._in_flight: list[KeySpan] = []
        self._asked: list[KeySpan] = []
        self._changed = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to send notices."""
        self._task = start_supervised(self._run, f"notices {self._server_id}")

    def close(self) -> None:
        """Stops sending notices."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        for attempt in self._attempts:
            attempt.cancel()

    @property
    def pending(self) -> bool:
        """Whether the server has to be told of a fencing token."""
        return bool(self._notices_to_send())

    def set_assignment(self, assignment: Assignment, service: str) -> None:
        """Applies the assignment if it is another one; the keys that the server lost are noted."""
        if assignment.version == self._version:
            return
        before = self._owned
        # A later incarnation's keys must not be released either.
        self._owned = assignment.key_ranges_of(service, self._server_id)
        self._version, self._fence = assignment.version, assignment.last_fence
        if not self._fence:
            # Nothing was granted to any server yet.
            self._unconfirmed.clear()
        for span in without_all(_spans(before), _spans(self._owned)):
            self._unconfirmed.add(span, RELEASE_EXPECTED_S)
        self._changed.set()

    def on_confirmed(self, span: KeySpan, sent_s: float) -> None:
        """Records an answered grant or release that was sent at ``sent_s``."""
        self._answered = True
        self._unconfirmed.confirm(span, sent_s)

    def on_unconfirmed(self, span: KeySpan) -> None:
        """Records a release without an answer; the keys go on without the server's word."""
        self._unconfirmed.add(span)
        self._changed.set()

    def may_end_grant(self, span: KeySpan) -> bool:
        """Returns whether a notice that is on its way would end a grant of these keys."""
        return _overlaps_any(span, (*self._in_flight, *self._asked))

    def _notices_to_send(self) -> list[Notice]:
        if not self._version or not self._may_tell():
            return []
        others = [
            Notice(span, self._fence, False)
            for span in self._unconfirmed.spans_to_tell(_spans(self._owned))
        ]
        own = [
            Notice(span, key_range.fence, True)
            for key_range in self._owned
            if self.awaits_grant(key_range)
            for span in self._unconfirmed.spans_to_tell(ALL_KEYS.without(key_range.span))
        ]
        return own + others

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            notices = self._notices_to_send()
            # An unreachable server is tried with one call at a time.
            for notice in notices[: self._most_at_once if self._reached else 1]:
                self._begin(notice)
            if not self._reached:
                # Others would take the server for the owner of its own keys.
                asked = [notice for notice in notices if not notice.owned]
                self._begin_asking(asked[: self._most_at_once if self._reached_by_others else 1])
            await self._wait(self._pause_s())

    def _pause_s(self) -> float | None:
        if self._unconfirmed.spans_to_tell(()):
            return RETRY_INTERVAL_S
        due_s = self._unconfirmed.next_due_s()
        return None if due_s is None else max(0.0, due_s - self._clock.now_s())

    async def _wait(self, timeout_s: float | None) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def _begin(self, notice: Notice) -> None:
        """Begins a notice unless one for these keys is on its way.

        While the server is reached, one that still waits for its connection counts, too.
        """
        if not _overlaps_any(notice.span, self._begun if self._reached else self._in_flight):
            self._start_attempt(self._tell(notice))

    def _begin_asking(self, notices: list[Notice]) -> None:
        """Asks another host for notices if this one has not reached the server for a while."""
        if self._clock.now_s() < self._ask_from_s:
            return
        for notice in notices:
            if not self._reached_by_others or notice.span not in self._asked:
                self._start_attempt(self._ask(notice))

    def _start_attempt(self, attempt: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(attempt, name=f"notice {self._server_id}")
        self._attempts.add(task)
        task.add_done_callback(self._attempts.discard)
        task.add_done_callback(log_failure)

    async def _ask(self, notice: Notice) -> None:
        begun_s, span = self._clock.now_s(), notice.span
        self._asked.append(span)
        try:
            confirmed = await self.ask_others(span, notice.fence)
        finally:
            self._asked.remove(span)
        self._reached_by_others = confirmed
        if confirmed:
            count("fence_notices_by_others")
            self._on_told(notice, begun_s, by_another_host=True)

    async def _tell(self, notice: Notice) -> None:
        begun_s, span = self._clock.now_s(), notice.span
        request = calls.release_request(self._server_id, *span, notice.fence)
        sent: list[KeySpan] = []

        def may_send() -> bool:
            if _overlaps_any(span, self._in_flight) or notice not in self._notices_to_send():
                return False
            first_connect.cancel()
            sent.append(span)
            self._in_flight.append(span)
            return True

        self._tries += 1
        self._begun.append(span)
        first_connect = asyncio.get_running_loop().call_later(
            FIRST_CONNECT_S, self._note_not_connected
        )
        try:
            answer = await self._pool.exchange(
                request, NOTICE_TIMEOUT_S, may_send, calls.may_answer_release
            )
        except SendRefusedError:
            return
        except DispatchError as error:
            self._on_failure(error)
            return
        finally:
            first_connect.cancel()
            self._begun.remove(span)
            for one in sent:
                self._in_flight.remove(one)
        self._on_answer(notice, answer.status, begun_s)

    def _on_failure(self, error: DispatchError) -> None:
        count("fence_notice_failures", error=type(error).__name__)
        self._note_not_reached(type(error).__name__)

    def _note_not_connected(self) -> None:
        """Notes that the first connection takes long; it may have been begun during a cut."""
        if not self._answered:
            self._note_not_reached("NotConnected", NOTICE_TIMEOUT_S - FIRST_CONNECT_S)

    def _note_not_reached(self, reason: str, ask_later_s: float = 0.0) -> None:
        if not self._reached:
            return
        self._reached = self._reached_by_others = False
        self._ask_from_s = self._clock.now_s() + ask_later_s + ASK_DELAY_S
        log.info(
            "Backend server is not reached; it is told of the newest fencing token once it is.",
            extra={"server": self._server_id, "reason": reason},
        )

    def _on_answer(self, notice: Notice, status: int, begun_s: float) -> None:
        count("fence_notices", status=str(status))
        if status == calls.HTTP_MISDIRECTED:
            # Another server has the address, so no connection to this one is left.
            self._unconfirmed.clear()
            return
        self._health.record_answer()
        if status != calls.HTTP_OK:
            self._note_not_reached(str(status))
            return
        self._reached = self._answered = True
        self._on_told(notice, begun_s, by_another_host=False)

    def _on_told(self, notice: Notice, begun_s: float, *, by_another_host: bool) -> None:
        self._unconfirmed.confirm(notice.span, begun_s)
        self._changed.set()
        log.info(
            "Backend server was told of the newest fencing token.",
            extra={
                "server": self._server_id,
                "first": notice.span.first,
                "last": notice.span.last,
                "fence": notice.fence,
                "owned": notice.owned,
                "by_another_host": by_another_host,
                "tries": self._tries,
                "took_ms": int((self._clock.now_s() - begun_s) * MS_PER_S),
            },
        )
        self._tries = 0


async def send_release(
    pool: ConnectionPool, server_id: str, span: KeySpan, fence: int
) -> str | None:
    """Sends one release; returns its handover token, or None if the server did not confirm it."""
    request = calls.release_request(server_id, *span, fence)
    try:
        answer = await pool.exchange(
            request, NOTICE_TIMEOUT_S, lambda: True, calls.may_answer_release
        )
    except DispatchError as error:
        count("fence_notice_failures", error=type(error).__name__)
        return None
    if answer.status != calls.HTTP_OK:
        return None
    return answer.headers.get(calls.HANDOVER_HEADER, "")


async def _ask_nobody(span: KeySpan, fence: int) -> bool:
    """Asks no host, as long as nothing else is set."""
    return False


def _spans(key_ranges: Iterable[KeyRange]) -> list[KeySpan]:
    return [key_range.span for key_range in key_ranges]


def _overlaps_any(span: KeySpan, others: Iterable[KeySpan]) -> bool:
    return any(span.overlaps(other) for other in others)
