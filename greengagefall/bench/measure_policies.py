"""Measures baseline and variant of each policy; ``make measure-policies`` runs this module.

All figures are medians over fixed seeds in virtual time. The latency of a request that was
refused or answered too late counts as its timeout.
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
POOLED_SLOWED_SERVERS = 1


class Part(NamedTuple):
    """One measurement.

    Attributes:
        title: Printed description.
        run: Returns the figures of the variant for a deployment, policies, settings and a seed.
        baseline_run: The same for the baseline, which may differ in more than its policies.
        goals: Figure, comparison and bound for the variant.
        ratio: Figure of which the ratio of variant to baseline is printed.
        seeds: Number of seeds; figures that vary more between seeds need more of them.
    """

    title: str
    run: Measurement
    baseline_run: Measurement
    goals: tuple[tuple[str, str, float], ...]
    ratio: str
    seeds: int = DEFAULT_SEEDS


def policy_part(title: str, run: Measurement, goals: tuple, ratio: str) -> Part:
    """Returns a part whose baseline and variant differ in their policies only."""
    return Part(title, run, run, goals, ratio)


def overload(timeout_s: float, ratio: float) -> Measurement:
    """Returns the overload measurement with a timeout and the ratio of a retry budget."""
    return partial(policies_overload.measure_overload, timeout_s=timeout_s, retry_ratio=ratio)


def overload_part(timeout_s: float) -> Part:
    """Returns the overload part; callers of the baseline retry without a budget."""
    return Part(
        f"Overload: three times the capacity, timeout {timeout_s} s",
        overload(timeout_s, policies_overload.BUDGET_RATIO),
        overload(timeout_s, policies_overload.UNLIMITED),
        (("goodput_ratio", ">=", 0.9), ("retries", "<", 0.1)),
        "goodput_ratio",
    )


PARTS: dict[str, Part] = {
    "pooled": policy_part(
        "Tail latency: pooled, one of six servers ten times as slow",
        partial(
            policies_pooled.measure_tail,
            utilisation=POOLED_UTILISATION,
            slowed=POOLED_SLOWED_SERVERS,
        ),
        (("ratio p99_ms", "<=", 0.5),),
        "p99_ms",
    ),
    "keyed": policy_part(
        "Tail latency: keyed, 3 of 30 servers ten times as slow",
        policies_keyed_figures.measure_tail,
        (("healthy_ratio", "<=", 2.0),),
        "healthy_p99_ms",
    ),
    "zone": policy_part(
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
    "imbalance": policy_part(
        "Imbalance: ten hot slices that change every 3 minutes, weights off by up to 30%",
        policies_placement.measure_imbalance,
        (("imbalance", "<=", 1.15),),
        "imbalance",
    )._replace(seeds=IMBALANCE_SEEDS),
    "overload": overload_part(policies_overload.TIMEOUT_S),
    "overload-short": overload_part(policies_overload.SHORT_TIMEOUT_S),
    "flood": policy_part(
        "Fairness: one caller sends three times the capacity",
        policies_overload.measure_flood,
        (("calm_served", ">=", 0.999),),
        "calm_served",
    ),
    "contention": policy_part(
        "Service: unseen neighbours make more than half of the slots slow",
        policies_overload.measure_contention,
        (),
        "served",
    ),
    "cold": policy_part(
        "Cold starts that nobody announces, server tells of them when asked",
        policies_overload.measure_cold,
        (("above_cold_bound", "<=", 0.0),),
        "served",
    ),
    "cold-silent": policy_part(
        "Cold starts that nobody announces, server never tells",
        partial(policies_overload.measure_cold, reports_cold=False),
        (("above_cold_bound", "<=", 0.0),),
        "served",
    ),
}


def report(part: Part, deployment: Deployment, seeds: Sequence[int]) -> list[str]:
    """Runs a part for one deployment and returns the printed lines."""
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
        verdict = "met" if met else "NOT MET"
        lines.append(f"  goal {name} {comparison} {bound:g}: {figures[name]:.4g}, {verdict}")
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
            seed_range = range(1, (seeds or PARTS[name].seeds) + 1)
            click.echo("\n".join(report(PARTS[name], deployment, seed_range)))


if __name__ == "__main__":
    main()
