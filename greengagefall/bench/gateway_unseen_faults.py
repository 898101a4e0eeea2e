"""Faults of the gateway soak in which servers restart unseen by the store while hosts fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagefall.bench.gateway_fault_steps import FAULTS, RESTART_RANGE_S, kill_and_restart
from greengagefall.bench.gateway_fleet import ENTRY_EXPIRY_S
from greengagefall.bench.gateway_hold_faults import hold
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    import random

    from greengagefall.bench.gateway_fleet import GatewayFleet

# Servers hold all keys within this time of the faults before, unless others overlap.
HELD_TIMEOUT_S = 6.0
# Keys of a server that drains go on within this time.
MOVE_TIMEOUT_S = 4.0
# The coordinator writes that a move is over up to 2 s after the grant.
KILL_AFTER_MOVE_RANGE_S = (0.0, 1.8)
# Hosts that were all killed grant again 1.5 s to 4 s later: the coordinator's lease lasts 2 s.
CUT_AFTER_KILL_RANGE_S = (0.2, 2.6)
MAX_DRAINED_SERVERS = 2
MAX_SERIES = 2
DRAIN_PAUSE_RANGE_S = (0.0, 0.4)
# The store drops the entry of a server that is cut off from it for longer.
CUT_RANGE_S = (0.5, ENTRY_EXPIRY_S - 0.1)
# Hosts take an old fence for safe 1.65 s after a restart if they know all entries by then.
SILENT_AFTER_RESTART_RANGE_S = (0.0, 1.2)
SILENT_RANGE_S = (1.5, 4.0)


@FAULTS.register("hosts_killed_during_moves")
async def hosts_killed_during_moves(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills all hosts while keys move to servers that then restart unseen by the store.

    That happens up to twice in series, and overlaps other faults.
    """
    for _ in range(rng.randint(1, MAX_SERIES)):
        await _kill_during_moves(fleet, rng)


async def _kill_during_moves(fleet: GatewayFleet, rng: random.Random) -> None:
    names = [name for name, server in fleet.servers.items() if server.keyed]
    drained = rng.sample(names, rng.randint(1, MAX_DRAINED_SERVERS))
    await wait_until(fleet.all_keys_held, HELD_TIMEOUT_S)
    targets = [name for name in names if name not in drained]
    fleet.log_event(f"{drained} drain, hosts to be killed, {targets} to restart unseen")
    await _drain_in_series(fleet, rng, drained)
    await wait_until(lambda: not any(map(fleet.holds_keys, drained)), MOVE_TIMEOUT_S)
    await asyncio.sleep(rng.uniform(*KILL_AFTER_MOVE_RANGE_S))
    await asyncio.gather(
        kill_and_restart(fleet, fleet.hosts(), rng.uniform(*RESTART_RANGE_S)),
        *(_restart_behind_store_cut(fleet, rng, name) for name in targets),
    )
    for name in drained:
        if not fleet.server_links[name].refuses:
            await fleet.write_server_entry(name)


async def _drain_in_series(fleet: GatewayFleet, rng: random.Random, names: list[str]) -> None:
    for name in names:
        if not fleet.server_links[name].refuses:
            await fleet.write_server_entry(name, "draining")
        await asyncio.sleep(rng.uniform(*DRAIN_PAUSE_RANGE_S))


async def _restart_behind_store_cut(fleet: GatewayFleet, rng: random.Random, name: str) -> None:
    """Cuts a server off from the store, not from hosts; it crashes and starts again meanwhile."""
    cut_s = rng.uniform(*CUT_RANGE_S)
    # Shares of the cut: before the crash, without a process, and with the new one.
    crash_s, start_s = sorted(rng.uniform(0.0, cut_s / 2) for _ in range(2))
    await asyncio.sleep(rng.uniform(*CUT_AFTER_KILL_RANGE_S) + crash_s)
    if fleet.server_links[name].refuses:
        return
    unseen_s = cut_s - start_s
    fleet.log_event(f"{name} crashes, cut off from the store, unseen for {unseen_s:.2f} s")
    await fleet.restart_server_unseen(name, unseen_s, start_s - crash_s)


@FAULTS.register("server_restarts_before_store_is_silent")
async def server_restarts_before_store_is_silent(fleet: GatewayFleet, rng: random.Random) -> None:
    """Restarts a server unseen by the store; soon after that no answer of the store arrives."""
    names = [name for name, server in fleet.servers.items() if server.keyed]
    name = rng.choice(names)
    links = [link for link in fleet.store_links.values() if not link.is_holding()]
    unseen_s, silent_s = rng.uniform(*CUT_RANGE_S), rng.uniform(*SILENT_RANGE_S)
    silent_after_s = rng.uniform(*SILENT_AFTER_RESTART_RANGE_S)

    async def silence() -> None:
        await asyncio.sleep(silent_after_s)
        await hold(links, rng, silent_s)

    if fleet.server_links[name].refuses:
        return
    fleet.log_event(f"{name} restarts, the store is silent {silent_after_s:.2f} s later")
    await asyncio.gather(fleet.restart_server_unseen(name, unseen_s), silence())
