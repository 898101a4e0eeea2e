"""Tracks the recent and the long-term latency of one backend server."""

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
    """Exponentially weighted mean latencies: the recent one by answers, the long-term one by time.

    The long-term value adapts within about ``LONG_TERM_TIME_CONSTANT_S``, so that the lasting
    latency of a server that stays slow becomes its new baseline.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answer_count = 0
        self._updated_s = clock.now_s()
        self.recent_ms = 0.0
        self.long_term_ms = 0.0

    @property
    def has_enough_samples(self) -> bool:
        """Whether there were enough answers for a comparison with the long-term latency."""
        return self._answer_count >= MIN_ANSWERS

    def add(self, latency_ms: float) -> None:
        """Adds the latency of one answer."""
        self._answer_count += 1
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        if self._answer_count == 1:
            self.recent_ms = latency_ms
            self.long_term_ms = latency_ms
            return
        self.recent_ms += RECENT_WEIGHT * (latency_ms - self.recent_ms)
        by_time = 1.0 - math.exp(-elapsed_s / LONG_TERM_TIME_CONSTANT_S)
        by_count = 1.0 / self._answer_count if not self.has_enough_samples else 0.0
        weight = max(by_time, by_count)
        self.long_term_ms += weight * (latency_ms - self.long_term_ms)

    def restart(self, latency_ms: float) -> None:
        """Discards all earlier answers and starts again from ``latency_ms``."""
        self._answer_count = 1
        self._updated_s = self._clock.now_s()
        self.recent_ms = latency_ms
        self.long_term_ms = latency_ms
