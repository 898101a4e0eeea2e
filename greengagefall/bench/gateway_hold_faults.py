"""Faults of the gateway soak in which hosts, servers or the store do not reach each other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagefall.bench.gateway_fault_steps import (
    FAULTS,
    LONG_RANGE_S,
    MAX_HELD_SERVERS,
    RESTART_RANGE_S,
    SHORT_RANGE_S,
    crash_and_restart,
    kill_and_restart,
)
from greengagefall.bench.gateway_fleet import ENTRY_EXPIRY_S
from greengagefall.bench.tcp_proxy import REPETITIONS_S, concerns_none
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagefall.bench.gateway_fleet import GatewayFleet
    from greengagefall.bench.tcp_proxy import TcpProxy

# TCP repeats data that a partition held up only this long after the partition has ended.
MAX_LATE_S = 3.0
CRASH_SHARE = 1 / 3
ENTRY_LOSS_SHARE = 1 / 2
# Holds shorter than the time in which keys move to another server, and longer ones.
HOLD_RANGES_S = ((0.5, 3.0), (3.0, 5.0))
# Holds in which keys go on to other servers since the grants of the former owner expire.
# The later ranges end just before the fifth and the sixth repetition of what was written in them.
EXPIRY_HOLD_RANGES_S = ((3.5, 8.0), (5.4, 6.1), (11.4, 12.2))
# A renewal that is held back is given up after 0.5 s.
KILL_RANGE_S = (0.1, 0.45)
# A host takes about a second to start.
KILL_BEFORE_HEAL_RANGE_S = (1.5, 3.0)
# Servers write their entries again within two seconds.
UNLISTED_AFTER_HOLD_RANGE_S = (0.0, 2.0)
HELD_DIRECTIONS = ((True, True), (True, True), (True, False), (False, True))
HELD_TO_TARGET = ((True, True), (True, False))
# How hosts lose servers: calls hang, connections are reset, or new ones are refused.
LOSS_HANGS = "hangs"
LOSS_RESETS = "resets"
LOSS_REFUSES = "refuses"
LOSS_FORMS = (LOSS_HANGS, LOSS_RESETS, LOSS_REFUSES)


@FAULTS.register("server_held")
async def server_held(fleet: GatewayFleet, rng: random.Random) -> None:
    """Holds back what hosts and some servers send each other, and delivers it late.

    Some of these servers crash behind the partition and restart as new incarnations, and some lose
    their entries meanwhile.
    """
    names = _names_not_held(fleet, rng)
    duration_s = rng.uniform(*rng.choice(HOLD_RANGES_S))
    behind = []
    if rng.random() < CRASH_SHARE:
        behind = [crash_and_restart(fleet, name, rng) for name in names]
    elif rng.random() < ENTRY_LOSS_SHARE:
        behind = [_lose_entry(fleet, name, duration_s) for name in names]
    links = [fleet.server_links[name] for name in names]
    fleet.log_event(f"hold of {names} for {duration_s:.2f} s")
    await asyncio.gather(hold(links, rng, duration_s), *behind)


@FAULTS.register("servers_held_in_series")
async def servers_held_in_series(fleet: GatewayFleet, rng: random.Random) -> None:
    """Holds servers back again soon after the first time."""
    for _ in range(2):
        await server_held(fleet, rng)
        await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))


@FAULTS.register("server_held_from_some_hosts")
async def server_held_from_some_hosts(fleet: GatewayFleet, rng: random.Random) -> None:
    """Holds back what some hosts and some servers send each other; the other hosts reach them."""
    links = [fleet.server_links[name] for name in _names_not_held(fleet, rng)]
    is_cut_off = _some_hosts(fleet, rng)
    await hold(links, rng, rng.uniform(*rng.choice(HOLD_RANGES_S)), is_cut_off)


@FAULTS.register("hosts_without_servers")
async def hosts_without_servers(fleet: GatewayFleet, rng: random.Random) -> None:
    """Cuts some hosts off from all servers; the store and the other hosts reach them.

    What they send hangs, or their connections are reset, or those that are open live on; new ones
    are refused in the last two cases.
    """
    links = [link for link in fleet.server_links.values() if not link.is_holding()]
    is_cut_off = _some_hosts(fleet, rng)
    duration_s = rng.uniform(*rng.choice(HOLD_RANGES_S))
    form = rng.choice(LOSS_FORMS)
    fleet.log_event(f"hosts without servers: {form} for {duration_s:.2f} s")
    if form == LOSS_HANGS:
        await hold(links, rng, duration_s, is_cut_off)
        return
    for link in links:
        link.refuses_from = is_cut_off
        if form == LOSS_RESETS:
            link.reset(is_cut_off)
    await asyncio.sleep(duration_s)
    for link in links:
        link.refuses_from = concerns_none


@FAULTS.register("host_killed_behind_hold")
async def host_killed_behind_hold(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills a host while what it sent to some servers is held back, and restarts it."""
    host = rng.choice(fleet.hosts())
    links = [fleet.server_links[name] for name in _names_not_held(fleet, rng)]
    duration_s = rng.uniform(*rng.choice(HOLD_RANGES_S))
    holding = asyncio.create_task(hold(links, rng, duration_s))
    await asyncio.sleep(duration_s * rng.random())
    await kill_and_restart(fleet, [host], rng.uniform(*SHORT_RANGE_S))
    await holding


@FAULTS.register("hosts_killed_behind_hold")
async def hosts_killed_behind_hold(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills hosts just after what they send to some servers is held back; keys go on by expiry.

    What the hosts wrote in between, mostly a renewal, arrives after the hold. In some cases one of
    the servers restarts meanwhile.
    """
    names = rng.sample(list(fleet.servers), rng.randint(1, MAX_HELD_SERVERS))
    hosts = rng.sample(fleet.hosts(), rng.randint(1, len(fleet.hosts())))
    duration_s = rng.uniform(*rng.choice(EXPIRY_HOLD_RANGES_S))
    restarted = 1 if rng.random() < CRASH_SHARE else 0
    await fleet.wait_before_renewal(rng.choice(names))
    names = [name for name in names if not fleet.server_links[name].is_holding()]
    links = [fleet.server_links[name] for name in names]
    fleet.log_event(f"hold of {names} for {duration_s:.2f} s, {hosts} to be killed")
    await asyncio.gather(
        hold(links, rng, duration_s, directions=HELD_TO_TARGET),
        _kill_after_hold_began(fleet, hosts, rng),
        *(crash_and_restart(fleet, name, rng) for name in names[:restarted]),
    )


@FAULTS.register("hosts_killed_behind_holds_in_series")
async def hosts_killed_behind_holds_in_series(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills hosts behind two holds, the second of which begins soon after the first."""
    for _ in range(2):
        await hosts_killed_behind_hold(fleet, rng)
        await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))


@FAULTS.register("hosts_killed_behind_hold_of_unlisted")
async def hosts_killed_behind_hold_of_unlisted(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills hosts just after a hold of servers that do not reach the store either.

    The entries of the servers expire, and are back some time after the hold. Some hosts are killed
    again meanwhile.
    """
    name = rng.choice(list(fleet.servers))
    hosts = rng.sample(fleet.hosts(), rng.randint(1, len(fleet.hosts())))
    again = rng.sample(fleet.hosts(), rng.randint(0, len(fleet.hosts()) - 1))
    duration_s = rng.uniform(*rng.choice(EXPIRY_HOLD_RANGES_S))
    await fleet.wait_before_renewal(name)
    link = fleet.server_links[name]
    if link.is_holding() or link.refuses:
        return
    fleet.log_event(f"hold of {name}, unlisted, for {duration_s:.2f} s, {hosts} to be killed")
    await asyncio.gather(
        hold([link], rng, duration_s, directions=HELD_TO_TARGET),
        _kill_after_hold_began(fleet, hosts, rng),
        _kill_before_heal(fleet, again, rng, duration_s),
        _lose_entry(fleet, name, duration_s + rng.uniform(*UNLISTED_AFTER_HOLD_RANGE_S)),
    )


@FAULTS.register("hosts_without_servers_killed")
async def hosts_without_servers_killed(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills the hosts that lose all servers, just after that; the other hosts reach the servers."""
    hosts = rng.sample(fleet.hosts(), rng.randint(1, len(fleet.hosts()) - 1))
    duration_s = rng.uniform(*rng.choice(EXPIRY_HOLD_RANGES_S))
    await fleet.wait_before_renewal(rng.choice(list(fleet.servers)))
    links = [link for link in fleet.server_links.values() if not link.is_holding()]
    fleet.log_event(f"{hosts} without servers for {duration_s:.2f} s, to be killed")
    await asyncio.gather(
        hold(links, rng, duration_s, _is_of(fleet, hosts), HELD_TO_TARGET),
        _kill_after_hold_began(fleet, hosts, rng),
    )


@FAULTS.register("store_held")
async def store_held(fleet: GatewayFleet, rng: random.Random) -> None:
    """Holds back what some hosts and the store send each other, and delivers it late."""
    hosts = rng.sample(fleet.hosts(), rng.randint(1, len(fleet.hosts())))
    links = [fleet.store_links[host] for host in hosts if not fleet.store_links[host].is_holding()]
    await hold(links, rng, rng.uniform(*LONG_RANGE_S))


def _some_hosts(fleet: GatewayFleet, rng: random.Random) -> Callable[[int], bool]:
    """Draws some hosts, not all; returns what tells whether a caller's port is one of theirs."""
    return _is_of(fleet, rng.sample(fleet.hosts(), rng.randint(1, len(fleet.hosts()) - 1)))


def _is_of(fleet: GatewayFleet, hosts: list[str]) -> Callable[[int], bool]:
    """Returns what tells whether a caller's port is one of these hosts'."""
    others = [host for host in fleet.hosts() if host not in hosts]
    spared_ports: list[set[int]] = []

    def is_of_host(port: int) -> bool:
        # A read takes long, so that one is used for all connections that are looked at together.
        if not spared_ports:
            running = [host for host in others if fleet.processes.is_running(host)]
            spared_ports.append(fleet.processes.ports(running))
            asyncio.get_running_loop().call_soon(spared_ports.clear)
        # The port of a host that was killed belongs to no process any more.
        return port not in spared_ports[0]

    return is_of_host


async def _kill_before_heal(
    fleet: GatewayFleet, hosts: list[str], rng: random.Random, duration_s: float
) -> None:
    """Kills hosts some time before a hold ends, and restarts them."""
    await asyncio.sleep(max(0.0, duration_s - rng.uniform(*KILL_BEFORE_HEAL_RANGE_S)))
    await kill_and_restart(fleet, hosts, rng.uniform(*RESTART_RANGE_S))


async def _kill_after_hold_began(fleet: GatewayFleet, hosts: list[str], rng: random.Random) -> None:
    """Kills hosts before they give up what is held back, and restarts them at once.

    Waits until all that they left behind is delivered.
    """
    await asyncio.sleep(rng.uniform(*KILL_RANGE_S))
    await kill_and_restart(fleet, hosts, rng.uniform(*RESTART_RANGE_S))
    links = fleet.server_links.values()
    await wait_until(lambda: not any(link.has_left_behind() for link in links), REPETITIONS_S[-1])


def _names_not_held(fleet: GatewayFleet, rng: random.Random) -> list[str]:
    """Draws some servers whose connections are not held back already."""
    names = rng.sample(list(fleet.servers), rng.randint(1, MAX_HELD_SERVERS))
    return [name for name in names if not fleet.server_links[name].is_holding()]


async def hold(
    links: list[TcpProxy],
    rng: random.Random,
    duration_s: float,
    concerns: Callable[[int], bool] = lambda caller_port: True,
    directions: tuple[tuple[bool, bool], ...] = HELD_DIRECTIONS,
) -> None:
    """Holds data back for a while, in both directions or in one of them."""
    to_target, from_target = rng.choice(directions)
    for link in links:
        link.hold(to_target=to_target, from_target=from_target, concerns=concerns)
    await asyncio.sleep(duration_s)
    for link in links:
        link.release(lambda: rng.uniform(0.0, MAX_LATE_S))


async def _lose_entry(fleet: GatewayFleet, name: str, duration_s: float) -> None:
    """Deletes a server's entry while it is cut off for longer than the entry lasts."""
    if duration_s > ENTRY_EXPIRY_S:
        await fleet.expire_server_entry(name)
        await asyncio.sleep(duration_s - ENTRY_EXPIRY_S)
        await fleet.renew_server_entry(name)
