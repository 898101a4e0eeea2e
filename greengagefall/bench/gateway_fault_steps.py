"""The registry of faults of the gateway soak, and steps that several faults share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from greengagefall.bench.gateway_fleet import GatewayFleet

FAULTS: Registry[Callable[[GatewayFleet, random.Random], Awaitable[None]]] = Registry("fault")
SHORT_RANGE_S = (0.2, 2.0)
LONG_RANGE_S = (0.5, 5.0)
RESTART_RANGE_S = (0.0, 0.5)
MAX_HELD_SERVERS = 3


async def restart_after(fleet: GatewayFleet, host: str, pause_s: float) -> None:
    """Starts a host's process after a pause unless it runs by then."""
    await asyncio.sleep(pause_s)
    if not fleet.processes.is_running(host):
        fleet.processes.restart(host)


async def kill_and_restart(fleet: GatewayFleet, hosts: list[str], pause_s: float) -> None:
    """Kills those of some hosts that run, all at once, and starts them again after a pause."""
    running = [host for host in hosts if fleet.processes.is_running(host)]
    fleet.kill_hosts(running)
    await asyncio.gather(*(restart_after(fleet, host, pause_s) for host in running))


async def crash_and_restart(fleet: GatewayFleet, name: str, rng: random.Random) -> None:
    """Crashes a server unless it is down, and starts it again once its entry is deleted."""
    if fleet.server_links[name].refuses:
        return
    await fleet.crash_server(name)
    await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))
    await fleet.restart_server(name)
