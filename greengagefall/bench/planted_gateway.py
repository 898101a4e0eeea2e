"""Gateways with a planted fault, to show that their soak catches it.

Run as ``python -m greengagefall.bench.planted_gateway NAME [arguments of greengagefall-gateway]``.
Each plant takes one safeguard away; the product itself has no such switch.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from greengagefall.commands.gateway import main as gateway_main
from greengagefall.gateway import outcomes
from greengagefall.gateway.coordinator import Coordinator
from greengagefall.gateway.grants import GrantManager
from greengagefall.gateway.router import Router
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

PLANTS: Registry[Callable[[], None]] = Registry("planted fault")


@PLANTS.register("no_wait_for_owner")
def no_wait_for_owner() -> None:
    """Grants keys without waiting for their former owner."""

    async def release(self, move_id, key_range, version):
        return ""

    Coordinator._release = release


@PLANTS.register("renew_by_old_assignment")
def renew_by_old_assignment() -> None:
    """Renews grants whether or not the assignment is recent."""

    def may_grant(self, key_range):
        return key_range in self._key_ranges

    GrantManager._may_grant = may_grant


@PLANTS.register("repeat_everything")
def repeat_everything() -> None:
    """Tries again what may have run and must not run twice."""

    def may_repeat(self, route, service, outcome, sends):
        return True

    Router._may_repeat = may_repeat


@PLANTS.register("unknown_as_not_run")
def unknown_as_not_run() -> None:
    """Tells callers that requests with an unknown outcome have not run."""
    for name in (outcomes.OUTCOME_UNKNOWN, outcomes.TIMED_OUT):
        row = outcomes.OUTCOMES[name]
        outcomes.OUTCOMES[name] = row._replace(http_status=503, not_run=True)


if __name__ == "__main__":
    plant = sys.argv.pop(1)
    PLANTS[plant]()
    gateway_main()
