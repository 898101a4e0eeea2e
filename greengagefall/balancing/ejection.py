"""Temporarily ejects failing or slow servers of a pooled back end."""

from __future__ import annotations

import logging
import statistics
from typing import TYPE_CHECKING, Protocol

from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

DEFAULT_EJECT_FACTOR = 4.0
DEFAULT_EJECT_FAILURES = 5
DEFAULT_EJECT_S = 2.0
DEFAULT_EJECT_MAX_S = 30.0
DEFAULT_MAX_EJECTED_SHARE = 0.34
MIN_ANSWERS = 8
MIN_SERVERS = 3
LATENCY_WEIGHT = 0.3


class Ejection(Protocol):
    """Ejects servers temporarily."""

    def on_result(self, name: str, latency_ms: float, ok: bool) -> None:
        """Records an answer or a failure of a server."""

    def ejected(self) -> set[str]:
        """Returns the servers that are ejected now."""


EJECTIONS: Registry[type[Ejection]] = Registry("ejection")


@EJECTIONS.register("off")
class NoEjection:
    """Ejects no server; the baseline."""

    def __init__(
        self, weights: Mapping[str, float], clock: Clock, tuning: Mapping[str, float] | None = None
    ) -> None:
        self._none: set[str] = set()

    def on_result(self, name: str, latency_ms: float, ok: bool) -> None:
        """Does nothing."""

    def ejected(self) -> set[str]:
        """Returns an empty set."""
        return self._none


class _Record:
    """Recent results of one server and its ejections.

    ``answers`` and ``failures_in_row`` restart at 0 with each ejection. ``ejections`` counts the
    ejections since the server last gave ``MIN_ANSWERS`` answers without another ejection.
    """

    def __init__(self) -> None:
        self.answers = 0
        self.latency_ms = 0.0
        self.failures_in_row = 0
        self.ejections = 0
        self.ejected_until_s = 0.0


@EJECTIONS.register("outlier")
class OutlierEjection:
    """Ejects servers with consecutive failures or a latency far above the median.

    Each latency is multiplied by the server's weight before the comparison, so that a server
    configured as slow is not an outlier. At most ``max_ejected_share`` of the servers are
    ejected at once. The duration doubles from ``eject_s`` up to ``eject_max_s`` with each
    ejection. It starts again at ``eject_s`` after ``MIN_ANSWERS`` answers without another
    ejection.
    """

    def __init__(
        self, weights: Mapping[str, float], clock: Clock, tuning: Mapping[str, float] | None = None
    ) -> None:
        tuning = tuning or {}
        self._weights = dict(weights)
        self._clock = clock
        self._factor = tuning.get("eject_factor", DEFAULT_EJECT_FACTOR)
        self._failures = tuning.get("eject_failures", DEFAULT_EJECT_FAILURES)
        self._eject_s = tuning.get("eject_s", DEFAULT_EJECT_S)
        self._eject_max_s = tuning.get("eject_max_s", DEFAULT_EJECT_MAX_S)
        share = tuning.get("max_ejected_share", DEFAULT_MAX_EJECTED_SHARE)
        self._max_ejected = int(len(self._weights) * share)
        self._records = {name: _Record() for name in self._weights}

    def on_result(self, name: str, latency_ms: float, ok: bool) -> None:
        """Records an answer or a failure of a server."""
        record = self._records.get(name)
        if record is None or record.ejected_until_s > self._clock.now_s():
            return
        if not ok:
            record.failures_in_row += 1
            if record.failures_in_row >= self._failures:
                self._eject(name, record)
            return
        record.failures_in_row = 0
        self._add_latency(record, latency_ms * self._weights[name])
        if self._is_outlier(record):
            self._eject(name, record)
            return
        if record.answers >= MIN_ANSWERS:
            record.ejections = 0

    def ejected(self) -> set[str]:
        """Returns the servers that are ejected now."""
        now_s = self._clock.now_s()
        return {name for name, record in self._records.items() if record.ejected_until_s > now_s}

    def _add_latency(self, record: _Record, weighted_ms: float) -> None:
        record.answers += 1
        if record.answers == 1:
            record.latency_ms = weighted_ms
            return
        record.latency_ms += LATENCY_WEIGHT * (weighted_ms - record.latency_ms)

    def _is_outlier(self, record: _Record) -> bool:
        min_answers = 1 if record.ejections else MIN_ANSWERS
        if record.answers < min_answers:
            return False
        others = [
            other.latency_ms
            for other in self._records.values()
            if other is not record and other.answers >= MIN_ANSWERS
        ]
        if len(others) < MIN_SERVERS - 1:
            return False
        return record.latency_ms > self._factor * statistics.median(others)

    def _eject(self, name: str, record: _Record) -> None:
        ejected = self.ejected()
        if name in ejected or len(ejected) >= self._max_ejected:
            return
        seconds = min(self._eject_max_s, self._eject_s * 2**record.ejections)
        record.ejections += 1
        record.ejected_until_s = self._clock.now_s() + seconds
        record.answers = 0
        record.failures_in_row = 0
        log.info("Ejected server %s for %.1f s. It gets no new requests until then.", name, seconds)
