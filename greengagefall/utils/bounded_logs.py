"""Log lines on standard output that neither block nor grow without bound under load."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING

from greengagefall.utils.clock import SystemClock
from greengagefall.utils.metrics import count
from greengagefall.utils.token_bucket import TokenBucket

if TYPE_CHECKING:
    from logging import LogRecord

LINES_PER_S = 40.0
BURST_LINES = 200.0
# Warnings and errors have a share of their own, so that requests cannot crowd them out.
WARNING_LINES_PER_S = 20.0


class RateLimitedHandler(logging.Handler):
    """Writes lines to a file descriptor that is set not to block.

    Lines beyond the budget, and those that the descriptor does not take, are counted in
    ``log_lines_dropped``; the next line that is written tells their number.

    Args:
        descriptor: Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        clock = SystemClock()
        self._usual = TokenBucket(LINES_PER_S, BURST_LINES, clock)
        self._severe = TokenBucket(WARNING_LINES_PER_S, BURST_LINES, clock)
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        budget = self._severe if record.levelno >= logging.WARNING else self._usual
        if not budget.try_take():
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
