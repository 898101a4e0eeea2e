"""Checks the quota of a caller's request and logs the refusal."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagefall.gateway.model import CallerRequest
    from greengagefall.quotas.gate import QuotaDecision, QuotaGate
    from greengagefall.workspaces.directory import Workspace

log = logging.getLogger(__name__)


async def check_quota(
    gate: QuotaGate | None, workspace: Workspace | None, request: CallerRequest, timeout_s: float
) -> QuotaDecision | None:
    """Takes a permit for sending a request once; returns the decision if it is refused."""
    if gate is None or workspace is None:
        return None
    decision = await gate.take(workspace, timeout_s)
    if decision.granted:
        return None
    log.info(
        "Request refused by quota.",
        extra={
            "request_id": request.request_id,
            "workspace": workspace.name,
            "rate_per_s": workspace.rate_per_s,
            "burst": workspace.burst,
            "reason": decision.reason,
            "source": decision.source,
            "retry_after_ms": decision.retry_after_ms,
        },
    )
    return decision
