"""Hedging: second, concurrent attempts of slow idempotent requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from greengagefall.limits.retry_budget import RetryBudget
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping

log = logging.getLogger(__name__)

DEFAULT_HEDGE_RATIO = 0.05
DEFAULT_HEDGE_BURST = 10.0
DEFAULT_HEDGE_QUANTILE = 0.95
DEFAULT_HEDGE_MIN_MS = 1.0
MAX_SAMPLES = 512
SAMPLES_PER_UPDATE = 32
MIN_SAMPLES = 64


class Hedge(Protocol):
    """Decides when a request is hedged, that is, also sent to another server."""

    def on_request(self) -> None:
        """Counts a first attempt."""

    def on_latency(self, latency_ms: float) -> None:
        """Records the time from a first attempt to its answer."""

    def delay_ms(self, repeatable: bool) -> float | None:
        """Returns how long to wait for an answer before hedging, or None for no hedge."""

    def try_spend(self) -> bool:
        """Takes one hedge from the budget; returns False if the budget is spent."""


HEDGES: Registry[type[Hedge]] = Registry("hedge")


@HEDGES.register("off")
class NoHedge:
    """Never hedges; the baseline."""

    def __init__(self, tuning: Mapping[str, float] | None = None) -> None:
        pass

    def on_request(self) -> None:
        """Does nothing."""

    def on_latency(self, latency_ms: float) -> None:
        """Does nothing."""

    def delay_ms(self, repeatable: bool) -> float | None:
        """Returns None."""
        return None

    def try_spend(self) -> bool:
        """Returns False."""
        return False


@HEDGES.register("after_p95")
class QuantileHedge:
    """Hedges a request that takes longer than most recent ones.

    Tuning: the ``hedge_quantile`` quantile of recent latencies is the delay, at least
    ``hedge_min_ms``. ``hedge_ratio`` bounds the hedges per first attempt.
    """

    def __init__(self, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._quantile = tuning.get("hedge_quantile", DEFAULT_HEDGE_QUANTILE)
        self._min_ms = tuning.get("hedge_min_ms", DEFAULT_HEDGE_MIN_MS)
        ratio = tuning.get("hedge_ratio", DEFAULT_HEDGE_RATIO)
        self._budget = RetryBudget(ratio, tuning.get("hedge_burst", DEFAULT_HEDGE_BURST))
        self._samples: list[float] = []
        self._sample_count = 0
        self._delay_ms: float | None = None

    def on_request(self) -> None:
        """Counts a first attempt."""
        self._budget.on_first_attempt()

    def on_latency(self, latency_ms: float) -> None:
        """Records the time from a first attempt to its answer."""
        if len(self._samples) < MAX_SAMPLES:
            self._samples.append(latency_ms)
        else:
            self._samples[self._sample_count % MAX_SAMPLES] = latency_ms
        self._sample_count += 1
        if self._sample_count >= MIN_SAMPLES and self._sample_count % SAMPLES_PER_UPDATE == 0:
            ordered = sorted(self._samples)
            self._delay_ms = max(self._min_ms, ordered[int(self._quantile * len(ordered))])

    def delay_ms(self, repeatable: bool) -> float | None:
        """Returns the latency quantile, or None for a request that is not idempotent."""
        if not repeatable:
            return None
        return self._delay_ms

    def try_spend(self) -> bool:
        """Takes one hedge from the budget; returns False if the budget is spent."""
        return self._budget.try_spend()
