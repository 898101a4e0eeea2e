"""Times at which a candidate requests a right, and peers that answer without long gaps."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from greengagefall.coordination.dispatch_right import DispatchRight
    from greengagefall.utils.clock import Clock

RANK_STEP_S = 0.15
MAX_JITTER_S = 0.05
MAX_BACKOFF_S = 0.3
PEER_STABLE_AFTER_S = 5.0
MAX_ANSWER_GAP_S = 1.5


class RequestSchedule:
    """Schedule of the requests for one right.

    Attributes:
        right: The right.
        rank: Rank of this host among the candidates, 0 for the preferred one, ``None`` if this host
            is no candidate.
        next_at_s: Time of the next request.
        not_before_s: Earliest time to request a right that this host does not hold.
        attempts: Requests without success since the last backoff.
        last_sent_fence: Fence that was sent last.
    """

    def __init__(self, right: DispatchRight, rank: int) -> None:
        self.right = right
        self.rank: int | None = rank
        self.next_at_s = 0.0
        self.not_before_s = 0.0
        self.attempts = 0
        self.last_sent_fence = 0

    def rank_delay_s(self, rng: random.Random) -> float:
        """Returns how long a candidate waits for the candidates that are preferred to it."""
        return (self.rank or 0) * RANK_STEP_S + rng.uniform(0, MAX_JITTER_S)

    def backoff_s(self, rng: random.Random) -> float:
        """Returns how long a candidate waits after it gave back its endorsements."""
        return (self.rank or 0) * RANK_STEP_S + rng.uniform(0, MAX_BACKOFF_S)


class PeerStability:
    """Tracks which peers have answered without a long gap for ``PEER_STABLE_AFTER_S``."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_s: dict[str, float] = {}
        self._last_s: dict[str, float] = {}

    def clear(self) -> None:
        """Removes all recorded answers."""
        self._since_s.clear()
        self._last_s.clear()

    def record_answer(self, host: str) -> None:
        """Records that a peer answered now."""
        now_s = self._clock.now_s()
        if not self._is_recent(host, now_s):
            self._since_s[host] = now_s
        self._last_s[host] = now_s

    def is_stable(self, host: str) -> bool:
        """Returns whether a peer has answered without a long gap for ``PEER_STABLE_AFTER_S``."""
        now_s = self._clock.now_s()
        return self._is_recent(host, now_s) and now_s - self._since_s[host] >= PEER_STABLE_AFTER_S

    def _is_recent(self, host: str, now_s: float) -> bool:
        last_s = self._last_s.get(host)
        return last_s is not None and now_s - last_s <= MAX_ANSWER_GAP_S
