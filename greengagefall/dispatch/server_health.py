"""Health of a backend server, derived from the results of its dispatcher's calls and requests."""

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

    The state depends only on the answers to grants, status calls and requests. The server's own
    health report is not used, because it lags and may be wrong.
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
        """Records that the server answered."""
        self._failing_since_s = None
        self._set_state(COLD if cold else UP)

    def on_failure(self) -> None:
        """Records that the server did not answer or did not accept a connection."""
        now_s = self._clock.now_s()
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        if now_s - self._failing_since_s >= self._down_after_s:
            self._set_state(DOWN)
            return
        if self.state != DOWN:
            self._set_state(SUSPECT)

    def usable(self) -> bool:
        """Returns whether requests may be sent to the server."""
        return self.state in (UP, COLD, SUSPECT)

    def in_state_s(self) -> float:
        """Returns the seconds since the last change of state."""
        return self._clock.now_s() - self.state_since_s

    def _set_state(self, state: str) -> None:
        if state == self.state:
            return
        log.info("Server %s changed state to %s, was %s.", self._server_key, state, self.state)
        self.state = state
        self.state_since_s = self._clock.now_s()
        if self._on_change is not None:
            self._on_change()
