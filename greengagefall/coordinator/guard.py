"""Keeps a loop alive when one of its rounds fails unexpectedly."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Awaitable

log = logging.getLogger(__name__)


async def run_logging_errors(part: str, round_of_loop: Awaitable[None]) -> None:
    """Awaits one round; an error is logged and counted, and the loop goes on.

    Args:
        part: Name of the part, for the log and the counter.
        round_of_loop: The round.
    """
    try:
        await round_of_loop
    except Exception:
        count("coordinator_errors", part=part)
        log.exception("A round of %s failed.", part)
