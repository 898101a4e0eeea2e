"""The program ``greengagefallctl``: the command line for operators."""

from __future__ import annotations

import logging
from typing import Any

import click

from greengagefall.commands.ctl_changes import host, server, zone
from greengagefall.commands.ctl_config import config
from greengagefall.commands.ctl_session import Connections, CtlSession
from greengagefall.commands.ctl_views import hosts, slices, status, why
from greengagefall.commands.exit_codes import MEANINGS
from greengagefall.config.command import make_settings, settings_options
from greengagefall.config.ctl import CtlSettings

HELP = """Shows the state of greengagefall and changes its configuration.

`status`, `slices` and `why` need --entry, `config check` needs neither; all other commands need
--store.
"""
EPILOG = "Exit codes: " + "; ".join(f"{code} {text}" for code, text in MEANINGS.items()) + "."


@click.group(help=HELP, epilog=EPILOG, context_settings={"max_content_width": 100})
@settings_options(CtlSettings)
@click.pass_context
def main(context: click.Context, **values: Any) -> None:
    """Validates the settings and creates the session that the commands share."""
    logging.getLogger("greengagefall").setLevel(logging.ERROR)
    connections = context.obj or Connections()
    context.obj = CtlSession(make_settings(CtlSettings, values), connections)


for command in (config, zone, server, host, hosts, status, slices, why):
    main.add_command(command)

if __name__ == "__main__":
    main()
