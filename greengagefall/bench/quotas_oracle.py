"""Checks the passes of a workspace against the bound in every window."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from greengagefall.bench.quotas_model import AppliedLimits
    from greengagefall.gateway.model import OperatorLimits


class Fullest(NamedTuple):
    """The window in which the passes came closest to the bound, or exceeded it most.

    Attributes:
        ratio: Passes divided by the bound.
        start_s: Begin of the window.
        passes: Passes in the window.
        bound: Most passes that are allowed in it.
    """

    ratio: float
    start_s: float
    passes: int
    bound: float


def fullest_window(
    passed_s: Iterable[float], name: str, versions: Sequence[AppliedLimits], limits: OperatorLimits
) -> Fullest:
    """Returns the fullest window of a workspace.

    A window is held against the highest limit that can be in force in it: one counts from when it
    was set until one window after all hosts had a later one.

    Args:
        passed_s: When requests of the workspace passed.
        name: The workspace.
        versions: All configurations.
        limits: Limits of the operators.
    """
    times_s = sorted(passed_s)
    window_s = limits.quota_window_s
    fullest = Fullest(0.0, 0.0, 0, 0.0)
    for index, start_s in enumerate(times_s):
        passes = bisect_right(times_s, start_s + window_s) - index
        quota = max(
            version.workspaces[name].rate_per_s * window_s + version.workspaces[name].burst
            for version in versions
            if version.set_s <= start_s + window_s and start_s < version.replaced_s + window_s
        )
        bound = quota * (1 + limits.quota_overage_ratio) + limits.quota_extra_requests
        fullest = max(fullest, Fullest(passes / bound, start_s, passes, bound))
    return fullest
