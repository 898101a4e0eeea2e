"""Faults that the exploration of key ownership injects into the simulation, by name."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.tests.simulated_network import (
    PATH_ANSWERS_LOST,
    PATH_RESET,
    PATH_STATES,
)
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


HOLD_RANGE_S = (2.0, 9.0)
SHORTLY_BEFORE_REPETITION_SHARE = 0.3
# The repetition by which keys have certainly gone on, and the end of a hold before it.
LATE_REPETITION_S = 12.6
HEAL_BEFORE_REPETITION_RANGE_S = (0.0, 0.6)
# A call is given up after 0.5 s; one that a killed host wrote behind the hold is younger.
KILL_AFTER_HOLD_RANGE_S = (0.05, 0.5)
KILL_BEFORE_HEAL_RANGE_S = (0.05, 0.6)
# Share of the servers behind a hold, and of the holds, that meet each further trouble.
BEHIND_HOLD_TROUBLE_SHARE = 0.12

# Servers write their entries again within two seconds.
UNLISTED_AFTER_HOLD_RANGE_S = (0.0, 2.0)
UNLISTED_BEHIND_HOLD = "unlisted_behind_hold"

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
        simulation.cuts_ended_s[frozenset(path)] = simulation.loop.now_s


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
    simulation.cuts_ended_s.update(dict.fromkeys(cuts, simulation.loop.now_s))
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


async def _restart(server: SimulatedServer, *, new_id: bool, seen: bool = True) -> None:
    if not server.up:
        return
    server.stop(seen=seen)
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
        server.end_hold()


@FAULTS.register("killed_behind_hold")
async def kill_behind_hold(simulation: Simulation, target: FaultTarget) -> None:
    """Kills hosts shortly after the network began to hold up calls to some servers.

    What the hosts wrote to these servers just before outlives them. They start again behind the
    hold, which lasts long enough for keys to go on by expiry; some holds end shortly before a
    repetition of TCP. Other troubles may overlap.
    """
    rng = simulation.rng
    servers = rng.sample(list(simulation.servers.values()), rng.randint(1, 3))
    others = rng.sample(list(simulation.hosts), rng.randint(0, len(simulation.hosts)))
    names = sorted({*_dispatchers_of(simulation, servers), *others})
    hold_s = rng.uniform(*HOLD_RANGE_S)
    if rng.random() < SHORTLY_BEFORE_REPETITION_SHARE:
        hold_s = LATE_REPETITION_S - rng.uniform(*HEAL_BEFORE_REPETITION_RANGE_S)
    overlapping = [
        asyncio.create_task(trouble(simulation, server, hold_s))
        for server in servers
        for trouble in BEHIND_HOLD_TROUBLES
        if rng.random() < BEHIND_HOLD_TROUBLE_SHARE
    ]
    kills = [
        asyncio.create_task(_kill_after(simulation, name, rng.uniform(*KILL_AFTER_HOLD_RANGE_S)))
        for name in names
    ]
    if rng.random() < BEHIND_HOLD_TROUBLE_SHARE:
        # Whoever dispatches by then loses what it knows of the hold.
        second_s = hold_s - rng.uniform(*KILL_BEFORE_HEAL_RANGE_S)
        name = rng.choice(list(simulation.hosts))
        kills.append(asyncio.create_task(_kill_after(simulation, name, second_s)))
    for server in servers:
        server.calls_pass.clear()
    await asyncio.sleep(hold_s)
    for server in servers:
        server.end_hold()
    await asyncio.gather(*kills, *overlapping)


@FAULTS.register(UNLISTED_BEHIND_HOLD)
async def kill_behind_hold_of_unlisted(simulation: Simulation, target: FaultTarget) -> None:
    """Kills hosts behind a hold of servers that are cut off from the store, too.

    The servers' entries lapse, so that hosts which start meanwhile do not know their addresses.
    The entries are back some time after the hold. Hosts may be killed again shortly before its end.
    """
    rng = simulation.rng
    servers = rng.sample(list(simulation.servers.values()), rng.randint(1, 3))
    others = rng.sample(list(simulation.hosts), rng.randint(0, len(simulation.hosts)))
    first_kills = sorted({*_dispatchers_of(simulation, servers), *others})
    second_kills = rng.sample(list(simulation.hosts), rng.randint(0, len(simulation.hosts)))
    hold_s = LATE_REPETITION_S - rng.uniform(*HEAL_BEFORE_REPETITION_RANGE_S)
    kills = [
        asyncio.create_task(_kill_after(simulation, name, rng.uniform(*KILL_AFTER_HOLD_RANGE_S)))
        for name in first_kills
    ]
    kills += [
        asyncio.create_task(
            _kill_after(simulation, name, hold_s - rng.uniform(*KILL_BEFORE_HEAL_RANGE_S))
        )
        for name in second_kills
    ]
    for server in servers:
        server.calls_pass.clear()
        server.reaches_store = False
    await asyncio.sleep(hold_s)
    for server in servers:
        server.end_hold()
    await asyncio.sleep(rng.uniform(*UNLISTED_AFTER_HOLD_RANGE_S))
    for server in servers:
        server.reaches_store = True
    await asyncio.gather(*kills)


def _dispatchers_of(simulation: Simulation, servers: list[SimulatedServer]) -> set[str]:
    """Returns the names of the hosts that dispatch servers by the newest assignment."""
    newest = max(
        (host.view.assignment for host in simulation.hosts.values()),
        key=lambda assignment: assignment.version,
    )
    dispatching = [newest.dispatchers.get(server.server_id) for server in servers]
    return {one.dispatcher.host for one in dispatching if one is not None}


async def _kill_after(simulation: Simulation, name: str, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    host = simulation.hosts[name]
    if not host.up:
        return
    await host.kill()
    await asyncio.sleep(simulation.rng.uniform(0.3, 1.5))
    simulation.start_host(host.name, host.zone)


async def _hold_answers_only(
    simulation: Simulation, server: SimulatedServer, hold_s: float
) -> None:
    """Lets calls over kept connections pass, but no answers."""
    paths = [(name, server.name) for name in simulation.hosts]
    simulation.broken_paths.update(dict.fromkeys(paths, PATH_ANSWERS_LOST))
    await asyncio.sleep(hold_s)
    for path in paths:
        simulation.broken_paths.pop(path, None)


async def _apply_orders_late(
    simulation: Simulation, server: SimulatedServer, hold_s: float
) -> None:
    simulation.delayed_share = simulation.lost_share = 0.3
    await asyncio.sleep(hold_s)
    simulation.delayed_share = simulation.lost_share = 0.0


async def _restart_behind_hold(
    simulation: Simulation, server: SimulatedServer, hold_s: float
) -> None:
    rng = simulation.rng
    await asyncio.sleep(rng.uniform(0.0, hold_s))
    await _restart(server, new_id=False, seen=rng.random() < 0.5)


async def _lose_entry_behind_hold(
    simulation: Simulation, server: SimulatedServer, hold_s: float
) -> None:
    await asyncio.sleep(simulation.rng.uniform(0.0, hold_s / 2))
    server.registered = False
    await asyncio.sleep(simulation.rng.uniform(0.2, hold_s / 2))
    server.registered = True


BEHIND_HOLD_TROUBLES = (
    _hold_answers_only,
    _apply_orders_late,
    _restart_behind_hold,
    _lose_entry_behind_hold,
)


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
