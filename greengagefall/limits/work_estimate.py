"""Estimates how long a backend server takes to execute a request, by kind of work.

An estimate is a product of factors that are learned apart, so that each sample improves the
estimates of other kinds and servers too: the work of the kind, which all servers of the service
share; the usual pace of the server; a correction for this kind on this server; and the slowdown
that the server reports at present.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.utils.clock import Clock

INITIAL_SERVICE_TIME_S = 0.2
MIN_SERVICE_TIME_S = 0.001
# Weight of the prior in samples, largest weight of the samples, and time in which they age.
SERVICE_WEIGHTS = (1.0, 50.0, 60.0)
KIND_WEIGHTS = (1.0, 50.0, 60.0)
PACE_WEIGHTS = (1.0, 10.0, 30.0)
CORRECTION_WEIGHTS = (15.0, 20.0, 60.0)
# Samples of a server after which half of their weight counts for what its service's servers share.
PACE_KNOWN_SAMPLES = 5.0
# A reported slowdown is believed for about this long.
SLOWDOWN_AGE_S = 3.0
MAX_SLOWDOWN = 20.0
# A sample counts as at most this multiple of the expected time. One stalled answer would otherwise
# raise the estimates of all kinds so far that the server's queue is refused.
MAX_SAMPLE_FACTOR = 5.0
# Kinds that are kept; the one with the fewest samples makes room for a new one.
MAX_KINDS = 256


class AgedMean:
    """Mean of samples that lose weight with their age and number, combined with a prior.

    Args:
        clock: Monotonic clock.
        weights: Weight of the prior in samples, largest weight of the samples, and time constant
            of their age in seconds.
    """

    def __init__(self, clock: Clock, weights: tuple[float, float, float]) -> None:
        self._clock = clock
        self._prior_weight, self._max_weight, self._age_s = weights
        self._sum = 0.0
        self._weight = 0.0
        self._added_s = clock.now_s()

    def value(self, prior: float, now_s: float) -> float:
        """Returns the mean of the samples and the prior."""
        remaining = self._remaining(now_s)
        weighted = prior * self._prior_weight + self._sum * remaining
        return weighted / (self._prior_weight + self._weight * remaining)

    def weight(self, now_s: float) -> float:
        """Returns the present weight of the samples."""
        return self._weight * self._remaining(now_s)

    def add(self, sample: float, weight: float = 1.0) -> None:
        """Adds a sample."""
        now_s = self._clock.now_s()
        remaining = self._remaining(now_s)
        self._sum = self._sum * remaining + weight * sample
        self._weight = self._weight * remaining + weight
        self._added_s = now_s
        if self._weight > self._max_weight:
            self._sum *= self._max_weight / self._weight
            self._weight = self._max_weight

    def _remaining(self, now_s: float) -> float:
        """Returns the share of the weight that is left after the time since the last sample."""
        return math.exp((self._added_s - now_s) / self._age_s)


class _Means:
    """Means by kind, of at most ``MAX_KINDS`` kinds."""

    def __init__(self, clock: Clock, weights: tuple[float, float, float]) -> None:
        self._clock = clock
        self._weights = weights
        self._means: dict[str, AgedMean] = {}

    def value(self, kind: str, prior: float, now_s: float) -> float:
        mean = self._means.get(kind)
        return prior if mean is None else mean.value(prior, now_s)

    def add(self, kind: str, sample: float, weight: float = 1.0) -> None:
        mean = self._means.get(kind)
        if mean is None:
            if len(self._means) >= MAX_KINDS:
                now_s = self._clock.now_s()
                del self._means[min(self._means, key=lambda one: self._means[one].weight(now_s))]
            mean = self._means[kind] = AgedMean(self._clock, self._weights)
        mean.add(sample, weight)


class ServiceWork:
    """The work of each kind on a server of usual pace, learned from all servers of a service.

    Args:
        clock: Monotonic clock.
        initial_s: Service time that is assumed before the first sample.
    """

    def __init__(self, clock: Clock, initial_s: float = INITIAL_SERVICE_TIME_S) -> None:
        self.clock = clock
        self._initial_s = initial_s
        self._mean = AgedMean(clock, SERVICE_WEIGHTS)
        self._kinds = _Means(clock, KIND_WEIGHTS)
        self._pace = AgedMean(clock, SERVICE_WEIGHTS)

    def usual_pace(self, now_s: float) -> float:
        """Returns the mean pace of the servers, assumed of a server without samples."""
        return self._pace.value(1.0, now_s)

    def mean_s(self, now_s: float) -> float:
        """Returns the work of a request of an unknown kind."""
        return self._mean.value(self._initial_s, now_s)

    def kind_s(self, kind: str, mean_s: float, now_s: float) -> float:
        """Returns the work of a kind, near ``mean_s`` of all while it has few samples."""
        return self._kinds.value(kind, mean_s, now_s)

    def add(self, kind: str, work_s: float, pace: float, weight: float) -> None:
        """Adds a sample.

        Args:
            kind: The kind.
            work_s: Its work as the sample shows it.
            pace: Pace of the server that executed it.
            weight: Below 1 if the pace is hardly known.
        """
        self._pace.add(pace, weight)
        self._mean.add(work_s, weight)
        self._kinds.add(kind, work_s, weight)


class ServerWork:
    """Expected service times of one server.

    Args:
        service: The work of its service.
    """

    def __init__(self, service: ServiceWork) -> None:
        self.service = service
        self._clock = service.clock
        self._pace = AgedMean(self._clock, PACE_WEIGHTS)
        self._corrections = _Means(self._clock, CORRECTION_WEIGHTS)
        self._slowdown = 1.0
        self._slowdown_s = self._clock.now_s()

    @property
    def slowdown(self) -> float:
        """Present service time relative to the usual one; 1 if nothing recent is known."""
        age_s = self._clock.now_s() - self._slowdown_s
        return 1.0 + (self._slowdown - 1.0) * math.exp(-age_s / SLOWDOWN_AGE_S)

    def pace(self, now_s: float) -> float:
        """Returns the usual service time of this server relative to the others of its service."""
        return self._pace.value(self.service.usual_pace(now_s), now_s)

    def correction(self, kind: str, now_s: float) -> float:
        """Returns the factor for a kind that is not explained by its work and the pace."""
        return self._corrections.value(kind, 1.0, now_s)

    def expected_s(self, kind: str) -> float:
        """Returns the expected service time of a request that starts now."""
        return self.expected_times()[kind]

    def expected_times(self) -> ExpectedTimes:
        """Returns the expected service times of requests that start now, by kind."""
        return ExpectedTimes(self, self._clock.now_s())

    def on_executed(self, kind: str, duration_s: float, slowdown: float = 1.0) -> None:
        """Records a request that was executed to its end.

        Args:
            kind: Its kind.
            duration_s: How long the server took.
            slowdown: The slowdown that the server reported with its answer.
        """
        now_s = self._clock.now_s()
        self._slowdown = max(1.0 / MAX_SLOWDOWN, min(slowdown, MAX_SLOWDOWN))
        self._slowdown_s = now_s
        correction = self.correction(kind, now_s)
        expected_s = self._kind_s(kind, now_s) * self.pace(now_s) * correction
        usual_s = max(MIN_SERVICE_TIME_S, duration_s) / self._slowdown
        usual_s = min(usual_s, MAX_SAMPLE_FACTOR * expected_s)
        # Each factor gets what the ones before it leave unexplained. The pace is the first, so that
        # a server that differs from the others does not change what they share.
        self._pace.add(usual_s / (self._kind_s(kind, now_s) * correction))
        known = self._pace.weight(now_s)
        weight = known / (known + PACE_KNOWN_SAMPLES)
        pace = self.pace(now_s)
        # Relative to the usual pace, which thus stays near 1. Otherwise pace and work drift apart:
        # their product is right, but they age towards priors whose product is not.
        relative_pace = pace / self.service.usual_pace(now_s)
        self.service.add(kind, usual_s / (relative_pace * correction), pace, weight)
        self._corrections.add(kind, usual_s / (self._kind_s(kind, now_s) * self.pace(now_s)))

    def _kind_s(self, kind: str, now_s: float) -> float:
        return self.service.kind_s(kind, self.service.mean_s(now_s), now_s)


class ExpectedTimes(dict[str, float]):
    """Expected service times at one server by kind, each computed when it is first read.

    For one pass over a queue; what all kinds share is computed once.

    Args:
        work: The work of the server.
        now_s: Time for which they hold.
    """

    def __init__(self, work: ServerWork, now_s: float) -> None:
        super().__init__()
        self._work = work
        self._now_s = now_s
        self._mean_s = work.service.mean_s(now_s)
        self._factor = work.pace(now_s) * work.slowdown

    def __missing__(self, kind: str) -> float:
        kind_s = self._work.service.kind_s(kind, self._mean_s, self._now_s)
        usual_s = kind_s * self._work.correction(kind, self._now_s)
        expected_s = self[kind] = max(MIN_SERVICE_TIME_S, usual_s * self._factor)
        return expected_s
