"""Runs a program of the project with a planted fault: ``planted_program PLANT MODULE ...``."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING

from greengagefall.coordination.dispatch_right import DispatchRight
from greengagefall.dispatch.grant_keeper import GrantKeeper
from greengagefall.dispatch.server_dispatcher import REQUEST_ID_HEADER, ServerDispatcher
from greengagefall.entry.refusals import REFUSALS
from greengagefall.limits.cold_ramp import ColdRamp
from greengagefall.protocol.messages import Refusal
from greengagefall.routing.holder import ConfigHolder
from greengagefall.standins import backend_work
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

PLANTS: Registry[Callable[[], None]] = Registry("plant")


@PLANTS.register("resends_lost")
def resends_lost() -> None:
    """Sends a request again whatever became of it."""
    send = ServerDispatcher._send

    async def resend(self, forward, deadline_s):
        outcome = await send(self, forward, deadline_s)
        if isinstance(outcome, Refusal) and not outcome.not_run:
            return await send(self, forward, deadline_s)
        return outcome

    ServerDispatcher._send = resend


@PLANTS.register("claims_not_run")
def claims_not_run() -> None:
    """Tells every caller that a refused request did not run."""
    for name, row in list(REFUSALS.items()):
        REFUSALS[name] = row._replace(not_run=True)


@PLANTS.register("matches_no_answers")
def matches_no_answers() -> None:
    """Takes whatever answer comes for that of the request."""
    outcome_of = ServerDispatcher._outcome

    def unmatched(self, forward, answer):
        answered_id = answer.headers.get(REQUEST_ID_HEADER)
        outcome = outcome_of(self, forward._replace(request_id=answered_id), answer)
        return outcome._replace(request_id=forward.request_id)

    ServerDispatcher._outcome = unmatched


@PLANTS.register("ignores_cold")
def ignores_cold() -> None:
    """Sends to servers in cold start as to others."""
    ColdRamp.restart = lambda self, cold_slots: None


@PLANTS.register("releases_at_once")
def releases_at_once() -> None:
    """Reports slices released at once, and tells the server with the next renewal only."""
    GrantKeeper.wake = lambda self: None
    ServerDispatcher.released = lambda self, runs, map_version: (True, "confirmed")


@PLANTS.register("keeps_configuration")
def keeps_configuration() -> None:
    """Stays with the first configuration."""
    offer = ConfigHolder.offer

    def offer_first(self, config):
        return not self.current.version and offer(self, config)

    ConfigHolder.offer = offer_first


@PLANTS.register("no_fence")
def no_fence() -> None:
    """Lets dispatchers keep a right that ended, and servers take any fence."""
    may_send = DispatchRight.may_send

    def may_send_once_held(self):
        self.planted_held = getattr(self, "planted_held", False) or may_send(self)
        return self.planted_held

    DispatchRight.may_send = may_send_once_held
    DispatchRight._drop = lambda self: None
    backend_work.refusal_of_grant = lambda held, offered: ""
    backend_work.refusal_of_request = lambda *facts: ""


def main() -> None:
    """Plants the fault and runs the module's program."""
    plant, module = sys.argv[1:3]
    PLANTS[plant]()
    sys.argv = [module, *sys.argv[3:]]
    importlib.import_module(module).main()


if __name__ == "__main__":
    main()
