"""Two gateway processes with lowered limits, for the tests of crowds of clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import time
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.bench.processes import PortBlock, ProcessGroup, ProcessSpec
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import AnswerLostError, NotSentError
from greengagefall.ownership.model import LAST_KEY
from greengagefall.platform.settings import SETTINGS_FILE_ENV_VAR
from greengagefall.standins.platform_documents import caller_headers, routing, rule, settings_text
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PROGRAM = "greengagefall.commands.gateway"
ZONE = "north-a"
HOSTS = ("edge-0", "edge-1")
BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1024
# Lowered limits of each host, which are at the same time the bounds that the tests check.
MEMORY_MB = 100
MAX_DESCRIPTORS = 400
# 200 descriptors are for files, as on the platform.
DESCRIPTORS_BOUND = 300
MAX_BODY_BYTES = 4_000_000
ANSWER_BYTES = 4_000_000
IDLE_TIMEOUT_S = 15
HEADER_TIMEOUT_S = 5
SHUTDOWN_GRACE_S = 4.0
START_TIMEOUT_S = 30.0
# The crowd stays for this long before the ordinary request is sent beside it.
CROWD_S = 6.0
SAMPLE_INTERVAL_S = 0.05
ORDINARY_TRIES = 30
ORDINARY_TIMEOUT_S = 3.0
ORDINARY_DEADLINE_MS = 2000
ORDINARY_PAUSE_S = 0.5
ANSWER_LIMIT_BYTES = 8_000_000
OK = 200
REPORT_ENV_VAR = "GREENGAGEFALL_CROWD_REPORT"


class Usage(NamedTuple):
    """What a process used at most.

    Attributes:
        peak_bytes: Highest resident memory.
        descriptors: Most open descriptors that were sampled.
        cpu_s: Processor time.
    """

    peak_bytes: int
    descriptors: int
    cpu_s: float


def read_usage(pid: int) -> Usage:
    """Returns the usage of a running process so far, with its open descriptors now."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    peak_kib = next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))
    times = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    cpu_s = (int(times[11]) + int(times[12])) / os.sysconf("SC_CLK_TCK")
    descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    return Usage(int(peak_kib) * BYTES_PER_KIB, descriptors, cpu_s)


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts two hosts, store and backend servers; runs a crowd against the first host."""

    hosts = HOSTS
    memory_mb = MEMORY_MB
    max_body_bytes = MAX_BODY_BYTES

    async def asyncSetUp(self):
        self.processes = ProcessGroup()
        self.ports = PortBlock()
        self.ports.start()
        self.addCleanup(self.ports.close)
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        await self.store.put_json("op/config", self.configuration())
        self.servers = [
            PlatformServerStandIn("p0", "proofdesk", ZONE, keyed=True),
            PlatformServerStandIn("b0", "benchline", ZONE, keyed=False),
        ]
        self.servers[1].answer_bytes = self.pooled_answer_bytes()
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
            await self.store.put_json(f"servers/{server.server_id}", server.entry())
        self.callers = {}
        self.usage = {}
        for host in self.hosts:
            self.start_host(host)
        # Cleanups run in reverse order: processes end before the store and the servers.
        self.addAsyncCleanup(asyncio.to_thread, self.processes.close)
        self.assertTrue(await wait_until(self.all_keys_held, START_TIMEOUT_S))
        self.assertEqual(await self.ordinary_status(), OK)

    def pooled_answer_bytes(self):
        return 0

    def configuration(self):
        rules = [
            rule("drafts", "/drafts/", "proofdesk", kind="safe", attempts=2),
            rule("orders", "/orders/", "benchline", kind="safe", timeout_s=10.0),
        ]
        document = routing(1, rules=rules)
        document["limits"] = {
            "maxHeaderBytes": 65_536,
            "maxBodyBytes": self.max_body_bytes,
            "idleTimeoutS": IDLE_TIMEOUT_S,
            "headerTimeoutS": HEADER_TIMEOUT_S,
        }
        return document

    def start_host(self, host):
        ports = (self.ports.take(), self.ports.take(), self.ports.take())
        text = settings_text(host, ZONE, "127.0.0.1", ports, self.store.address, SHUTDOWN_GRACE_S)
        text += f"self.limits.memoryMb={self.memory_mb}\nself.limits.maxFds={MAX_DESCRIPTORS}\n"
        path = self.processes.log_dir / f"{host}.conf"
        path.write_text(text)
        self.callers[host] = f"127.0.0.1:{ports[0]}"
        environment = ((SETTINGS_FILE_ENV_VAR, str(path)),)
        self.processes.start(ProcessSpec(host, PROGRAM, ("--metrics-port", "0"), environment))
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.processes.pid(host), resource.RLIMIT_NOFILE, limits)

    def all_keys_held(self):
        server = self.servers[0]
        return server.holds(0) and server.holds(LAST_KEY)

    async def ordinary_status(self):
        """Returns the status of an ordinary request, 0 if no try got an answer with 200."""
        status = 0
        for number in range(ORDINARY_TRIES):
            pool = ConnectionPool(self.callers[self.hosts[0]], ANSWER_LIMIT_BYTES)
            rows = caller_headers(f"ordinary-{number}", ORDINARY_DEADLINE_MS, key=1)
            request = HttpRequest("GET", "/drafts/1", rows, b"")
            try:
                answer = await pool.exchange(request, ORDINARY_TIMEOUT_S, lambda: True)
                status = answer.status
            except (AnswerLostError, NotSentError):
                status = 0
            finally:
                pool.close()
            if status == OK:
                return status
            await asyncio.sleep(ORDINARY_PAUSE_S)
        return status

    async def check_crowd(self, clients: list[Callable[[str], Awaitable[None]]]):
        """Runs the clients of a crowd at once and checks that the hosts bear it.

        Args:
            clients: What each client does at an address until it is cancelled or ends.
        """
        sampling = asyncio.create_task(self.sample())
        address = self.callers[self.hosts[0]]
        crowd = [asyncio.create_task(self.run_client(client, address)) for client in clients]
        await asyncio.sleep(CROWD_S)
        beside = await self.ordinary_status()
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        afterwards = await self.ordinary_status()
        sampling.cancel()
        self.report(beside, afterwards)
        for host in self.hosts:
            with self.subTest(host=host):
                self.assertTrue(self.processes.is_running(host), f"{host} has ended")
                usage = self.usage[host]
                self.assertLess(usage.peak_bytes, self.memory_mb * BYTES_PER_MB)
                self.assertLess(usage.descriptors, DESCRIPTORS_BOUND)
        self.assertEqual((beside, afterwards), (OK, OK))

    async def run_client(self, client, address):
        with contextlib.suppress(OSError):
            await client(address)

    async def sample(self):
        """Records the usage of the hosts until it is cancelled."""
        while True:
            for host in self.hosts:
                with contextlib.suppress(OSError, StopIteration):
                    now = read_usage(self.processes.pid(host))
                    before = self.usage.get(host, now)
                    most = max(before.descriptors, now.descriptors)
                    self.usage[host] = now._replace(descriptors=most)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def report(self, beside, afterwards):
        """Appends what was measured to the file that an environment variable names."""
        path = os.environ.get(REPORT_ENV_VAR)
        if not path:
            return
        line = {
            "test": self.id().rpartition(".")[2],
            "at": time.strftime("%H:%M:%S"),
            "beside": beside,
            "afterwards": afterwards,
            **{
                host: {
                    "running": self.processes.is_running(host),
                    "peak_mb": round(usage.peak_bytes / BYTES_PER_MB, 1),
                    "descriptors": usage.descriptors,
                    "cpu_s": usage.cpu_s,
                }
                for host, usage in self.usage.items()
            },
        }
        with Path(path).open("a", encoding="utf-8") as report:
            report.write(json.dumps(line) + "\n")
