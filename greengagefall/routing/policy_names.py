"""Names of policies that a configuration may choose, by area."""

from __future__ import annotations

POLICY_NAMES: dict[str, tuple[str, ...]] = {
    "limit": ("fixed", "adaptive"),
    "queue": ("fifo", "deadline_fair"),
    "pick": ("round_robin", "two_choices"),
    "placement": ("by_weight", "load_aware"),
    "hedge": ("off", "after_p95"),
    "ejection": ("off", "outlier"),
    "zone_move": ("all_at_once", "paced"),
}
