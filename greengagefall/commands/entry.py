"""The program ``greengagefall-entry``: an entry host."""

from __future__ import annotations

import asyncio
import signal

from greengagefall.config.command import settings_command
from greengagefall.config.entry import EntrySettings
from greengagefall.entry.host import EntryHost
from greengagefall.utils.logs import setup_logging

HELP = """Runs an entry host: accepts requests of callers over HTTP, forwards them to the dispatcher
of the backend server that owns their key, and dispatches the backend servers whose dispatch right
it holds.

SIGTERM shuts it down gracefully: requests in flight are finished within --drain-timeout-s. Exit
codes: 0 stopped, 1 failed, 2 invalid settings.
"""


async def serve(settings: EntrySettings) -> None:
    """Runs the entry host until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    host = EntryHost(settings)
    await host.start()
    await stop.wait()
    await host.stop()


def run(settings: EntrySettings) -> int:
    """Runs the program and returns its exit code."""
    setup_logging(settings.log_level, host=settings.host, zone=settings.zone)
    asyncio.run(serve(settings))
    return 0


main = settings_command(EntrySettings, run, HELP)

if __name__ == "__main__":
    main()
