"""Counts decisions against clients and logs them at a bounded rate."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagefall.memory.connections import IDLE_TIMEOUT
from greengagefall.utils.metrics import count
from greengagefall.utils.token_bucket import TokenBucket

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

# Bounds of the lines of each kind of decision, so that a crowd leaves room for other lines.
LINES_PER_S = 1.0
BURST_LINES = 10.0
# Ordinary clients leave connections idle, too.
NORMAL_REASONS = frozenset({IDLE_TIMEOUT})
COUNTERS = {
    "evicted": "memory_evictions",
    "refused": "memory_refusals",
    "closed": "client_connections_closed",
    "paused": "accepting_paused",
}


class DecisionLog:
    """Records decisions: all in a counter, and one line for each up to a rate.

    Args:
        clock: Clock that counts suspended time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[tuple[str, str], TokenBucket] = {}
        self._unlogged: dict[tuple[str, str], int] = {}

    def record(self, decision: str, reason: str, **inputs: object) -> None:
        """Records a decision.

        Args:
            decision: Name in ``COUNTERS``.
            reason: Why, or the part of the memory that was short.
            **inputs: What the decision was based on.
        """
        count(COUNTERS[decision], reason=reason)
        kind = (decision, reason)
        if kind not in self._budgets:
            self._budgets[kind] = TokenBucket(LINES_PER_S, BURST_LINES, self._clock)
        if not self._budgets[kind].try_take():
            self._unlogged[kind] = self._unlogged.get(kind, 0) + 1
            return
        log.log(
            logging.INFO if reason in NORMAL_REASONS else logging.WARNING,
            "Client's share of this host was limited.",
            extra={
                "decision": decision,
                "reason": reason,
                "unlogged_before": self._unlogged.pop(kind, 0),
                **inputs,
            },
        )
