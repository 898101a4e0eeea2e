"""Processor time and memory of processes, from the system's process table."""

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
    """What a process has used.

    Attributes:
        cpu_s: Processor time since its start.
        resident_mib: Resident memory now.
    """

    cpu_s: float
    resident_mib: float


def usage_of(pid: int) -> Usage:
    """Returns what the process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[UTIME_FIELD]) + int(stat[STIME_FIELD])
    resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / TICKS_PER_S, resident_pages * PAGE_BYTES / MIB)
