"""Splits the bound on a workspace's requests between its limiter and the fallback hosts.

With rate R, burst B and window W, at most R x W + B + tolerance requests may pass in any window.
Half of the tolerance belongs to the fallback hosts, two in each zone. The limiter gets the rest. A
permit may be used up to ``PERMIT_VALIDITY_S`` after it was granted, so that requests of one window
use permits that were granted in a period that is longer by this time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from greengagefall.gateway.model import OperatorLimits
    from greengagefall.workspaces.directory import Workspace

# Time from the sending of a call for permits in which they may be used. It exceeds the time-out of
# the call and stays so short that the tolerance covers what permits carry into a later window.
PERMIT_VALIDITY_S = 0.4
LIMITER_PART = 0.5
FALLBACK_HOST_PART = 0.25
# A host that knows only some of the zones must not take a larger share.
MIN_ZONES = 4


class BucketShape(NamedTuple):
    """Rate and capacity of a limiter's token bucket."""

    rate_per_s: float
    capacity: float


def is_limited(workspace: Workspace | None) -> bool:
    """Returns whether a workspace has a quota."""
    return workspace is not None and workspace.rate_per_s > 0


def bound(workspace: Workspace, limits: OperatorLimits) -> float:
    """Returns the most requests of a workspace that may pass in any window."""
    return _quota(workspace, limits) + _tolerance(workspace, limits)


def grant_window_s(limits: OperatorLimits) -> float:
    """Returns the period in which the permits used in one window were granted."""
    return limits.quota_window_s + PERMIT_VALIDITY_S


def limiter_shape(workspace: Workspace, limits: OperatorLimits) -> BucketShape:
    """Returns the bucket of a workspace's limiter.

    Tolerance that is left is added to the burst, since permits are lost with replies and hosts. If
    the permits that carry over use up the burst, the rate is reduced so that one token fits.
    """
    room = _quota(workspace, limits) + LIMITER_PART * _tolerance(workspace, limits)
    capacity = room - workspace.rate_per_s * grant_window_s(limits)
    if capacity >= 1:
        return BucketShape(workspace.rate_per_s, capacity)
    return BucketShape(max(0.0, (room - 1) / grant_window_s(limits)), min(1.0, room))


def fallback_permits(workspace: Workspace, limits: OperatorLimits, zones: int) -> int:
    """Returns how many permits one fallback host may grant in a ``grant_window_s``.

    Args:
        workspace: The workspace.
        limits: Limits of the operators.
        zones: Zones that this host knows.
    """
    share = FALLBACK_HOST_PART * _tolerance(workspace, limits)
    return int(share / max(zones, MIN_ZONES))


def _quota(workspace: Workspace, limits: OperatorLimits) -> float:
    return workspace.rate_per_s * limits.quota_window_s + workspace.burst


def _tolerance(workspace: Workspace, limits: OperatorLimits) -> float:
    return limits.quota_overage_ratio * _quota(workspace, limits) + limits.quota_extra_requests
