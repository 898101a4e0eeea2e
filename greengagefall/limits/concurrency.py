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
    """Concurrency limit of one backend server, held by its dispatcher."""

    in_flight: int

    @property
    def limit(self) -> int:
        """Number of requests that may be in flight now."""

    @property
    def cold(self) -> bool:
        """Whether the server is treated as in cold start."""

    @property
    def latency_ms(self) -> float:
        """Recent latency in milliseconds; 0 before the first answer."""

    def can_start(self) -> bool:
        """Returns whether one more request may be sent."""

    def on_start(self) -> bool:
        """Counts a request that is about to be sent; returns False if it must not be sent."""

    def on_finish(self, latency_ms: float, ok: bool) -> None:
        """Counts the answer or the failure of a started request."""

    def on_shed(self) -> None:
        """Counts a started request that the server refused to execute."""

    def on_cancelled(self) -> None:
        """Counts the end of a started request that was cancelled."""

    def on_cold_start(self, cold_slots: int) -> None:
        """Lowers the limit to ``cold_slots`` after a sign of cold start."""


LIMITS: Registry[type[ConcurrencyLimit]] = Registry("limit")


class _BaseLimit:
    """Base of all limits: counts requests, limits cold servers and checks invariants."""

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
        """Number of requests that may be in flight now."""
        return max(1, min(self._slots, self._ramp.bound, self._warm_limit()))

    @property
    def cold(self) -> bool:
        """Whether the server is treated as in cold start."""
        return self._ramp.cold

    @property
    def latency_ms(self) -> float:
        """Recent latency in milliseconds; 0 before the first answer."""
        return self._latency.recent_ms

    def can_start(self) -> bool:
        """Returns whether one more request may be sent."""
        return self.in_flight < self.limit

    def on_start(self) -> bool:
        """Counts a request that is about to be sent; returns False if it must not be sent."""
        facts = {"in_flight": self.in_flight, "limit": self.limit, "slots": self._slots}
        if not check(self.in_flight < self.limit, "in_flight_within_limit", **facts):
            return False
        if not check(self.in_flight < self._ramp.bound, "cold_bound", **facts):
            return False
        self.in_flight += 1
        return True

    def on_finish(self, latency_ms: float, ok: bool) -> None:
        """Counts the answer or the failure of a started request."""
        self.in_flight -= 1
        if not ok:
            self._ramp.on_failure()
            self._decrease()
            return
        self._sheds = 0
        self._ramp.on_success()
        self._on_latency(latency_ms)

    def on_shed(self) -> None:
        """Counts a started request that the server refused to execute."""
        self.in_flight -= 1
        self._sheds += 1
        self._ramp.on_failure()
        if self.cold and self._ramp.bound > self._cold_slots:
            self._ramp.on_step_refused()
        self._decrease()
        if self.cold or self._sheds >= self._cold_sheds:
            self.on_cold_start(self._cold_slots)

    def on_cancelled(self) -> None:
        """Counts the end of a started request that was cancelled."""
        self.in_flight -= 1

    def on_cold_start(self, cold_slots: int) -> None:
        """Lowers the limit to ``cold_slots`` after a sign of cold start."""
        if not self.cold:
            log.info(
                "Backend server is treated as cold. Its limit is lowered to %d of %d slots.",
                cold_slots,
                self._slots,
            )
        self._sheds = 0
        self._ramp.restart_at(cold_slots)

    def _warm_limit(self) -> int:
        return self._slots

    def _decrease(self) -> None:
        """Lowers the warm limit after a failure or a refusal; does nothing by default."""

    def _on_latency(self, latency_ms: float) -> None:
        self._latency.add(latency_ms)


@LIMITS.register("fixed")
class FixedLimit(_BaseLimit):
    """Allows all slots at any latency, except in cold start; the baseline for comparisons."""


@LIMITS.register("adaptive")
class AdaptiveLimit(_BaseLimit):
    """Lowers the limit when latency rises, and raises it by one per window when it recovers.

    Answers are evaluated in windows of ``window_answers``: if their mean latency exceeds
    ``slow_factor`` times the long-term latency, the limit is multiplied by ``decrease``, but
    never falls below ``limit_floor_share`` of the slots. ``jump_answers`` answers in a row
    that each exceed ``jump_factor`` times the long-term latency count as a cold start.
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
        self._min_limit = max(1.0, slots * floor_share)
        self._adaptive_limit = float(slots)
        self._answers_above_jump = 0
        self._window_sum_ms = 0.0
        self._window_count = 0

    def _warm_limit(self) -> int:
        return int(self._adaptive_limit)

    def _decrease(self) -> None:
        self._adaptive_limit = max(self._min_limit, self._adaptive_limit * self._decrease_ratio)

    def _on_latency(self, latency_ms: float) -> None:
        if self._is_latency_jump(latency_ms):
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
        self._adaptive_limit = min(float(self._slots), self._adaptive_limit + 1.0)

    def _is_latency_jump(self, latency_ms: float) -> bool:
        threshold_ms = self._jump_factor * self._latency.long_term_ms
        if not self._latency.has_enough_samples or latency_ms <= threshold_ms:
            self._answers_above_jump = 0
            return False
        self._answers_above_jump += 1
        if self._answers_above_jump < self._jump_answers:
            return False
        self._answers_above_jump = 0
        return True
