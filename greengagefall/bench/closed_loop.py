"""Closed-loop load from several generator processes, with latency histograms."""

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

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000.0


class LoadSpec(NamedTuple):
    """Load of one generator process.

    Attributes:
        client: Name in ``CLIENTS``.
        addresses: Where to send, in turn.
        paths: Paths, in turn.
        callers: Requests in flight.
        seconds: Length.
    """

    client: str
    addresses: tuple[str, ...]
    paths: tuple[str, ...]
    callers: int
    seconds: float


class LoadResult(NamedTuple):
    """Outcome of a load.

    Attributes:
        requests: Whole answers with status 200.
        failures: Everything else.
        seconds: Length.
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
        """Whole answers a second."""
        return self.requests / self.seconds


def run_load(spec: LoadSpec, generators: int = 1) -> LoadResult:
    """Runs the load in ``generators`` processes at once and adds up the results."""
    with ProcessPoolExecutor(generators, mp_context=get_context("spawn")) as pool:
        parts = list(pool.map(_generate, [spec] * generators))
    return _add_up(parts, spec.seconds)


def _generate(spec: LoadSpec) -> tuple[int, int, bytes]:
    return asyncio.run(_drive(spec))


async def _drive(spec: LoadSpec) -> tuple[int, int, bytes]:
    client = CLIENTS[spec.client](spec.callers)
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
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
            histogram.record_value(max(LOWEST_US, elapsed_us))

    await asyncio.gather(*(one_caller(number) for number in range(spec.callers)))
    client.close()
    return counts[0], counts[1], histogram.encode()


def _add_up(parts: Sequence[tuple[int, int, bytes]], seconds: float) -> LoadResult:
    total = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for _, _, encoded in parts:
        total.decode_and_add(encoded)
    return LoadResult(
        requests=sum(part[0] for part in parts),
        failures=sum(part[1] for part in parts),
        seconds=seconds,
        p50_ms=total.get_value_at_percentile(50) / US_PER_MS,
        p99_ms=total.get_value_at_percentile(99) / US_PER_MS,
    )
