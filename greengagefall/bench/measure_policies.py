"""Measures baseline and variant of each policy; ``make measure-policies`` runs it.

All figures are medians over fixed seeds in virtual time. A request that was refused or
came late counts with its timeout as latency.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import click

from greengagefall.bench import (
    policies_keyed_figures,
    policies_overload,
    policies_placement,
    policies_pooled,
)
from greengagefall.bench.policies_deployments import (
    BASELINE,
    DEPLOYMENTS,
    VARIANT,
    Deployment,
)
from greengagefall.bench.policies_stats import medians

if TYPE_CHECKING:
    from collections.abc import Sequence

log = logging.getLogger(__name__)

Measurement = Callable[[Deployment, Mapping[str, str], Mapping[str, float], int], dict[str, float]]

DEFAULT_SEEDS = 3
IMBALANCE_SEEDS = 15
POOLED_UTILISATION = 0.6
POOLED_SLOWED = 1


class Part(NamedTuple):
    """One measurement.

    Attributes:
        title: What it runs.
        run: Returns the figures of one seed for a deployment and policies.
        baseline_run: The same for the baseline, if that differs in more than policies.
        goals: Figure, comparison and bound for the variant.
        ratio: Figure whose variant is put over the baseline's.
        seeds: Number of seeds; figures that vary more with the seed take more.
    """

    title: str
    run: Measurement
    baseline_run: Measurement
    goals: tuple[tuple[str, str, float], ...]
    ratio: str
    seeds: int = DEFAULT_SEEDS


def same(title: str, run: Measurement, goals: tuple, ratio: str) -> Part:
    """Returns a part that differs between baseline and variant in policies alone."""
    return Part(title, run, run, goals, ratio)


def overload(timeout_s: float, ratio: float) -> Measurement:
    """Returns the overload measurement with a timeout and a retry budget."""
    return partial(policies_overload.measure_overload, timeout_s=timeout_s, retry_ratio=ratio)


def overload_part(timeout_s: float) -> Part:
    """Returns the overload measurement; the baseline's callers retry without a budget."""
    return Part(
        f"Overload: three times the capacity, timeout {timeout_s} s",
        overload(timeout_s, policies_overload.BUDGET_RATIO),
        overload(timeout_s, policies_overload.UNLIMITED),
        (("goodput_ratio", ">=", 0.9), ("retries", "<", 0.1)),
        "goodput_ratio",
    )


PARTS: dict[str, Part] = {
    "pooled": same(
        "Tail latency: pooled, one of six servers ten times as slow",
        partial(policies_pooled.measure_tail, utilisation=POOLED_UTILISATION, slowed=POOLED_SLOWED),
        (("ratio p99_ms", "<=", 0.5),),
        "p99_ms",
    ),
    "keyed": same(
        "Tail latency: keyed, 3 of 30 servers ten times as slow",
        policies_keyed_figures.measure_tail,
        (("healthy_ratio", "<=", 2.0),),
        "healthy_p99_ms",
    ),
    "zone": same(
        "Churn, service and unavailable time: a zone leaves and returns",
        policies_keyed_figures.measure_zone,
        (
            ("churn_leave", "<=", 1.05),
            ("churn_return", "<=", 0.5),
            ("served_leave", ">=", 0.999),
            ("served_return", ">=", 0.999),
            ("late_work", "<=", 0.0),
        ),
        "unavailable_slice_s",
    ),
    "imbalance": same(
        "Imbalance: ten hot slices that change every 3 minutes, weights off by up to 30%",
        policies_placement.measure_imbalance,
        (("imbalance", "<=", 1.15),),
        "imbalance",
    )._replace(seeds=IMBALANCE_SEEDS),
    "overload": overload_part(policies_overload.TIMEOUT_S),
    "overload-short": overload_part(policies_overload.SHORT_TIMEOUT_S),
    "flood": same(
        "Fairness: one caller sends three times the capacity",
        policies_overload.measure_flood,
        (("calm_served", ">=", 0.999),),
        "calm_served",
    ),
    "contention": same(
        "Service: unseen neighbours make more than half of the slots slow",
        policies_overload.measure_contention,
        (),
        "served",
    ),
    "cold": same(
        "Cold starts that nobody announces, server tells of them when asked",
        policies_overload.measure_cold,
        (("above_cold_bound", "<=", 0.0),),
        "served",
    ),
    "cold-silent": same(
        "Cold starts that nobody announces, server never tells",
        partial(policies_overload.measure_cold, tells_cold=False),
        (("above_cold_bound", "<=", 0.0),),
        "served",
    ),
}


def report(part: Part, deployment: Deployment, seeds: Sequence[int]) -> list[str]:
    """Runs a part for one deployment and returns the lines to print."""
    baseline = medians(
        lambda seed: part.baseline_run(deployment, BASELINE, deployment.tuning, seed), seeds
    )
    variant = medians(lambda seed: part.run(deployment, VARIANT, deployment.tuning, seed), seeds)
    ratio_name = f"ratio {part.ratio}"
    figures = {ratio_name: variant[part.ratio] / (baseline[part.ratio] or float("nan")), **variant}
    lines = [f"{deployment.name}: variant / baseline of {part.ratio}: {figures[ratio_name]:.3f}"]
    lines += [
        f"  {name:22} baseline {baseline[name]:10.4g}   variant {variant[name]:10.4g}"
        for name in variant
    ]
    for name, comparison, bound in part.goals:
        met = figures[name] <= bound if comparison == "<=" else figures[name] >= bound
        if comparison == "<":
            met = figures[name] < bound
        word = "met" if met else "NOT MET"
        lines.append(f"  goal {name} {comparison} {bound:g}: {figures[name]:.4g}, {word}")
    return lines


@click.command()
@click.option(
    "--part", "names", multiple=True, type=click.Choice(sorted(PARTS)), help="Repeatable."
)
@click.option("--seeds", type=click.IntRange(min=1), help="Number of seeds instead of the part's.")
def main(names: tuple[str, ...], seeds: int | None) -> None:
    """Prints each measurement with its baseline; all parts if none is named."""
    logging.disable(logging.INFO)
    for name in names or PARTS:
        click.echo(f"\n{PARTS[name].title} [{name}]")
        for deployment in DEPLOYMENTS:
            chosen = range(1, (seeds or PARTS[name].seeds) + 1)
            click.echo("\n".join(report(PARTS[name], deployment, chosen)))


if __name__ == "__main__":
    main()
