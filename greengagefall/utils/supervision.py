"""Keeps tasks going after an error, or at least has them fail loudly."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

# Delay before a task that failed starts again.
RESTART_DELAY_S = 0.5


def _do_nothing() -> None:
    """Does nothing."""


def start_supervised(
    run: Callable[[], Awaitable[None]], name: str, on_failure: Callable[[], None] = _do_nothing
) -> asyncio.Task[None]:
    """Starts a task for as long as the host runs; after an error it is logged and starts again.

    Args:
        run: Does the work; it ends only by cancellation, by an error or once the work is done.
        name: Name of the task, for the log and the counter.
        on_failure: Called after each error, before the work starts again, to drop what may be
            incomplete.
    """
    return asyncio.create_task(_run_again(run, name, on_failure), name=name)


async def _run_again(
    run: Callable[[], Awaitable[None]], name: str, on_failure: Callable[[], None]
) -> None:
    while True:
        try:
            await run()
        except Exception:
            log.exception("A task failed; it starts again.", extra={"task": name})
            count("task_failures", task=name.partition(" ")[0])
        else:
            return
        on_failure()
        await asyncio.sleep(RESTART_DELAY_S)


def log_failure(task: asyncio.Task) -> None:
    """Logs the error of a task that ended; a callback for tasks that nobody awaits."""
    if task.cancelled() or task.exception() is None:
        return
    log.error("A task failed.", extra={"task": task.get_name()}, exc_info=task.exception())
    count("task_failures", task=task.get_name().partition(" ")[0])


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
