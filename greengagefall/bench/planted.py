"""Entry hosts with a planted fault, to show that the soak catches it.

Run as ``python -m greengagefall.bench.planted NAME [arguments of greengagefall-entry]``.
Each plant takes one safeguard away; the product itself has no such switch.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from greengagefall.commands.entry import main as entry_main
from greengagefall.coordination.dispatch_right import DispatchRight
from greengagefall.dispatch.grant_keeper import GrantKeeper
from greengagefall.dispatch.server_dispatcher import REQUEST_ID_HEADER, ServerDispatcher
from greengagefall.entry import forwarder
from greengagefall.entry.dispatch_table import DispatcherTable
from greengagefall.entry.pools import Pools
from greengagefall.limits.cold_ramp import ColdRamp
from greengagefall.protocol import refusals
from greengagefall.routing.holder import ConfigHolder
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.dispatch.connection_pool import HttpAnswer
    from greengagefall.protocol.messages import Answer, Forward, Refusal

PLANTS: Registry[Callable[[], None]] = Registry("planted fault")


@PLANTS.register("release_without_proof")
def release_without_proof() -> None:
    """Reports slices as released at once, without the server's word or the wait."""
    DispatcherTable.check_release = lambda self, message: (True, "planted", 0)
    # A server that is told at once has let go before the next owner holds the slices.
    real = GrantKeeper.request_renewal

    def request_renewal(self: GrantKeeper) -> None:
        if not _has_less_than_granted(self):
            real(self)

    GrantKeeper.request_renewal = request_renewal


def _has_less_than_granted(keeper: GrantKeeper) -> bool:
    slice_map = keeper._slice_map()
    if keeper.accepted is None or slice_map is None:
        return False
    owned = sum(run.last - run.first + 1 for run in slice_map.owned_by(keeper._server))
    return owned < sum(run.last - run.first + 1 for run in keeper.accepted.grant.runs)


@PLANTS.register("no_lease_check")
def no_lease_check() -> None:
    """Goes on dispatching after the right ran out."""
    real_drop = DispatchRight._drop

    def drop(self: DispatchRight) -> None:
        fence = self.fence
        real_drop(self)
        self.fence = fence

    DispatchRight._drop = drop
    DispatchRight.may_send = lambda self: self.fence > 0


@PLANTS.register("retry_after_unknown_outcome")
def retry_after_unknown_outcome() -> None:
    """Sends a request again that may not be repeated and may have run."""
    forwarder._may_retry = lambda request, outcome: True


@PLANTS.register("unknown_called_not_run")
def unknown_called_not_run() -> None:
    """Tells callers "not run" where the outcome is unknown."""
    for reason in (refusals.OUTCOME_UNKNOWN, refusals.TIMED_OUT):
        row = refusals.REFUSALS[reason]
        refusals.REFUSALS[reason] = row._replace(not_run=True)


@PLANTS.register("no_cold_ramp")
def no_cold_ramp() -> None:
    """Sends a server in cold start as much as a warm one."""
    ColdRamp.restart_at = lambda self, cold_slots: None


@PLANTS.register("no_answer_check")
def no_answer_check() -> None:
    """Takes whatever answer comes for that of the request."""
    real = ServerDispatcher._outcome

    def outcome(self: ServerDispatcher, forward: Forward, answer: HttpAnswer) -> Answer | Refusal:
        answered_id = answer.headers.get(REQUEST_ID_HEADER)
        unmatched = real(self, forward._replace(request_id=answered_id), answer)
        return unmatched._replace(request_id=forward.request_id)

    ServerDispatcher._outcome = outcome


@PLANTS.register("work_after_leaving")
def work_after_leaving() -> None:
    """Goes on sending work to pooled servers that leave or whose zone is out."""
    ServerDispatcher.drain_grace_ended = lambda self: False
    Pools._may_pick = lambda self, pool, name: True


@PLANTS.register("keeps_configuration")
def keeps_configuration() -> None:
    """Keeps the first configuration for good."""
    real = ConfigHolder.apply_if_newer

    def apply_if_newer(self: ConfigHolder, config: object) -> bool:
        return not self.current.version and real(self, config)

    ConfigHolder.apply_if_newer = apply_if_newer


def main() -> None:
    """Plants the fault named first and runs the entry host with the other arguments."""
    PLANTS[sys.argv.pop(1)]()
    entry_main()


if __name__ == "__main__":
    main()
