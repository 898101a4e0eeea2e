"""``make soak-planted``: shows which checks of the soak detect each planted fault."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from typing import NamedTuple

import click

from greengagefall.bench.planted import PLANTS
from greengagefall.bench.soak import FaultPlan, SoakOutcome, run_soak, soak_spec

SECONDS = 40.0


class PlantedRun(NamedTuple):
    """Settings of the soak that must detect a planted fault.

    Attributes:
        faults: Names of the faults that the soak injects.
        checks_orders: Whether backend servers check grants and fences.
    """

    faults: tuple[str, ...]
    checks_orders: bool = True


RUNS = {
    "release_without_proof": PlantedRun(("drain_server", "zone_out")),
    "no_lease_check": PlantedRun(("freeze_entry", "cut_host"), checks_orders=False),
    "retry_after_unknown_outcome": PlantedRun(("kill_server", "late_answers", "freeze_server")),
    "unknown_called_not_run": PlantedRun(("kill_server", "late_answers", "freeze_server")),
    "no_cold_ramp": PlantedRun(("kill_server", "cold_server")),
    "no_answer_check": PlantedRun(("crossed_answers",)),
    "keeps_configuration": PlantedRun(("racing_patches",)),
    "work_after_leaving": PlantedRun(("drain_server", "zone_out")),
}


def caught_by(outcome: SoakOutcome) -> Counter[str]:
    """Returns the number of violations by check, including those that processes report."""
    caught = Counter(violation.check for violation in outcome.report.violations)
    for name, number in outcome.log.violations.items():
        caught[f"inside: {name.partition(' at ')[0]}"] += number
    return +caught


async def check_plant(name: str, seed: int, seconds: float) -> bool:
    """Runs a soak with a planted fault; returns whether a check detected it."""
    run = RUNS[name]
    spec = soak_spec(run.checks_orders)._replace(planted_fault=name)
    outcome = await run_soak(spec, seed, seconds, FaultPlan(run.faults, 3, 2.0))
    caught = caught_by(outcome)
    shown = ", ".join(f"{check} ({number})" for check, number in caught.most_common())
    print(f"| {name} | {', '.join(run.faults)} | {shown or 'not caught'} |", flush=True)
    return bool(caught)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of faults and requests.")
@click.option("--seconds", default=SECONDS, show_default=True, help="Length of each soak.")
@click.option("--only", default="", help="Check this planted fault alone.")
def main(seed: int, seconds: float, only: str) -> None:
    """Runs a soak for each planted fault; exits 1 if one is not caught."""
    print("| planted fault | faults injected | caught by |\n| --- | --- | --- |")
    names = [only] if only else PLANTS.names()
    caught = [asyncio.run(check_plant(name, seed, seconds)) for name in names]
    sys.exit(0 if all(caught) else 1)


if __name__ == "__main__":
    main()
