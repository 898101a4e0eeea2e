"""Runs a gateway with a planted fault, to show that the gateway soak detects it.

Run as ``python -m greengagefall.bench.planted_gateway NAME [arguments of greengagefall-gateway]``.
Each planted fault disables one safeguard by patching; the product has no option for that.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from greengagefall.commands.gateway import main as gateway_main
from greengagefall.dispatch import connection_pool
from greengagefall.gateway import outcomes
from greengagefall.gateway.fence_notices import FenceNotices
from greengagefall.gateway.grants import GrantManager
from greengagefall.gateway.notice_delivery import NoticeDelivery
from greengagefall.gateway.range_moves import RangeMoves
from greengagefall.gateway.router import Router
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

PLANTS: Registry[Callable[[], None]] = Registry("planted fault")


@PLANTS.register("no_wait_for_owner")
def no_wait_for_owner() -> None:
    """Grants keys without waiting for their release by the former owner."""

    async def release(self, move_id, key_range, version):
        return ""

    RangeMoves._release = release


@PLANTS.register("renew_by_old_assignment")
def renew_by_old_assignment() -> None:
    """Renews grants even if the assignment is outdated."""

    def may_grant(self, key_range):
        return key_range in self._key_ranges

    GrantManager._may_grant = may_grant


@PLANTS.register("repeat_everything")
def repeat_everything() -> None:
    """Retries requests that may have been executed and are not idempotent."""

    def may_repeat(self, route, service, outcome, sends):
        return True

    Router._may_repeat = may_repeat


@PLANTS.register("unknown_as_not_run")
def unknown_as_not_run() -> None:
    """Reports requests with an unknown outcome to callers as not executed."""
    for name in (outcomes.OUTCOME_UNKNOWN, outcomes.TIMED_OUT):
        row = outcomes.OUTCOMES[name]
        outcomes.OUTCOMES[name] = row._replace(http_status=503, not_run=True)


@PLANTS.register("close_without_reset")
def close_without_reset() -> None:
    """Closes connections to servers without discarding what is not delivered yet."""
    connection_pool.reset_on_close = lambda sock: None


@PLANTS.register("no_fence_notices")
def no_fence_notices() -> None:
    """Does not tell servers of newer fencing tokens for keys that went on without their word."""
    FenceNotices._spans_to_tell = lambda self: []


@PLANTS.register("no_notice_records")
def no_notice_records() -> None:
    """Does not deliver the notices that are recorded in the store."""
    NoticeDelivery.start = lambda self: None


if __name__ == "__main__":
    plant = sys.argv.pop(1)
    PLANTS[plant]()
    gateway_main()
