"""Shows that soaks catch planted faults: one short soak each, and a table of the checks."""

from __future__ import annotations

import asyncio
import sys
from typing import NamedTuple

import click

from greengagefall.bench.fleet import Fleet
from greengagefall.bench.soak import run_soak, soak_spec

SEED = 1
SECONDS = 30.0


class Planted(NamedTuple):
    """A planted fault, the faults that bring it out, and the checks that may catch it."""

    plant: str
    faults: tuple[str, ...]
    checks: frozenset[str]


PLANTED = (
    Planted("resends_lost", ("crossed_answers",), frozenset({"at_most_once"})),
    Planted("claims_not_run", ("crossed_answers", "late_answers"), frozenset({"not_run_true"})),
    Planted("matches_no_answers", ("crossed_answers",), frozenset({"own_answer"})),
    Planted("ignores_cold", ("cold_server",), frozenset({"cold_bound", "cold_probe"})),
    Planted(
        "releases_at_once",
        ("zone_out", "drain_server"),
        frozenset({"one_owner", "one_runner"}),
    ),
    Planted(
        "keeps_configuration",
        ("zone_out", "drain_server"),
        frozenset({"config_in_force", "no_work_when_out"}),
    ),
    Planted(
        "no_fence",
        ("freeze_entry",),
        frozenset({"dispatch_fence_monotone", "run_fence_monotone", "one_owner"}),
    ),
)


async def run_planted(planted: Planted, seed: int, seconds: float) -> set[str]:
    """Runs one soak with a planted fault and returns the names of the checks that failed."""
    fleet = Fleet(soak_spec({})._replace(plant=planted.plant))
    run = await run_soak(fleet, seed, seconds, planted.faults)
    return run.report.found()


@click.command()
@click.option("--plant", default="", help="The only fault to plant; all if empty.")
@click.option("--seed", default=SEED, show_default=True, help="Seed of faults and requests.")
@click.option("--seconds", default=SECONDS, show_default=True, help="Length of each soak.")
def main(plant: str, seed: int, seconds: float) -> None:
    """Plants each fault in turn; exits 1 if one of them is not caught."""
    rows = []
    for planted in PLANTED:
        if plant in ("", planted.plant):
            print(f"{planted.plant}:", flush=True)
            found = asyncio.run(run_planted(planted, seed, seconds))
            rows.append((planted, found))
    print(f"\n{'planted fault':22} {'caught':8} failed checks")
    for planted, found in rows:
        caught = "yes" if found & planted.checks else "NO"
        print(f"{planted.plant:22} {caught:8} {', '.join(sorted(found))}")
    sys.exit(not all(found & planted.checks for planted, found in rows))


if __name__ == "__main__":
    main()
