"""Metrics recorded with OpenTelemetry, with a text snapshot for ``/metrics``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from opentelemetry.sdk.metrics import Counter, Histogram, MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

if TYPE_CHECKING:
    from opentelemetry import metrics

METER_NAME = "greengagefall"

_reader = InMemoryMetricReader()
_provider = MeterProvider(metric_readers=[_reader])
_meter = _provider.get_meter(METER_NAME)
_counters: dict[str, Counter] = {}
_histograms: dict[str, Histogram] = {}


def count(name: str, amount: int = 1, **labels: str) -> None:
    """Adds ``amount`` to the counter ``name`` with the given labels."""
    counter = _counters.get(name)
    if counter is None:
        counter = _counters[name] = _meter.create_counter(name)
    counter.add(amount, labels)


def observe_ms(name: str, value_ms: float, **labels: str) -> None:
    """Records a duration in milliseconds in the histogram ``name``."""
    histogram = _histograms.get(name)
    if histogram is None:
        histogram = _histograms[name] = _meter.create_histogram(name, unit="ms")
    histogram.record(value_ms, labels)


def meter() -> metrics.Meter:
    """Returns the project's meter, for instruments created in other modules."""
    return _meter


def snapshot() -> list[dict[str, Any]]:
    """Returns every data point as ``{name, labels, value | count, sum}``."""
    data = _reader.get_metrics_data()
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
