"""Budget that limits retries to a small share of first attempts."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)


class RetryBudget:
    """Token bucket: each first attempt adds ``ratio`` tokens up to ``burst``; a retry takes one."""

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Number of tokens left."""
        return self._tokens

    def on_first_attempt(self) -> None:
        """Adds the tokens of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes one token for a retry, or returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
