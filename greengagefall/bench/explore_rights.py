"""Searches random runs of the dispatch rights simulation for violations of its invariants.

python -m greengagefall.bench.explore_rights --runs 3000 --seed 0
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

import click

from greengagefall.bench.rights_faults import HARSH, QUIET, STORM
from greengagefall.bench.rights_model import RightsModel
from greengagefall.bench.rights_model_hosts import CoordinatorModel
from greengagefall.coordination.dispatch_right import DispatchRight

PROFILES = {"harsh": HARSH, "storm": STORM, "quiet": QUIET}
RUN_DURATION_S = 15.0
MIN_HOSTS = 3
HOST_COUNTS = 5
RUNS_PER_TASK = 50


class RunResult(NamedTuple):
    """Result of one run.

    Attributes:
        seed: Seed of the run.
        violation: Description of the first violation, empty if there was none.
        valid_share: Share of the time in which some host held the right.
        take_overs: Number of times that a host, incarnation or fence became the one in use.
        epochs: Epoch of the last members record.
    """

    seed: int
    violation: str
    valid_share: float
    take_overs: int
    epochs: int


class Parts(NamedTuple):
    """Classes that the simulation runs; tests replace them by classes with planted faults.

    Attributes:
        right_class: Class of the dispatch rights.
        coordinator_class: Class of the coordinators.
    """

    right_class: type[DispatchRight] = DispatchRight
    coordinator_class: type[CoordinatorModel] = CoordinatorModel


REAL_PARTS = Parts()


def run_one(seed: int, profile: str = "harsh", parts: Parts = REAL_PARTS) -> RunResult:
    """Runs the simulation once; the seed also determines the number of hosts."""
    hosts = MIN_HOSTS + seed % HOST_COUNTS
    model = RightsModel(seed, hosts=hosts, faults=PROFILES[profile], **parts._asdict())
    model.run(RUN_DURATION_S)
    return RunResult(
        seed=seed,
        violation=model.violations[0] if model.violations else "",
        valid_share=model.valid_samples / model.samples,
        take_overs=model.take_overs,
        epochs=model.record.epoch,
    )


def explore(
    seeds: range,
    profile: str,
    parts: Parts = REAL_PARTS,
    workers: int = 1,
) -> list[RunResult]:
    """Runs the simulation once for each seed."""
    run = partial(run_one, profile=profile, parts=parts)
    if workers == 1:
        return [run(seed) for seed in seeds]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run, seeds, chunksize=RUNS_PER_TASK))


def describe(results: list[RunResult]) -> str:
    """Returns a line of figures and a line for each of the first five runs with a violation."""
    violating = [result for result in results if result.violation]
    count = len(results)
    lines = [
        f"runs {count}, runs with a violation {len(violating)}, "
        f"valid dispatcher {sum(result.valid_share for result in results) / count:.2f} of the "
        f"time, take-overs per run {sum(result.take_overs for result in results) / count:.1f}, "
        f"epochs per run {sum(result.epochs for result in results) / count:.1f}"
    ]
    lines += [f"seed {result.seed}: {result.violation}" for result in violating[:5]]
    return "\n".join(lines)


@click.command()
@click.option("--runs", default=3000, help="Number of runs.")
@click.option("--seed", default=0, help="First seed.")
@click.option("--profile", type=click.Choice(sorted(PROFILES)), default="harsh")
@click.option("--workers", default=2, help="Processes that share the runs.")
def main(runs: int, seed: int, profile: str, workers: int) -> None:
    """Explores the real rule; exits with 1 if a run has a violation."""
    results = explore(range(seed, seed + runs), profile, workers=workers)
    click.echo(describe(results))
    if any(result.violation for result in results):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
