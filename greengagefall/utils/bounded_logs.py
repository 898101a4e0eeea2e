"""Log lines on standard output that neither block nor grow without bound under load."""

from __future__ import annotations

import logging
import os
import time
from typing import TYPE_CHECKING

from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from logging import LogRecord

LINES_PER_S = 40.0
BURST_LINES = 200.0
# Warnings and errors have a share of their own, so that requests cannot crowd them out.
SEVERE_LINES_PER_S = 20.0


class LineBudget:
    """Lines that may be written, refilled with time.

    Args:
        rate_per_s: Lines a second in the long run.
        burst: Lines at once.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._lines = burst
        self._filled_s = time.monotonic()

    def take(self) -> bool:
        """Returns whether a line may be written now."""
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * self._rate_per_s
        self._lines = min(self._burst, self._lines + gained)
        self._filled_s = now_s
        if self._lines < 1.0:
            return False
        self._lines -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that is set not to block.

    Lines beyond the budget, and those that the descriptor does not take, are counted in
    ``log_lines_dropped``; the next line that is written tells their number.

    Args:
        descriptor: Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._usual = LineBudget(LINES_PER_S, BURST_LINES)
        self._severe = LineBudget(SEVERE_LINES_PER_S, BURST_LINES)
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        budget = self._severe if record.levelno >= logging.WARNING else self._usual
        if not budget.take():
            self._drop()
            return
        if self._dropped:
            record.dropped_before = self._dropped
        try:
            line = self.format(record) + "\n"
            os.write(self._descriptor, line.encode())
        except BlockingIOError:
            self._drop()
            return
        except Exception:
            self.handleError(record)
            return
        self._dropped = 0

    def _drop(self) -> None:
        self._dropped += 1
        count("log_lines_dropped")
