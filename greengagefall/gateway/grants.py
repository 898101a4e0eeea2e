"""Grants keys to one backend server, renews the grants and releases keys."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.dispatch.exceptions import (
    AnswerMismatchError,
    AnswerTimeoutError,
    DispatchError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.gateway.fence_notices import FenceNotices
from greengagefall.gateway.incarnation_check import IncarnationCheck
from greengagefall.gateway.server_knowledge import ALL_IS_KNOWN
from greengagefall.ownership.key_grants import (
    GRANT_DURATION_S,
    MAX_DELIVERY_DELAY_S,
    RENEW_INTERVAL_S,
    KeyGrantTracker,
)
from greengagefall.ownership.key_spans import KeySpan
from greengagefall.ownership.model import LAST_KEY
from greengagefall.platform import grants as calls
from greengagefall.utils.metrics import count
from greengagefall.utils.supervision import log_failure, start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.dispatch.connection_pool import ConnectionPool
    from greengagefall.gateway.server_health import ServerHealth
    from greengagefall.gateway.server_knowledge import ServerKnowledge
    from greengagefall.ownership.model import KeyRange, ServerIncarnation
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# A grant is given up, and its connection reset, when it must not arrive any more.
GRANT_TIMEOUT_S = MAX_DELIVERY_DELAY_S
RETRY_INTERVAL_S = 0.2
RELEASE_MIN_WAIT_S = 1.0
# A new fencing token is requested this long before a grant expires.
NEW_FENCE_MARGIN_S = 1.2
RELEASE_RETRY_INTERVAL_S = 0.1
# Keys may have moved on by an assignment that this host has not heard of, and a server that has
# restarted since does not know the newer fencing tokens. Hosts hear of the newest one every 0.3 s
# from the coordinator, or every 1.9 s from the store.
MAX_FIRST_GRANT_AGE_S = 2.0
# Pause after a read of an entry that proved nothing; reads are priced.
ENTRY_READ_PAUSE_S = 1.0


class ReleaseOutcome(NamedTuple):
    """The result of a release.

    Attributes:
        released: Whether the server confirmed it.
        hand_over: Handover token for the next owner, empty for none.
        ends_in_s: Time after which every grant of this host has expired; 0 if released.
    """

    released: bool
    hand_over: str
    ends_in_s: float


class GrantManager:
    """Keeps a server's grants in line with the assignment.

    A key range that is still being moved from another server is granted only on the coordinator's
    order.

    Args:
        incarnation: The server.
        pool: Connections to the server.
        health: Records answers and failures.
        clock: Clock that counts suspended time.
        knowledge: What this host knows of the server's process.

    Attributes:
        notices: Tells the server of newer fencing tokens of other servers' keys.
        on_new_fence_needed: Called while keys can only be granted under a new fencing token.
    """

    def __init__(
        self,
        incarnation: ServerIncarnation,
        pool: ConnectionPool,
        health: ServerHealth,
        clock: Clock,
        knowledge: ServerKnowledge = ALL_IS_KNOWN,
    ) -> None:
        self.notices = FenceNotices(incarnation.server_id, pool, health, clock, knowledge.may_tell)
        self.notices.awaits_grant = self._awaits_grant
        self.on_new_fence_needed: Callable[[], None] = lambda: None
        self._check = IncarnationCheck(clock, knowledge)
        self._incarnation = incarnation
        self._pool = pool
        self._health = health
        self._clock = clock
        self._knowledge = knowledge
        self._tracker = KeyGrantTracker(clock)
        self._key_ranges: list[KeyRange] = []
        self._ordered_grants: set[tuple[int, int, int]] = set()
        self._superseded_grants: set[tuple[int, int, int]] = set()
        self._sent_grants: set[tuple[int, int, int]] = set()
        self._handover_tokens: dict[tuple[int, int, int], str] = {}
        self._renewal_needed = asyncio.Event()
        self._granted = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._entry_read: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to renew grants and to send notices of newer fencing tokens."""
        self.notices.start()
        self._task = start_supervised(self._renew, f"grants {self._incarnation.server_id}")

    def close(self) -> None:
        """Stops renewing; existing grants expire by themselves."""
        self.notices.close()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._entry_read is not None:
            self._entry_read.cancel()

    def set_key_ranges(self, key_ranges: list[KeyRange]) -> None:
        """Sets the key ranges that the server owns according to a newer assignment."""
        if key_ranges == self._key_ranges:
            return
        self._key_ranges = key_ranges
        known = {(key_range.first, key_range.last, key_range.fence) for key_range in key_ranges}
        self._ordered_grants &= known
        self._superseded_grants &= known
        self._sent_grants &= known
        self._renewal_needed.set()

    def holds(self, key: int) -> bool:
        """Returns whether the server certainly holds a key now."""
        key_range = self._find_key_range(key)
        return key_range is not None and self._tracker.holds(key, key_range.fence)

    def on_connection_lost(self) -> None:
        """Suspends grants, since the server may have restarted."""
        self._check.on_connection_lost()

    def on_request_executed(self, key: int, sent_s: float) -> None:
        """Takes an executed request for a held key as proof that the incarnation is the same.

        Args:
            key: The key.
            sent_s: When the request was sent.
        """
        key_range = self._find_key_range(key)
        if key_range is not None and self._check.on_executed(key_range.fence, sent_s):
            self._renewal_needed.set()

    @property
    def sent_fence(self) -> int:
        """Highest fencing token that this host may have granted to the server."""
        return self._check.sent_fence

    @property
    def in_force(self) -> bool:
        """Whether the server may hold keys by a grant of this host."""
        return self._tracker.grants_expired_by_s(0, LAST_KEY) > self._clock.now_s()

    def fence_to_replace(self) -> int:
        """Returns the highest fencing token that has to be replaced soon, 0 for none.

        That is so if the server may have restarted and keys lapse before that is known, or if it
        refused a fencing token that its keys still have.
        """
        lapse_s = self._clock.now_s() + NEW_FENCE_MARGIN_S
        needed = any(
            self._check.needs_new_fence(key_range.fence)
            and self._tracker.held_until_s(key_range.first, key_range.last, key_range.fence)
            < lapse_s
            for key_range in self._key_ranges
        )
        refused = max((fence for _, _, fence in self._superseded_grants), default=0)
        return max(self._check.suspect_fence if needed else 0, refused)

    def owns(self, key: int) -> bool:
        """Returns whether the server owns the key according to the assignment."""
        return self._find_key_range(key) is not None

    def owns_above(self, first: int, last: int, fence: int) -> bool:
        """Returns whether the server owns any of these keys under a higher fencing token."""
        return any(
            key_range.first <= last and first <= key_range.last and key_range.fence > fence
            for key_range in self._key_ranges
        )

    async def wait_until_held(self, key: int, timeout_s: float) -> bool:
        """Waits until the server holds a key; returns whether it does in time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not self.holds(key):
            remaining_s = end_s - loop.time()
            if remaining_s <= 0 or not self.owns(key):
                return False
            self._granted.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self._granted.wait()
            except TimeoutError:
                return self.holds(key)
        return True

    def on_key_not_held(self, key: int) -> None:
        """Discards the grant of a key that the server reports as not held; it is granted again."""
        key_range = self._find_key_range(key)
        if key_range is None:
            return
        self._tracker.discard_confirmed(key_range.first, key_range.last)
        log.info(
            "Backend server no longer holds keys that were granted; granting them again.",
            extra={"server": self._incarnation.server_id, "key": key, "fence": key_range.fence},
        )
        count("grants_lost")
        self.on_connection_lost()

    async def grant(self, first: int, last: int, fence: int, handover_token: str) -> bool:
        """Grants a key range that no other server holds; returns whether the server accepted it."""
        for key_range in self._key_ranges:
            if (key_range.first, key_range.last, key_range.fence) == (first, last, fence):
                self._ordered_grants.add((first, last, fence))
                if handover_token:
                    self._handover_tokens[first, last, fence] = handover_token
                return await self._send(key_range)
        return False

    async def release(self, first: int, last: int, fence: int) -> ReleaseOutcome:
        """Releases keys; waits for the server's answer while a grant may be in force.

        Returns:
            The server's confirmation with its handover token, or the time until its grants expire.
        """
        self._tracker.discard_confirmed(first, last)
        # Grants of an earlier dispatcher may be in force too, so a release is sent in any case.
        end_s = self._clock.now_s() + RELEASE_MIN_WAIT_S
        while True:
            grants_end_s = self._tracker.grants_expired_by_s(first, last)
            remaining_s = max(end_s, grants_end_s) - self._clock.now_s()
            if remaining_s <= 0:
                self.notices.on_unconfirmed(KeySpan(first, last))
                return ReleaseOutcome(False, "", 0.0)
            request = calls.release_request(self._incarnation.server_id, first, last, fence)
            sent_s = self._clock.now_s()
            try:
                answer = await self._pool.exchange(
                    request, remaining_s, lambda: True, calls.may_answer_release
                )
            except NotSentError as error:
                self._health.record_failure(refused=True)
                self._log_unanswered("release", (first, last, fence), sent_s, error)
                ends_in_s = max(0.0, grants_end_s - self._clock.now_s())
                self.notices.on_unconfirmed(KeySpan(first, last))
                return ReleaseOutcome(False, "", ends_in_s)
            except DispatchError as error:
                if not isinstance(error, AnswerMismatchError):
                    self._health.record_failure()
                self._log_unanswered("release", (first, last, fence), sent_s, error)
                await asyncio.sleep(RELEASE_RETRY_INTERVAL_S)
                continue
            self._health.record_answer()
            if answer.status == calls.HTTP_OK:
                token = answer.headers.get(calls.HANDOVER_HEADER, "")
                self.notices.on_confirmed(KeySpan(first, last), sent_s)
                return ReleaseOutcome(True, token, 0.0)
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _log_unanswered(
        self, call: str, grant_id: tuple[int, int, int], sent_s: float, error: DispatchError
    ) -> None:
        """Logs and counts a call without an answer; if sent, the server may have taken it."""
        first, last, fence = grant_id
        count(f"{call}_failures", error=type(error).__name__)
        log.info(
            "Backend server did not answer a grant or release of keys.",
            extra={
                "server": self._incarnation.server_id,
                "call": call,
                "first": first,
                "last": last,
                "fence": fence,
                "error": type(error).__name__,
                "not_sent": isinstance(error, NotSentError),
                "age_ms": int((self._clock.now_s() - sent_s) * MS_PER_S),
            },
        )

    def _find_key_range(self, key: int) -> KeyRange | None:
        for key_range in self._key_ranges:
            if key_range.first <= key <= key_range.last:
                return key_range
        return None

    def _may_grant(self, key_range: KeyRange) -> bool:
        if not self._knowledge.is_assignment_current() or key_range not in self._key_ranges:
            return False
        if key_range.fence > self._check.sent_fence and not self._may_grant_first():
            return False
        grant_id = (key_range.first, key_range.last, key_range.fence)
        if self.notices.may_end_grant(KeySpan(key_range.first, key_range.last)):
            return False
        if grant_id in self._superseded_grants or not self._check.may_grant(key_range.fence):
            return False
        return not key_range.moving or grant_id in self._ordered_grants

    def _awaits_grant(self, key_range: KeyRange) -> bool:
        """Returns whether this host granted nothing of a range yet and may not do so now.

        That is so while the range is moving, and while the server may have restarted. With an
        older assignment the keys may be granted by another host meanwhile.
        """
        grant_id = (key_range.first, key_range.last, key_range.fence)
        if key_range not in self._key_ranges or not self._knowledge.is_assignment_current():
            return False
        if grant_id in self._sent_grants or grant_id in self._superseded_grants:
            return False
        ordered = not key_range.moving or grant_id in self._ordered_grants
        return not ordered or not self._check.may_grant(key_range.fence)

    def _may_grant_first(self) -> bool:
        """Returns whether the assignment is recent enough for a fencing token not sent before."""
        return self._knowledge.assignment_age_s() <= MAX_FIRST_GRANT_AGE_S

    async def _renew(self) -> None:
        while True:
            self._renewal_needed.clear()
            self._begin_entry_read()
            sends = [
                self._send(key_range)
                for key_range in self._key_ranges
                if self._may_grant(key_range)
            ]
            outcomes = await asyncio.gather(*sends)
            if self.fence_to_replace():
                self.on_new_fence_needed()
            settled = all(outcomes) and self._check.settled
            pause_s = RENEW_INTERVAL_S if settled else RETRY_INTERVAL_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._renewal_needed.wait()
            except TimeoutError:
                continue

    def _begin_entry_read(self) -> None:
        """Begins to read the server's entry from the store if that may prove its incarnation."""
        reads = self._entry_read is not None and not self._entry_read.done()
        if reads or not self._key_ranges or not self._check.needs_entry:
            return
        self._entry_read = asyncio.create_task(self._read_entry())
        self._entry_read.add_done_callback(log_failure)

    async def _read_entry(self) -> None:
        read_s = self._clock.now_s()
        fence = self._check.suspect_fence
        listed = await self._knowledge.is_listed()
        proved = listed and self._check.on_entry_listed(read_s)
        log.info(
            "Entry of a backend server that may have restarted was read.",
            extra={
                "server": self._incarnation.server_id,
                "fence": fence,
                "listed": listed,
                "proved": proved,
                "took_ms": int((self._clock.now_s() - read_s) * MS_PER_S),
            },
        )
        if not proved:
            await asyncio.sleep(ENTRY_READ_PAUSE_S)
            return
        self._renewal_needed.set()

    async def _send(self, key_range: KeyRange) -> bool:
        """Sends one grant; returns whether the server accepted it."""
        grant_id = (key_range.first, key_range.last, key_range.fence)
        request = calls.grant_request(
            key_range, GRANT_DURATION_S, self._handover_tokens.get(grant_id, "")
        )
        sent_s = self._clock.now_s()

        def may_send() -> bool:
            allowed = self._may_grant(key_range)
            if allowed:
                self._sent_grants.add(grant_id)
                self._check.record_sent(key_range.fence)
                self._tracker.record_sent(key_range.first, key_range.last)
                log.debug(
                    "Grant of keys is sent.",
                    extra={"server": self._incarnation.server_id, "keys": grant_id},
                )
            return allowed

        try:
            answer = await self._pool.exchange(
                request, GRANT_TIMEOUT_S, may_send, calls.may_answer_grant
            )
        except SendRefusedError:
            return False
        except DispatchError as error:
            self._log_unanswered("grant", grant_id, sent_s, error)
            self._on_unanswered(key_range, error)
            return False
        self._health.record_answer()
        if answer.status != calls.HTTP_OK:
            self._on_refused(grant_id, answer.status)
            return False
        self._tracker.record_granted(key_range.first, key_range.last, key_range.fence, sent_s)
        self.notices.on_confirmed(KeySpan(key_range.first, key_range.last), sent_s)
        self._handover_tokens.pop(grant_id, None)
        self._granted.set()
        return True

    def _on_unanswered(self, key_range: KeyRange, error: DispatchError) -> None:
        """Records that a grant got no answer; its connection has been reset."""
        sent = not isinstance(error, NotSentError)
        if sent:
            self._tracker.record_given_up(key_range.first, key_range.last)
        if isinstance(error, AnswerMismatchError):
            return
        self._health.record_failure(refused=not sent)
        if isinstance(error, AnswerTimeoutError):
            self._check.on_timeout()
        else:
            self._check.on_connection_lost()

    def _on_refused(self, grant_id: tuple[int, int, int], status: int) -> None:
        """Records why the server refused a grant; 409 ends its repetition."""
        if status == calls.HTTP_CONFLICT:
            # Another host sent a higher fencing token. This grant is not repeated: a new
            # incarnation of the server would not know that token and would accept this lower one.
            self._superseded_grants.add(grant_id)
        if status == calls.HTTP_MISDIRECTED:
            self._check.on_connection_lost()
        count("grants_refused", status=str(status))
        log.warning(
            "Backend server refused a grant of keys; retrying unless the status is 409.",
            extra={"server": self._incarnation.server_id, "run": grant_id, "status": status},
        )
