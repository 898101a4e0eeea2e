"""Runs gateway processes under random faults and checks the records of callers and servers.

``python -m greengagefall.bench.gateway_soak --seed 1 --seconds 60``
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import click

from greengagefall.bench.gateway_faults import FAULTS
from greengagefall.bench.gateway_fleet import GatewayFleet, Violation
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import DispatchError
from greengagefall.ownership.model import LAST_KEY
from greengagefall.platform.requests import SIGNATURE_HEADER
from greengagefall.standins.platform_documents import caller_headers

if TYPE_CHECKING:
    from collections.abc import Callable

CALLERS = 8
MAX_PAUSE_S = 0.04
DEADLINE_MS = 2000
ANSWER_MARGIN_S = 1.0
MAX_BODY_BYTES = 1_000_000
MEAN_BETWEEN_FAULTS_S = 1.2
# The operators require that requests are served again within this time after the last fault.
RECOVERY_S = 15.0
RECOVERY_REQUESTS = 40
MAX_SHOWN = 20
STANDSTILL_CHECK_S = 0.1
# Shorter ones change nothing that the faults do.
MIN_STANDSTILL_S = 0.3
OK = 200
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
PATHS = {"safe": "/drafts/x", "once": "/approvals/x", "pool": "/orders/x"}


class CallRecord(NamedTuple):
    """Outcome of one request as its caller saw it.

    Attributes:
        request_id: Id of the request.
        kind: Key of ``PATHS``; requests of kind ``safe`` are idempotent.
        status: HTTP status, 0 without an answer.
        correct: False for an answer with status 200 that does not belong to the request: it has
            another signature, an unknown server or another path.
    """

    request_id: str
    kind: str
    status: int
    correct: bool


class SoakResult(NamedTuple):
    """Outcome of a soak.

    Attributes:
        faults: Number of injected faults by name.
        statuses: Number of requests by status, 0 without an answer.
        checks: Number of checks.
        violations: Violations that were found.
        longest_standstill_s: Longest time for which the soak's own process did not run; it plays
            the store and the servers, so that a long one falsifies what faults do.
    """

    faults: Counter[str]
    statuses: Counter[int]
    checks: int
    violations: list[Violation]
    longest_standstill_s: float


class FaultPlan(NamedTuple):
    """Which faults a soak injects.

    Attributes:
        names: Faults to draw from, none for all.
        mean_pause_s: Mean time from the beginning of a fault to that of the next.
    """

    names: tuple[str, ...] = ()
    mean_pause_s: float = MEAN_BETWEEN_FAULTS_S


ALL_FAULTS = FaultPlan()


class Callers:
    """Callers with persistent connections, and their records.

    Attributes:
        records: One record for each request.
    """

    def __init__(self, fleet: GatewayFleet, rng: random.Random) -> None:
        self.records: list[CallRecord] = []
        self._fleet = fleet
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self, end_s: float) -> None:
        """Sends requests until the monotonic clock reaches ``end_s``."""
        pools = {
            host: ConnectionPool(address, MAX_BODY_BYTES)
            for host, address in self._fleet.callers.items()
        }
        while time.monotonic() < end_s:
            kind = self._rng.choice(list(PATHS))
            await self.send(pools[self._rng.choice(list(pools))], kind)
            await asyncio.sleep(MAX_PAUSE_S * self._rng.random())
        for pool in pools.values():
            pool.close()

    async def send(self, pool: ConnectionPool, kind: str) -> CallRecord:
        """Sends one request and records its outcome."""
        request_id = f"{kind}-{next(self._numbers)}"
        key = None if kind == "pool" else self._rng.randint(0, LAST_KEY)
        method = "GET" if kind == "safe" else "POST"
        headers = caller_headers(request_id, DEADLINE_MS, key)
        request = HttpRequest(method, PATHS[kind], headers, b"")
        try:
            answer = await pool.exchange(
                request, DEADLINE_MS / 1000 + ANSWER_MARGIN_S, lambda: True
            )
        except DispatchError:
            record = CallRecord(request_id, kind, 0, True)
        else:
            signature = answer.headers.get(SIGNATURE_HEADER, "")
            server, _, path = answer.body.decode(errors="replace").partition(":")
            signed = signature == f"signed.{request_id}"
            correct = signed and server in self._fleet.servers and path == PATHS[kind]
            correct = correct or answer.status != OK
            record = CallRecord(request_id, kind, answer.status, correct)
        self.records.append(record)
        return record


async def _inject(fleet: GatewayFleet, rng: random.Random, name: str) -> None:
    fleet.log_event(f"{name} begins")
    await FAULTS[name](fleet, rng)
    fleet.log_event(f"{name} ends")


async def inject_faults(
    fleet: GatewayFleet, seed: int, end_s: float, plan: FaultPlan
) -> Counter[str]:
    """Injects faults, some of them concurrently, and waits until all have ended.

    Faults, their times and their parameters depend on the seed only: each fault draws from a
    generator of its own.
    """
    names = sorted(plan.names or FAULTS.names())
    rng = random.Random(f"faults {seed}")
    injected: Counter[str] = Counter()
    running = set()
    while time.monotonic() < end_s:
        name = rng.choice(names)
        injected[name] += 1
        running.add(asyncio.create_task(_inject(fleet, random.Random(rng.random()), name)))
        await asyncio.sleep(rng.expovariate(1 / plan.mean_pause_s))
    await asyncio.gather(*running)
    return injected


class StandstillWatch:
    """Notices when the soak's own process stands still, and logs it among the events.

    Attributes:
        longest_s: Longest time for which it stood still.
    """

    def __init__(self, fleet: GatewayFleet) -> None:
        self.longest_s = 0.0
        self._fleet = fleet

    async def run(self) -> None:
        """Watches until it is cancelled."""
        while True:
            due_s = time.monotonic() + STANDSTILL_CHECK_S
            await asyncio.sleep(STANDSTILL_CHECK_S)
            late_s = time.monotonic() - due_s
            self.longest_s = max(self.longest_s, late_s)
            if late_s > MIN_STANDSTILL_S:
                self._fleet.log_event(f"the soak's process stood still for {late_s:.2f} s")


def check_records(fleet: GatewayFleet, records: list[CallRecord]) -> list[Violation]:
    """Compares the callers' records with the requests that the servers executed."""
    executions = Counter(
        request for server in fleet.servers.values() for request in server.executed
    )
    sent_ids = {record.request_id for record in records}
    found = [
        f"{one} was executed, but no caller sent it" for one in executions if one not in sent_ids
    ]
    for record in records:
        execution_count = executions[record.request_id]
        if record.kind != "safe" and execution_count > 1:
            found.append(f"{record.request_id} was executed {execution_count} times")
        if record.status in NOT_EXECUTED_STATUSES and execution_count:
            found.append(f"{record.request_id} got {record.status}, but was executed")
        if record.status == OK and not execution_count:
            found.append(f"{record.request_id} got {OK}, but was not executed")
        if not record.correct:
            found.append(f"{record.request_id} got the answer to another request")
    return [Violation(0.0, text) for text in found]


async def check_recovery(fleet: GatewayFleet, callers: Callers) -> list[Violation]:
    """Waits for recovery: ``RECOVERY_REQUESTS`` requests in a row, over all hosts, are served.

    Returns:
        A violation if that takes longer than ``RECOVERY_S``, else nothing.
    """
    end_s = time.monotonic() + RECOVERY_S
    pools = [ConnectionPool(address, MAX_BODY_BYTES) for address in fleet.callers.values()]
    served = 0
    while served < RECOVERY_REQUESTS and time.monotonic() < end_s:
        kind = ("safe", "once", "pool")[served % 3]
        record = await callers.send(pools[served % len(pools)], kind)
        served = served + 1 if record.status == OK else 0
    for pool in pools:
        pool.close()
    if served >= RECOVERY_REQUESTS:
        return []
    return [Violation(end_s, f"not served again {RECOVERY_S} s after the last fault")]


async def run_soak(
    seed: int,
    seconds: float,
    *,
    hosts: int = 3,
    servers: int = 5,
    planted_fault: str = "",
    plan: FaultPlan = ALL_FAULTS,
    show: Callable[[str], None] = print,
) -> SoakResult:
    """Runs one soak and checks its records.

    Args:
        seed: Seed of faults and requests; what else happens meanwhile differs between runs.
        seconds: Duration of load and fault injection.
        hosts: Number of gateway processes.
        servers: Number of servers of the keyed service.
        planted_fault: Name of a planted fault, empty for none.
        plan: Which faults are injected.
        show: Called with each line of the report.
    """
    fleet = GatewayFleet(hosts, servers, planted_fault)
    callers = Callers(fleet, random.Random(seed))
    watch = StandstillWatch(fleet)
    watching = asyncio.create_task(watch.run())
    try:
        await fleet.start()
        end_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(callers.run(end_s))
            injecting = group.create_task(inject_faults(fleet, seed, end_s, plan))
        violations = await check_recovery(fleet, callers)
        fleet.check_overlaps()
        violations += fleet.violations
    finally:
        watching.cancel()
        await fleet.close()
    violations += check_records(fleet, callers.records)
    for violation in violations[:MAX_SHOWN]:
        show(f"seed {seed}: {violation.text}")
    statuses = Counter(record.status for record in callers.records)
    checks = 4 * len(callers.records)
    if violations:
        show(f"logs in {fleet.processes.log_dir}")
    return SoakResult(injecting.result(), statuses, checks, violations, watch.longest_s)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of faults and requests.")
@click.option("--seconds", default=60.0, show_default=True, help="How long faults are injected.")
@click.option("--hosts", default=3, show_default=True, help="Gateway processes.")
@click.option("--servers", default=5, show_default=True, help="Servers divided by key.")
@click.option("--plant", default="", help="Name of a planted fault.")
@click.option(
    "--only", multiple=True, type=click.Choice(FAULTS.names()), help="Draw from these faults alone."
)
@click.option(
    "--mean-pause-s",
    default=MEAN_BETWEEN_FAULTS_S,
    show_default=True,
    help="Mean time between faults.",
)
def main(
    seed: int,
    seconds: float,
    hosts: int,
    servers: int,
    plant: str,
    only: tuple[str, ...],
    mean_pause_s: float,
) -> None:
    """Runs gateways under random faults; exit code 1 if something happened that never must."""
    plan = FaultPlan(only, mean_pause_s)
    result = asyncio.run(
        run_soak(seed, seconds, hosts=hosts, servers=servers, planted_fault=plant, plan=plan)
    )
    faults = ", ".join(f"{name} {number}" for name, number in sorted(result.faults.items()))
    statuses = ", ".join(
        f"{status}: {number}" for status, number in sorted(result.statuses.items())
    )
    click.echo(f"seed {seed}: {sum(result.faults.values())} faults ({faults})")
    click.echo(f"answers by status, 0 for none: {statuses}")
    click.echo(f"the soak's process stood still for {result.longest_standstill_s:.2f} s at most")
    click.echo(f"{result.checks} checks, {len(result.violations)} violations")
    sys.exit(1 if result.violations else 0)


if __name__ == "__main__":
    main()
