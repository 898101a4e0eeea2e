"""Backoff delays before retries and reconnections."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

log = logging.getLogger(__name__)

MAX_DOUBLINGS = 30


def full_jitter(attempt: int, base_ms: float, cap_ms: float, rng: random.Random) -> float:
    """Returns a delay in milliseconds, uniform from 0 to an exponential bound.

    Args:
        attempt: Number of the retry, 0 for the first one.
        base_ms: Upper bound of the delay for the first retry.
        cap_ms: Upper bound of the delay for any retry.
        rng: Source of randomness.
    """
    doublings = min(attempt, MAX_DOUBLINGS)
    bound_ms = min(cap_ms, base_ms * 2**doublings)
    return rng.uniform(0.0, bound_ms)
