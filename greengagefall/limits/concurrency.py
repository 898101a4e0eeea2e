"""Limits on requests in flight at one backend server."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from greengagefall.limits.cold_ramp import ColdRamp
from greengagefall.limits.latency import LatencyBaseline
from greengagefall.utils.invariants import check
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_COLD_SHEDS = 2
DEFAULT_JUMP_FACTOR = 5.0
DEFAULT_JUMP_ANSWERS = 3
DEFAULT_SLOW_FACTOR = 1.8
DEFAULT_LIMIT_FLOOR_SHARE = 0.5
DEFAULT_DECREASE = 0.8
DEFAULT_WINDOW_ANSWERS = 12


class ConcurrencyLimit(Protocol):
    """Limit of one backend server, kept by its dispatcher."""

    in_flight: int

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""

    @property
    def cold(self) -> bool:
        """Whether the server is treated as in cold start."""

    @property
    def latency_ms(self) -> float:
        """Recent latency, 0 before the first answer."""

    def can_start(self) -> bool:
        """Returns whether one more request may be sent."""

    def on_start(self) -> bool:
        """Counts a request that is about to be sent; False means it must not be."""

    def on_finish(self, latency_ms: float, ok: bool) -> None:
        """Counts an answer, or a failure, of a request that was started."""

    def on_shed(self) -> None:
        """Counts a request that was started and that the server refused to run."""

    def on_cancelled(self) -> None:
        """Counts the end of a request that was started and then cancelled."""

    def on_cold_start(self, cold_slots: int) -> None:
        """Holds the server at ``cold_slots`` after a sign of cold start."""


LIMITS: Registry[type[ConcurrencyLimit]] = Registry("limit")


class _BaseLimit:
    """Counting, cold ramp and invariants that all limits share."""

    def __init__(
        self,
        slots: int,
        cold_slots: int,
        clock: Clock,
        tuning: Mapping[str, float] | None = None,
    ) -> None:
        tuning = tuning or {}
        self._slots = slots
        self._cold_slots = cold_slots
        self._cold_sheds = tuning.get("cold_sheds", DEFAULT_COLD_SHEDS)
        self._ramp = ColdRamp(slots, clock, tuning)
        self._latency = LatencyBaseline(clock)
        self._sheds = 0
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return max(1, min(self._slots, self._ramp.bound, self._warm_limit()))

    @property
    def cold(self) -> bool:
        """Whether the server is treated as in cold start."""
        return self._ramp.cold

    @property
    def latency_ms(self) -> float:
        """Recent latency, 0 before the first answer."""
        return self._latency.recent_ms

    def can_start(self) -> bool:
        """Returns whether one more request may be sent."""
        return self.in_flight < self.limit

    def on_start(self) -> bool:
        """Counts a request that is about to be sent; False means it must not be."""
        facts = {"in_flight": self.in_flight, "limit": self.limit, "slots": self._slots}
        if not check(self.in_flight < self.limit, "in_flight_within_limit", **facts):
            return False
        if not check(self.in_flight < self._ramp.bound, "cold_bound", **facts):
            return False
        self.in_flight += 1
        return True

    def on_finish(self, latency_ms: float, ok: bool) -> None:
        """Counts an answer, or a failure, of a request that was started."""
        self.in_flight -= 1
        if not ok:
            self._ramp.on_failure()
            self._decrease()
            return
        self._sheds = 0
        self._ramp.on_success()
        self._on_latency(latency_ms)

    def on_shed(self) -> None:
        """Counts a request that was started and that the server refused to run."""
        self.in_flight -= 1
        self._sheds += 1
        self._ramp.on_failure()
        if self.cold and self._ramp.bound > self._cold_slots:
            self._ramp.on_step_refused()
        self._decrease()
        if self.cold or self._sheds >= self._cold_sheds:
            self.on_cold_start(self._cold_slots)

    def on_cancelled(self) -> None:
        """Counts the end of a request that was started and then cancelled."""
        self.in_flight -= 1

    def on_cold_start(self, cold_slots: int) -> None:
        """Holds the server at ``cold_slots`` after a sign of cold start."""
        if not self.cold:
            log.info("Cold start suspected. Limit is %d of %d.", cold_slots, self._slots)
        self._sheds = 0
        self._ramp.restart_at(cold_slots)

    def _warm_limit(self) -> int:
        return self._slots

    def _decrease(self) -> None:
        """Lowers the warm limit after a failure or a refusal."""

    def _on_latency(self, latency_ms: float) -> None:
        self._latency.add(latency_ms)


@LIMITS.register("fixed")
class FixedLimit(_BaseLimit):
    """All slots at any latency; the baseline. Cold start is still respected."""


@LIMITS.register("adaptive")
class AdaptiveLimit(_BaseLimit):
    """Lowers the limit when answers slow down, raises it by one when they recover.

    Answers are judged in windows of ``window_answers``: if their mean passes
    ``slow_factor`` times the long-term latency, the limit falls by ``decrease``, never
    below ``limit_floor_share`` of the slots. ``jump_answers`` answers in a row that each
    pass ``jump_factor`` times the long-term latency are taken as a cold start.
    """

    def __init__(
        self,
        slots: int,
        cold_slots: int,
        clock: Clock,
        tuning: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(slots, cold_slots, clock, tuning)
        tuning = tuning or {}
        self._slow_factor = tuning.get("slow_factor", DEFAULT_SLOW_FACTOR)
        self._jump_factor = tuning.get("jump_factor", DEFAULT_JUMP_FACTOR)
        self._jump_answers = tuning.get("jump_answers", DEFAULT_JUMP_ANSWERS)
        self._decrease_ratio = tuning.get("decrease", DEFAULT_DECREASE)
        self._window_answers = tuning.get("window_answers", DEFAULT_WINDOW_ANSWERS)
        floor_share = tuning.get("limit_floor_share", DEFAULT_LIMIT_FLOOR_SHARE)
        self._floor = max(1.0, slots * floor_share)
        self._adaptive = float(slots)
        self._jumps = 0
        self._window_sum_ms = 0.0
        self._window_count = 0

    def _warm_limit(self) -> int:
        return int(self._adaptive)

    def _decrease(self) -> None:
        self._adaptive = max(self._floor, self._adaptive * self._decrease_ratio)

    def _on_latency(self, latency_ms: float) -> None:
        if self._jumped(latency_ms):
            self._latency.restart(latency_ms)
            self.on_cold_start(self._cold_slots)
            return
        self._latency.add(latency_ms)
        self._window_sum_ms += latency_ms
        self._window_count += 1
        if self._window_count < self._window_answers:
            return
        mean_ms = self._window_sum_ms / self._window_count
        self._window_sum_ms = 0.0
        self._window_count = 0
        if (
            self._latency.has_enough_samples
            and mean_ms > self._slow_factor * self._latency.long_term_ms
        ):
            self._decrease()
            return
        self._adaptive = min(float(self._slots), self._adaptive + 1.0)

    def _jumped(self, latency_ms: float) -> bool:
        threshold_ms = self._jump_factor * self._latency.long_term_ms
        if not self._latency.has_enough_samples or latency_ms <= threshold_ms:
            self._jumps = 0
            return False
        self._jumps += 1
        if self._jumps < self._jump_answers:
            return False
        self._jumps = 0
        return True
