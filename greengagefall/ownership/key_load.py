"""Request rates by key, from counts that dispatchers report."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter

MAX_REPORTED_KEYS = 256
MAX_TRACKED_KEYS = 20_000
MIN_TRACKED_RATE_PER_S = 0.02
# Time constants after which the origin moves, well before numbers grow out of range.
MAX_TIME_CONSTANTS = 20.0


class KeyCounter:
    """Counts requests by key between two reports, in bounded memory."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, key: int) -> None:
        """Counts a request."""
        self._counts[key] += 1

    def pop_counts(self) -> list[int]:
        """Returns keys and counts in turns, and starts anew.

        Beyond ``MAX_REPORTED_KEYS`` the least frequent keys count for the next reported one.
        """
        counts = self._counts
        self._counts = Counter()
        if len(counts) > MAX_REPORTED_KEYS:
            counts = _folded(counts)
        return [figure for pair in sorted(counts.items()) for figure in pair]


class KeyRates:
    """Requests per second by key, weighted towards the recent past.

    Rates are kept as they would be at a common origin in time, so that time passes without a
    look at every key.

    Args:
        memory_s: Time constant of the weights.
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._rates_at_origin: dict[int, float] = {}
        self._origin_s = 0.0
        self._growth = 1.0
        self._keys: list[int] = []
        self._sums: list[float] = [0.0]

    def add(self, key: int, requests: int) -> None:
        """Counts requests; ``decay_to`` has to be called first."""
        rate = requests / self._memory_s * self._growth
        self._rates_at_origin[key] = self._rates_at_origin.get(key, 0.0) + rate

    def decay_to(self, now_s: float) -> None:
        """Lets older counts fade up to now."""
        passed = (now_s - self._origin_s) / self._memory_s
        if passed > MAX_TIME_CONSTANTS:
            self._move_origin(now_s)
            return
        self._growth = math.exp(passed)

    def build_prefix_sums(self) -> None:
        """Prepares sums over ranges; call it after the last ``add`` of a round."""
        self._forget()
        self._keys = sorted(self._rates_at_origin)
        total = 0.0
        self._sums = [0.0]
        for key in self._keys:
            total += self._rates_at_origin[key] / self._growth
            self._sums.append(total)

    def _move_origin(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self._origin_s) / self._memory_s)
        self._rates_at_origin = {key: rate * factor for key, rate in self._rates_at_origin.items()}
        self._origin_s = now_s
        self._growth = 1.0
        self._forget()

    def _forget(self) -> None:
        least = MIN_TRACKED_RATE_PER_S * self._growth
        kept = {key: rate for key, rate in self._rates_at_origin.items() if rate > least}
        if len(kept) > MAX_TRACKED_KEYS:
            kept = dict(Counter(kept).most_common(MAX_TRACKED_KEYS))
        self._rates_at_origin = kept

    def rate(self, first: int, last: int) -> float:
        """Returns the requests per second on a range of keys."""
        low = bisect_left(self._keys, first)
        high = bisect_right(self._keys, last)
        return self._sums[high] - self._sums[low]

    def prefix_end(self, first: int, last: int, wanted: float) -> int:
        """Returns the last key of the longest prefix of a range with at most ``wanted``.

        It is below ``first`` if the first busy key alone has more.
        """
        low = bisect_left(self._keys, first)
        high = bisect_right(self._keys, last)
        within = bisect_right(self._sums, self._sums[low] + wanted, low, high + 1) - 1
        if within >= high:
            return last
        return self._keys[within] - 1


def _folded(counts: Counter[int]) -> Counter[int]:
    reported = sorted(key for key, _ in counts.most_common(MAX_REPORTED_KEYS))
    folded: Counter[int] = Counter()
    for key, requests in counts.items():
        index = min(bisect_left(reported, key), len(reported) - 1)
        folded[reported[index]] += requests
    return folded
