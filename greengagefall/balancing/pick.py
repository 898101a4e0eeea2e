"""Picks a server of a pooled back end for one request."""

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
    """Picks servers of one pooled back end."""

    def pick(
        self, candidates: Sequence[ServerView], own_zone: str, exclude: Collection[str]
    ) -> str | None:
        """Returns the name of a server, or None if no server is available.

        Args:
            candidates: Servers that the policy allows, in availability zones in state ``in``.
            own_zone: Availability zone of the entry host.
            exclude: Servers not to pick, for example because of an earlier attempt or an ejection.
        """


SERVER_PICKS: Registry[type[ServerPick]] = Registry("pick")


def available_views(candidates: Sequence[ServerView], exclude: Collection[str]) -> list[ServerView]:
    """Returns the candidates that are available and not excluded."""
    return [view for view in candidates if view.available and view.name not in exclude]


def expected_latency_ms(view: ServerView) -> float:
    """Returns the expected latency of one more request at the server.

    It grows with the requests already queued there, counted in rounds of its slots.
    """
    latency_ms = view.latency_ms or DEFAULT_LATENCY_MS / view.weight
    queued_rounds = max(0, view.queue_length + 1 - view.slots) / view.slots
    return latency_ms * (1.0 + queued_rounds) + busy_tie_break_ms(view, latency_ms)


def busy_tie_break_ms(view: ServerView, latency_ms: float) -> float:
    """Returns a small addition to the latency that prefers the less busy of equal servers."""
    return latency_ms * 0.1 * view.queue_length / view.slots


@SERVER_PICKS.register("round_robin")
class RoundRobinPick:
    """Picks servers of all zones in turn; the baseline."""

    def __init__(self, rng: random.Random, tuning: Mapping[str, float] | None = None) -> None:
        self._turn = rng.randrange(1 << 16)

    def pick(
        self, candidates: Sequence[ServerView], own_zone: str, exclude: Collection[str]
    ) -> str | None:
        """Returns the next server in turn."""
        available = available_views(candidates, exclude)
        if not available:
            return None
        self._turn += 1
        return available[self._turn % len(available)].name


@SERVER_PICKS.register("two_choices")
class TwoChoicesPick:
    """Draws two servers of the same zone and picks the one with the lower expected latency.

    It picks a server of another zone in the same way if that one's expected latency is lower,
    and the server of the same zone has a queue of at least ``spill_queue`` times its slots or
    more than ``spill_ratio`` times the other's expected latency.
    """

    def __init__(self, rng: random.Random, tuning: Mapping[str, float] | None = None) -> None:
        tuning = tuning or {}
        self._rng = rng
        self._spill_queue = tuning.get("spill_queue", DEFAULT_SPILL_QUEUE)
        self._spill_ratio = tuning.get("spill_ratio", DEFAULT_SPILL_RATIO)

    def pick(
        self, candidates: Sequence[ServerView], own_zone: str, exclude: Collection[str]
    ) -> str | None:
        """Returns the better of two drawn servers, in the same zone unless the request spills."""
        available = available_views(candidates, exclude)
        same_zone = self._better_of_two([view for view in available if view.zone == own_zone])
        other_zone = self._better_of_two([view for view in available if view.zone != own_zone])
        if same_zone is None:
            return other_zone.name if other_zone is not None else None
        if other_zone is None or not self._spills(same_zone, other_zone):
            return same_zone.name
        return other_zone.name

    def _better_of_two(self, views: list[ServerView]) -> ServerView | None:
        if not views:
            return None
        drawn = self._rng.sample(views, min(2, len(views)))
        return min(drawn, key=expected_latency_ms)

    def _spills(self, same_zone: ServerView, other_zone: ServerView) -> bool:
        if expected_latency_ms(other_zone) >= expected_latency_ms(same_zone):
            return False
        if same_zone.queue_length >= self._spill_queue * same_zone.slots:
            return True
        return expected_latency_ms(same_zone) > self._spill_ratio * expected_latency_ms(other_zone)
