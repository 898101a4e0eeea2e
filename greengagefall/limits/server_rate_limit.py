"""The request rate that a backend server says it takes, as its answers name it.

A server in need names a limit with its answers for as long as the limit applies. Answers may arrive
in another order than the server sent them, so an answer without a limit ends the limit only if its
request was sent after the last answer that named one.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

UNLIMITED = math.inf


def logged_rate_per_s(rate_per_s: float) -> float | None:
    """Returns a rate for a log line; None for ``UNLIMITED``, which JSON cannot express."""
    return None if rate_per_s == UNLIMITED else rate_per_s


class ServerRateLimit:
    """The rate limit that one server named last.

    Args:
        clock: Monotonic clock.

    Attributes:
        rate_per_s: Requests per second that the server takes; ``UNLIMITED`` if it names no limit.
    """

    def __init__(self, clock: Clock) -> None:
        self.rate_per_s = UNLIMITED
        self._clock = clock
        self._named_s = -math.inf

    def on_answer(self, rate_per_s: float, sent_s: float) -> bool:
        """Records what an answer names; returns whether the limit changed.

        Args:
            rate_per_s: The limit in the answer, ``UNLIMITED`` for none.
            sent_s: When the answered request was sent.
        """
        if rate_per_s == UNLIMITED and sent_s <= self._named_s:
            return False
        if rate_per_s != UNLIMITED:
            self._named_s = self._clock.now_s()
        changed = rate_per_s != self.rate_per_s
        self.rate_per_s = rate_per_s
        return changed
