"""Generates closed-loop load from several processes and records latency histograms."""

from __future__ import annotations

import asyncio
import time
import uuid
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import TYPE_CHECKING, NamedTuple

from hdrh.histogram import HdrHistogram

from greengagefall.bench.http_clients import CLIENTS

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000.0


class LoadSpec(NamedTuple):
    """Load of one generator process.

    Attributes:
        client: Name in ``CLIENTS``.
        addresses: Addresses that requests go to in turn.
        paths: Paths that are requested in turn.
        callers: Number of requests in flight.
        seconds: Duration of the load.
    """

    client: str
    addresses: tuple[str, ...]
    paths: tuple[str, ...]
    callers: int
    seconds: float


class LoadResult(NamedTuple):
    """Outcome of a load.

    Attributes:
        requests: Number of complete answers with status 200.
        failures: Number of other outcomes.
        seconds: Duration of the load.
        p50_ms: Median latency.
        p99_ms: 99th percentile of latency.
    """

    requests: int
    failures: int
    seconds: float
    p50_ms: float
    p99_ms: float

    @property
    def rate_per_s(self) -> float:
        """Successful answers per second."""
        return self.requests / self.seconds


def run_load(spec: LoadSpec, generators: int = 1) -> LoadResult:
    """Runs the load in ``generators`` concurrent processes and merges the results."""
    with ProcessPoolExecutor(generators, mp_context=get_context("spawn")) as pool:
        parts = list(pool.map(_generate, [spec] * generators))
    return _merge(parts, spec.seconds)


def _generate(spec: LoadSpec) -> tuple[int, int, bytes]:
    return asyncio.run(_run_callers(spec))


async def _run_callers(spec: LoadSpec) -> tuple[int, int, bytes]:
    client = CLIENTS[spec.client](spec.callers)
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    counts = [0, 0]
    end_s = time.monotonic() + spec.seconds

    async def one_caller(number: int) -> None:
        turn = number
        while time.monotonic() < end_s:
            address = spec.addresses[turn % len(spec.addresses)]
            path = spec.paths[turn % len(spec.paths)]
            turn += 7
            started_s = time.perf_counter()
            status = await client.get(address, path, uuid.uuid4().hex)
            elapsed_us = int((time.perf_counter() - started_s) * US_PER_S)
            if status != 200:
                counts[1] += 1
                continue
            counts[0] += 1
            histogram.record_value(max(MIN_LATENCY_US, elapsed_us))

    await asyncio.gather(*(one_caller(number) for number in range(spec.callers)))
    client.close()
    return counts[0], counts[1], histogram.encode()


def _merge(parts: Sequence[tuple[int, int, bytes]], seconds: float) -> LoadResult:
    total = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for _, _, encoded in parts:
        total.decode_and_add(encoded)
    return LoadResult(
        requests=sum(part[0] for part in parts),
        failures=sum(part[1] for part in parts),
        seconds=seconds,
        p50_ms=total.get_value_at_percentile(50) / US_PER_MS,
        p99_ms=total.get_value_at_percentile(99) / US_PER_MS,
    )
