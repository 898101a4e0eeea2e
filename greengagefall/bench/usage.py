"""Reads the CPU time and memory of processes from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1024 * 1024
UTIME_FIELD = 11
STIME_FIELD = 12


class Usage(NamedTuple):
    """CPU time and memory of a process.

    Attributes:
        cpu_s: CPU time since the start of the process.
        resident_mib: Current resident memory.
    """

    cpu_s: float
    resident_mib: float


def usage_of(pid: int) -> Usage:
    """Returns the CPU time and memory of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[UTIME_FIELD]) + int(stat[STIME_FIELD])
    resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / TICKS_PER_S, resident_pages * PAGE_BYTES / MIB)
