"""Rate-limited log output that never blocks the process."""

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
# Warnings and errors have a separate budget, so that the log lines of requests cannot use it up.
WARNING_LINES_PER_S = 20.0


class RateLimitedHandler(logging.Handler):
    """Writes log lines to a file descriptor in non-blocking mode.

    Lines beyond the budget and lines that would block are dropped and counted in
    ``log_lines_dropped``. The next line that is written has their number in ``dropped_before``.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        clock = SystemClock()
        self._info_budget = TokenBucket(LINES_PER_S, BURST_LINES, clock)
        self._warning_budget = TokenBucket(WARNING_LINES_PER_S, BURST_LINES, clock)
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Writes the record as a line, or drops and counts it."""
        budget = self._warning_budget if record.levelno >= logging.WARNING else self._info_budget
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
