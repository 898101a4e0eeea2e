"""Choice of a server of a pooled back end for one request."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping, Sequence

    from greengagefall.balancing.server_views import ServerView

log = logging.getLogger(__name__)

DEFAULT_SPILL_QUEUE = 1.0
DEFAULT_SPILL_RATIO = 2.0
DEFAULT_LATENCY_MS = 1.0


class ServerPick(Protocol):
    """Chooses among the servers of one pooled back end."""

    def pick(
        self, candidates: Sequence[ServerView], own_zone: str, exclude: Collection[str]
    ) -> str | None:
        """Returns the name of a server, or None if none may be tried.

        Args:
            candidates: Servers that policy allows, in zones that are in.
            own_zone: Availability zone of the entry host.
            exclude: Servers that were tried already.
        """


SERVER_PICKS: Registry[type[ServerPick]] = Registry("pick")


def available_views(candidates: Sequence[ServerView], exclude: Collection[str]) -> list[ServerView]:
    """Returns the candidates that are available and were not tried."""
    return [view for view in candidates if view.available and view.name not in exclude]


def expected_latency_ms(view: ServerView) -> float:
    """Returns the time that one more request would take at the server."""
    latency_ms = view.latency_ms or DEFAULT_LATENCY_MS / view.weight
    waiting_rounds = max(0, view.queue_length + 1 - view.slots) / view.slots
    return latency_ms * (1.0 + waiting_rounds) + busy_tie_break_ms(view, latency_ms)


def busy_tie_break_ms(view: ServerView, latency_ms: float) -> float:
    """Returns a small cost that prefers idle servers among equals."""
    return latency_ms * 0.1 * view.queue_length / view.slots


@SERVER_PICKS.register("round_robin")
class RoundRobinPick:
    """Takes turns over all zones; the baseline."""

    def __init__(self, rng: random.Random, tuning: Mapping[str, float] | None = None) -> None:
        self._turn = rng.randrange(1 << 16)

    def pick(
        self, candidates: Sequence[ServerView], own_zone: str, exclude: Collection[str]
    ) -> str | None:
        """Returns the next server in turn."""
        open_views = available_views(candidates, exclude)
        if not open_views:
            return None
        self._turn += 1
        return open_views[self._turn % len(open_views)].name


@SERVER_PICKS.register("two_choices")
class TwoChoicesPick:
    """Draws two servers of the own zone and takes the one that answers sooner.

    The draw spills over to the other zones when the choice in the own zone is queueing
    (``spill_queue`` times its slots) or takes ``spill_ratio`` times as long as theirs.
    """

    def __init__(self, rng: random.Random, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._rng = rng
        self._spill_queue = tuning.get("spill_queue", DEFAULT_SPILL_QUEUE)
        self._spill_ratio = tuning.get("spill_ratio", DEFAULT_SPILL_RATIO)

    def pick(
        self, candidates: Sequence[ServerView], own_zone: str, exclude: Collection[str]
    ) -> str | None:
        """Returns the better of two servers, in the own zone if that is good enough."""
        open_views = available_views(candidates, exclude)
        near = self._better_of_two([view for view in open_views if view.zone == own_zone])
        far = self._better_of_two([view for view in open_views if view.zone != own_zone])
        if near is None:
            return far.name if far is not None else None
        if far is None or not self._spills(near, far):
            return near.name
        return far.name

    def _better_of_two(self, views: list[ServerView]) -> ServerView | None:
        if not views:
            return None
        drawn = self._rng.sample(views, min(2, len(views)))
        return min(drawn, key=expected_latency_ms)

    def _spills(self, near: ServerView, far: ServerView) -> bool:
        if expected_latency_ms(far) >= expected_latency_ms(near):
            return False
        if near.queue_length >= self._spill_queue * near.slots:
            return True
        return expected_latency_ms(near) > self._spill_ratio * expected_latency_ms(far)
