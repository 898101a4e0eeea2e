"""Counts calls to the store before, during and after an outage.

The counts show whether the hosts overload the store when it is reachable again.

python -m greengagefall.bench.measure_storm
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import click

from greengagefall.bench.fleet import BackEndSpec, Fleet, FleetSpec

ZONES = ("ee-north-a", "ee-north-b", "ee-north-c")
BEFORE_S = 5.0
OUTAGE_S = 10.0
AFTER_S = 10.0
WINDOW_S = 0.5


def total(counts: dict[str, Any]) -> int:
    """Returns the number of all calls that the store's stand-in counted."""
    return sum(number for number in counts.values() if isinstance(number, int))


async def calls_in_windows(fleet: Fleet, seconds: float) -> list[int]:
    """Returns the number of calls in each window of ``WINDOW_S``."""
    counts = []
    before = total(await fleet.get_json(fleet.store_address, "/counts"))
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        await asyncio.sleep(WINDOW_S)
        now = total(await fleet.get_json(fleet.store_address, "/counts"))
        counts.append(now - before)
        before = now
    return counts


def print_phase(name: str, windows: list[int]) -> None:
    """Prints the mean and the busiest window of a phase."""
    mean_per_s = sum(windows) / len(windows) / WINDOW_S
    print(f"| {name} | {mean_per_s:.1f} | {max(windows)} |")


async def measure(entries_per_zone: int) -> None:
    """Prints the calls before, during and after an outage of ``OUTAGE_S``."""
    back_end = BackEndSpec("proofdesk", "keyed", 2, 6, 5.0, slices=512)
    fleet = Fleet(FleetSpec(ZONES, entries_per_zone, (back_end,)))
    try:
        await fleet.start()
        print(f"\n{3 * entries_per_zone} entry hosts")
        print("| phase | calls/s | most in 0.5 s |\n| --- | --- | --- |")
        print_phase("before", await calls_in_windows(fleet, BEFORE_S))
        await fleet.post_json(fleet.store_address, "/fault", {"outage": "refuse"})
        print_phase("outage", await calls_in_windows(fleet, OUTAGE_S))
        await fleet.post_json(fleet.store_address, "/fault", {"outage": ""})
        print_phase("after", await calls_in_windows(fleet, AFTER_S))
    finally:
        await fleet.close()


@click.command()
def main() -> None:
    """Measures with 3 and with 12 entry hosts."""
    for entries_per_zone in (1, 4):
        asyncio.run(measure(entries_per_zone))


if __name__ == "__main__":
    main()
