"""``make demo``: sends requests to both deployments, scaled down, through three losses."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections import Counter
from typing import NamedTuple

import click

from greengagefall.bench.caller import Balancer, Caller, CallRow, Workload, run_workload
from greengagefall.bench.fleet import STORE, BackEndSpec, Fleet, FleetSpec

RATE_PER_S = 80.0
STEP_S = 6.0
PRINT_PERIOD_S = 1.0
SEED = 7


class Deployment(NamedTuple):
    """A deployment to show.

    Attributes:
        name: Name of the deployment.
        zones: Names of its availability zones.
        keyed: Name of its keyed back end.
        pooled: Name of its pooled back end.
        slots: Slots of each server.
    """

    name: str
    zones: tuple[str, ...]
    keyed: str
    pooled: str
    slots: int

    def spec(self) -> FleetSpec:
        """Returns the fleet, scaled down to one machine."""
        keyed = BackEndSpec(self.keyed, "keyed", 2, self.slots, 5.0, slices=256, cold_s=1.0)
        pooled = BackEndSpec(self.pooled, "pooled", 1, self.slots, 5.0, cold_s=1.0)
        return FleetSpec(self.zones, 3, (keyed, pooled), allow_faults=False)


DEPLOYMENTS = (
    Deployment(
        "Kaasik", ("ee-north-a", "ee-north-b", "ee-north-c"), "proofdesk", "benchline", slots=6
    ),
    Deployment("Hookworks", ("tanta", "mansoura", "zagazig"), "catalogue", "orders", slots=3),
)


class Summary:
    """Prints each second a summary of the requests since the previous line."""

    def __init__(self, caller: Caller, fleet: Fleet) -> None:
        self._caller = caller
        self._fleet = fleet
        self._shown = 0
        self._second = 0

    async def run(self) -> None:
        """Prints lines until cancelled."""
        while True:
            await asyncio.sleep(PRINT_PERIOD_S)
            await self._print_line()

    async def _print_line(self) -> None:
        rows = self._caller.rows[self._shown :]
        self._shown += len(rows)
        self._second += 1
        statuses = [one for one in (await self._fleet.statuses()).values() if one is not None]
        versions = [version for one in statuses for version in one["map_versions"].values()]
        print(
            f"  {self._second:3} s  {_latencies(rows)}  {_refusals(rows)}"
            f"  entry hosts {len(statuses)}, slice map version {max(versions, default=0)}",
            flush=True,
        )


def _latencies(rows: list[CallRow]) -> str:
    answered = sorted(row.latency_ms for row in rows if row.ok)
    if not answered:
        return "answered   0"
    p50_ms = answered[len(answered) // 2]
    p99_ms = answered[int(len(answered) * 0.99)]
    return f"answered {len(answered):3}, p50 {p50_ms:5.1f} ms, p99 {p99_ms:6.1f} ms"


def _refusals(rows: list[CallRow]) -> str:
    refused = Counter(row.reason for row in rows if not row.ok)
    if not refused:
        return "refused none"
    return "refused " + ", ".join(f"{number} {reason}" for reason, number in refused.items())


async def show(deployment: Deployment, step_s: float) -> int:
    """Runs one deployment through three losses; returns the number of refused requests."""
    print(f"\n{deployment.name}: starting {', '.join(deployment.zones)} ...", flush=True)
    fleet = Fleet(deployment.spec())
    try:
        await fleet.start()
        return await _show_losses(deployment, fleet, step_s)
    finally:
        await fleet.close()


async def _show_losses(deployment: Deployment, fleet: Fleet, step_s: float) -> int:
    balancer = Balancer(fleet)
    balancer.start()
    caller = Caller(balancer, random.Random(SEED))
    workload = Workload(RATE_PER_S, (deployment.keyed,), (deployment.pooled,))
    load = asyncio.create_task(run_workload(caller, workload, 4 * step_s, SEED))
    summary = asyncio.create_task(Summary(caller, fleet).run())
    zone = deployment.zones[0]
    killed = (f"{deployment.keyed}-{zone}-1", f"entry-{zone}-entry-1", STORE)
    for name in killed:
        await asyncio.sleep(step_s)
        print(f"  --- SIGKILL of {name}", flush=True)
        fleet.processes.kill(name)
    await load
    summary.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await summary
    await balancer.close()
    refused = sum(not row.ok for row in caller.rows)
    print(f"  {len(caller.rows)} requests, {refused} refused.")
    return refused


@click.command()
@click.option("--step-s", default=STEP_S, show_default=True, help="Time between the losses.")
def main(step_s: float) -> None:
    """Shows requests routed through the kill of a backend server, an entry host and the store."""
    for deployment in DEPLOYMENTS:
        asyncio.run(show(deployment, step_s))
    print("\nAll processes stopped.")
    sys.exit(0)


if __name__ == "__main__":
    main()
