"""Measures the cost of a request through the entry hosts compared to a direct call.

``make measure`` runs this module and prints ratios first. Everything runs on one machine, so the
figures can be compared within one run only, not with those of another machine.
"""

from __future__ import annotations

import asyncio
import time

import click

from greengagefall.bench.closed_loop import LoadResult, LoadSpec, run_load
from greengagefall.bench.fleet import BackEndSpec, Fleet, FleetSpec
from greengagefall.bench.usage import Usage, usage_of

SERVERS = 6
SLOTS = 64
CALLERS = 16
KEYS = 500
CLIENT_NAMES = ("kept", "simple", "curl")
CLIENT_ROUNDS = 3
MS_PER_S = 1000.0


def fleet_spec(entries: int) -> FleetSpec:
    """Returns one zone whose backend servers take no time, so that the path itself is measured."""
    back_end = BackEndSpec(
        "proofdesk", "keyed", SERVERS, SLOTS, 0.0, slices=256, checks_orders=False
    )
    return FleetSpec(("zone-a",), entries, (back_end,), allow_faults=False)


def direct_paths() -> tuple[str, ...]:
    """Returns the request paths that the backend servers receive."""
    return tuple(f"/key-{number}/item" for number in range(KEYS))


def routed_paths() -> tuple[str, ...]:
    """Returns the same paths as callers send them, with the back end's name."""
    return tuple(f"/proofdesk{path}" for path in direct_paths())


async def load(spec: LoadSpec, generators: int) -> LoadResult:
    """Generates load outside the event loop of this process."""
    return await asyncio.to_thread(run_load, spec, generators)


async def measure_clients(addresses: tuple[str, ...], seconds: float) -> None:
    """Prints a comparison of the candidate HTTP clients for connections to backend servers."""
    print("\nHTTP client towards backend servers, 16 callers, medians of 3, ratio to kept:")
    rounds: dict[str, list[LoadResult]] = {name: [] for name in CLIENT_NAMES}
    for _ in range(CLIENT_ROUNDS):
        for name in CLIENT_NAMES:
            spec = LoadSpec(name, addresses, direct_paths(), CALLERS, seconds)
            rounds[name].append(await load(spec, 1))
    results = {name: _median(loads) for name, loads in rounds.items()}
    for name, result in results.items():
        ratio = result.rate_per_s / results["kept"].rate_per_s
        print(f"  {name:7} x{ratio:.2f}  {_format_result(result)}")


async def measure_path(entries: int, callers: int, generators: int, seconds: float) -> None:
    """Prints added latency, rate and processor time with ``entries`` entry host processes."""
    fleet = Fleet(fleet_spec(entries))
    try:
        await fleet.start()
        server_addresses = tuple(server.address for server in fleet.servers.values())
        if entries == 1:
            await measure_clients(server_addresses, seconds)
        await _print_idle(fleet, seconds)
        direct = await load(_spec(server_addresses, direct_paths(), callers, seconds), generators)
        before = _usages(fleet)
        host_addresses = tuple(entry.http for entry in fleet.entries.values())
        routed = await load(_spec(host_addresses, routed_paths(), callers, seconds), generators)
        _print_path(entries, callers * generators, direct, routed)
        _print_cost(before, _usages(fleet), routed)
    finally:
        await fleet.close()


def _median(results: list[LoadResult]) -> LoadResult:
    """Returns the result with the median rate."""
    return sorted(results, key=lambda result: result.rate_per_s)[len(results) // 2]


def _spec(
    addresses: tuple[str, ...], paths: tuple[str, ...], callers: int, seconds: float
) -> LoadSpec:
    return LoadSpec("kept", addresses, paths, callers, seconds)


def _print_path(entries: int, callers: int, direct: LoadResult, routed: LoadResult) -> None:
    print(f"\n{entries} entry process(es), {callers} callers, routed against direct:")
    print(f"  requests/s x{routed.rate_per_s / direct.rate_per_s:.2f}")
    print(f"  p50        x{routed.p50_ms / direct.p50_ms:.2f}, ", end="")
    print(f"added {routed.p50_ms - direct.p50_ms:.2f} ms")
    print(f"  p99        x{routed.p99_ms / direct.p99_ms:.2f}, ", end="")
    print(f"added {routed.p99_ms - direct.p99_ms:.2f} ms")
    print(f"  direct: {_format_result(direct)}")
    print(f"  routed: {_format_result(routed)}")


def _print_cost(before: dict[str, Usage], after: dict[str, Usage], routed: LoadResult) -> None:
    print("  processor time per request, and resident memory after the load:")
    for name, used in after.items():
        cpu_ms = (used.cpu_s - before[name].cpu_s) * MS_PER_S / max(1, routed.requests)
        print(f"    {name:28} {cpu_ms:.3f} ms  {used.resident_mib:.0f} MiB")


async def _print_idle(fleet: Fleet, seconds: float) -> None:
    before = _usages(fleet)
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    print("\nIdle share of one core and resident memory:")
    for name, used in _usages(fleet).items():
        share = (used.cpu_s - before[name].cpu_s) / elapsed_s
        print(f"  {name:28} {share:.2%}  {used.resident_mib:.0f} MiB")


def _usages(fleet: Fleet) -> dict[str, Usage]:
    return {
        name: usage_of(fleet.processes.pid(name))
        for name in fleet.processes.names()
        if name.startswith(("entry-", "coordinator-"))
    }


def _format_result(result: LoadResult) -> str:
    return (
        f"{result.rate_per_s:.0f}/s, p50 {result.p50_ms:.2f} ms, p99 {result.p99_ms:.2f} ms, "
        f"{result.failures} failed"
    )


@click.command()
@click.option("--seconds", default=5.0, show_default=True, help="Length of each load.")
def main(seconds: float) -> None:
    """Measures the path with one and with three entry processes."""

    async def measure_all() -> None:
        await measure_path(1, CALLERS, 1, seconds)
        await measure_path(3, CALLERS, 3, seconds)

    asyncio.run(measure_all())


if __name__ == "__main__":
    main()
