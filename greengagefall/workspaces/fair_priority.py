"""Chooses the priority of a request, so that no workspace starves and none floods the others.

Dispatchers start and keep requests strictly by priority. Under lasting overload that alone would
serve nothing of the least urgent workspaces, and a workspace that sends many times its usual load
would displace others of its priority. No counts are exchanged between hosts: the first rule needs
only how many requests of all workspaces are served, and a flood is large enough to be seen by each
host that gets it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from greengagefall.utils.clock import Clock
    from greengagefall.workspaces.directory import Workspace

MOST_URGENT = 0
# Share of requests sent as the most urgent ones whatever their priority, relative to the share of
# all requests that is served. A workspace may be served at worst a quarter as often as all
# together; the rest is a margin for chance.
PROMOTED_SHARE = 0.3
OUTCOMES_S = 10.0
RECENT_S = 5.0
USUAL_S = 300.0
# Before this time the usual load of a workspace counts as unknown.
MIN_USUAL_AGE_S = 60.0
# Multiple of the usual load from which requests are in excess, and the least recent requests.
EXCESS_FACTOR = 2.0
MIN_EXCESS_REQUESTS = 20.0
# Added to the priority of requests in excess. Above all priorities that a configuration may have
# (MAX_NUMBER of the platform's fields), and still exact as a float.
EXCESS_PRIORITY = 10**13


class _Load:
    """Requests of one workspace, with exponentially decreasing weights.

    Requests in excess do not count as usual ones, so that a flood does not become usual at once.
    """

    def __init__(self, now_s: float) -> None:
        self._first_s = self._last_s = now_s
        self._recent = 0.0
        self._usual = 0.0

    def add(self, now_s: float) -> None:
        """Counts a request as a recent one."""
        passed_s = now_s - self._last_s
        self._recent = self._recent * math.exp(-passed_s / RECENT_S) + 1
        self._usual *= math.exp(-passed_s / USUAL_S)
        self._last_s = now_s

    def add_usual(self) -> None:
        """Counts the last request as one of the usual load."""
        self._usual += 1

    def excess_share(self) -> float:
        """Returns the share of the recent requests that is beyond the allowed load."""
        age_s = self._last_s - self._first_s
        if age_s < MIN_USUAL_AGE_S:
            return 0.0
        usual_per_s = self._usual / (USUAL_S * -math.expm1(-age_s / USUAL_S))
        allowed = max(MIN_EXCESS_REQUESTS, EXCESS_FACTOR * usual_per_s * RECENT_S)
        return max(0.0, 1 - allowed / self._recent)


class _ServedShare:
    """Share of recent requests that was served, with exponentially decreasing weights."""

    def __init__(self) -> None:
        self._last_s = 0.0
        self._served = 0.0
        self._all = 0.0

    def add(self, now_s: float, served: bool) -> None:
        """Counts an outcome."""
        kept = math.exp((self._last_s - now_s) / OUTCOMES_S)
        self._served = self._served * kept + served
        self._all = self._all * kept + 1
        self._last_s = now_s

    def value(self) -> float:
        """Returns the share; 1 before the first outcome."""
        return self._served / self._all if self._all else 1.0


class FairPriorities:
    """Priorities of the requests that this host gets.

    Args:
        clock: Monotonic clock.
        random: Chooses which requests are promoted, or are those in excess.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._loads: dict[str, _Load] = {}
        self._served = _ServedShare()

    def record(self, workspace: Workspace | None, served: bool) -> None:
        """Records whether a request was served."""
        if workspace is not None:
            self._served.add(self._clock.now_s(), served)

    def choose(self, priority: int, workspace: Workspace | None) -> int:
        """Counts a request and returns the priority to send it with, for its own one."""
        if workspace is None:
            return priority
        now_s = self._clock.now_s()
        load = self._loads.get(workspace.name)
        if load is None:
            load = self._loads[workspace.name] = _Load(now_s)
        load.add(now_s)
        if self._random.random() < load.excess_share():
            return priority + EXCESS_PRIORITY
        load.add_usual()
        if self._random.random() < PROMOTED_SHARE * self._served.value():
            return MOST_URGENT
        return priority
