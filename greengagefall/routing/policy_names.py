"""Policies and their numbers that a configuration may choose for a back end."""

from __future__ import annotations

from typing import NamedTuple


class PolicyArea(NamedTuple):
    """One area of behaviour that varies.

    Attributes:
        names: Policies to choose from.
        default: Policy of a back end that names none.
        description: What the area decides.
    """

    names: tuple[str, ...]
    default: str
    description: str


class TuningRange(NamedTuple):
    """One number that policies read.

    Attributes:
        minimum: Smallest value allowed.
        maximum: Largest value allowed.
        description: What it sets.
    """

    minimum: float
    maximum: float
    description: str


POLICY_AREAS: dict[str, PolicyArea] = {
    "limit": PolicyArea(
        ("fixed", "adaptive"), "adaptive", "Requests in flight at one backend server."
    ),
    "queue": PolicyArea(
        ("fifo", "deadline_fair"), "deadline_fair", "Order of waiting requests, and which are shed."
    ),
    "pick": PolicyArea(
        ("round_robin", "two_choices"), "two_choices", "Server of a pooled back end for a request."
    ),
    "placement": PolicyArea(
        ("by_weight", "load_aware"), "load_aware", "Owners of the slices of a keyed back end."
    ),
    "hedge": PolicyArea(
        ("off", "after_p95"), "after_p95", "Second copies of slow repeatable requests."
    ),
    "ejection": PolicyArea(
        ("off", "outlier"), "outlier", "Servers of a pooled back end that are left out for a while."
    ),
    "zone_move": PolicyArea(
        ("all_at_once", "paced"), "paced", "Rate at which slices leave a zone that is out."
    ),
}

TUNING_RANGES: dict[str, TuningRange] = {
    "cold_sheds": TuningRange(1, 100, "Sheds in a row that are taken as a cold start."),
    "cold_hold_s": TuningRange(0, 600, "Seconds at cold_slots without a sign of cold start."),
    "cold_step_s": TuningRange(0, 600, "Least seconds between two steps of the cold ramp."),
    "cold_step_successes": TuningRange(
        1, 1000, "Answers in a row, for each request in flight, that make a step of the cold ramp."
    ),
    "slow_factor": TuningRange(1, 100, "Rise of the latency at which the limit falls."),
    "jump_factor": TuningRange(1, 1000, "Rise of the latency that looks like a cold start."),
    "jump_answers": TuningRange(1, 100, "Answers in a row with that rise that count as one."),
    "decrease": TuningRange(0.1, 1, "Factor by which the limit falls."),
    "window_answers": TuningRange(1, 10_000, "Answers that are judged together."),
    "limit_floor_share": TuningRange(0, 1, "Share of the slots below which the limit never falls."),
    "wait_safety": TuningRange(0, 100, "Factor on the estimated wait before a deadline check."),
    "spill_queue": TuningRange(
        0, 100, "Queue, as a multiple of the slots, that sends requests to other zones."
    ),
    "spill_ratio": TuningRange(1, 100, "Slowness of the own zone that does so."),
    "hedge_quantile": TuningRange(0.5, 1, "Quantile of recent latencies after which to hedge."),
    "hedge_min_ms": TuningRange(0, 60_000, "Shortest delay before a second copy."),
    "hedge_ratio": TuningRange(0, 1, "Second copies per first try, at most."),
    "hedge_burst": TuningRange(0, 10_000, "Second copies saved up for a burst, at most."),
    "eject_factor": TuningRange(1, 1000, "Latency over the median that ejects a server."),
    "eject_failures": TuningRange(1, 1000, "Failures in a row that eject a server."),
    "eject_s": TuningRange(0, 3600, "Seconds of the first ejection; each further doubles."),
    "eject_max_s": TuningRange(0, 3600, "Seconds of the longest ejection."),
    "max_ejected_share": TuningRange(0, 1, "Share of the servers left out at once, at most."),
    "min_imbalance": TuningRange(0, 10, "Excess over the balanced utilisation that starts moves."),
    "settle_imbalance": TuningRange(0, 10, "Excess at which a server stops giving slices away."),
    "excess_observations": TuningRange(
        1, 100, "Observations in a row above that before a server gives slices away."
    ),
    "zone_imbalance": TuningRange(0, 10, "Excess of a zone that starts moves between zones."),
    "zone_settle_imbalance": TuningRange(0, 10, "Excess of a zone at which such moves end."),
    "churn_cost": TuningRange(
        0, 100, "Rate of a slice, relative to the mean, below which it does not move."
    ),
    "max_moves_per_plan": TuningRange(1, 65_536, "Slices that one plan moves, at most."),
    "hot_slice_factor": TuningRange(
        1, 1e6, "Rate, relative to the mean, at which a slice stays and its neighbours move."
    ),
    "straggler_hold_s": TuningRange(0, 3600, "Seconds a slowed server must last to count."),
    "rate_weight": TuningRange(0.01, 1, "Weight of the newest load against earlier ones."),
    "leave_share_per_plan": TuningRange(0.001, 1, "Share of all slices that leave in one plan."),
    "leave_chunk_slices": TuningRange(1, 65_536, "Slices that leave together."),
}
