"""The program ``greengagefall-coordinator``: one runs per entry host, one is active per zone."""

from __future__ import annotations

import asyncio
import signal

from greengagefall.config.command import settings_command
from greengagefall.config.coordinator import CoordinatorSettings
from greengagefall.coordinator.process import CoordinatorProcess
from greengagefall.utils.logs import setup_logging

HELP = """Runs a coordinator. In each availability zone one coordinator is active. It holds a lease
in the platform's key-value service, writes the zone's members and slice maps, and distributes the
contents of the store. The others are on standby and make no calls to the store until the active
coordinator stops sending messages.

SIGTERM releases the lease and stops the coordinator. Exit codes: 0 stopped, 1 failed, 2 invalid
settings.
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
