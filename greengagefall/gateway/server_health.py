"""Tracks whether a backend server is up, from its dispatcher's own exchanges with it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

# A server is down after this long without any answer and with several failures. A running server
# may leave single calls unanswered, so more of these are needed than refused connections.
SILENCE_TIMEOUT_S = 1.2
MIN_FAILURES = 4
# A refused connection means that no process listens on the port any more.
MIN_REFUSED_CONNECTIONS = 2


class ServerHealth:
    """Counts consecutive failures and keeps the time of the last answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._refused = 0
        self._answered_s = clock.now_s()

    @property
    def up(self) -> bool:
        """Whether the server is considered alive."""
        if self._refused >= MIN_REFUSED_CONNECTIONS:
            return False
        silent_s = self._clock.now_s() - self._answered_s
        return self._failures < MIN_FAILURES or silent_s < SILENCE_TIMEOUT_S

    def record_answer(self) -> None:
        """Records any answer of the server."""
        self._failures = 0
        self._refused = 0
        self._answered_s = self._clock.now_s()

    def record_failure(self, *, refused: bool = False) -> None:
        """Records an exchange without an answer; ``refused`` if the connection failed."""
        self._failures += 1
        self._refused += refused
