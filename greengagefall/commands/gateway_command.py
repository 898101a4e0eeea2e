"""Command of ``greengagefall-gateway``: an entry host with the platform's settings and store."""

from __future__ import annotations

import asyncio
import signal
import sys

from greengagefall.config.command import settings_command
from greengagefall.config.gateway import GatewaySettings
from greengagefall.gateway.host import GatewayHost
from greengagefall.gateway.settings_watch import SettingsWatch
from greengagefall.platform.exceptions import PlatformSettingsError
from greengagefall.platform.settings import read_platform_settings, settings_path
from greengagefall.utils.logs import setup_gateway_logging

HELP = """Runs an entry host. It reads the platform's settings file, serves callers, dispatches
backend servers and takes part in the election of the coordinator. The environment variable
GREENGAGEFALL_NODE_FILE names the settings file.

SIGTERM shuts it down gracefully. Exit codes: 0 stopped, 2 invalid settings.
"""
EXIT_INVALID_SETTINGS = 2


async def serve(host: GatewayHost) -> None:
    """Runs the entry host until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    stop = asyncio.Event()
    settings = SettingsWatch(settings_path(), host.view)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings.reload)
    settings.start()
    await host.start()
    await stop.wait()
    settings.close()
    await host.close()


def run(settings: GatewaySettings) -> int:
    """Runs the program and returns its exit code."""
    setup_gateway_logging(settings.log_level)
    try:
        platform = read_platform_settings(settings_path())
    except PlatformSettingsError as error:
        print(f"greengagefall-gateway: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    setup_gateway_logging(settings.log_level, host=platform.host, zone=platform.zone)

    async def main_task() -> None:
        await serve(GatewayHost(platform, settings.metrics_port))

    asyncio.run(main_task())
    return 0


command = settings_command(GatewaySettings, run, HELP)
