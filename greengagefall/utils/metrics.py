"""Metrics recorded with OpenTelemetry, with a text snapshot for ``/metrics``.

Records are collected here and handed to OpenTelemetry in batches. Its SDK is imported for the first
batch, since the import would take a fifth of the start of a process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from opentelemetry.metrics import _Gauge as Gauge
    from opentelemetry.sdk.metrics import Counter as SdkCounter
    from opentelemetry.sdk.metrics import Histogram, Meter
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

METER_NAME = "greengagefall"
# Durations that are collected before they are handed on.
MAX_COLLECTED_DURATIONS = 2000

Labels = tuple[tuple[str, str], ...]


class _Sdk(NamedTuple):
    """OpenTelemetry's side: where instruments are created and read."""

    meter: Meter
    reader: InMemoryMetricReader
    counters: dict[str, SdkCounter]
    histograms: dict[str, Histogram]
    gauges: dict[str, Gauge]


class _Collected:
    """Records that were not handed to OpenTelemetry yet.

    Attributes:
        sdk: OpenTelemetry's side; None before the first batch.
        counts: Amounts by counter and labels.
        durations: Histogram, labels and value of each duration in milliseconds.
        levels: Newest value by gauge and labels.
    """

    def __init__(self) -> None:
        self.sdk: _Sdk | None = None
        self.counts: dict[tuple[str, Labels], int] = {}
        self.durations: list[tuple[str, Labels, float]] = []
        self.levels: dict[tuple[str, Labels], float] = {}

    def hand_on(self) -> _Sdk:
        """Hands all records to OpenTelemetry."""
        if self.sdk is None:
            self.sdk = _load_sdk()
        meter, _, counters, histograms, gauges = self.sdk
        for (name, labels), amount in self.counts.items():
            if name not in counters:
                counters[name] = meter.create_counter(name)
            counters[name].add(amount, dict(labels))
        for name, labels, value_ms in self.durations:
            if name not in histograms:
                histograms[name] = meter.create_histogram(name, unit="ms")
            histograms[name].record(value_ms, dict(labels))
        for (name, labels), value in self.levels.items():
            if name not in gauges:
                gauges[name] = meter.create_gauge(name)
            gauges[name].set(value, dict(labels))
        self.counts.clear()
        self.levels.clear()
        self.durations.clear()
        return self.sdk


_collected = _Collected()


def _load_sdk() -> _Sdk:
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

    reader = InMemoryMetricReader()
    provider = MeterProvider(metric_readers=[reader])
    return _Sdk(provider.get_meter(METER_NAME), reader, {}, {}, {})


def count(name: str, amount: int = 1, **labels: str) -> None:
    """Adds ``amount`` to the counter ``name`` with the given labels."""
    key = (name, tuple(labels.items()))
    _collected.counts[key] = _collected.counts.get(key, 0) + amount


class Counter:
    """A counter with fixed labels, for places where ``count`` would be too expensive."""

    __slots__ = ("_key",)

    def __init__(self, name: str, **labels: str) -> None:
        self._key = (name, tuple(labels.items()))

    def add(self, amount: int) -> None:
        """Adds to the counter."""
        counts = _collected.counts
        counts[self._key] = counts.get(self._key, 0) + amount


def set_level(name: str, value: float, **labels: str) -> None:
    """Sets the gauge ``name`` with the given labels."""
    _collected.levels[name, tuple(labels.items())] = value


def observe_ms(name: str, value_ms: float, **labels: str) -> None:
    """Records a duration in milliseconds in the histogram ``name``."""
    _collected.durations.append((name, tuple(labels.items()), value_ms))
    if len(_collected.durations) >= MAX_COLLECTED_DURATIONS:
        _collected.hand_on()


def snapshot() -> list[dict[str, Any]]:
    """Returns every data point as ``{name, labels, value | count, sum}``."""
    data = _collected.hand_on().reader.get_metrics_data()
    points: list[dict[str, Any]] = []
    if data is None:
        return points
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                points.extend(_metric_points(metric))
    return points


def _metric_points(metric: Any) -> list[dict[str, Any]]:
    points = []
    for point in metric.data.data_points:
        row = {"name": metric.name, "labels": dict(point.attributes or {})}
        if hasattr(point, "value"):
            row["value"] = point.value
        else:
            row["count"] = point.count
            row["sum"] = point.sum
        points.append(row)
    return points


def render_text() -> str:
    """Returns the snapshot in the Prometheus text exposition format."""
    lines = []
    for point in snapshot():
        labels = ",".join(f'{key}="{value}"' for key, value in sorted(point["labels"].items()))
        suffix = f"{{{labels}}}" if labels else ""
        if "value" in point:
            lines.append(f"{point['name']}{suffix} {point['value']}")
        else:
            lines.append(f"{point['name']}_count{suffix} {point['count']}")
            lines.append(f"{point['name']}_sum{suffix} {point['sum']}")
    return "\n".join(sorted(lines)) + "\n"
