"""Measures which share of their quotas callers get, and the most that passes in a window.

Half of the workspaces send what they usually do, 1 / 1.6 of their quota, the others twice their
quota. An exact counter of the same arrivals, a single token bucket, gives the share of 100 %.

python -m greengagefall.bench.measure_quotas
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, NamedTuple

import click

from greengagefall.bench.quotas_model import QuotaModel
from greengagefall.bench.quotas_oracle import fullest_window
from greengagefall.gateway.model import OperatorLimits
from greengagefall.protocol.gateway_messages import QuotaPermits
from greengagefall.tests.virtual_time import LoopClock, run_in_virtual_time
from greengagefall.utils.clock import ManualClock
from greengagefall.utils.registry import Registry
from greengagefall.utils.token_bucket import TokenBucket
from greengagefall.workspaces.directory import Workspace

if TYPE_CHECKING:
    from greengagefall.bench.quotas_model import ModelHost
    from greengagefall.tests.virtual_time import VirtualLoop

ZONES = ("a", "b", "c")
QUOTA_RATIO = 1.6
OVERLOAD_RATIO = 2.0
BEGIN_S = 8.0
FAULT_S = 15.0
FAULT_END_S = 25.0
END_S = 35.0
PERCENT = 100.0
MS_PER_S = 1000.0
TIMEOUT_S = 1.0
# Weight of a host under uneven load by its rank.
UNEVEN_EXPONENT = 1.5

FAULTS: Registry = Registry("fault")


class Figures(NamedTuple):
    """What one run gave.

    Attributes:
        usual_percent: Passes of workspaces below their quota, of what an exact counter passes.
        over_percent: The same for workspaces that send twice their quota.
        fullest_percent: Most passes in a window, of the bound.
        calls_per_request: Calls for permits to other hosts for each request.
        wait_p50_ms: Median wait for a decision.
        wait_p99_ms: 99th percentile of the wait.
    """

    usual_percent: float
    over_percent: float
    fullest_percent: float
    calls_per_request: float
    wait_p50_ms: float
    wait_p99_ms: float


class Measurement:
    """One run.

    Args:
        loop: The event loop.
        seed: Seed of all random numbers.
        hosts_per_zone: Entry hosts in each zone.
        count: Number of workspaces.
        uneven: Whether few hosts get most of the requests.
        fault: Name in ``FAULTS``.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        hosts_per_zone: int,
        count: int,
        *,
        uneven: bool,
        fault: str,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.fault = fault
        names = [(f"{zone}{number}", zone) for number in range(hosts_per_zone) for zone in ZONES]
        self.limits = OperatorLimits()
        self.model = QuotaModel(self.rng, LoopClock(loop), self.limits, names)
        exponent = UNEVEN_EXPONENT if uneven else 0.0
        self.weights = [1.0 / (rank + 1) ** exponent for rank in range(len(names))]
        self.workspaces = [self._workspace(index) for index in range(count)]
        self.model.set_workspaces(self.workspaces)
        self.arrived_s: dict[str, list[float]] = {each.name: [] for each in self.workspaces}
        self.passed_s: dict[str, list[float]] = {each.name: [] for each in self.workspaces}
        self.waits_ms: list[float] = []
        self.calls = 0

    async def run(self) -> Figures:
        """Returns the figures."""
        self._count_calls()
        for host in self.model.hosts.values():
            host.start()
        sending = [
            asyncio.create_task(self._send(workspace, over=index % 2 == 1))
            for index, workspace in enumerate(self.workspaces)
        ]
        await asyncio.sleep(FAULT_S)
        FAULTS[self.fault](self.model, begin=True)
        await asyncio.sleep(FAULT_END_S - FAULT_S)
        FAULTS[self.fault](self.model, begin=False)
        await asyncio.sleep(END_S - FAULT_END_S)
        for task in sending:
            task.cancel()
        self.model.close()
        await asyncio.sleep(0)
        return self._figures()

    def _workspace(self, index: int) -> Workspace:
        usual_per_s = 50.0 ** self.rng.random()
        rate_per_s = QUOTA_RATIO * usual_per_s
        return Workspace(f"w{index}", rate_per_s=rate_per_s, burst=rate_per_s)

    def _count_calls(self) -> None:
        call = self.model.call

        async def counting(host: ModelHost, name: str, message: object, timeout_s: float) -> object:
            self.calls += isinstance(message, QuotaPermits) and name != host.name
            return await call(host, name, message, timeout_s)

        self.model.call = counting

    async def _send(self, workspace: Workspace, *, over: bool) -> None:
        rate_per_s = workspace.rate_per_s * (OVERLOAD_RATIO if over else 1 / QUOTA_RATIO)
        hosts = list(self.model.hosts.values())
        await asyncio.sleep(BEGIN_S)
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            host = self.rng.choices(hosts, self.weights)[0]
            if host.up:
                self.arrived_s[workspace.name].append(self.loop.now_s)
                host.run(self._request(host, workspace))

    async def _request(self, host: ModelHost, workspace: Workspace) -> None:
        started_s = self.loop.now_s
        decision = await host.quotas.gate.take(workspace, TIMEOUT_S)
        self.waits_ms.append((self.loop.now_s - started_s) * MS_PER_S)
        if decision.granted:
            self.passed_s[workspace.name].append(self.loop.now_s)

    def _figures(self) -> Figures:
        usual, over = self.workspaces[::2], self.workspaces[1::2]
        fullest = max(
            fullest_window(self.passed_s[each.name], each.name, self.model.versions, self.limits)
            for each in self.workspaces
        )
        waits_ms = sorted(self.waits_ms)
        return Figures(
            self._percent(usual),
            self._percent(over),
            fullest.ratio * PERCENT,
            self.calls / len(waits_ms),
            waits_ms[len(waits_ms) // 2],
            waits_ms[int(len(waits_ms) * 0.99)],
        )

    def _percent(self, workspaces: list[Workspace]) -> float:
        exact = sum(exact_passes(each, self.arrived_s[each.name]) for each in workspaces)
        return PERCENT * sum(len(self.passed_s[each.name]) for each in workspaces) / exact


def exact_passes(workspace: Workspace, arrived_s: list[float]) -> int:
    """Returns how many requests a single token bucket that starts full passes."""
    clock = ManualClock(BEGIN_S)
    bucket = TokenBucket(workspace.rate_per_s, workspace.burst, clock)
    passes = 0
    for time_s in arrived_s:
        clock.advance(time_s - clock.now_s())
        passes += bucket.try_take()
    return passes


@FAULTS.register("none")
def no_fault(model: QuotaModel, *, begin: bool) -> None:
    """Does nothing."""


@FAULTS.register("zone cut off")
def cut_zone(model: QuotaModel, *, begin: bool) -> None:
    """Cuts a zone without the store off from the others."""
    (model.cut_zones.add if begin else model.cut_zones.discard)(ZONES[-1])
    for host in model.hosts.values():
        if host.zone == ZONES[-1]:
            host.reaches_store = not begin


@FAULTS.register("coordinator killed")
def kill_coordinator(model: QuotaModel, *, begin: bool) -> None:
    """Kills the coordinator; it starts again at the end."""
    if begin and model.store.coordinator is not None:
        model.hosts[model.store.coordinator.host].kill()
    for host in model.hosts.values():
        if not begin and not host.up:
            host.start()


@FAULTS.register("store unavailable")
def stop_store(model: QuotaModel, *, begin: bool) -> None:
    """Cuts all hosts off from the store."""
    for host in model.hosts.values():
        host.reaches_store = not begin


def measure(seed: int, hosts_per_zone: int, count: int, *, uneven: bool, fault: str) -> Figures:
    """Returns the figures of one run."""
    return run_in_virtual_time(
        lambda loop: Measurement(
            loop, seed, hosts_per_zone, count, uneven=uneven, fault=fault
        ).run()
    )


@click.command()
@click.option("--hosts-per-zone", default=8, show_default=True)
@click.option("--workspaces", "count", default=24, show_default=True)
@click.option("--seeds", default="1,2,3", show_default=True)
def main(hosts_per_zone: int, count: int, seeds: str) -> None:
    """Prints a table of all loads, faults and seeds."""
    logging.disable(logging.CRITICAL)
    headers = ("load", "fault", "seed", *Figures._fields)
    print(f"| {' | '.join(headers)} |\n{'| --- ' * len(headers)}|")
    for load in ("even", "uneven"):
        for fault in FAULTS.names():
            for seed in (int(part) for part in seeds.split(",")):
                figures = measure(seed, hosts_per_zone, count, uneven=load == "uneven", fault=fault)
                cells = " | ".join(f"{value:.2f}" for value in figures)
                print(f"| {load} | {fault} | {seed} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
