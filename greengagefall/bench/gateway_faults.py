"""Faults that the gateway soak injects from outside the gateway processes."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import greengagefall.bench.gateway_hold_faults
import greengagefall.bench.gateway_unseen_faults  # noqa: F401 - both register faults
from greengagefall.bench.gateway_fault_steps import (
    FAULTS,
    LONG_RANGE_S,
    MAX_HELD_SERVERS,
    SHORT_RANGE_S,
    crash_and_restart,
    kill_and_restart,
    restart_after,
)
from greengagefall.gateway.records import MEMBERS_PREFIX
from greengagefall.platform.records import OPERATOR_PREFIX, SERVERS_PREFIX
from greengagefall.standins.platform_server import CUT_IN_HEAD, REFUSED_TWICE

if TYPE_CHECKING:
    import random

    from greengagefall.bench.gateway_fleet import GatewayFleet
    from greengagefall.bench.tcp_proxy import TcpProxy

RELOAD_RANGE_S = (0.1, 0.4)
KEPT_CONNECTIONS = 20
# What callers sent on connections that they keep: nothing, or the beginning of a request.
KEPT_BEGINNINGS = (b"", b"GET /drafts/x HTTP/1.1\r\nHost:")
LINK_DELAY_S = 0.15
# The store drops the entry of a server after three heartbeat intervals of 0.5 s.
UNSEEN_RANGE_S = (0.2, 1.4)
LATE_ORDERS_RANGE_S = (2.0, 6.0)
LATE_ORDERS_SHARE = 1 / 2
SPOILED_SHARE = 1 / 5
LIMITS_PER_S = (1.0, 8.0)
# A server's limit has to be kept this long after it was first named.
LIMIT_KNOWN_S = 3.0
REFUSAL_STATUSES = (429, 503)
WATCHED_PREFIXES = (SERVERS_PREFIX, OPERATOR_PREFIX, MEMBERS_PREFIX)


@FAULTS.register("kill_host")
async def kill_host(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills a host's process and restarts it."""
    await kill_and_restart(fleet, [rng.choice(fleet.hosts())], rng.uniform(*SHORT_RANGE_S))


@FAULTS.register("kill_all_hosts")
async def kill_all_hosts(fleet: GatewayFleet, rng: random.Random) -> None:
    """Kills the processes of all hosts at once and restarts them."""
    await kill_and_restart(fleet, fleet.hosts(), rng.uniform(*SHORT_RANGE_S))


@FAULTS.register("stop_host")
async def stop_host(fleet: GatewayFleet, rng: random.Random) -> None:
    """Stops a host gracefully and restarts it once its process has ended."""
    host = rng.choice(fleet.hosts())
    if not fleet.processes.is_running(host):
        return
    await fleet.stop_host(host)
    await restart_after(fleet, host, rng.uniform(*SHORT_RANGE_S))


@FAULTS.register("stop_host_beside_kept_connections")
async def stop_host_beside_kept_connections(fleet: GatewayFleet, rng: random.Random) -> None:
    """Stops a host while callers keep idle and half-used connections until its process is gone."""
    host = rng.choice(fleet.hosts())
    if not fleet.processes.is_running(host):
        return
    before_s, pause_s = rng.uniform(*SHORT_RANGE_S), rng.uniform(*SHORT_RANGE_S)
    ip, _, port = fleet.callers[host].rpartition(":")
    writers = []
    # A host that has only just started refuses connections.
    with contextlib.suppress(OSError):
        for beginning in rng.choices(KEPT_BEGINNINGS, k=KEPT_CONNECTIONS):
            _, writer = await asyncio.open_connection(ip, int(port))
            writer.write(beginning)
            writers.append(writer)
    await asyncio.sleep(before_s)
    if fleet.processes.is_running(host):
        await fleet.stop_host(host)
    for writer in writers:
        writer.close()
    await restart_after(fleet, host, pause_s)


@FAULTS.register("pause_host")
async def pause_host(fleet: GatewayFleet, rng: random.Random) -> None:
    """Suspends a host's process for a while."""
    host = rng.choice(fleet.hosts())
    if not fleet.processes.is_running(host):
        return
    fleet.processes.pause(host)
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    fleet.processes.resume(host)


@FAULTS.register("hosts_reload")
async def hosts_reload(fleet: GatewayFleet, rng: random.Random) -> None:
    """Has some hosts read their settings again, one after the other."""
    for host in rng.sample(fleet.hosts(), rng.randint(1, len(fleet.hosts()))):
        if fleet.processes.is_running(host):
            fleet.processes.reload(host)
        # A process that is still starting has no handler for the signal and ends.
        await restart_after(fleet, host, rng.uniform(*RELOAD_RANGE_S))


@FAULTS.register("store_refuses")
async def store_refuses(fleet: GatewayFleet, rng: random.Random) -> None:
    """Makes the store refuse every call."""
    fleet.store.refuse = rng.choice(REFUSAL_STATUSES)
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    fleet.store.refuse = 0


@FAULTS.register("store_forgets")
async def store_forgets(fleet: GatewayFleet, rng: random.Random) -> None:
    """Drops the store's history."""
    await fleet.store.drop_history()


@FAULTS.register("store_restored")
async def store_restored(fleet: GatewayFleet, rng: random.Random) -> None:
    """Takes the store away and brings it back from an older copy; its writers write again."""
    copy = fleet.store.copy()
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    fleet.store.refuse = rng.choice(REFUSAL_STATUSES)
    await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))
    await fleet.store.restore(copy)
    fleet.store.refuse = 0
    await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))
    await fleet.write_all_again()


@FAULTS.register("server_limits_rate")
async def server_limits_rate(fleet: GatewayFleet, rng: random.Random) -> None:
    """Has a server name the requests per second that it takes."""
    name = rng.choice(list(fleet.servers))
    server = fleet.servers[name]
    if server.rate_limit_per_s:
        return
    server.rate_limit_per_s = rng.uniform(*LIMITS_PER_S)
    server.limited_s.clear()
    await asyncio.sleep(LIMIT_KNOWN_S + rng.uniform(*LONG_RANGE_S))
    fleet.check_rate(server, LIMIT_KNOWN_S)
    server.rate_limit_per_s = 0.0


@FAULTS.register("store_loses_answers")
async def store_loses_answers(fleet: GatewayFleet, rng: random.Random) -> None:
    """Makes the store apply some writes without answering them."""
    fleet.store.lose_answers = rng.randint(1, 3)
    await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))
    fleet.store.lose_answers = 0


@FAULTS.register("watches_lost")
async def watches_lost(fleet: GatewayFleet, rng: random.Random) -> None:
    """Makes the store lose the watches of some or all hosts around a change."""
    for prefix in WATCHED_PREFIXES:
        fleet.store.lose_watches[prefix] = rng.randint(1, len(fleet.hosts()))
    await fleet.change_configuration()
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    fleet.store.lose_watches.clear()


@FAULTS.register("store_cut")
async def store_cut(fleet: GatewayFleet, rng: random.Random) -> None:
    """Impairs the connections from one host to the store."""
    await _impair(fleet.store_links[rng.choice(fleet.hosts())], rng)


@FAULTS.register("server_cut")
async def server_cut(fleet: GatewayFleet, rng: random.Random) -> None:
    """Impairs the connections to one server."""
    await _impair(fleet.server_links[rng.choice(list(fleet.servers))], rng)


@FAULTS.register("server_crash")
async def server_crash(fleet: GatewayFleet, rng: random.Random) -> None:
    """Crashes a server and restarts it under the same id."""
    await crash_and_restart(fleet, rng.choice(list(fleet.servers)), rng)


@FAULTS.register("server_drains")
async def server_drains(fleet: GatewayFleet, rng: random.Random) -> None:
    """Drains a server and makes it ready again unless it crashed in the meantime."""
    name = rng.choice(list(fleet.servers))
    await fleet.write_server_entry(name, "draining")
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    if not fleet.server_links[name].refuses:
        await fleet.write_server_entry(name)


@FAULTS.register("server_restarts_unseen")
async def server_restarts_unseen(fleet: GatewayFleet, rng: random.Random) -> None:
    """Restarts a server under its id while it is cut off from the store but not from the hosts."""
    name = rng.choice(list(fleet.servers))
    if not fleet.server_links[name].refuses:
        fleet.log_event(f"{name} restarts unseen by the store")
        await fleet.restart_server_unseen(name, rng.uniform(*UNSEEN_RANGE_S))


@FAULTS.register("orders_late")
async def orders_late(fleet: GatewayFleet, rng: random.Random) -> None:
    """Has some servers apply a part of their grants and releases late and without an answer."""
    names = rng.sample(list(fleet.servers), rng.randint(1, MAX_HELD_SERVERS))

    def delay_s() -> float:
        return rng.uniform(*LATE_ORDERS_RANGE_S) if rng.random() < LATE_ORDERS_SHARE else 0.0

    for name in names:
        fleet.servers[name].order_delay_s = delay_s
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    for name in names:
        fleet.servers[name].order_delay_s = lambda: 0.0


@FAULTS.register("answers_cut_in_head")
async def answers_cut_in_head(fleet: GatewayFleet, rng: random.Random) -> None:
    """Has some servers close connections in the head of a part of their answers."""
    await _spoil_answers(fleet, rng, CUT_IN_HEAD)


@FAULTS.register("refusals_repeated")
async def refusals_repeated(fleet: GatewayFleet, rng: random.Random) -> None:
    """Has some servers refuse a part of their requests and send each refusal twice."""
    await _spoil_answers(fleet, rng, REFUSED_TWICE)


@FAULTS.register("configuration")
async def configuration(fleet: GatewayFleet, rng: random.Random) -> None:
    """Writes several configuration versions in quick succession."""
    for _ in range(rng.randint(1, 4)):
        await fleet.change_configuration()
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def _spoil_answers(fleet: GatewayFleet, rng: random.Random, spoiled: str) -> None:
    names = rng.sample(list(fleet.servers), rng.randint(1, MAX_HELD_SERVERS))
    for name in names:
        fleet.servers[name].spoil_answer = lambda: spoiled if rng.random() < SPOILED_SHARE else ""
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    for name in names:
        fleet.servers[name].spoil_answer = lambda: ""


async def _impair(link: TcpProxy, rng: random.Random) -> None:
    """Delays, resets or drops the data that passes through a proxy, for a while.

    Data is dropped in both directions or in one of them.
    """
    kind = rng.choice(("delay", "reset", "silent", "to_target", "from_target"))
    if kind == "reset":
        link.reset()
        return
    if kind == "delay":
        link.delay_s = LINK_DELAY_S
    link.drops_to_target = kind in ("silent", "to_target")
    link.drops_from_target = kind in ("silent", "from_target")
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    # Connections that lost data are inconsistent, so the proxy resets them afterwards.
    if kind != "delay":
        link.reset()
    # A server that crashed in the meantime still refuses connections.
    refuses = link.refuses
    link.clear_faults()
    link.refuses = refuses
