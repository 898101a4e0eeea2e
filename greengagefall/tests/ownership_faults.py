"""Faults that the exploration of key ownership injects into the simulation, by name."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.tests.simulated_network import PATH_RESET, PATH_STATES
from greengagefall.utils.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from greengagefall.tests.ownership_simulation import Simulation
    from greengagefall.tests.simulated_hosts import SimulatedHost
    from greengagefall.tests.simulated_servers import SimulatedServer


class FaultTarget(NamedTuple):
    """What a fault affects and for how long; each fault uses only a part of it."""

    host: SimulatedHost
    server: SimulatedServer
    duration_s: float


FAULTS: Registry[Callable[[Simulation, FaultTarget], Awaitable[None]]] = Registry("fault")


async def inject_fault(simulation: Simulation, kinds: tuple[str, ...]) -> None:
    """Injects one fault and ends it after a random time."""
    rng = simulation.rng
    # Draws as many numbers for each kind, so that a seed keeps its meaning.
    target = FaultTarget(
        rng.choice(list(simulation.hosts.values())),
        rng.choice(list(simulation.servers.values())),
        rng.uniform(0.3, 9.0),
    )
    await FAULTS[rng.choice(kinds)](simulation, target)


@FAULTS.register("kill")
async def kill(simulation: Simulation, target: FaultTarget) -> None:
    host = target.host
    if not host.up:
        return
    await host.kill()
    await asyncio.sleep(simulation.rng.uniform(0.3, 4.0))
    simulation.start_host(host.name, host.zone)


@FAULTS.register("kill_all")
async def kill_all(simulation: Simulation, target: FaultTarget) -> None:
    running = [host for host in simulation.hosts.values() if host.up]
    for host in running:
        await host.kill()
    await asyncio.sleep(simulation.rng.uniform(0.3, 2.0))
    for host in running:
        simulation.start_host(host.name, host.zone)


@FAULTS.register("peers")
async def cut_from_peers(simulation: Simulation, target: FaultTarget) -> None:
    host = target.host
    others = [other.name for other in simulation.hosts.values() if other is not host]
    await _cut(simulation, [host.name], others, target.duration_s)


@FAULTS.register("store_cut")
async def cut_from_store(simulation: Simulation, target: FaultTarget) -> None:
    await _cut(simulation, [target.host.name], ["store"], target.duration_s)


@FAULTS.register("path")
async def cut_from_server(simulation: Simulation, target: FaultTarget) -> None:
    await _cut(simulation, [target.host.name], [target.server.name], target.duration_s)


@FAULTS.register("hosts_without_servers")
async def cut_hosts_from_servers(simulation: Simulation, target: FaultTarget) -> None:
    """Breaks the paths of some hosts to all servers; the store and other hosts reach them.

    The coordinator and dispatchers may be among the hosts, and more than one fault may overlap.
    """
    rng = simulation.rng
    hosts = list(simulation.hosts.values())
    same_zone = [host for host in hosts if host.zone == target.host.zone]
    affected = rng.choice(([target.host], same_zone, rng.sample(hosts, len(hosts) - 1)))
    state = rng.choice(PATH_STATES)
    paths = [(host.name, server) for host in affected for server in simulation.servers]
    simulation.broken_paths.update(dict.fromkeys(paths, state))
    if state == PATH_RESET:
        names = {host.name for host in affected}
        for server in simulation.servers.values():
            for pool in server.pools:
                if pool.host_name in names:
                    pool.reset()
    await asyncio.sleep(target.duration_s)
    for path in paths:
        simulation.broken_paths.pop(path, None)


@FAULTS.register("zone")
async def cut_zone(simulation: Simulation, target: FaultTarget) -> None:
    members = [*simulation.hosts.values(), *simulation.servers.values()]
    inside = [member.name for member in members if member.zone == target.host.zone]
    outside = [member.name for member in members if member.zone != target.host.zone]
    await _cut(simulation, inside, [*outside, "store"], target.duration_s)


async def _cut(
    simulation: Simulation, affected: Iterable[str], unreachable: Iterable[str], duration_s: float
) -> None:
    cuts = {frozenset((one, other)) for one in affected for other in unreachable}
    simulation.cuts |= cuts
    await asyncio.sleep(duration_s)
    simulation.cuts -= cuts
    simulation.store_reachable_since_s = simulation.loop.now_s


@FAULTS.register("store")
async def stop_store(simulation: Simulation, target: FaultTarget) -> None:
    simulation.store_up = False
    await asyncio.sleep(target.duration_s)
    _start_store(simulation)


@FAULTS.register("restored")
async def restore_store(simulation: Simulation, target: FaultTarget) -> None:
    """Has the store come back from an older copy of its data."""
    simulation.store_up = False
    await asyncio.sleep(simulation.rng.uniform(0.2, 3.0))
    simulation.store_data.restore(target.duration_s)
    _start_store(simulation)


def _start_store(simulation: Simulation) -> None:
    simulation.store_up = True
    simulation.store_reachable_since_s = simulation.loop.now_s


@FAULTS.register("crash")
async def crash(simulation: Simulation, target: FaultTarget) -> None:
    server = target.server
    if not server.up:
        return
    server.stop()
    await asyncio.sleep(0.8)
    server.registered = False
    await asyncio.sleep(target.duration_s)
    server.restart()
    server.up = server.registered = True


@FAULTS.register("restarted")
async def restart(simulation: Simulation, target: FaultTarget) -> None:
    await _restart(target.server, new_id=False)


@FAULTS.register("replaced")
async def replace(simulation: Simulation, target: FaultTarget) -> None:
    """Starts a server with a new id at the address of a stopped one."""
    await _restart(target.server, new_id=True)


async def _restart(server: SimulatedServer, *, new_id: bool) -> None:
    if not server.up:
        return
    server.stop()
    await asyncio.sleep(0.3)
    server.restart(new_id=new_id)
    server.up = True


@FAULTS.register("unseen_restart")
async def restart_unseen(simulation: Simulation, target: FaultTarget) -> None:
    """Starts a server again while it is cut off from the store but not from hosts."""
    server = target.server
    if not server.up:
        return
    server.reaches_store = False
    await asyncio.sleep(simulation.rng.uniform(0.0, 1.0))
    server.stop()
    await asyncio.sleep(simulation.rng.uniform(0.1, 1.0))
    server.restart()
    server.up = True
    await asyncio.sleep(target.duration_s)
    server.reaches_store = True


@FAULTS.register("held_up")
async def hold_up_calls(simulation: Simulation, target: FaultTarget) -> None:
    """Has the network hold up calls to two servers and deliver them after its end."""
    held_up = simulation.rng.sample(list(simulation.servers.values()), 2)
    for server in held_up:
        server.calls_pass.clear()
    await asyncio.sleep(target.duration_s)
    for server in held_up:
        server.calls_pass.set()


@FAULTS.register("unlisted")
async def remove_entry(simulation: Simulation, target: FaultTarget) -> None:
    target.server.registered = False
    await asyncio.sleep(target.duration_s)
    target.server.registered = True


@FAULTS.register("drain")
async def drain(simulation: Simulation, target: FaultTarget) -> None:
    target.server.draining = True
    await asyncio.sleep(target.duration_s)
    target.server.draining = False


@FAULTS.register("late")
async def delay_calls(simulation: Simulation, target: FaultTarget) -> None:
    """Has calls arrive late and answers get lost."""
    simulation.delayed_share = simulation.lost_share = 0.3
    await asyncio.sleep(target.duration_s)
    simulation.delayed_share = simulation.lost_share = 0.0


@FAULTS.register("late_messages")
async def late_messages(simulation: Simulation, target: FaultTarget) -> None:
    """Delivers a part of the messages between hosts after their senders gave them up."""
    simulation.late_message_share = 0.5
    await asyncio.sleep(target.duration_s)
    simulation.late_message_share = 0.0
