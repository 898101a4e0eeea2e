"""Measures how the cost of the real parts grows with their size, for docs/CAPACITY.md.

``make measure-capacity`` runs this module. Each table runs one part at several sizes. The sizes
grow by a factor, so that the tables show slopes and superlinear growth.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

import click

from greengagefall.balancing.placement import PLACEMENTS
from greengagefall.bench.fleet import BackEndSpec, Fleet, FleetSpec
from greengagefall.bench.usage import usage_of
from greengagefall.coordination.documents import DocumentCache
from greengagefall.coordination.epochs import first_members_record, members_record_to_json
from greengagefall.coordination.model import Member
from greengagefall.coordination.ring import neighbours, witness_group
from greengagefall.coordination.slice_map import SliceMap, delta_to_json
from greengagefall.coordination.slice_map_changes import begin_release, initial_map, next_delta
from greengagefall.protocol.link import PeerLink
from greengagefall.protocol.messages import PROTOCOL_VERSION, Hello
from greengagefall.protocol.server import PeerServer
from greengagefall.routing.parse import parse_config
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.registry import Registry
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

US_PER_S = 1_000_000
MS_PER_S = 1000.0
KIB = 1024
LOOKUPS = 20_000
CONNECT_TIMEOUT_S = 20.0
ZONES = tuple(f"zone-{letter}" for letter in "abcdef")
SERVER_SIZES = (30, 120, 480, 1920)
HOST_SIZES = (4, 20, 87, 350)
LINK_SIZES = (50, 200, 519)
DISPATCHED_SIZES = (4, 12, 24)

TABLES: Registry[Callable[[], Any]] = Registry("table")


def timed_us(work: Callable[[], Any], repeats: int) -> float:
    """Returns the mean duration of one call of ``work`` in microseconds."""
    started_s = time.perf_counter()
    for _ in range(repeats):
        work()
    return (time.perf_counter() - started_s) / repeats * US_PER_S


def sized_kib(make: Callable[[], Any]) -> float:
    """Returns the memory in KiB that the return value of ``make`` occupies."""
    gc.collect()
    tracemalloc.start()
    held = make()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size_bytes / KIB


def config_document(server_count: int) -> dict[str, Any]:
    """Returns a configuration with one keyed back end."""
    servers = {
        f"server-{number}": {
            "address": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:9000",
            "zone": ZONES[number % len(ZONES)],
            "slots": 6,
        }
        for number in range(server_count)
    }
    back_end = {"kind": "keyed", "slices": 65_536, "servers": servers}
    return {
        "version": 1,
        "zones": {zone: {"state": "in"} for zone in ZONES},
        "back_ends": {"proofdesk": back_end},
    }


def filled_map(server_count: int) -> SliceMap:
    """Returns a slice map of 65,536 slices with its owners placed by weight."""
    config = parse_config(config_document(server_count)).ok_value
    back_end = config.back_ends["proofdesk"]
    slice_map = initial_map("proofdesk", back_end.slice_count)
    placement = PLACEMENTS["by_weight"](SystemClock(), {})
    ranges = placement.initial_ranges(back_end.slice_count, back_end.servers, config.zones, 1)
    slice_map.apply(next_delta(slice_map, ranges))
    return slice_map


@TABLES.register("slice map")
def slice_map_table() -> None:
    """Prints size, lookup time and delta cost of a slice map by number of servers."""
    print("servers   runs  JSON KiB  memory KiB  lookup us  delta bytes  apply us")
    for size in SERVER_SIZES:
        slice_map = filled_map(size)
        rng = random.Random(1)
        slices = [rng.randrange(slice_map.slice_count) for _ in range(LOOKUPS)]
        lookup_us = timed_us(
            lambda s=slices, m=slice_map: [m.lookup(slice_id) for slice_id in s], 3
        )
        first_range = slice_map.ranges()[0]
        delta = next_delta(
            slice_map, begin_release(slice_map, [(first_range.first, first_range.last)])
        )
        started_s = time.perf_counter()
        slice_map.apply(delta)
        apply_us = (time.perf_counter() - started_s) * US_PER_S
        document = slice_map.to_json()
        print(
            f"{size:7}  {len(slice_map.ranges()):5}  {len(json.dumps(document)) / KIB:8.1f}"
            f"  {sized_kib(lambda d=document: SliceMap.from_json(d)):10.1f}"
            f"  {lookup_us / LOOKUPS:9.2f}"
            f"  {len(json.dumps(delta_to_json(delta))):11}  {apply_us:8.1f}"
        )


@TABLES.register("configuration")
def config_table() -> None:
    """Prints size and parse time of a configuration by number of servers."""
    print("servers  JSON KiB  memory KiB  parse ms")
    for size in SERVER_SIZES:
        document = config_document(size)
        text = json.dumps(document)
        parse_us = timed_us(lambda t=text: parse_config(json.loads(t)), 5)
        memory_kib = sized_kib(lambda t=text: parse_config(json.loads(t)))
        print(f"{size:7}  {len(text) / KIB:8.1f}  {memory_kib:10.1f}  {parse_us / MS_PER_S:8.2f}")


def members(host_count: int) -> tuple[Member, ...]:
    """Returns the members of a zone with ``host_count`` entry hosts."""
    return tuple(
        Member(f"host-{number}", f"{number:016x}", f"10.0.0.{number}:7000", "10.0.0.1:80", False)
        for number in range(host_count)
    )


@TABLES.register("members")
def members_table() -> None:
    """Prints the size of a members record and a host's neighbours by number of hosts in a zone."""
    print("hosts  record KiB  neighbours  group us (new epoch, each server once)")
    for size in HOST_SIZES:
        record = first_members_record("zone-a", members(size))
        record_kib = len(json.dumps(members_record_to_json(record))) / KIB
        neighbour_count = len(neighbours(record.members, "host-0"))
        witness_group.cache_clear()
        keys = [f"proofdesk/server-{number}" for number in range(200)]
        group_us = timed_us(
            lambda k=keys, r=record: [witness_group(r.members, key) for key in k], 1
        )
        print(f"{size:5}  {record_kib:10.1f}  {neighbour_count:10}  {group_us / len(keys):8.1f}")


@TABLES.register("versions in a heartbeat")
def heartbeat_table() -> None:
    """Prints the size of the document versions in a heartbeat by number of back ends."""
    print("back ends  versions bytes")
    for size in (2, 8, 32):
        cache = DocumentCache()
        cache.put("config", 1, {})
        for zone in ZONES:
            cache.put(f"members/{zone}", 1, {})
        for number in range(size):
            cache.put_slice_map(initial_map(f"back-end-{number}", 4096))
        print(f"{size:9}  {len(json.dumps(cache.versions())):14}")


def _hello(host: str) -> Hello:
    return Hello(PROTOCOL_VERSION, "entry", host, "zone-a", host, "", "")


@TABLES.register("idle peer links")
def links_table() -> None:
    """Prints the memory of idle peer links with both ends in this process."""

    async def measure(count: int) -> float:
        server = PeerServer("127.0.0.1:0", _hello("server"), lambda peer, message: None)
        await server.start()
        gc.collect()
        before = usage_of(os.getpid()).resident_mib
        links = [PeerLink(server.address, _hello(f"host-{number}")) for number in range(count)]
        for link in links:
            await link.start()
        await wait_until(lambda: all(link.connected for link in links), CONNECT_TIMEOUT_S)
        used_mib = usage_of(os.getpid()).resident_mib - before
        for link in links:
            await link.close()
        await server.close()
        return used_mib * KIB / count

    print("links  KiB for both ends of one")
    for size in LINK_SIZES:
        print(f"{size:5}  {asyncio.run(measure(size)):8.1f}")


@TABLES.register("entry host at rest")
def dispatched_table() -> None:
    """Prints processor share and memory of an idle entry host by number of dispatched servers."""

    async def measure(count: int, seconds: float) -> tuple[float, float]:
        back_end = BackEndSpec("proofdesk", "keyed", count, 6, 1.0)
        fleet = Fleet(FleetSpec(("zone-a",), 1, (back_end,), allow_faults=False))
        try:
            await fleet.start()
            pid = fleet.processes.pid("entry-zone-a-entry-1")
            before = usage_of(pid)
            await asyncio.sleep(seconds)
            after = usage_of(pid)
            return (after.cpu_s - before.cpu_s) / seconds, after.resident_mib
        finally:
            await fleet.close()

    print("servers dispatched  share of a core  resident MiB")
    for size in DISPATCHED_SIZES:
        share, resident_mib = asyncio.run(measure(size, 10.0))
        print(f"{size:18}  {share:15.2%}  {resident_mib:12.1f}")


@click.command()
@click.option("--table", "only", default="", help="Print this table alone.")
def main(only: str) -> None:
    """Prints the slopes from which docs/CAPACITY.md is worked out."""
    for name in [only] if only else TABLES.names():
        print(f"\n== {name}")
        TABLES[name]()


if __name__ == "__main__":
    main()
