"""Simulated backend servers, and the keys that they really hold."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.gateway.model import ServerEntry

if TYPE_CHECKING:
    from greengagefall.tests.ownership_simulation import Simulation
    from greengagefall.tests.simulated_network import SimulatedPool

SERVICE = "proofdesk"
# Factor by which a grant lasts longer on the slowest clock that the platform allows a server.
SERVER_CLOCK_FACTOR = 1.02
# The rules excuse grants that arrive within this time after a link healed.
THAW_SLACK_S = 0.3


class HeldRange(NamedTuple):
    """A range of keys that a server really holds, until ``end_s``.

    Attributes:
        held_up: Whether its grant was held up by the network and outlived its sender.
    """

    first: int
    last: int
    fence: int
    end_s: float
    held_up: bool = False


class OutlivingGrant(NamedTuple):
    """A grant that arrived after its sender had been killed, and the server's answer."""

    first: int
    last: int
    fence: int
    status: int


class SimulatedServer:
    """A simulated backend server that follows the platform's rules for grants.

    Attributes:
        calls_pass: Cleared while the network holds up calls to the server, to deliver them later.
        healed_s: When the network last ceased to hold up calls.
        outliving_grants: The grants that arrived after their senders had been killed.
        reaches_store: Whether the server can write its entry.
        rate_limit: The requests per second that its answers name, empty for none.
        requests: Name of the host that sent each request, and when it arrived.
    """

    def __init__(self, simulation: Simulation, name: str, zone: str) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.up = True
        self.registered = True
        self.calls_pass = asyncio.Event()
        self.calls_pass.set()
        self.healed_s = 0.0
        self.outliving_grants: list[OutlivingGrant] = []
        self.reaches_store = True
        self.draining = False
        self.start_ms = 1
        self.server_id = name
        self.held: list[HeldRange] = []
        self.fences: list[tuple[int, int, int]] = []
        self.pools: list[SimulatedPool] = []
        self.rate_limit = ""
        self.requests: list[tuple[str, float]] = []

    def end_hold(self) -> None:
        """Lets calls pass again."""
        if self.calls_pass.is_set():
            return
        self.healed_s = self.simulation.loop.now_s
        self.calls_pass.set()

    def stop(self, *, seen: bool = True) -> None:
        """Ends the process; pools that are not cut off see it by their connections, if any do."""
        self.up = False
        if not seen:
            return
        for pool in self.pools:
            if not self.simulation.is_cut(pool.host_name, self.name):
                pool.reset()

    def entry(self) -> ServerEntry:
        return ServerEntry(
            self.server_id,
            SERVICE,
            f"10.0.0.{self.name.removeprefix('s')}:1",
            self.zone,
            6,
            self.draining,
            0.0,
            self.start_ms,
        )

    def restart(self, *, new_id: bool = False) -> None:
        self.start_ms += 1
        if new_id:
            self.server_id = f"{self.name}-{self.start_ms}"
        self.held.clear()
        self.fences.clear()

    def held_now(self) -> list[HeldRange]:
        now_s = self.simulation.loop.now_s
        return [held for held in self.held if held.end_s > now_s] if self.up else []

    def grant(self, fields: dict[str, Any], arrived_s: float, healed_s: float | None = None) -> int:
        """Grants keys unless a higher fence is known; returns the status of the answer.

        Args:
            fields: The fields of the call.
            arrived_s: When the call arrived; the time of the grant begins then.
            healed_s: For a call that outlived its sender, when its link healed.
        """
        status = self._take(fields, arrived_s, healed_s)
        if healed_s is not None:
            self.outliving_grants.append(
                OutlivingGrant(fields["from"], fields["target"], fields["fence"], status)
            )
        return status

    def _take(self, fields: dict[str, Any], arrived_s: float, healed_s: float | None) -> int:
        first, last, fence = fields["from"], fields["target"], fields["fence"]
        if any(
            known_fence > fence and low <= last and first <= high
            for low, high, known_fence in self.fences
        ):
            return 409
        end_s = arrived_s + fields["holdS"] * SERVER_CLOCK_FACTOR
        if end_s <= self.simulation.loop.now_s:
            # The delayed grant has already expired.
            return 200
        self.fences.append((first, last, fence))
        if healed_s is None:
            # Beside a grant that the rules excuse, the one before it goes on to count.
            self.release(first, last)
        granted = HeldRange(first, last, fence, end_s, healed_s is not None)
        self.held.append(granted)
        if healed_s is None or arrived_s - healed_s > THAW_SLACK_S:
            self.simulation.check_grant(self, granted)
        return 200

    def release(self, first: int, last: int) -> None:
        kept = []
        for held in self.held:
            for part in (
                (held.first, min(held.last, first - 1)),
                (max(held.first, last + 1), held.last),
            ):
                if part[0] <= part[1]:
                    kept.append(held._replace(first=part[0], last=part[1]))
        self.held = kept
