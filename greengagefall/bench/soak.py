"""``make soak``: real processes under random faults, with an oracle over their records.

The same seed gives the same sequence of faults and requests; the timing of the processes
still differs between runs.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import click

from greengagefall.bench.caller import Balancer, Caller, CallRow, Workload, run_workload
from greengagefall.bench.fleet import BackEndSpec, Fleet, FleetSpec
from greengagefall.bench.oracle_records import VersionRow
from greengagefall.bench.soak_check import check_run
from greengagefall.bench.soak_faults import FAULTS, Fault
from greengagefall.bench.soak_log import SoakLog
from greengagefall.bench.unavailable import recovery_times_s

if TYPE_CHECKING:
    from greengagefall.bench.oracle_records import CheckReport

MAX_FAULTS = 3
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
QUIET_S = 4.0
VERSION_PERIOD_S = 0.5
RATE_PER_S = 120.0
MAX_SHOWN = 20

Show = Callable[[str], None]


def _show_line(line: str) -> None:
    print(line, flush=True)


def _show_nothing(line: str) -> None:
    """Discards a line of the fault trace."""


def soak_spec(checks_orders: bool = True) -> FleetSpec:
    """Returns a fleet of three zones and both kinds of back ends that fits one machine."""
    keyed = BackEndSpec("proofdesk", "keyed", 3, 6, 5.0, slices=512, cold_s=2.0)
    pooled = BackEndSpec("benchline", "pooled", 1, 6, 5.0, cold_s=2.0)
    back_ends = tuple(one._replace(checks_orders=checks_orders) for one in (keyed, pooled))
    return FleetSpec(
        ("ee-north-a", "ee-north-b", "ee-north-c"),
        3,
        back_ends,
    )


class FaultPlan(NamedTuple):
    """Which faults a soak injects.

    Attributes:
        kinds: Names in ``FAULTS``.
        at_once: Maximum number of concurrent faults.
        pause_s: Maximum time between the starts of two faults.
    """

    kinds: tuple[str, ...]
    at_once: int
    pause_s: float


class FaultInjector:
    """Injects faults into a fleet for a given time.

    Args:
        fleet: The fleet to inject faults into.
        plan: Kinds of faults, their concurrency and their pace.
        rng: Random generator of faults and pauses.
        log: Log that receives a row for each fault.
        show: Called with each line of the fault trace.

    Attributes:
        injected: Number of injected faults by kind.
    """

    def __init__(
        self, fleet: Fleet, plan: FaultPlan, rng: random.Random, log: SoakLog, show: Show
    ) -> None:
        self._fleet = fleet
        self._plan = plan
        self._rng = rng
        self._log = log
        self._show = show
        self._fault_tasks: set[asyncio.Task] = set()
        self.injected: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Injects faults for ``seconds``, then waits for their ends and for pending patches."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            if len(self._fault_tasks) < self._plan.at_once:
                await self._start_fault()
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, self._plan.pause_s))
        await asyncio.gather(*self._fault_tasks)
        await self._fleet.wait_for_patches()

    async def _start_fault(self) -> None:
        kind = self._rng.choice(self._plan.kinds)
        started_s = time.time()
        fault = await FAULTS[kind](self._fleet, self._rng)
        self.injected[kind] += 1
        self._show(f"  {kind:18} {fault.target}, {fault.seconds:.1f} s")
        task = asyncio.create_task(self._end_after_duration(fault, started_s))
        self._fault_tasks.add(task)
        task.add_done_callback(self._fault_tasks.discard)

    async def _end_after_duration(self, fault: Fault, started_s: float) -> None:
        await asyncio.sleep(fault.seconds)
        await fault.undo()
        self._log.faults.append((started_s, time.time(), fault.kind, fault.target))


async def record_statuses(fleet: Fleet, log: SoakLog) -> None:
    """Records each host's configuration version and violations until cancelled."""
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


class SoakOutcome(NamedTuple):
    """Outcome of a soak.

    Attributes:
        rows: Outcome of each request as its caller saw it.
        log: Faults, versions and violations over time.
        injected: Number of injected faults by kind.
        report: Checks of the oracle and violations that it found.
        log_dir: Folder with the processes' logs.
    """

    rows: list[CallRow]
    log: SoakLog
    injected: Counter[str]
    report: CheckReport
    log_dir: str


async def run_soak(
    spec: FleetSpec, seed: int, seconds: float, plan: FaultPlan, show: Show = _show_nothing
) -> SoakOutcome:
    """Runs a soak and checks its records.

    Args:
        spec: The fleet.
        seed: Seed of faults and requests.
        seconds: Duration of the load.
        plan: Faults to inject.
        show: Called with each line of the fault trace.
    """
    fleet = Fleet(spec)
    log = SoakLog([], [], Counter())
    try:
        await fleet.start()
        injector, caller = await _run_load(fleet, seed, seconds, plan, log, show)
        await asyncio.sleep(QUIET_S)
        await fleet.wait_ready()
    finally:
        await fleet.close()
    report = check_run(fleet, caller.rows, log)
    return SoakOutcome(caller.rows, log, injector.injected, report, fleet.log_dir())


async def _run_load(
    fleet: Fleet, seed: int, seconds: float, plan: FaultPlan, log: SoakLog, show: Show
) -> tuple[FaultInjector, Caller]:
    rng = random.Random(seed)
    balancer = Balancer(fleet)
    balancer.start()
    caller = Caller(balancer, random.Random(seed + 1))
    injector = FaultInjector(fleet, plan, rng, log, show)
    workload = Workload(RATE_PER_S, ("proofdesk",), ("benchline",))
    recording = asyncio.create_task(record_statuses(fleet, log))
    load = asyncio.create_task(run_workload(caller, workload, seconds, seed + 2))
    await injector.run(max(1.0, seconds - QUIET_S))
    await load
    recording.cancel()
    await asyncio.gather(recording, return_exceptions=True)
    await balancer.close()
    return injector, caller


def print_report(outcome: SoakOutcome) -> int:
    """Prints the outcome; returns 0 if there is no violation, else 1."""
    rows, log, report = outcome.rows, outcome.log, outcome.report
    refused = Counter(row.reason for row in rows if not row.ok)
    print(f"\nfaults injected: {dict(outcome.injected)}")
    print(f"requests: {len(rows)}, answered: {sum(row.ok for row in rows)}")
    print(f"refusals by reason: {dict(refused.most_common())}")
    for kind, times_s in recovery_times_s(rows, log.faults).items():
        ordered = sorted(times_s)
        print(
            f"served again after {kind}: p50 {ordered[len(ordered) // 2]:.2f} s, "
            f"max {ordered[-1]:.2f} s, {len(ordered)} losses"
        )
    print(f"checks made: {dict(report.checks)}")
    process_violations = {name: number for name, number in log.violations.items() if number}
    print(f"violations inside the processes: {process_violations}")
    print(f"violations found by the oracle: {len(report.violations)}")
    for violation in report.violations[:MAX_SHOWN]:
        print(f"  {json.dumps(violation, default=str)}")
    failed = bool(report.violations or process_violations)
    if failed:
        print(f"logs: {outcome.log_dir}")
    print("FAILED" if failed else "passed")
    return 1 if failed else 0


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of faults and requests.")
@click.option("--seconds", default=120.0, show_default=True, help="Length of the load.")
@click.option("--faults", default="", help="Kinds of faults, separated by commas; all if empty.")
@click.option("--at-once", default=MAX_FAULTS, show_default=True, help="Faults at once, at most.")
@click.option("--pause-s", default=MAX_PAUSE_S, show_default=True, help="Longest pause.")
@click.option("--checks/--no-checks", default=True, help="Whether servers check orders.")
def main(
    seed: int, seconds: float, faults: str, at_once: int, pause_s: float, checks: bool
) -> None:
    """Runs a randomised soak; exits 1 on any violation."""
    kinds = tuple(faults.split(",")) if faults else FAULTS.names()
    print(f"seed {seed}, {seconds:.0f} s, faults: {', '.join(kinds)}\nfault trace:")
    plan = FaultPlan(kinds, at_once, pause_s)
    spec = soak_spec(checks)
    sys.exit(print_report(asyncio.run(run_soak(spec, seed, seconds, plan, _show_line))))


if __name__ == "__main__":
    main()
