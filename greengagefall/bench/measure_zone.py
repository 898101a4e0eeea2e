"""Measures served requests and churn while a zone is evacuated and returns, with real processes.

    python -m greengagefall.bench.measure_zone

The command runs the baseline policy and then the default policy with the same load.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import Any, NamedTuple

import click

from greengagefall.bench.caller import Balancer, Caller, CallRow, Workload, run_workload
from greengagefall.bench.fleet import BackEndSpec, Fleet, FleetSpec

ZONES = ("ee-north-a", "ee-north-b", "ee-north-c")
EVACUATED_ZONE = ZONES[0]
SLICES = 4096
RATE_PER_S = 200.0
BEFORE_S = 2.0
OUT_S = 9.0
RETURNED_S = 13.0
POLL_INTERVAL_S = 0.2
SEED = 1
POLICIES = ("all_at_once", "paced")


class ZoneMoveResult(NamedTuple):
    """Result of evacuating a zone and taking it back into use.

    Attributes:
        empty_after_s: Time from the patch until the zone owned no slices, -1 if it still owned
            some after ``OUT_S``.
        owned_before: Number of slices that the zone owned before the evacuation.
        moved_out: Number of slices that changed owner during the evacuation.
        moved_back: Number of slices that changed owner after the zone returned.
        rows: Results of the calls, in the callers' view.
    """

    empty_after_s: float
    owned_before: int
    moved_out: int
    moved_back: int
    rows: list[CallRow]


def zone_spec(policy: str) -> FleetSpec:
    """Returns the specification of a fleet of 12 entry hosts and 36 backend servers."""
    policies = {"zone_move": policy}
    return FleetSpec(
        ZONES,
        4,
        (
            BackEndSpec("proofdesk", "keyed", 10, 6, 5.0, slices=SLICES, policies=policies),
            BackEndSpec("benchline", "pooled", 2, 6, 5.0),
        ),
    )


def owners(document: dict[str, Any]) -> list[str]:
    """Returns the owner of each slice of a slice map document."""
    slice_owners: list[str] = []
    for first, last, _state, owner, *_ in document["runs"]:
        slice_owners += [owner] * (last - first + 1)
    return slice_owners


def changed(before: list[str], after: list[str]) -> int:
    """Returns the number of slices that changed owner."""
    return sum(former_owner != owner for former_owner, owner in zip(before, after, strict=True))


async def read_owners(fleet: Fleet) -> list[str]:
    """Returns the owners of the slices as known to an entry host of another zone."""
    entry = next(entry for entry in fleet.entries.values() if entry.zone != EVACUATED_ZONE)
    maps = await fleet.get_json(entry.http, "/.greengagefall/slices")
    return owners(maps["proofdesk"])


async def wait_until_empty(fleet: Fleet) -> float:
    """Returns the time until the zone owns no slices, -1 if it still owns some after ``OUT_S``."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < OUT_S:
        if not any(EVACUATED_ZONE in owner for owner in await read_owners(fleet)):
            return time.monotonic() - started_s
        await asyncio.sleep(POLL_INTERVAL_S)
    return -1.0


async def measure(policy: str) -> ZoneMoveResult:
    """Evacuates a zone and takes it back into use under load."""
    fleet = Fleet(zone_spec(policy))
    try:
        await fleet.start()
        balancer = Balancer(fleet)
        balancer.start()
        caller = Caller(balancer, random.Random(SEED))
        workload = Workload(RATE_PER_S, ("proofdesk",), ("benchline",))
        seconds = BEFORE_S + OUT_S + RETURNED_S
        load = asyncio.create_task(run_workload(caller, workload, seconds, SEED))
        result = await _evacuate_and_return(fleet, caller)
        await load
        await balancer.close()
        return result
    finally:
        await fleet.close()


async def _evacuate_and_return(fleet: Fleet, caller: Caller) -> ZoneMoveResult:
    await asyncio.sleep(BEFORE_S)
    before = await read_owners(fleet)
    await fleet.patch({"zones": {EVACUATED_ZONE: {"state": "out"}}})
    empty_after_s = await wait_until_empty(fleet)
    await asyncio.sleep(max(0.0, OUT_S - max(0.0, empty_after_s)))
    out = await read_owners(fleet)
    await fleet.patch({"zones": {EVACUATED_ZONE: {"state": "in"}}})
    await asyncio.sleep(RETURNED_S)
    back = await read_owners(fleet)
    owned_before = sum(EVACUATED_ZONE in owner for owner in before)
    return ZoneMoveResult(
        empty_after_s, owned_before, changed(before, out), changed(out, back), caller.rows
    )


def print_result(policy: str, result: ZoneMoveResult) -> None:
    """Prints the result of a policy as a table row."""
    latencies_ms = sorted(row.latency_ms for row in result.rows)
    refused = Counter(row.reason for row in result.rows if not row.ok)
    served = sum(row.ok for row in result.rows) / len(result.rows)
    print(
        f"| {policy} | {result.empty_after_s:.1f} | {result.moved_out / result.owned_before:.2f}"
        f" | {result.moved_back / result.owned_before:.2f} | {served:.3%}"
        f" | {latencies_ms[int(len(latencies_ms) * 0.99)]:.0f} | {dict(refused) or 'none'} |",
        flush=True,
    )


@click.command()
def main() -> None:
    """Prints a row for the baseline and one for the default policy."""
    print("| policy | empty after s | churn out | churn back | served | p99 ms | refused |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for policy in POLICIES:
        print_result(policy, asyncio.run(measure(policy)))


if __name__ == "__main__":
    main()
