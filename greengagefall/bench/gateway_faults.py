"""Faults that the soak of the gateway injects from outside of the processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from greengagefall.bench.processes import STOP_TIMEOUT_S
from greengagefall.utils.registry import Registry
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from greengagefall.bench.gateway_fleet import GatewayFleet

FAULTS: Registry[Callable[[GatewayFleet, random.Random], Awaitable[None]]] = Registry("fault")

SHORT_S = (0.2, 2.0)
LONG_S = (0.5, 5.0)
LINK_DELAY_S = 0.15
REFUSALS = (429, 503)


async def _restarted(fleet: GatewayFleet, host: str, pause_s: float) -> None:
    await asyncio.sleep(pause_s)
    if not fleet.processes.is_running(host):
        fleet.processes.restart(host)


@FAULTS.register("kill_host")
async def kill_host(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills a host's process and starts it again."""
    host = rng.choice(fleet.hosts())
    if fleet.processes.is_running(host):
        fleet.processes.kill(host)
        await _restarted(fleet, host, rng.uniform(*SHORT_S))


@FAULTS.register("kill_all_hosts")
async def kill_all_hosts(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills all processes at once and starts them again."""
    hosts = [host for host in fleet.hosts() if fleet.processes.is_running(host)]
    for host in hosts:
        fleet.processes.kill(host)
    pause_s = rng.uniform(*SHORT_S)
    await asyncio.gather(*(_restarted(fleet, host, pause_s) for host in hosts))


@FAULTS.register("stop_host")
async def stop_host(fleet: GatewayFleet, rng: random.Random) -> None:
    """Stops a host as planned and starts it again once it has ended."""
    host = rng.choice(fleet.hosts())
    if not fleet.processes.is_running(host):
        return
    fleet.processes.terminate(host)
    await wait_until(lambda: not fleet.processes.is_running(host), STOP_TIMEOUT_S)
    await _restarted(fleet, host, rng.uniform(*SHORT_S))


@FAULTS.register("pause_host")
async def pause_host(fleet: GatewayFleet, rng: random.Random) -> None:
    """Stops a host's process for a while without ending it."""
    host = rng.choice(fleet.hosts())
    if not fleet.processes.is_running(host):
        return
    fleet.processes.pause(host)
    await asyncio.sleep(rng.uniform(*LONG_S))
    fleet.processes.resume(host)


@FAULTS.register("store_refuses")
async def store_refuses(fleet: GatewayFleet, rng: random.Random) -> None:
    """Has the store refuse every call."""
    fleet.store.refuse = rng.choice(REFUSALS)
    await asyncio.sleep(rng.uniform(*LONG_S))
    fleet.store.refuse = 0


@FAULTS.register("store_forgets")
async def store_forgets(fleet: GatewayFleet, rng: random.Random) -> None:
    """Drops the store's history."""
    await fleet.store.drop_history()


@FAULTS.register("store_loses_answers")
async def store_loses_answers(fleet: GatewayFleet, rng: random.Random) -> None:
    """Does some writes without an answer."""
    fleet.store.lose_writes = rng.randint(1, 3)
    await asyncio.sleep(rng.uniform(*SHORT_S))
    fleet.store.lose_writes = 0


@FAULTS.register("store_cut")
async def store_cut(fleet: GatewayFleet, rng: random.Random) -> None:
    """Cuts one host off from the store."""
    await _harm(fleet.store_links[rng.choice(fleet.hosts())], rng)


@FAULTS.register("server_cut")
async def server_cut(fleet: GatewayFleet, rng: random.Random) -> None:
    """Harms the path to one server."""
    await _harm(fleet.server_links[rng.choice(list(fleet.servers))], rng)


@FAULTS.register("server_crash")
async def server_crash(fleet: GatewayFleet, rng: random.Random) -> None:
    """Ends a server without a word and starts it again under its id."""
    name = rng.choice(list(fleet.servers))
    if fleet.server_links[name].refuses:
        return
    await fleet.crash_server(name)
    await asyncio.sleep(rng.uniform(*SHORT_S))
    await fleet.return_server(name)


@FAULTS.register("server_drains")
async def server_drains(fleet: GatewayFleet, rng: random.Random) -> None:
    """Has a server say that it leaves, and take that back."""
    name = rng.choice(list(fleet.servers))
    await fleet.list_server(name, "draining")
    await asyncio.sleep(rng.uniform(*LONG_S))
    if not fleet.server_links[name].refuses:
        await fleet.list_server(name)


@FAULTS.register("configuration")
async def configuration(fleet: GatewayFleet, rng: random.Random) -> None:
    """Writes some versions of the configuration in quick succession."""
    for _ in range(rng.randint(1, 4)):
        await fleet.change_configuration()
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def _harm(link: Any, rng: random.Random) -> None:
    """Delays, resets, silences or cuts one way what goes through a proxy."""
    kind = rng.choice(("delay", "reset", "silent", "to_target", "from_target"))
    if kind == "reset":
        link.reset()
        return
    if kind == "delay":
        link.delay_s = LINK_DELAY_S
    link.drops_to_target = kind in ("silent", "to_target")
    link.drops_from_target = kind in ("silent", "from_target")
    await asyncio.sleep(rng.uniform(*LONG_S))
    # Data that was dropped leaves its connections out of step; they end with the harm.
    if kind != "delay":
        link.reset()
    refuses = link.refuses
    link.heal()
    link.refuses = refuses
