"""The program ``greengagefall-coordinator``: one per entry host, one active per zone."""

from __future__ import annotations

import asyncio
import signal

from greengagefall.config.command import settings_command
from greengagefall.config.coordinator import CoordinatorSettings
from greengagefall.coordinator.process import CoordinatorProcess
from greengagefall.utils.logs import setup_logging

HELP = """Runs a coordinator. One of each availability zone is active, by a lease in the platform's
key-value service: it writes the zone's members and slice maps and passes on what the store holds.
The others wait, without a call to the store, until it falls silent.

SIGTERM gives the lease back and stops. Exit codes: 0 stopped, 1 failed, 2 wrong settings.
"""


async def serve(settings: CoordinatorSettings) -> None:
    """Runs the coordinator until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    process = CoordinatorProcess(settings)
    await process.start()
    await stop.wait()
    await process.close()


def run(settings: CoordinatorSettings) -> int:
    """Runs the program and returns its exit code."""
    setup_logging(settings.log_level, host=settings.host, zone=settings.zone)
    asyncio.run(serve(settings))
    return 0


main = settings_command(CoordinatorSettings, run, HELP)

if __name__ == "__main__":
    main()
