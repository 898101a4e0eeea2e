"""Runs an entry host with a planted fault, to show that the soak detects it.

Run as ``python -m greengagefall.bench.planted NAME [arguments of greengagefall-entry]``.
Each planted fault disables one safeguard by patching; the product has no option for that.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from greengagefall.commands.entry import main as entry_main
from greengagefall.coordination.dispatch_right import DispatchRight
from greengagefall.dispatch.grant_keeper import GrantKeeper
from greengagefall.dispatch.send_gate import SendGate
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
    """Reports slices as released at once, without release proof and without waiting."""
    DispatcherTable.check_release = lambda self, message: (True, "planted", 0)
    # A renewal sent at once would make the server release the slices before the next owner
    # holds them, and the fault would go unnoticed.
    original = GrantKeeper.request_renewal

    def request_renewal(self: GrantKeeper) -> None:
        if not _owns_less_than_granted(self):
            original(self)

    GrantKeeper.request_renewal = request_renewal


def _owns_less_than_granted(keeper: GrantKeeper) -> bool:
    slice_map = keeper._slice_map()
    if keeper.accepted is None or slice_map is None:
        return False
    owned = sum(
        slice_range.last - slice_range.first + 1
        for slice_range in slice_map.owned_by(keeper._server)
    )
    return owned < sum(
        slice_range.last - slice_range.first + 1 for slice_range in keeper.accepted.grant.runs
    )


@PLANTS.register("no_lease_check")
def no_lease_check() -> None:
    """Continues to dispatch after the dispatch right has expired."""
    original_drop = DispatchRight._drop

    def drop(self: DispatchRight) -> None:
        fence = self.fence
        original_drop(self)
        self.fence = fence

    DispatchRight._drop = drop
    DispatchRight.may_send = lambda self: self.fence > 0


@PLANTS.register("retry_after_unknown_outcome")
def retry_after_unknown_outcome() -> None:
    """Retries requests that are not idempotent and may have been executed."""
    forwarder._may_retry = lambda request, outcome: True


@PLANTS.register("unknown_called_not_run")
def unknown_called_not_run() -> None:
    """Reports requests with an unknown outcome to callers as not executed."""
    for reason in (refusals.OUTCOME_UNKNOWN, refusals.TIMED_OUT):
        row = refusals.REFUSALS[reason]
        refusals.REFUSALS[reason] = row._replace(not_run=True)


@PLANTS.register("no_cold_ramp")
def no_cold_ramp() -> None:
    """Sends a server in cold start as many requests as a warm one."""
    ColdRamp.restart_at = lambda self, cold_slots: None


@PLANTS.register("no_answer_check")
def no_answer_check() -> None:
    """Accepts any answer as the answer to the request, whatever its request id."""
    original = ServerDispatcher._outcome

    def outcome(self: ServerDispatcher, forward: Forward, answer: HttpAnswer) -> Answer | Refusal:
        answered_id = answer.headers.get(REQUEST_ID_HEADER)
        accepted = original(self, forward._replace(request_id=answered_id), answer)
        return accepted._replace(request_id=forward.request_id)

    ServerDispatcher._outcome = outcome


@PLANTS.register("work_after_leaving")
def work_after_leaving() -> None:
    """Continues to send requests to pooled servers that drain or whose zone is evacuated."""
    SendGate.drain_grace_ended = lambda self: False
    Pools._may_pick = lambda self, pool, name: True


@PLANTS.register("keeps_configuration")
def keeps_configuration() -> None:
    """Keeps the first configuration and ignores newer versions."""
    original = ConfigHolder.apply_if_newer

    def apply_if_newer(self: ConfigHolder, config: object) -> bool:
        return not self.current.version and original(self, config)

    ConfigHolder.apply_if_newer = apply_if_newer


def main() -> None:
    """Plants the fault named by the first argument; passes the others to the entry host."""
    PLANTS[sys.argv.pop(1)]()
    entry_main()


if __name__ == "__main__":
    main()
