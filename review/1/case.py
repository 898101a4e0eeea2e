"""A server is cut from the store, crashes behind the cut and starts again under its id."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path
from typing import NamedTuple

from common import fleet
from common.client import Route, Traffic
from common.server import HEARTBEAT_S, SILENT_HEARTBEATS, Held, Server
from common.store import Store

FOLDER = Path(__file__).resolve().parent
SERVERS = 5
SETTLE_S = 5.0
CUT_S = 2.3
CRASH_AFTER_S = 0.1
DOWN_S = 0.05
AFTER_S = 8.0
# The store removes an entry after three heartbeat intervals of silence; the cut is shorter.
SILENCE_S = SILENT_HEARTBEATS * HEARTBEAT_S
# Two servers may not hold the same keys for longer than this.
BOTH_HOLD_S = 0.5
# Grants that arrive within this time after a link healed do not count.
THAW_SLACK_S = 0.3


class Both(NamedTuple):
    """Two servers that held the same keys at the same time."""

    one: Held
    other: Held
    start_s: float
    end_s: float


def both_held(servers: list[Server]) -> list[Both]:
    """Returns all times in which two servers held the same keys."""
    found = []
    held = [one for server in servers for one in server.all_held()]
    for one, other in itertools.combinations(held, 2):
        if one.server_id == other.server_id or one.last < other.first or other.last < one.first:
            continue
        start_s = max(one.counted_start_s, other.counted_start_s)
        end_s = min(one.counted_end_s, other.counted_end_s)
        if end_s - start_s > 0.01:
            found.append(Both(one, other, start_s, end_s))
    return found


async def play(record: fleet.Record) -> int:
    """Plays the case; returns the exit code."""
    assert CUT_S < SILENCE_S
    ports = fleet.Ports()
    store = Store()
    store_ip = ports.ip()
    store_port = ports.port(store_ip)
    await store.start(store_ip, store_port)
    rules = [fleet.rule("approvals", "unsafe", "proofdesk", 1.2)]
    store.put_json("op/config", fleet.config(7, rules))
    servers = []
    for number in range(SERVERS):
        zone = fleet.ZONES[number % 3]
        server = Server(store, f"i-{number}", "proofdesk", zone, keyed=True, work_s=0.2)
        ip = ports.ip()
        await server.start(ip, ports.port(ip))
        servers.append(server)
    machines = fleet.Fleet(ports, f"{store_ip}:{store_port}", 3)
    traffic = Traffic(machines.frontends, Route("POST", "/approvals/", 2.0, True), 75, "approval")
    try:
        for gateway in machines.gateways:
            machines.start(gateway)
        await machines.wait_ready()
        await asyncio.sleep(3.0)
        traffic.start()
        await asyncio.sleep(SETTLE_S)
        if fleet.trouble():
            server = servers[0]
            await server.next_beat()
            server.cut_from_store()
            record.say(f"{server.server_id} is cut from the store for {CUT_S} s")
            await asyncio.sleep(CRASH_AFTER_S)
            await server.crash()
            record.line(f"{server.server_id} crashed")
            await asyncio.sleep(DOWN_S)
            server.start_again()
            record.line(f"{server.server_id} started again, born {server.born}")
            await asyncio.sleep(CUT_S - CRASH_AFTER_S - DOWN_S)
            server.reach_store()
            healed_s = time.monotonic()
            for one in servers:
                one.counts = lambda at_s: not healed_s <= at_s <= healed_s + THAW_SLACK_S
            record.line(f"{server.server_id} reaches the store again")
        await asyncio.sleep(AFTER_S)
    except TimeoutError as error:
        record.say(f"could not run: {error}")
        return fleet.EXIT_NOT_RUN
    finally:
        await traffic.close()
        await machines.close()
        await store.close()
        found = both_held(servers)
        for server in servers:
            await server.close()
    return judge(record, servers, found, traffic)


def judge(record: fleet.Record, servers: list[Server], found: list[Both], traffic: Traffic) -> int:
    """Records what was sent, run and answered; returns the exit code."""
    for server in servers:
        for run in server.runs:
            record.line(f"run {run.request_id} at {run.server_id}", run.at_s)
        for held in server.all_held():
            keys = f"{held.first}-{held.last}, fence {held.fence}, life {held.born}"
            record.line(
                f"{held.server_id} held {keys} for {held.end_s - held.start_s:.2f} s", held.start_s
            )
    for reply in traffic.replies:
        record.line(f"sent {reply.request_id}", reply.sent_s)
        record.line(f"answer {reply.status} to {reply.request_id}", reply.ended_s)
    for both in found:
        record.say(
            f"{both.one.server_id} (fence {both.one.fence}) and {both.other.server_id} (fence "
            f"{both.other.fence}) both held keys {max(both.one.first, both.other.first)}-"
            f"{min(both.one.last, both.other.last)} for {both.end_s - both.start_s:.2f} s"
        )
    served = sum(reply.status == 200 for reply in traffic.replies)
    record.say(f"{len(traffic.replies)} requests, {served} served")
    if not served:
        return fleet.EXIT_NOT_RUN
    broken = any(both.end_s - both.start_s > BOTH_HOLD_S for both in found)
    return fleet.EXIT_BROKEN if broken else fleet.EXIT_HELD


if __name__ == "__main__":
    sys.exit(fleet.run(FOLDER, play))
