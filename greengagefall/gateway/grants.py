"""Grants the keys of one backend server, renews them and takes them back."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.dispatch.exceptions import (
    AnswerTimeoutError,
    DispatchError,
    NotSentError,
    SendRefusedError,
)
from greengagefall.ownership.key_grants import GRANT_DURATION_S, RENEW_INTERVAL_S, KeyGrantTracker
from greengagefall.platform import grants as calls
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.dispatch.connection_pool import ConnectionPool
    from greengagefall.gateway.server_health import ServerHealth
    from greengagefall.ownership.model import KeyRange, ServerIncarnation
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

GRANT_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.2
RELEASE_MIN_WAIT_S = 1.0
RELEASE_RETRY_INTERVAL_S = 0.1


class ReleaseOutcome(NamedTuple):
    """What became of a release.

    Attributes:
        released: Whether the server confirmed it.
        hand_over: Token for the next owner, empty for none.
        ends_in_s: Time after which no grant of this host can hold; 0 if released.
    """

    released: bool
    hand_over: str
    ends_in_s: float


class GrantManager:
    """Keeps a server's grants in line with the assignment.

    A run that is still on its way from another server is granted only on the coordinator's order.

    Args:
        incarnation: The server.
        pool: Connections to it.
        health: Learns from the answers.
        clock: Clock that counts suspended time.
        is_assignment_current: Whether the assignment is known to be recent enough to renew by it.
        is_entry_current: Whether another life of the server would be known by now.
        restart_detection_s: How long nothing is granted after a connection was lost: another life
            of the server, which must not get the old fences, is in the store by then.
    """

    def __init__(
        self,
        incarnation: ServerIncarnation,
        pool: ConnectionPool,
        health: ServerHealth,
        clock: Clock,
        is_assignment_current: Callable[[], bool],
        is_entry_current: Callable[[], bool],
        restart_detection_s: float = 0.0,
    ) -> None:
        self._doubt_s = restart_detection_s
        # A dispatcher that takes over may know an old entry.
        self._doubted = True
        self._doubted_since_s = clock.now_s()
        self._doubted_until_s = 0.0
        self._life = incarnation
        self._pool = pool
        self._health = health
        self._clock = clock
        self._is_current = is_assignment_current
        self._entry_current = is_entry_current
        self._ledger = KeyGrantTracker(clock)
        self._runs: list[KeyRange] = []
        self._ordered: set[tuple[int, int, int]] = set()
        self._superseded: set[tuple[int, int, int]] = set()
        self._hand_overs: dict[tuple[int, int, int], str] = {}
        self._wake = asyncio.Event()
        self._granted = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to renew."""
        name = f"grants {self._life.server_id}"
        self._task = asyncio.create_task(self._renew(), name=name)

    def close(self) -> None:
        """Stops renewing; grants in force run out by themselves."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def set_key_ranges(self, runs: list[KeyRange]) -> None:
        """Takes the runs that the server owns by a newer assignment."""
        if runs == self._runs:
            return
        self._runs = runs
        known = {(run.first, run.last, run.fence) for run in runs}
        self._ordered &= known
        self._superseded &= known
        self._wake.set()

    def holds(self, key: int) -> bool:
        """Returns whether the server certainly holds a key now."""
        run = self._run_of(key)
        return run is not None and self._ledger.holds(key, run.fence)

    def on_connection_lost(self) -> None:
        """Grants nothing for a while, since the server may have started again."""
        self._doubt(self._doubt_s)

    def on_request_executed(self, sent_s: float) -> None:
        """Takes a run of a request for a held key as proof that the life is still the same.

        Args:
            sent_s: When the request was sent.
        """
        if self._doubted and sent_s >= self._doubted_since_s:
            self._doubted = False
            self._wake.set()

    def owns(self, key: int) -> bool:
        """Returns whether the key is the server's by the assignment."""
        return self._run_of(key) is not None

    async def wait_until_held(self, key: int, timeout_s: float) -> bool:
        """Waits until the server holds a key; returns whether it does in time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not self.holds(key):
            left_s = end_s - loop.time()
            if left_s <= 0 or not self.owns(key):
                return False
            self._granted.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._granted.wait()
            except TimeoutError:
                return self.holds(key)
        return True

    def on_key_not_held(self, key: int) -> None:
        """Takes a server's word that it does not hold a key, and grants it again."""
        run = self._run_of(key)
        if run is None:
            return
        self._ledger.discard_confirmed(run.first, run.last)
        log.info(
            "The server lost keys that were granted. Granting them again.",
            extra={"server": self._life.server_id, "key": key, "fence": run.fence},
        )
        count("grants_lost")
        self.on_connection_lost()

    async def grant(self, first: int, last: int, fence: int, hand_over: str) -> bool:
        """Grants a run that nobody else holds any more; returns whether the server took it."""
        for run in self._runs:
            if (run.first, run.last, run.fence) == (first, last, fence):
                self._ordered.add((first, last, fence))
                if hand_over:
                    self._hand_overs[first, last, fence] = hand_over
                return await self._send(run)
        return False

    async def release(self, first: int, last: int, fence: int) -> ReleaseOutcome:
        """Takes keys back; waits for the server's answer while a grant may hold.

        Returns:
            A release that the server confirmed, or the time until its grants end.
        """
        self._ledger.discard_confirmed(first, last)
        # Grants of an earlier dispatcher may hold too, so it is always worth a try.
        end_s = self._clock.now_s() + RELEASE_MIN_WAIT_S
        while True:
            grants_end_s = self._ledger.grants_expired_by_s(first, last)
            left_s = max(end_s, grants_end_s) - self._clock.now_s()
            if left_s <= 0:
                return ReleaseOutcome(False, "", 0.0)
            request = calls.release_request(first, last, fence)
            try:
                answer = await self._pool.exchange(request, left_s, lambda: True)
            except NotSentError:
                self._health.record_failure(refused=True)
                ends_in_s = max(0.0, grants_end_s - self._clock.now_s())
                return ReleaseOutcome(False, "", ends_in_s)
            except DispatchError:
                self._health.record_failure()
                await asyncio.sleep(RELEASE_RETRY_INTERVAL_S)
                continue
            self._health.record_answer()
            if answer.status == calls.HTTP_OK:
                token = answer.headers.get(calls.HANDOVER_HEADER, "")
                return ReleaseOutcome(True, token, 0.0)
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _run_of(self, key: int) -> KeyRange | None:
        for run in self._runs:
            if run.first <= key <= run.last:
                return run
        return None

    def _doubt(self, least_s: float) -> None:
        """Begins or prolongs the doubt whether the server is still the same life."""
        now_s = self._clock.now_s()
        self._doubted = True
        self._doubted_since_s = now_s
        self._doubted_until_s = max(self._doubted_until_s, now_s + least_s)

    def _in_doubt(self) -> bool:
        """Returns whether the server may be another life that the store does not show yet."""
        if not self._doubted:
            return False
        if self._clock.now_s() >= self._doubted_until_s and self._entry_current():
            self._doubted = False
        return self._doubted

    def _may_grant(self, run: KeyRange) -> bool:
        if not self._is_current() or run not in self._runs:
            return False
        name = (run.first, run.last, run.fence)
        if name in self._superseded or self._in_doubt():
            return False
        return not run.moving or name in self._ordered

    async def _renew(self) -> None:
        while True:
            self._wake.clear()
            sends = [self._send(run) for run in self._runs if self._may_grant(run)]
            outcomes = await asyncio.gather(*sends)
            pause_s = RENEW_INTERVAL_S if all(outcomes) else RETRY_INTERVAL_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _send(self, run: KeyRange) -> bool:
        """Sends one grant; returns whether the server took it."""
        name = (run.first, run.last, run.fence)
        request = calls.grant_request(run, GRANT_DURATION_S, self._hand_overs.get(name, ""))
        sent_s = self._clock.now_s()

        def may_send() -> bool:
            allowed = self._may_grant(run)
            if allowed:
                self._ledger.record_sent(run.first, run.last)
            return allowed

        try:
            answer = await self._pool.exchange(request, GRANT_TIMEOUT_S, may_send)
        except SendRefusedError:
            return False
        except DispatchError as error:
            self._health.record_failure(refused=isinstance(error, NotSentError))
            # Silence alone needs no wait where the store shows the present life.
            self._doubt(0.0 if isinstance(error, AnswerTimeoutError) else self._doubt_s)
            count("grant_failures", error=type(error).__name__)
            return False
        self._health.record_answer()
        if answer.status == calls.HTTP_CONFLICT:
            # Somebody has a newer assignment; another life would not remember its fence.
            self._superseded.add(name)
        if answer.status != calls.HTTP_OK:
            count("grants_refused", status=str(answer.status))
            log.warning(
                "The server refused a grant.",
                extra={"server": self._life.server_id, "run": name, "status": answer.status},
            )
            return False
        self._ledger.record_granted(run.first, run.last, run.fence, sent_s)
        self._hand_overs.pop(name, None)
        self._granted.set()
        return True
