"""Keeps a loop running when one of its iterations fails unexpectedly."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Awaitable

log = logging.getLogger(__name__)


async def run_logging_errors(part: str, iteration: Awaitable[None]) -> None:
    """Awaits one iteration of a loop; logs and counts an error instead of raising it.

    Args:
        part: Name of the loop, for the log and the counter.
        iteration: The iteration to await.
    """
    try:
        await iteration
    except Exception:
        count("coordinator_errors", part=part)
        log.exception("An iteration of the %s loop failed. The loop continues.", part)
