"""Measures store calls, processor time and memory of a zone's idle coordinators.

Run with ``python -m greengagefall.bench.measure_coordinator``. The store, the host list and
the entry hosts are stand-ins in this process; each coordinator runs in a separate process.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

import click

from greengagefall.bench.processes import ProcessGroup, ProcessSpec
from greengagefall.bench.usage import Usage, usage_of
from greengagefall.routing.registry import config_key
from greengagefall.standins.entry_host import StandInHost
from greengagefall.standins.host_list import HostListService
from greengagefall.standins.kv_service import KvService
from greengagefall.standins.kv_state import PutOp
from greengagefall.utils.logs import setup_logging

ZONE = "ee-north-a"
BACK_END = "proofdesk"
COORDINATORS = 2
SLICES = 4096
SERVERS_PER_HOST = 3
SETTLE_S = 5.0
POLL_INTERVAL_S = 0.2
MAX_POLLS = 600
TAKE_OVER_HOSTS = 4
TAKE_OVERS = 5
TAKE_OVER_POLL_INTERVAL_S = 0.02


class Cost(NamedTuple):
    """Resource use of a zone's idle coordinators.

    Attributes:
        host_count: Number of entry hosts in the zone.
        store_calls_per_s: Completed store calls of all coordinators together, per second.
        watches: Number of open watches.
        active: Usage of the active coordinator; ``cpu_s`` is the share of one core.
        standby: Usage of a standby coordinator, in the same units.
    """

    host_count: int
    store_calls_per_s: float
    watches: int
    active: Usage
    standby: Usage


def config_bytes(host_count: int) -> bytes:
    """Returns a configuration with ``SERVERS_PER_HOST`` backend servers per entry host."""
    servers = ",".join(
        f'"p{number}": {{"address": "127.0.0.1:{1000 + number}", "zone": "{ZONE}", "slots": 6}}'
        for number in range(SERVERS_PER_HOST * host_count)
    )
    back_end = f'{{"kind": "keyed", "slices": {SLICES}, "servers": {{{servers}}}}}'
    return (
        f'{{"version": 1, "patch_id": "p", "zones": {{"{ZONE}": {{"state": "in"}}}},'
        f' "back_ends": {{"{BACK_END}": {back_end}}}}}'
    ).encode()


class Zone:
    """Runs the stand-ins of one zone and its coordinator processes."""

    def __init__(self, host_count: int, coordinator_count: int = COORDINATORS) -> None:
        self._coordinator_count = coordinator_count
        self.store = KvService("127.0.0.1:0")
        self.processes = ProcessGroup()
        self._host_list = HostListService("127.0.0.1:0")
        self._hosts = [StandInHost(f"a{number}", ZONE) for number in range(host_count)]

    async def start(self) -> None:
        """Starts the stand-ins and the coordinators."""
        await self.store.start()
        await self._host_list.start()
        for number, host in enumerate(self._hosts):
            await host.start()
            first = number * SERVERS_PER_HOST
            server_numbers = range(first, first + SERVERS_PER_HOST)
            host.servers = {f"{BACK_END}/p{server}": "up" for server in server_numbers}
            labels = {"host": host.host, "zone": ZONE, "state": "live", "http": ""}
            self._host_list.register({"targets": [host.address], "labels": labels}, 0.0)
        key = config_key(1).encode()
        self.store.state.write([PutOp(key, config_bytes(len(self._hosts)), 0)])
        for host in self._hosts[: self._coordinator_count]:
            self._start_coordinator(host)

    async def close(self) -> None:
        """Stops the coordinators and the stand-ins."""
        await asyncio.to_thread(self.processes.close)
        for host in self._hosts:
            await host.close()
        await self._host_list.close()
        await self.store.close()

    def _start_coordinator(self, host: StandInHost) -> None:
        arguments = (
            *("--host", host.host, "--zone", ZONE, "--entry-peer", host.address),
            *("--store", self.store.address, "--host-list", self._host_list.address),
        )
        self.processes.start(
            ProcessSpec(host.host, "greengagefall.commands.coordinator", arguments)
        )

    async def wait_active(self) -> None:
        """Waits until a coordinator is active.

        Standbys campaign one after another in a hash order of all hosts of the zone; the campaign
        times of hosts without a coordinator process pass unused.

        Raises:
            TimeoutError: No coordinator is active after ``MAX_POLLS`` polls.
        """
        for _ in range(MAX_POLLS):
            if self.active:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"no coordinator became active within {MAX_POLLS} polls, one per {POLL_INTERVAL_S} s"
        )

    @property
    def active(self) -> str:
        """Host of the coordinator known to the first entry host, empty if it knows none."""
        return self._hosts[0].coordinator_tracker.latest().host

    @property
    def term(self) -> int:
        """Highest term that any host received from a coordinator."""
        return max(host.coordinator_tracker.latest().term for host in self._hosts)

    @property
    def standby(self) -> str:
        """Host of a standby coordinator."""
        return next(host.host for host in self._hosts[:COORDINATORS] if host.host != self.active)

    def usage(self, host: str) -> Usage:
        """Returns the processor time and memory of a host's coordinator process."""
        return usage_of(self.processes.pid(host))


def usage_between(before: Usage, after: Usage, seconds: float) -> Usage:
    """Returns the share of a core used between two readings, and the memory at the second."""
    return Usage((after.cpu_s - before.cpu_s) / seconds, after.resident_mib)


async def measure(host_count: int, seconds: float) -> Cost:
    """Returns the resource use of idle coordinators in a zone with ``host_count`` entry hosts."""
    zone = Zone(host_count)
    await zone.start()
    try:
        await zone.wait_active()
        await asyncio.sleep(SETTLE_S)
        active, standby = zone.active, zone.standby
        calls = zone.store.counts.total()
        before = zone.usage(active), zone.usage(standby)
        await asyncio.sleep(seconds)
        return Cost(
            host_count,
            (zone.store.counts.total() - calls) / seconds,
            len(zone.store.watches),
            usage_between(before[0], zone.usage(active), seconds),
            usage_between(before[1], zone.usage(standby), seconds),
        )
    finally:
        await zone.close()


async def measure_take_over() -> float:
    """Returns the seconds from killing the coordinator until a host receives a higher term."""
    zone = Zone(TAKE_OVER_HOSTS, TAKE_OVER_HOSTS)
    await zone.start()
    try:
        await zone.wait_active()
        await asyncio.sleep(random.uniform(SETTLE_S, SETTLE_S + 1.0))
        term = zone.term
        zone.processes.kill(zone.active)
        started_s = time.monotonic()
        while zone.term == term:  # noqa: ASYNC110
            await asyncio.sleep(TAKE_OVER_POLL_INTERVAL_S)
        return time.monotonic() - started_s
    finally:
        await zone.close()


async def measure_all(host_counts: tuple[int, ...], seconds: float) -> None:
    """Prints the resource use for each number of hosts, and the take-over times."""
    print("hosts  store calls/s  watches  active: core share, MiB  standby: core share, MiB")
    for host_count in host_counts:
        cost = await measure(host_count, seconds)
        print(
            f"{cost.host_count:5d}  {cost.store_calls_per_s:13.2f}  {cost.watches:7d}"
            f"  {cost.active.cpu_s:18.4f}, {cost.active.resident_mib:5.1f}"
            f"  {cost.standby.cpu_s:19.4f}, {cost.standby.resident_mib:5.1f}",
            flush=True,
        )
    take_overs = [await measure_take_over() for _ in range(TAKE_OVERS)]
    print(f"\nTake-over after a kill, {TAKE_OVER_HOSTS} hosts, seconds:")
    print("  ".join(f"{seconds:.2f}" for seconds in sorted(take_overs)))


@click.command()
@click.option("--hosts", multiple=True, type=int, default=(4, 20, 87), show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of each measurement.")
def main(hosts: tuple[int, ...], seconds: float) -> None:
    """Measures a zone's coordinators at rest."""
    setup_logging("ERROR")
    asyncio.run(measure_all(hosts, seconds))


if __name__ == "__main__":
    main()
