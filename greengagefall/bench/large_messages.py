"""Sends large bodies through two gateway processes and reports their peaks of memory.

``python -m greengagefall.bench.large_messages``. The server answers with the body of the request,
so that each exchange passes the link between the hosts in both directions.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import urllib.request
from pathlib import Path
from typing import NamedTuple

from greengagefall.bench.processes import PortBlock, ProcessGroup, ProcessSpec
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import DispatchError
from greengagefall.platform.records import ROUTING_KEY, SERVERS_PREFIX
from greengagefall.platform.settings import SETTINGS_FILE_ENV_VAR
from greengagefall.standins.platform_documents import caller_headers, routing, rule, settings_text
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.waiting import wait_until

MB = 1_000_000
MAX_BODY_BYTES = 64 * MB
MIB = 1024 * 1024
KIB = 1024
ZONE = "north-a"
HOSTS = ("edge-0", "edge-1")
START_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 30.0
RETRY_S = 0.1
# As the largest hosts have it.
MEMORY_MB = 552
SIZES_BYTES = (1 * MB, 5 * MB, 20 * MB, 50 * MB)
CONCURRENT = 8
OK = 200


class Exchanged(NamedTuple):
    """The outcome of one request.

    Attributes:
        status: Status of the answer.
        is_right: Whether the answer has the body that was sent.
    """

    status: int
    is_right: bool


class LargeMessageFleet:
    """Two hosts as processes, and one server that only one of them dispatches.

    Args:
        memory_mb: Memory that the hosts may use by their settings.

    Attributes:
        server: The backend server.
    """

    def __init__(self, memory_mb: int = MEMORY_MB) -> None:
        self._memory_mb = memory_mb
        self._ports = PortBlock()
        self._processes = ProcessGroup()
        self._store = PlatformStoreStandIn()
        self.server = PlatformServerStandIn("b0", "benchline", ZONE, keyed=False)
        self.server.echoes = True
        self._callers: dict[str, str] = {}
        self._metrics: dict[str, str] = {}
        self._request_ids = iter(range(1, 1_000_000))

    async def start(self) -> None:
        """Starts all parts and waits until the hosts serve requests.

        Raises:
            TimeoutError: A host does not serve requests after ``START_TIMEOUT_S``.
        """
        self._ports.start()
        await self._store.start()
        await self.server.start()
        rules = [rule("orders", "/orders/", "benchline", kind="safe", timeout_s=REQUEST_TIMEOUT_S)]
        await self._store.put_json(
            ROUTING_KEY, routing(1, rules=rules, max_body_bytes=MAX_BODY_BYTES)
        )
        await self._store.put_json(SERVERS_PREFIX + "b0", self.server.entry())
        for host in HOSTS:
            self._start_host(host)
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in HOSTS:
                await self._wait_until_served(host)

    async def close(self) -> None:
        """Stops all parts."""
        await asyncio.to_thread(self._processes.close)
        self._ports.close()
        await self.server.close()
        await self._store.close()

    async def entry_host(self) -> str:
        """Returns the host that does not dispatch the server, as its fragments tell."""
        for host in HOSTS:
            await self.exchange(host, os.urandom(MB))
            text = await self.metrics(host)
            if 'peer_fragments{kind="Dispatch"}' in text:
                return host
        raise LookupError("no host sent a fragmented request")

    async def metrics(self, host: str) -> str:
        """Returns the metrics of a host."""
        url = f"http://{self._metrics[host]}/metrics"

        def read() -> str:
            with urllib.request.urlopen(url, timeout=REQUEST_TIMEOUT_S) as answer:
                return answer.read().decode()

        return await asyncio.to_thread(read)

    async def exchange(self, host: str, body: bytes) -> Exchanged:
        """Sends a body to a host and compares the body of the answer."""
        pool = ConnectionPool(self._callers[host], len(body) + MB)
        rows = caller_headers(f"r-{next(self._request_ids)}", int(REQUEST_TIMEOUT_S * 1000), None)
        try:
            request = HttpRequest("PUT", "/orders/1", rows, body)
            answer = await pool.exchange(request, REQUEST_TIMEOUT_S, lambda: True)
        finally:
            pool.close()
        return Exchanged(answer.status, answer.body == body)

    async def exchange_at_once(self, host: str, size_bytes: int, count: int) -> list[Exchanged]:
        """Sends several bodies at once."""
        # Made before, since they take longer than a connection may take.
        bodies = [os.urandom(size_bytes) for _ in range(count)]
        return await asyncio.gather(*(self.exchange(host, body) for body in bodies))

    def is_running(self, host: str) -> bool:
        """Returns whether the process of a host runs."""
        return self._processes.is_running(host)

    def peak_mib(self, host: str) -> float:
        """Returns the highest resident memory of a host so far, or since ``reset_peaks``."""
        status = Path(f"/proc/{self._processes.pid(host)}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * KIB / MIB

    def reset_peaks(self) -> None:
        """Begins new measurements of the highest resident memory."""
        for host in HOSTS:
            Path(f"/proc/{self._processes.pid(host)}/clear_refs").write_text("5")

    async def _wait_until_served(self, host: str) -> None:
        status = 0
        while status != OK:
            await asyncio.sleep(RETRY_S)
            with contextlib.suppress(DispatchError):
                status = (await self.exchange(host, b"x")).status

    def _start_host(self, host: str) -> None:
        ports = (self._ports.take(), self._ports.take(), self._ports.take())
        metrics_port = self._ports.take()
        text = settings_text(host, ZONE, "127.0.0.1", ports, self._store.address, 4.0)
        path = self._processes.log_dir / f"{host}.conf"
        path.write_text(f"{text}self.limits.memoryMb={self._memory_mb}\n")
        self._callers[host] = f"127.0.0.1:{ports[0]}"
        self._metrics[host] = f"127.0.0.1:{metrics_port}"
        self._processes.start(
            ProcessSpec(
                host,
                "greengagefall.commands.gateway",
                ("--metrics-port", str(metrics_port)),
                ((SETTINGS_FILE_ENV_VAR, str(path)),),
            )
        )


async def _report() -> None:
    fleet = LargeMessageFleet()
    try:
        await fleet.start()
        entry = await fleet.entry_host()
        dispatcher = next(host for host in HOSTS if host != entry)
        print("MB  at once  statuses  wrong  peak MiB entry host  peak MiB dispatcher")
        for size_bytes in SIZES_BYTES:
            for count in (1, CONCURRENT):
                fleet.reset_peaks()
                outcomes = await fleet.exchange_at_once(entry, size_bytes, count)
                statuses = sorted(outcome.status for outcome in outcomes)
                wrong = sum(one.status == OK and not one.is_right for one in outcomes)
                peaks = [f"{fleet.peak_mib(host):.0f}" for host in (entry, dispatcher)]
                print(size_bytes // MB, count, statuses, wrong, *peaks, sep="  ", flush=True)
                await wait_until(lambda: False, 1.0)
    finally:
        await fleet.close()


if __name__ == "__main__":
    asyncio.run(_report())
