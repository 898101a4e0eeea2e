"""Policies and tuning parameters that a configuration may set for a back end."""

from __future__ import annotations

from typing import NamedTuple


class PolicyArea(NamedTuple):
    """An area of behaviour with a choice of policies.

    Attributes:
        names: Names of the available policies.
        default: Policy of a back end that sets none.
        description: What the area decides.
    """

    names: tuple[str, ...]
    default: str
    description: str


class TuningRange(NamedTuple):
    """Allowed range of a tuning parameter.

    Attributes:
        minimum: Smallest allowed value.
        maximum: Largest allowed value.
        description: What the parameter sets.
    """

    minimum: float
    maximum: float
    description: str


POLICY_AREAS: dict[str, PolicyArea] = {
    "limit": PolicyArea(
        ("fixed", "adaptive"), "adaptive", "Requests in flight at one backend server."
    ),
    "queue": PolicyArea(
        ("fifo", "deadline_fair"), "deadline_fair", "Order of queued requests, and which are shed."
    ),
    "pick": PolicyArea(
        ("round_robin", "two_choices"),
        "two_choices",
        "Which server of a pooled back end gets a request.",
    ),
    "placement": PolicyArea(
        ("by_weight", "load_aware"),
        "load_aware",
        "Which servers own the slices of a keyed back end.",
    ),
    "hedge": PolicyArea(
        ("off", "after_p95"),
        "after_p95",
        "Second, concurrent attempts of slow idempotent requests.",
    ),
    "ejection": PolicyArea(
        ("off", "outlier"), "outlier", "Temporary exclusion of servers of a pooled back end."
    ),
    "zone_move": PolicyArea(
        ("all_at_once", "paced"), "paced", "Pace at which slices move off a zone that is out."
    ),
}

TUNING_RANGES: dict[str, TuningRange] = {
    "cold_sheds": TuningRange(1, 100, "Consecutive shed requests that count as a cold start."),
    "cold_hold_s": TuningRange(0, 600, "Seconds at cold_slots without a sign of a cold start."),
    "cold_step_s": TuningRange(0, 600, "Minimum seconds between two steps of the warm-up."),
    "cold_step_successes": TuningRange(
        1, 1000, "Consecutive answers per request in flight before each step of the warm-up."
    ),
    "slow_factor": TuningRange(
        1, 100, "Factor over the long-term latency above which the limit is lowered."
    ),
    "jump_factor": TuningRange(
        1, 1000, "Factor over the long-term latency that may indicate a cold start."
    ),
    "jump_answers": TuningRange(
        1, 100, "Consecutive answers above jump_factor that count as a cold start."
    ),
    "decrease": TuningRange(0.1, 1, "Factor by which the limit is multiplied to lower it."),
    "window_answers": TuningRange(1, 10_000, "Answers that are evaluated together."),
    "limit_floor_share": TuningRange(0, 1, "Lower bound of the limit, as a share of the slots."),
    "wait_safety": TuningRange(
        0, 100, "Factor applied to the estimated wait in the deadline check."
    ),
    "spill_queue": TuningRange(
        0, 100, "Queue length, as a multiple of the slots, at which requests go to other zones."
    ),
    "spill_ratio": TuningRange(
        1, 100, "Ratio of latency to that of other zones above which requests go there."
    ),
    "hedge_quantile": TuningRange(
        0.5, 1, "Quantile of recent latencies after which a request is hedged."
    ),
    "hedge_min_ms": TuningRange(0, 60_000, "Minimum milliseconds before a hedge."),
    "hedge_ratio": TuningRange(0, 1, "Maximum hedges per first attempt."),
    "hedge_burst": TuningRange(0, 10_000, "Maximum hedges saved up for a burst."),
    "eject_factor": TuningRange(
        1, 1000, "Factor over the median latency above which a server is ejected."
    ),
    "eject_failures": TuningRange(1, 1000, "Consecutive failures after which a server is ejected."),
    "eject_s": TuningRange(
        0, 3600, "Seconds of the first ejection; doubled with each further one."
    ),
    "eject_max_s": TuningRange(0, 3600, "Maximum seconds of an ejection."),
    "max_ejected_share": TuningRange(
        0, 1, "Maximum share of the servers that are ejected at once."
    ),
    "min_imbalance": TuningRange(0, 10, "Excess over the balanced utilisation that starts moves."),
    "settle_imbalance": TuningRange(0, 10, "Excess at which moves off a server stop."),
    "excess_observations": TuningRange(
        1, 100, "Consecutive observations above settle_imbalance before slices move off a server."
    ),
    "zone_imbalance": TuningRange(
        0, 10, "Excess of a zone over the balanced utilisation that starts moves to other zones."
    ),
    "zone_settle_imbalance": TuningRange(
        0, 10, "Excess of a zone at which moves to other zones stop."
    ),
    "churn_cost": TuningRange(
        0, 100, "Rate of a slice, relative to the mean slice, below which it does not move."
    ),
    "max_moves_per_plan": TuningRange(1, 65_536, "Maximum slices that one plan moves."),
    "hot_slice_factor": TuningRange(
        1, 1e6, "Rate of a slice, relative to the mean slice, above which others move instead."
    ),
    "straggler_hold_s": TuningRange(
        0, 3600, "Seconds that a server must be slow before its cost is updated."
    ),
    "rate_weight": TuningRange(0.01, 1, "Weight of the newest observation against earlier ones."),
    "leave_share_per_plan": TuningRange(
        0.001, 1, "Share of all slices that one plan moves off evacuated zones and servers."
    ),
    "leave_chunk_slices": TuningRange(1, 65_536, "Consecutive slices that move together."),
}
