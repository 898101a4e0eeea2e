"""Whether the store is reached, and since when."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)


class StoreReachability:
    """Notes when calls that follow a prefix begin to fail, and when they succeed again.

    Args:
        prefix: The prefix, for log lines.
        clock: Clock that counts suspended time.

    Attributes:
        reached: Whether the last call succeeded.
        since_s: When the store was reached again after the last outage, ``-math.inf`` without one.
    """

    def __init__(self, prefix: str, clock: Clock) -> None:
        self.reached = True
        self.since_s = -math.inf
        self._prefix = prefix
        self._clock = clock

    def note_failure(self, error: Exception) -> None:
        """Records a call that failed."""
        if self.reached:
            log.warning(
                "Store is unreachable; retrying.",
                extra={"prefix": self._prefix, "error": str(error)},
            )
            count("store_lost")
        self.reached = False

    def note_answer(self) -> None:
        """Records a call that succeeded."""
        if not self.reached:
            log.info("Store is reachable again.", extra={"prefix": self._prefix})
            self.since_s = self._clock.now_s()
        self.reached = True
