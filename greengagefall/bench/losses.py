"""``make losses``: kills three processes of 12 entry hosts and 36 backend servers under load.

    python -m greengagefall.bench.losses

A backend server, an entry host and the store get SIGKILL, one after the other. The program
prints the time until everything was served again after each, the refusals by reason, and the
violations that the oracle found in the records.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

import click

from greengagefall.bench.caller import Balancer, Caller, CallRow, Workload, run_workload
from greengagefall.bench.fleet import STORE, BackEndSpec, Fleet, FleetSpec
from greengagefall.bench.soak_check import check_run
from greengagefall.bench.soak_log import SoakLog
from greengagefall.bench.unavailable import served_again_s

if TYPE_CHECKING:
    from greengagefall.bench.oracle_records import CheckReport

ZONES = ("ee-north-a", "ee-north-b", "ee-north-c")
RATE_PER_S = 200.0
STEP_S = 6.0
SEED = 1
TARGET_S = 3.0


def losses_spec() -> FleetSpec:
    """Returns a fleet of Kaasik's size: 30 keyed and 6 pooled servers, 12 entry hosts."""
    keyed = BackEndSpec("proofdesk", "keyed", 10, 6, 5.0, slices=4096)
    pooled = BackEndSpec("benchline", "pooled", 2, 6, 5.0)
    return FleetSpec(ZONES, 4, (keyed, pooled), allow_faults=False)


async def busiest_entry(fleet: Fleet) -> str:
    """Returns the process name of the entry host that dispatches the most servers."""
    statuses = await fleet.statuses()
    counts = {host: len(status["servers"]) for host, status in statuses.items() if status}
    return f"entry-{max(sorted(counts), key=counts.get)}"


async def run(step_s: float) -> tuple[list[CallRow], SoakLog, CheckReport]:
    """Kills a process under load after each ``step_s``; returns the records and checks."""
    fleet = Fleet(losses_spec())
    log = SoakLog([], [], Counter())
    try:
        await fleet.start()
        balancer = Balancer(fleet)
        balancer.start()
        caller = Caller(balancer, random.Random(SEED))
        workload = Workload(RATE_PER_S, ("proofdesk",), ("benchline",))
        load = asyncio.create_task(run_workload(caller, workload, 4 * step_s, SEED))
        for name in (f"proofdesk-{ZONES[0]}-1", await busiest_entry(fleet), STORE):
            await asyncio.sleep(step_s)
            log.faults.append((time.time(), time.time(), "loss", name))
            fleet.processes.kill(name)
        await load
        await _record_violations(fleet, log)
        await balancer.close()
    finally:
        await fleet.close()
    return caller.rows, log, check_run(fleet, caller.rows, log)


async def _record_violations(fleet: Fleet, log: SoakLog) -> None:
    for host, status in (await fleet.statuses()).items():
        for name, number in (status or {"violations": {}})["violations"].items():
            log.violations[f"{name} at {host}"] = number


def print_report(rows: list[CallRow], log: SoakLog, report: CheckReport) -> int:
    """Prints the outcome; returns 0 if the target is met without a violation, else 1."""
    refused = Counter(row.reason for row in rows if not row.ok)
    latencies_ms = sorted(row.latency_ms for row in rows)
    print(f"requests: {len(rows)}, refused: {dict(refused) or 'none'}")
    print(
        f"p50 {latencies_ms[len(rows) // 2]:.1f} ms, p99 {latencies_ms[-len(rows) // 100]:.1f} ms"
    )
    slowest_s = 0.0
    for killed_s, _, _, name in log.faults:
        recovered_s = served_again_s(rows, killed_s)
        slowest_s = max(slowest_s, recovered_s)
        print(f"SIGKILL of {name}: everything served again after {recovered_s:.2f} s")
    print(f"checks made: {sum(report.checks.values())}, violations: {len(report.violations)}")
    print(f"violations inside the processes: {dict(log.violations)}")
    met = slowest_s <= TARGET_S and not report.violations and not log.violations
    print("target met" if met else "target missed")
    return 0 if met else 1


@click.command()
@click.option("--step-s", default=STEP_S, show_default=True, help="Time between the losses.")
def main(step_s: float) -> None:
    """Kills a backend server, an entry host and the store under load."""
    sys.exit(print_report(*asyncio.run(run(step_s))))


if __name__ == "__main__":
    main()
