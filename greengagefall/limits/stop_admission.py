"""Decides which requests a stopping host still takes, so that none is cut when it exits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

# Share of the grace period after which no new request is taken, so that the host can exit early.
REFUSE_SHARE = 0.5
# Part of the grace period that is reserved for the exit of the process itself.
EXIT_RESERVE_S = 0.4
# Time after a deadline within which the last answer to its request has arrived here.
LATE_ANSWER_S = 0.25


class StopTimes(NamedTuple):
    """Times of a planned stop.

    Attributes:
        refuse_from_s: From then on no new request is taken.
        end_s: By then all requests must have their answers.
    """

    refuse_from_s: float
    end_s: float


NOT_STOPPING = StopTimes(math.inf, math.inf)


def plan_stop(stopped_s: float, grace_s: float) -> StopTimes:
    """Returns the times of a stop that begins at ``stopped_s``."""
    end_s = stopped_s + max(0.0, grace_s - EXIT_RESERVE_S)
    return StopTimes(min(stopped_s + REFUSE_SHARE * grace_s, end_s), end_s)


class StopAdmission:
    """Tells whether a request is certain to end before the host does.

    Args:
        clock: Clock that counts suspended time.

    Attributes:
        times: Times of the stop, ``NOT_STOPPING`` before it begins.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.times = NOT_STOPPING

    def begin(self, grace_s: float) -> StopTimes:
        """Begins the stop; a stop that has begun keeps its times."""
        if self.times == NOT_STOPPING:
            self.times = plan_stop(self._clock.now_s(), grace_s)
        return self.times

    def refuse_new(self) -> None:
        """Takes no new request from now on, because the host exits."""
        self.times = self.times._replace(refuse_from_s=self._clock.now_s())

    def fits(self, deadline_s: float) -> bool:
        """Returns whether a request with this deadline ends before the host does."""
        return deadline_s + LATE_ANSWER_S <= self.times.end_s

    def accepts(self, deadline_s: float) -> bool:
        """Returns whether a new request with this deadline is taken."""
        if self._clock.now_s() >= self.times.refuse_from_s:
            return False
        return self.fits(deadline_s)
