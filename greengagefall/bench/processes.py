"""Starts and stops the processes of a demo, soak or measurement."""

from __future__ import annotations

import contextlib
import itertools
import math
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 10.0
PORTS = range(12_000, 32_000)
PORTS_PER_BLOCK = 200
# Columns of /proc/net/tcp.
LOCAL_ADDRESS_COLUMN = 1
INODE_COLUMN = 9


class ProcessSpec(NamedTuple):
    """How to start a process.

    Attributes:
        name: Unique name; also names its log file.
        module: Python module that the process runs.
        arguments: Command line arguments of the module.
        environment: Names and values of added environment variables.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    environment: tuple[tuple[str, str], ...] = ()


_remaining_ports: list[int] = []


def free_addresses(count: int) -> list[str]:
    """Returns ``count`` loopback addresses whose ports are free now.

    The ports lie below the range from which the system allocates ports of outgoing
    connections, so that a restarted process can bind its port again. A process gets no port
    twice, since it may not have bound the first ones yet.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        if not _remaining_ports:
            _remaining_ports.extend(random.SystemRandom().sample(PORTS, len(PORTS)))
        port = _remaining_ports.pop()
        if _is_free(port):
            addresses.append(f"{LOOPBACK}:{port}")
    return addresses


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class PortBlock:
    """A block of ports that no other ``PortBlock`` uses while this one is open.

    The first port of the block stays bound, so that concurrent runs never share a block.
    """

    def __init__(self) -> None:
        self._guard = socket.socket()
        self._ports: list[int] = []

    def start(self) -> None:
        """Reserves a block by binding its first port.

        Raises:
            OSError: No block is free.
        """
        for first_port in random.SystemRandom().sample(
            PORTS[::PORTS_PER_BLOCK], len(PORTS[::PORTS_PER_BLOCK])
        ):
            try:
                self._guard.bind((LOOPBACK, first_port))
            except OSError:
                continue
            self._ports = list(range(first_port + 1, first_port + PORTS_PER_BLOCK))
            return
        raise OSError(f"no block of {PORTS_PER_BLOCK} ports is free in {PORTS}")

    def close(self) -> None:
        """Releases the block."""
        self._guard.close()

    def take(self) -> int:
        """Returns a port of the block that is free now and was not returned before."""
        while True:
            port = self._ports.pop(0)
            if _is_free(port):
                return port


class ProcessGroup:
    """A group of processes; signals go only to processes that the group started.

    Attributes:
        log_dir: Folder with one log file per process.
    """

    def __init__(self) -> None:
        self.log_dir = Path(tempfile.mkdtemp(prefix="greengagefall-"))
        self._specs: dict[str, ProcessSpec] = {}
        self._running: dict[str, subprocess.Popen] = {}
        self._paused: set[str] = set()
        self._resumed_s: dict[str, float] = {}

    def start(self, spec: ProcessSpec) -> None:
        """Starts a process; an earlier process of the same name must have ended."""
        self._specs[spec.name] = spec
        with (self.log_dir / f"{spec.name}.log").open("ab") as log_file:
            self._running[spec.name] = subprocess.Popen(
                [sys.executable, "-m", spec.module, *spec.arguments],
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, "PYTHONPATH": os.getcwd(), **dict(spec.environment)},
            )

    def restart(self, name: str) -> None:
        """Restarts a process that has ended, with the same arguments."""
        self.start(self._specs[name])

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self._running[name]
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspends a process."""
        self._paused.add(name)
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        self._paused.discard(name)
        self._resumed_s[name] = time.monotonic()
        self._running[name].send_signal(signal.SIGCONT)

    def stop(self, name: str) -> int:
        """Terminates a process gracefully and returns its exit code."""
        process = self._running[name]
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def terminate(self, name: str) -> None:
        """Requests a graceful termination without waiting for it."""
        self._running[name].terminate()

    def reload(self, name: str) -> None:
        """Has a process read its settings again."""
        self._running[name].send_signal(signal.SIGHUP)

    def ran_since(self, name: str, since_s: float) -> bool:
        """Returns whether a process was not suspended since a time of ``time.monotonic()``."""
        return name not in self._paused and self._resumed_s.get(name, -math.inf) < since_s

    def is_running(self, name: str) -> bool:
        """Returns whether the process has not ended."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._running[name].pid

    def ports(self, names: Iterable[str]) -> set[int]:
        """Returns the local ports of the open TCP sockets of running processes."""
        inodes = set()
        for entry in itertools.chain(
            *(Path(f"/proc/{self.pid(name)}/fd").iterdir() for name in names)
        ):
            # The process may close files meanwhile.
            with contextlib.suppress(FileNotFoundError):
                inodes.add(entry.readlink().name.removeprefix("socket:").strip("[]"))
        rows = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
        columns = [row.split() for row in rows]
        return {
            int(row[LOCAL_ADDRESS_COLUMN].partition(":")[2], 16)
            for row in columns
            if row[INODE_COLUMN] in inodes
        }

    def names(self) -> list[str]:
        """Returns the names of all processes started."""
        return list(self._specs)

    def close(self) -> None:
        """Terminates all processes; kills those that do not end within ``STOP_TIMEOUT_S``."""
        running = [process for process in self._running.values() if process.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in running:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
