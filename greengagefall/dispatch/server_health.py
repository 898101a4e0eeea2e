"""What a dispatcher believes of its backend server, from its own exchanges."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

UNKNOWN = "unknown"
UP = "up"
COLD = "cold"
SUSPECT = "suspect"
DOWN = "down"

DOWN_AFTER_S = 0.6


class ServerHealth:
    """State of one backend server: unknown, up, cold, suspect or down.

    The server's own health report is not used, since it lags and may be wrong: only
    answers to grants, status calls and requests count.
    """

    def __init__(
        self,
        server_key: str,
        clock: Clock,
        down_after_s: float = DOWN_AFTER_S,
        on_change: Callable[[], None] | None = None,
    ) -> None:
        self._on_change = on_change
        self._server_key = server_key
        self._clock = clock
        self._down_after_s = down_after_s
        self._failing_since_s: float | None = None
        self.state = UNKNOWN
        self.state_since_s = clock.now_s()

    def on_answer(self, cold: bool) -> None:
        """Notes that the server answered."""
        self._failing_since_s = None
        self._enter(COLD if cold else UP)

    def on_failure(self) -> None:
        """Notes that the server did not answer or accepted no connection."""
        now_s = self._clock.now_s()
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        if now_s - self._failing_since_s >= self._down_after_s:
            self._enter(DOWN)
            return
        if self.state != DOWN:
            self._enter(SUSPECT)

    def usable(self) -> bool:
        """Returns whether requests may be sent to it."""
        return self.state in (UP, COLD, SUSPECT)

    def in_state_s(self) -> float:
        """Returns the seconds since the state was entered."""
        return self._clock.now_s() - self.state_since_s

    def _enter(self, state: str) -> None:
        if state == self.state:
            return
        log.info("Server %s changed state to %s, was %s.", self._server_key, state, self.state)
        self.state = state
        self.state_since_s = self._clock.now_s()
        if self._on_change is not None:
            self._on_change()
