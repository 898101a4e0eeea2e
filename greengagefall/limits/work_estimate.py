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

    def value(self, prior: float) -> float:
        """Returns the mean of the samples and the prior."""
        remaining = self._remaining()
        weighted = prior * self._prior_weight + self._sum * remaining
        return weighted / (self._prior_weight + self._weight * remaining)

    @property
    def weight(self) -> float:
        """Present weight of the samples."""
        return self._weight * self._remaining()

    def add(self, sample: float, weight: float = 1.0) -> None:
        """Adds a sample."""
        remaining = self._remaining()
        self._sum = self._sum * remaining + weight * sample
        self._weight = self._weight * remaining + weight
        self._added_s = self._clock.now_s()
        if self._weight > self._max_weight:
            self._sum *= self._max_weight / self._weight
            self._weight = self._max_weight

    def _remaining(self) -> float:
        """Returns the share of the weight that is left after the time since the last sample."""
        return math.exp(-(self._clock.now_s() - self._added_s) / self._age_s)


class _Means:
    """Means by kind, of at most ``MAX_KINDS`` kinds."""

    def __init__(self, clock: Clock, weights: tuple[float, float, float]) -> None:
        self._clock = clock
        self._weights = weights
        self._means: dict[str, AgedMean] = {}

    def value(self, kind: str, prior: float) -> float:
        mean = self._means.get(kind)
        return prior if mean is None else mean.value(prior)

    def add(self, kind: str, sample: float, weight: float = 1.0) -> None:
        mean = self._means.get(kind)
        if mean is None:
            if len(self._means) >= MAX_KINDS:
                del self._means[min(self._means, key=lambda one: self._means[one].weight)]
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

    @property
    def usual_pace(self) -> float:
        """Mean pace of the servers, which a server without samples is assumed to have."""
        return self._pace.value(1.0)

    @property
    def mean_s(self) -> float:
        """Work of a request of an unknown kind."""
        return self._mean.value(self._initial_s)

    def kind_s(self, kind: str) -> float:
        """Returns the work of a kind, near the mean of all while it has few samples."""
        return self._kinds.value(kind, self.mean_s)

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
        self._service = service
        self._clock = service.clock
        self._pace = AgedMean(self._clock, PACE_WEIGHTS)
        self._corrections = _Means(self._clock, CORRECTION_WEIGHTS)
        self._slowdown = 1.0
        self._slowdown_s = self._clock.now_s()

    @property
    def pace(self) -> float:
        """Usual service time of this server relative to the servers of its service."""
        return self._pace.value(self._service.usual_pace)

    @property
    def slowdown(self) -> float:
        """Present service time relative to the usual one; 1 if nothing recent is known."""
        age_s = self._clock.now_s() - self._slowdown_s
        return 1.0 + (self._slowdown - 1.0) * math.exp(-age_s / SLOWDOWN_AGE_S)

    def expected_s(self, kind: str) -> float:
        """Returns the expected service time of a request that starts now."""
        usual_s = self._service.kind_s(kind) * self.pace * self._corrections.value(kind, 1.0)
        return max(MIN_SERVICE_TIME_S, usual_s * self.slowdown)

    def on_executed(self, kind: str, duration_s: float, slowdown: float = 1.0) -> None:
        """Records a request that was executed to its end.

        Args:
            kind: Its kind.
            duration_s: How long the server took.
            slowdown: The slowdown that the server reported with its answer.
        """
        self._slowdown = max(1.0 / MAX_SLOWDOWN, min(slowdown, MAX_SLOWDOWN))
        self._slowdown_s = self._clock.now_s()
        usual_s = max(MIN_SERVICE_TIME_S, duration_s) / self._slowdown
        correction = self._corrections.value(kind, 1.0)
        # Each factor gets what the ones before it leave unexplained. The pace is the first, so that
        # a server that differs from the others does not change what they share.
        self._pace.add(usual_s / (self._service.kind_s(kind) * correction))
        weight = self._pace.weight / (self._pace.weight + PACE_KNOWN_SAMPLES)
        pace = self.pace
        self._service.add(kind, usual_s / (pace * correction), pace, weight)
        self._corrections.add(kind, usual_s / (self._service.kind_s(kind) * self.pace))
