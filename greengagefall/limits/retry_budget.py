"""Budget that keeps retries a small share of first tries."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)


class RetryBudget:
    """Token bucket: each first try earns ``ratio`` of a retry, up to ``burst``."""

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that could be spent now."""
        return self._tokens

    def on_first_attempt(self) -> None:
        """Earns the share of one first try."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes one retry from the budget, or returns False when it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
