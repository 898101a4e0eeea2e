"""Measures tail latency with slowed servers, and the evacuation and return of a zone."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagefall.bench.policies_deployments import TIMEOUT_S, Deployment
from greengagefall.bench.policies_keyed import KeyedEnd, KeyedRun, keyed_rate_per_s
from greengagefall.bench.policies_stats import quantile

if TYPE_CHECKING:
    from collections.abc import Mapping

log = logging.getLogger(__name__)

TAIL_UTILISATION = 0.5
TAIL_WARM_UP_S = 8.0
TAIL_RUN_S = 24.0
SLOW_FACTOR = 10.0
SLOWED_SERVERS = 3

ZONE_UTILISATION = 0.5
ZONE_OUT_S = 10.0
ZONE_IN_S = 30.0
ZONE_SETTLED_FROM_S = 90.0
ZONE_RUN_S = 115.0
LATE_WORK_AFTER_S = 5.0


def measure_tail(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
) -> dict[str, float]:
    """Returns the p99 latency of the servers that are not slowed, and the share served.

    The p99 latency of the same servers in a run without slowed servers is the reference.
    """
    healthy, served = _tail_run(deployment, policies, tuning, seed, SLOWED_SERVERS)
    unslowed, _ = _tail_run(deployment, policies, tuning, seed, 0)
    return {
        "healthy_p99_ms": quantile(healthy, 0.99),
        "unslowed_p99_ms": quantile(unslowed, 0.99),
        "healthy_ratio": quantile(healthy, 0.99) / quantile(unslowed, 0.99),
        "served_all": served,
    }


def _tail_run(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
    slowed: int,
) -> tuple[list[float], float]:
    run = KeyedRun(deployment, policies, tuning, seed)
    slow_servers = set(run.rng.sample(sorted(run.models), SLOWED_SERVERS))
    if slowed:
        for name in slow_servers:
            run.loop.call_at(TAIL_WARM_UP_S, setattr, run.models[name], "slow_factor", SLOW_FACTOR)
    run.planner.start()
    run.offer_load(keyed_rate_per_s(run, TAIL_UTILISATION), TAIL_RUN_S)
    run.loop.run_until(TAIL_RUN_S + TIMEOUT_S)
    counted = [end for end in run.ends if end.request.start_s >= TAIL_WARM_UP_S]
    healthy = [end.latency_ms for end in counted if end.server not in slow_servers]
    return healthy, _served(counted)


def measure_zone(
    deployment: Deployment,
    policies: Mapping[str, str],
    tuning: Mapping[str, float],
    seed: int,
) -> dict[str, float]:
    """Returns churn, served requests and unavailable time while a zone is evacuated and returns."""
    run = KeyedRun(deployment, policies, tuning, seed)
    zone = deployment.zones[1]
    in_zone = {name for name, server in run.servers.items() if server.zone == zone}
    owned_before = sum(owner in in_zone for owner in run.planner.owners)
    moved: list[int] = []

    def set_zone_state(state: str) -> None:
        moved.append(run.planner.moved)
        run.zones[zone] = state

    run.loop.call_at(ZONE_OUT_S, set_zone_state, "out")
    run.loop.call_at(ZONE_IN_S, set_zone_state, "in")
    run.planner.start()
    run.offer_load(keyed_rate_per_s(run, ZONE_UTILISATION), ZONE_RUN_S)
    run.loop.run_until(ZONE_OUT_S + LATE_WORK_AFTER_S)
    offered_before = sum(run.dispatchers[name].offered for name in in_zone)
    run.loop.run_until(ZONE_IN_S)
    late_work = sum(run.dispatchers[name].offered for name in in_zone) - offered_before
    run.loop.run_until(ZONE_RUN_S + TIMEOUT_S)
    moved.append(run.planner.moved)
    during = [end for end in run.ends if end.request.start_s >= ZONE_OUT_S]
    evacuating = [end for end in during if end.request.start_s < ZONE_IN_S]
    returned = [end for end in during if end.request.start_s >= ZONE_IN_S]
    settled = [end for end in returned if end.request.start_s >= ZONE_SETTLED_FROM_S]
    unavailable_s = run.planner.unavailable_s
    return {
        "churn_leave": (moved[1] - moved[0]) / owned_before,
        "churn_return": (moved[2] - moved[1]) / max(1, moved[1] - moved[0]),
        "served_leave": _served(evacuating),
        "served_return": _served(returned),
        "p99_leave_ms": quantile([end.latency_ms for end in evacuating], 0.99),
        "p99_return_ms": quantile([end.latency_ms for end in returned], 0.99),
        "p99_settled_ms": quantile([end.latency_ms for end in settled], 0.99),
        "unavailable_slice_s": sum(unavailable_s),
        "longest_gap_s": max(unavailable_s, default=0.0),
        "late_work": float(late_work),
        "imbalance_after": _imbalance(run),
        "moved_before": float(moved[0]),
        "runs": float(len(run.planner.ranges())),
    }


def _imbalance(run: KeyedRun) -> float:
    """Returns the ratio of maximum to mean over the servers' slices divided by speed."""
    counts = dict.fromkeys(run.servers, 0)
    for owner in run.planner.owners:
        counts[owner] += 1
    slices_per_speed = [counts[name] / server.weight for name, server in run.servers.items()]
    return max(slices_per_speed) / (sum(slices_per_speed) / len(slices_per_speed))


def _served(ends: list[KeyedEnd]) -> float:
    return sum(end.answered for end in ends) / len(ends)
