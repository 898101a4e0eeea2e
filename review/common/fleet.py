"""Runs gateway processes on loopback, as the deploy file starts them."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from common.client import HOST_NAME
from common.server import HEARTBEAT_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "-m", "greengagefall.commands.gateway"]
ZONES = ("north-a", "north-b", "north-c")
MEMORY_MB = 235
READY_TIMEOUT_S = 25.0
GRACE_S = 6.0
# Below the range from which the system takes ports of outgoing connections.
PORTS = range(12_000, 30_000)
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def trouble() -> bool:
    """Returns whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Ports:
    """Free ports of this run's own loopback network."""

    def __init__(self) -> None:
        chooser = random.SystemRandom()
        self._network = f"127.{chooser.randrange(16, 250)}.{chooser.randrange(1, 250)}"
        self._next = chooser.choice(PORTS)
        self._hosts = 0

    def ip(self) -> str:
        """Returns a loopback address of its own."""
        self._hosts += 1
        return f"{self._network}.{self._hosts}"

    def port(self, ip: str) -> int:
        """Returns a port that is free on an address."""
        while True:
            self._next = PORTS.start + (self._next + 1 - PORTS.start) % len(PORTS)
            with socket.socket() as sock:
                try:
                    sock.bind((ip, self._next))
                except OSError:
                    continue
                return self._next


class Gateway(NamedTuple):
    """One machine of the system."""

    name: str
    frontend: str
    readiness: str
    settings: Path
    log: Path


class Fleet:
    """The gateway processes of a small deployment."""

    def __init__(self, ports: Ports, store_address: str, count: int) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[str, subprocess.Popen] = {}
        self.gateways = [self._prepare(ports, store_address, number) for number in range(count)]

    @property
    def frontends(self) -> list[str]:
        """Addresses for clients."""
        return [gateway.frontend for gateway in self.gateways]

    def start(self, gateway: Gateway) -> None:
        """Starts the process of a machine."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GREENGAGEFALL_NODE_FILE"] = str(gateway.settings)
        with gateway.log.open("ab") as log:
            self._processes[gateway.name] = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def pid(self, gateway: Gateway) -> int:
        """Returns the process id of a machine's process."""
        return self._processes[gateway.name].pid

    def running(self, gateway: Gateway) -> bool:
        """Returns whether the process of a machine runs."""
        return self._processes[gateway.name].poll() is None

    async def kill(self, gateway: Gateway) -> None:
        """Kills the process of a machine."""
        process = self._processes[gateway.name]
        process.send_signal(signal.SIGKILL)
        await asyncio.to_thread(process.wait)

    def send(self, gateway: Gateway, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        self._processes[gateway.name].send_signal(number)

    async def wait_ready(self) -> None:
        """Waits until all machines are ready.

        Raises:
            TimeoutError: One is not ready in time.
        """
        for gateway in self.gateways:
            await wait_for(lambda gateway=gateway: is_ready(gateway), READY_TIMEOUT_S)

    async def close(self) -> None:
        """Ends all processes and removes their folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await asyncio.to_thread(process.wait)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _prepare(self, ports: Ports, store_address: str, number: int) -> Gateway:
        ip = ports.ip()
        zone = ZONES[number % len(ZONES)]
        name = f"edge-{zone}-{number}"
        frontend, readiness = f"{ip}:{ports.port(ip)}", f"{ip}:{ports.port(ip)}"
        peer = ports.port(ip)
        path = self._folder / f"{name}.conf"
        fields = {
            "grants": "call",
            "self.nodeName": name,
            "self.role": "gateway",
            "self.machineClass": "edge",
            "self.serves": "edge",
            "self.ip": ip,
            "self.zone": zone,
            "self.region": "north",
            "self.bootstrap": "true",
            "self.limits.cpuShare": "0.645",
            "self.limits.cpuCores": "1",
            "self.limits.memoryMb": str(MEMORY_MB),
            "self.limits.maxFds": "3075",
            "network.listen.frontend": frontend,
            "network.listen.readiness": readiness,
            "network.portRange": f"{peer},{peer}",
            "platform.discovery": "platform",
            "platform.ingress": "vip",
            "platform.heartbeatS": str(HEARTBEAT_S),
            "platform.platform.address": store_address,
            "platform.platform.form": "kv",
            "platform.platform.writesPerS": "400",
            "platform.platform.readsPerS": "2000",
            "platform.platform.retentionS": "20",
            "platform.platform.valueBytes": "1048576",
            "platform.platform.ttlMinS": "1",
            "terms.bounds.stableS": "3",
            "terms.bounds.drainTimeoutS": "2",
            "terms.bounds.gracePeriodS": str(GRACE_S),
            "terms.bounds.configApplyS": "2",
            "terms.bounds.retryRatio": "0.2",
            "terms.bounds.budgetWindowS": "10",
            "terms.bounds.budgetExtra": "64",
            "terms.bounds.warmupFactor": "1.5",
            "terms.bounds.warmupSlack": "5",
            "terms.bounds.evacuateS": "5",
            "terms.bounds.recoveryS": "15",
            "terms.bounds.holdMaxS": "10",
            "terms.bounds.thawSlackS": "0.3",
        }
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        return Gateway(name, frontend, readiness, path, self._folder / f"{name}.log")


async def is_ready(gateway: Gateway) -> bool:
    """Asks the readiness address, as the platform does."""
    host, _, port = gateway.readiness.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /greengagefall/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


async def wait_for(condition: Any, timeout_s: float) -> None:
    """Waits until an asynchronous condition holds.

    Raises:
        TimeoutError: It does not hold in time.
    """
    end_s = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"not so after {timeout_s} s")
        await asyncio.sleep(0.1)


def config(version: int, rules: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration with the services ``proofdesk`` (keyed) and ``benchline``."""
    service = {
        "healthCheck": "/health",
        "maxConnections": 130,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "coldPerS": 8.2,
    }
    return {
        "version": f"{version:08x}",
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "listeners": [{"hostname": HOST_NAME, "routingRules": rules}],
        "clusters": [
            {"name": "proofdesk", **service, "shardEnabled": True, "warmS": 5.0, "grants": "call"},
            {"name": "benchline", **service},
        ],
    }


def rule(name: str, kind: str, service: str, timeout_s: float) -> dict[str, Any]:
    """Returns a routing rule whose prefix is its name."""
    return {
        "name": name,
        "kind": kind,
        "latencyGoalS": 0.6,
        "priority": 1,
        "match": {"prefix": f"/{name}/"},
        "action": {"service": service, "timeoutS": timeout_s, "attempts": 2},
    }


class Record:
    """The record of a run, ``record.txt`` beside the script."""

    def __init__(self, folder: Path) -> None:
        self._started_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def line(self, text: str, at_s: float | None = None) -> None:
        """Adds a line with its time, and prints it."""
        at_s = time.monotonic() if at_s is None else at_s
        self._file.write(f"{at_s - self._started_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.line(text)
        print(text, file=sys.stderr)

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


def run(folder: Path, play: Callable[[Record], Awaitable[int]]) -> int:
    """Plays a case and returns its exit code; a case that fails itself counts as not run."""
    record = Record(folder)
    try:
        return asyncio.run(play(record))
    except Exception:
        record.say(traceback.format_exc())
        return EXIT_NOT_RUN
    finally:
        record.close()
