"""Starts and ends the processes of a demo, soak or measurement."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 10.0
PORTS = range(12_000, 32_000)
BLOCK_PORTS = 200


class ProcessSpec(NamedTuple):
    """How to start a process.

    Attributes:
        name: Unique name; also names its log file.
        module: Python module that is run.
        arguments: Its command line arguments.
        environment: Names and values of variables that are added.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    environment: tuple[tuple[str, str], ...] = ()


def free_addresses(number: int) -> list[str]:
    """Returns ``number`` loopback addresses whose ports are free now.

    They lie below the range out of which the system draws ports of outgoing connections,
    so that a process which is started again later finds its port free.
    """
    addresses: list[str] = []
    ports = random.SystemRandom().sample(PORTS, len(PORTS))
    while len(addresses) < number:
        port = ports.pop()
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
    """A block of ports that other blocks do not draw from while this one is open.

    Its first port is kept bound, so that two runs at a time never share a block.
    """

    def __init__(self) -> None:
        self._guard = socket.socket()
        self._ports: list[int] = []

    def start(self) -> None:
        """Takes a block of which no other run has the first port."""
        for first in random.SystemRandom().sample(PORTS[::BLOCK_PORTS], len(PORTS[::BLOCK_PORTS])):
            try:
                self._guard.bind((LOOPBACK, first))
            except OSError:
                continue
            self._ports = list(range(first + 1, first + BLOCK_PORTS))
            return
        raise OSError("no block of ports is free")

    def close(self) -> None:
        """Gives the block back."""
        self._guard.close()

    def take(self) -> int:
        """Returns a port of the block that is free now and was not taken before."""
        while True:
            port = self._ports.pop(0)
            if _is_free(port):
                return port


class ProcessGroup:
    """Processes started here; only these are ever signalled.

    Attributes:
        log_dir: Folder with one log file per process.
    """

    def __init__(self) -> None:
        self.log_dir = Path(tempfile.mkdtemp(prefix="greengagefall-"))
        self._specs: dict[str, ProcessSpec] = {}
        self._running: dict[str, subprocess.Popen] = {}

    def start(self, spec: ProcessSpec) -> None:
        """Starts a process, or starts it again after its end."""
        self._specs[spec.name] = spec
        with (self.log_dir / f"{spec.name}.log").open("ab") as log_file:
            self._running[spec.name] = subprocess.Popen(
                [sys.executable, "-m", spec.module, *spec.arguments],
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, "PYTHONPATH": os.getcwd(), **dict(spec.environment)},
            )

    def restart(self, name: str) -> None:
        """Starts a process that has ended once more, with the same arguments."""
        self.start(self._specs[name])

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        process = self._running[name]
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Stops a process without ending it."""
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a paused process go on."""
        self._running[name].send_signal(signal.SIGCONT)

    def stop(self, name: str) -> int:
        """Ends a process as planned and returns its exit code."""
        process = self._running[name]
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def terminate(self, name: str) -> None:
        """Asks a process to stop as planned, without waiting for it."""
        self._running[name].terminate()

    def is_running(self, name: str) -> bool:
        """Returns whether the process has not ended."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._running[name].pid

    def names(self) -> list[str]:
        """Returns the names of all processes started."""
        return list(self._specs)

    def close(self) -> None:
        """Ends all processes: as planned first, at once if they do not end."""
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
