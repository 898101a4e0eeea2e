"""Recent and long-term latency of one backend server."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

RECENT_WEIGHT = 0.2
LONG_TERM_TIME_CONSTANT_S = 120.0
MIN_ANSWERS = 20


class LatencyBaseline:
    """Exponentially weighted latencies: one by answers, one by time.

    The long-term value follows within about ``LONG_TERM_TIME_CONSTANT_S``, so that a server that
    stays slow becomes its own new normal.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answers = 0
        self._updated_s = clock.now_s()
        self.recent_ms = 0.0
        self.long_term_ms = 0.0

    @property
    def has_enough_samples(self) -> bool:
        """Whether enough answers were seen to compare with."""
        return self._answers >= MIN_ANSWERS

    def add(self, latency_ms: float) -> None:
        """Takes in the latency of one answer."""
        self._answers += 1
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        if self._answers == 1:
            self.recent_ms = latency_ms
            self.long_term_ms = latency_ms
            return
        self.recent_ms += RECENT_WEIGHT * (latency_ms - self.recent_ms)
        by_time = 1.0 - math.exp(-elapsed_s / LONG_TERM_TIME_CONSTANT_S)
        by_count = 1.0 / self._answers if not self.has_enough_samples else 0.0
        weight = max(by_time, by_count)
        self.long_term_ms += weight * (latency_ms - self.long_term_ms)

    def restart(self, latency_ms: float) -> None:
        """Forgets what was seen and starts again from ``latency_ms``."""
        self._answers = 1
        self._updated_s = self._clock.now_s()
        self.recent_ms = latency_ms
        self.long_term_ms = latency_ms
