"""Refusals of the limits package and their reasons."""

from __future__ import annotations

from typing import NamedTuple

QUEUE_FULL = "queue_full"
QUEUE_SHED = "queue_shed"
DEADLINE_EXPIRED = "deadline_expired"
DEADLINE_UNREACHABLE = "deadline_unreachable"
CALLER_OVER_LIMIT = "caller_over_limit"
CALLER_OVER_FAIR_SHARE = "caller_over_fair_share"
ENTRY_OVER_LIMIT = "entry_over_limit"

LIMIT_REASONS = (
    QUEUE_FULL,
    QUEUE_SHED,
    DEADLINE_EXPIRED,
    DEADLINE_UNREACHABLE,
    CALLER_OVER_LIMIT,
    CALLER_OVER_FAIR_SHARE,
    ENTRY_OVER_LIMIT,
)


class LimitRefusal(NamedTuple):
    """Refusal of a request that was not admitted and not executed.

    Attributes:
        reason: One of ``LIMIT_REASONS``.
        retry_after_ms: Delay after which a retry may be admitted; 0 if unknown.
    """

    reason: str
    retry_after_ms: int
