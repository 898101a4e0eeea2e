"""What a dispatcher believes of one backend server, from its own exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

# Without any answer for this long, and with several failures, a server counts as lost. Servers that
# live may leave single calls unanswered, so it takes more of these than refused connections.
SILENCE_TIMEOUT_S = 1.2
MIN_FAILURES = 4
# Refused connections come from a port without a listener: the process is gone.
MIN_REFUSED_CONNECTIONS = 2


class ServerHealth:
    """Failures in a row and the time of the last answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._refused = 0
        self._answered_s = clock.now_s()

    @property
    def up(self) -> bool:
        """Whether the server is taken to be alive."""
        if self._refused >= MIN_REFUSED_CONNECTIONS:
            return False
        silent_s = self._clock.now_s() - self._answered_s
        return self._failures < MIN_FAILURES or silent_s < SILENCE_TIMEOUT_S

    def record_answer(self) -> None:
        """Notes any answer of the server."""
        self._failures = 0
        self._refused = 0
        self._answered_s = self._clock.now_s()

    def record_failure(self, *, refused: bool = False) -> None:
        """Notes an exchange without an answer; ``refused`` if no connection came about."""
        self._failures += 1
        self._refused += refused
