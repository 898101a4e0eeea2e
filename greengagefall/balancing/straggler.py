"""History of what a request costs each server, without passing stragglers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_STRAGGLER_HOLD_S = 30.0
DEVIATION_FACTOR = 1.5
SMOOTHING_WEIGHT = 0.3


class CostHistory:
    """Follows small changes at once and large ones after ``straggler_hold_s``."""

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._clock = clock
        self._hold_s = tuning.get("straggler_hold_s", DEFAULT_STRAGGLER_HOLD_S)
        self._settled: dict[str, float] = {}
        self._deviant_since_s: dict[str, float] = {}

    def update(self, observed: Mapping[str, float]) -> dict[str, float]:
        """Returns the costs to plan with, by server."""
        self._forget_absent(observed)
        return {name: self._settle(name, cost) for name, cost in observed.items()}

    def _settle(self, name: str, cost: float) -> float:
        known = self._settled.setdefault(name, cost)
        if known / DEVIATION_FACTOR <= cost <= known * DEVIATION_FACTOR:
            self._deviant_since_s.pop(name, None)
            self._settled[name] = known + SMOOTHING_WEIGHT * (cost - known)
            return self._settled[name]
        now_s = self._clock.now_s()
        since_s = self._deviant_since_s.setdefault(name, now_s)
        if now_s - since_s >= self._hold_s:
            self._settled[name] = cost
            del self._deviant_since_s[name]
        return self._settled[name]

    def _forget_absent(self, observed: Mapping[str, float]) -> None:
        for name in set(self._settled) - set(observed):
            del self._settled[name]
            self._deviant_since_s.pop(name, None)
