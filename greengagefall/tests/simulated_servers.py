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


class HeldRange(NamedTuple):
    """A range of keys that a server really holds, until ``end_s``."""

    first: int
    last: int
    fence: int
    end_s: float


class SimulatedServer:
    """A simulated backend server that follows the platform's rules for grants.

    Attributes:
        calls_pass: Cleared while the network holds up calls to the server, to deliver them later.
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
        self.reaches_store = True
        self.draining = False
        self.start_ms = 1
        self.server_id = name
        self.held: list[HeldRange] = []
        self.fences: list[tuple[int, int, int]] = []
        self.pools: list[SimulatedPool] = []
        self.rate_limit = ""
        self.requests: list[tuple[str, float]] = []

    def stop(self) -> None:
        """Ends the process; pools that are not cut off see their connections close."""
        self.up = False
        for pool in self.pools:
            if pool.on_idle_close is not None and not self.simulation.is_cut(
                pool.host_name, self.name
            ):
                pool.on_idle_close()

    def entry(self) -> ServerEntry:
        return ServerEntry(
            self.server_id,
            SERVICE,
            f"{self.name}:1",
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

    def grant(self, fields: dict[str, Any], arrived_s: float) -> int:
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
        self.release(first, last)
        self.held.append(HeldRange(first, last, fence, end_s))
        self.simulation.check_grant(self, first, last, fence)
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
