"""Estimates request rates by key from the counts that dispatchers report."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter

MAX_REPORTED_KEYS = 256
MAX_TRACKED_KEYS = 20_000
MIN_TRACKED_RATE_PER_S = 0.02
# Number of time constants after which the origin in time moves to the present. It keeps the
# growth factor, which is exponential in this number, far below the range limit of a float.
MAX_TIME_CONSTANTS = 20.0


class KeyCounter:
    """Counts requests by key between two reports, in bounded memory."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, key: int) -> None:
        """Counts a request."""
        self._counts[key] += 1

    def pop_counts(self) -> list[int]:
        """Returns keys and counts as an alternating list, and resets the counts.

        With more than ``MAX_REPORTED_KEYS`` keys, requests of the least frequent ones are
        counted for the next higher reported key, or for the highest one.
        """
        counts = self._counts
        self._counts = Counter()
        if len(counts) > MAX_REPORTED_KEYS:
            counts = _merge_into_reported(counts)
        return [value for pair in sorted(counts.items()) for value in pair]


class KeyRates:
    """Requests per second by key, weighted towards the recent past.

    Rates are stored relative to a common origin in time, so that they decay without an update of
    every key.

    Args:
        time_constant_s: Time constant of the decay, in seconds.
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._rates_at_origin: dict[int, float] = {}
        self._origin_s = 0.0
        self._growth = 1.0
        self._keys: list[int] = []
        self._sums: list[float] = [0.0]

    def standard_error(self, rate_per_s: float) -> float:
        """Returns the standard error of a rate, if requests arrive independently of each other."""
        return math.sqrt(max(0.0, rate_per_s) / (2 * self._time_constant_s))

    def add(self, key: int, requests: int) -> None:
        """Adds requests of a key; call ``decay_to`` with the current time first."""
        rate = requests / self._time_constant_s * self._growth
        self._rates_at_origin[key] = self._rates_at_origin.get(key, 0.0) + rate

    def decay_to(self, now_s: float) -> None:
        """Decays the rates up to ``now_s``."""
        time_constants = (now_s - self._origin_s) / self._time_constant_s
        if time_constants > MAX_TIME_CONSTANTS:
            self._move_origin(now_s)
            return
        self._growth = math.exp(time_constants)

    def build_prefix_sums(self) -> None:
        """Builds the sums that ``rate`` uses; call it after the last ``add`` of a round."""
        self._drop_rare_keys()
        self._keys = sorted(self._rates_at_origin)
        total = 0.0
        self._sums = [0.0]
        for key in self._keys:
            total += self._rates_at_origin[key] / self._growth
            self._sums.append(total)

    def _move_origin(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self._origin_s) / self._time_constant_s)
        self._rates_at_origin = {key: rate * factor for key, rate in self._rates_at_origin.items()}
        self._origin_s = now_s
        self._growth = 1.0
        self._drop_rare_keys()

    def _drop_rare_keys(self) -> None:
        min_rate = MIN_TRACKED_RATE_PER_S * self._growth
        kept = {key: rate for key, rate in self._rates_at_origin.items() if rate > min_rate}
        if len(kept) > MAX_TRACKED_KEYS:
            kept = dict(Counter(kept).most_common(MAX_TRACKED_KEYS))
        self._rates_at_origin = kept

    def rate(self, first: int, last: int) -> float:
        """Returns the requests per second on the keys from ``first`` to ``last``."""
        low = bisect_left(self._keys, first)
        high = bisect_right(self._keys, last)
        return self._sums[high] - self._sums[low]

    def busiest_key(self, first: int, last: int) -> tuple[int, float]:
        """Returns the busiest key from ``first`` to ``last`` and its requests per second."""
        low = bisect_left(self._keys, first)
        high = bisect_right(self._keys, last)
        if low == high:
            return first, 0.0
        index = max(range(low, high), key=lambda at: self._sums[at + 1] - self._sums[at])
        return self._keys[index], self._sums[index + 1] - self._sums[index]

    def prefix_end(self, first: int, last: int, max_rate_per_s: float) -> int:
        """Returns the last key of the longest prefix whose rate is at most ``max_rate_per_s``.

        The result is below ``first`` if the first busy key alone has a higher rate.
        """
        low = bisect_left(self._keys, first)
        high = bisect_right(self._keys, last)
        within = bisect_right(self._sums, self._sums[low] + max_rate_per_s, low, high + 1) - 1
        if within >= high:
            return last
        return self._keys[within] - 1


def _merge_into_reported(counts: Counter[int]) -> Counter[int]:
    reported = sorted(key for key, _ in counts.most_common(MAX_REPORTED_KEYS))
    merged: Counter[int] = Counter()
    for key, requests in counts.items():
        index = min(bisect_left(reported, key), len(reported) - 1)
        merged[reported[index]] += requests
    return merged
