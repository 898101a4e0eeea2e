"""``make soak``: real processes, randomised faults, and an oracle over what was recorded.

The same seed gives the same sequence of faults and requests; the processes' own timing
differs from run to run.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from typing import NamedTuple

import click

from greengagefall.bench.caller import Balancer, Caller, Workload, run_workload
from greengagefall.bench.fleet import BackEndSpec, Fleet, FleetSpec
from greengagefall.bench.soak_check import CheckReport, check_run
from greengagefall.bench.soak_faults import FAULTS, Fault
from greengagefall.bench.unavailable import recovery_times_s

MAX_FAULTS = 3
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
QUIET_S = 4.0
VERSION_PERIOD_S = 0.5
RATE_PER_S = 120.0


class VersionRow(NamedTuple):
    """A configuration version seen in force at a host."""

    host: str
    incarnation: str
    version: int
    at_s: float


class SoakLog(NamedTuple):
    """What a soak recorded beside the callers' rows.

    Attributes:
        faults: Wall clock of begin and end, kind and target of each fault.
        versions: Configuration versions in force over time.
        violations: Violations reported by the processes themselves, by name.
    """

    faults: list[tuple[float, float, str, str]]
    versions: list[VersionRow]
    violations: Counter[str]


def soak_spec(policies: dict[str, str]) -> FleetSpec:
    """Returns three zones with both kinds of back ends, cut to the machine's size."""
    return FleetSpec(
        ("ee-north-a", "ee-north-b", "ee-north-c"),
        3,
        (
            BackEndSpec("proofdesk", "keyed", 3, 6, 5.0, slices=512, cold_s=2.0),
            BackEndSpec("benchline", "pooled", 1, 6, 5.0, cold_s=2.0, policies=policies),
        ),
    )


class FaultInjector:
    """Begins and ends faults until told to stop.

    Args:
        fleet: The fleet that suffers them.
        kinds: Names out of ``FAULTS``.
        rng: Source of randomness.
        log: Gets a row of each fault.
    """

    def __init__(
        self, fleet: Fleet, kinds: tuple[str, ...], rng: random.Random, log: SoakLog
    ) -> None:
        self._fleet = fleet
        self._kinds = kinds
        self._rng = rng
        self._log = log
        self._running: set[asyncio.Task] = set()
        self.injected: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Injects faults for a time, then ends all that are in force."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            if len(self._running) < MAX_FAULTS:
                await self._begin()
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        await asyncio.gather(*self._running)
        await self._fleet.patches_done()

    async def _begin(self) -> None:
        kind = self._rng.choice(self._kinds)
        begun_s = time.time()
        fault = await FAULTS[kind](self._fleet, self._rng)
        self.injected[kind] += 1
        print(f"  {kind:18} {fault.target}, {fault.seconds:.1f} s", flush=True)
        task = asyncio.create_task(self._end_later(fault, begun_s))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _end_later(self, fault: Fault, begun_s: float) -> None:
        await asyncio.sleep(fault.seconds)
        await fault.undo()
        self._log.faults.append((begun_s, time.time(), fault.kind, fault.target))


class SoakRun(NamedTuple):
    """A soak after its end, with what it recorded and what the oracle found."""

    fleet: Fleet
    injector: FaultInjector
    caller: Caller
    log: SoakLog
    report: CheckReport


async def watch_versions(fleet: Fleet, log: SoakLog) -> None:
    """Notes the configuration version in force at each host until cancelled."""
    while True:
        statuses = await fleet.statuses()
        now_s = time.time()
        for host, status in statuses.items():
            if status is None:
                continue
            row = VersionRow(host, status["incarnation"], status["config_version"], now_s)
            log.versions.append(row)
            for name, number in status["violations"].items():
                log.violations[f"{name} at {host}"] = number
        await asyncio.sleep(VERSION_PERIOD_S)


async def soak(seed: int, seconds: float, kinds: tuple[str, ...]) -> int:
    """Runs a soak, prints its report, and returns the exit code."""
    print(f"seed {seed}, {seconds:.0f} s, faults: {', '.join(kinds)}")
    run = await run_soak(Fleet(soak_spec({})), seed, seconds, kinds)
    return print_report(run.injector, run.caller, run.log, run.report, run.fleet)


async def run_soak(fleet: Fleet, seed: int, seconds: float, kinds: tuple[str, ...]) -> SoakRun:
    """Runs a soak on a fleet, closes the fleet, and checks what was recorded."""
    log = SoakLog([], [], Counter())
    try:
        await fleet.start()
        print("fault trace:")
        injector, caller = await _run_load(fleet, seed, seconds, kinds, log)
        await asyncio.sleep(QUIET_S)
        await fleet.wait_ready()
    finally:
        await fleet.close()
    report = check_run(fleet, caller.rows, log)
    return SoakRun(fleet, injector, caller, log, report)


async def _run_load(
    fleet: Fleet, seed: int, seconds: float, kinds: tuple[str, ...], log: SoakLog
) -> tuple[FaultInjector, Caller]:
    rng = random.Random(seed)
    balancer = Balancer(fleet)
    balancer.start()
    caller = Caller(balancer, random.Random(seed + 1))
    injector = FaultInjector(fleet, kinds, rng, log)
    workload = Workload(RATE_PER_S, ("proofdesk",), ("benchline",))
    versions = asyncio.create_task(watch_versions(fleet, log))
    load = asyncio.create_task(run_workload(caller, workload, seconds, seed + 2))
    await injector.run(max(1.0, seconds - QUIET_S))
    await load
    versions.cancel()
    await asyncio.gather(versions, return_exceptions=True)
    await balancer.close()
    return injector, caller


def print_report(
    injector: FaultInjector, caller: Caller, log: SoakLog, report: CheckReport, fleet: Fleet
) -> int:
    """Prints what happened and returns 0 if no check failed, else 1."""
    rows = caller.rows
    refused = Counter(row.reason for row in rows if not row.ok)
    print(f"\nfaults injected: {dict(injector.injected)}")
    print(f"requests: {len(rows)}, answered: {sum(row.ok for row in rows)}")
    print(f"refusals by reason: {dict(refused.most_common())}")
    for kind, times_s in recovery_times_s(rows, log.faults).items():
        ordered = sorted(times_s)
        print(
            f"unavailable after {kind}: p50 {ordered[len(ordered) // 2]:.2f} s, "
            f"max {ordered[-1]:.2f} s, {len(ordered)} losses"
        )
    print(f"checks made: {dict(report.checks)}")
    inside = {name: number for name, number in log.violations.items() if number}
    print(f"violations inside the processes: {inside}")
    print(f"violations found by the oracle: {len(report.violations)}")
    for violation in report.violations[:20]:
        print(f"  {json.dumps(violation, default=str)}")
    failed = bool(report.violations or inside)
    if failed:
        print(f"logs: {fleet.log_dir()}")
    print("FAILED" if failed else "passed")
    return 1 if failed else 0


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of faults and requests.")
@click.option("--seconds", default=120.0, show_default=True, help="Length of the load.")
@click.option("--faults", default="", help="Kinds of faults, separated by commas; all if empty.")
def main(seed: int, seconds: float, faults: str) -> None:
    """Runs a randomised soak; exits 1 on any violation."""
    kinds = tuple(faults.split(",")) if faults else FAULTS.names()
    sys.exit(asyncio.run(soak(seed, seconds, kinds)))


if __name__ == "__main__":
    main()
