"""Statistics for the policy measurements."""

from __future__ import annotations

import logging
import math
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

log = logging.getLogger(__name__)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the value below which ``share`` of the values lie, NaN if there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def medians(run: Callable[[int], dict[str, float]], seeds: Sequence[int]) -> dict[str, float]:
    """Returns the median of each figure over runs with the given seeds."""
    runs = [run(seed) for seed in seeds]
    return {name: statistics.median(figures[name] for figures in runs) for name in runs[0]}
