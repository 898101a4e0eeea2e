"""Smooths the observed cost of a request by server, which ignores short slowness."""

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
    """Smooths small changes of a server's cost and delays large ones.

    A cost within ``DEVIATION_FACTOR`` of the accepted one is averaged into it. A cost outside is
    accepted only after the deviation has lasted ``straggler_hold_s``.
    """

    def __init__(self, clock: Clock, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._clock = clock
        self._hold_s = tuning.get("straggler_hold_s", DEFAULT_STRAGGLER_HOLD_S)
        self._accepted: dict[str, float] = {}
        self._deviating_since_s: dict[str, float] = {}

    def update(self, observed: Mapping[str, float]) -> dict[str, float]:
        """Returns the costs to plan with, by server."""
        self._remove_absent(observed)
        return {name: self._update_cost(name, cost) for name, cost in observed.items()}

    def _update_cost(self, name: str, cost: float) -> float:
        accepted = self._accepted.setdefault(name, cost)
        if accepted / DEVIATION_FACTOR <= cost <= accepted * DEVIATION_FACTOR:
            self._deviating_since_s.pop(name, None)
            self._accepted[name] = accepted + SMOOTHING_WEIGHT * (cost - accepted)
            return self._accepted[name]
        now_s = self._clock.now_s()
        since_s = self._deviating_since_s.setdefault(name, now_s)
        if now_s - since_s >= self._hold_s:
            self._accepted[name] = cost
            del self._deviating_since_s[name]
        return self._accepted[name]

    def _remove_absent(self, observed: Mapping[str, float]) -> None:
        for name in set(self._accepted) - set(observed):
            del self._accepted[name]
            self._deviating_since_s.pop(name, None)
