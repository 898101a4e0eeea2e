"""Commands for zones, backend servers and entry hosts; each one proposes one patch."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from greengagefall.routing.changes import (
    Change,
    apply_change,
    lost_host_change,
    server_change,
    zone_change,
)
from greengagefall.routing.model import (
    SERVER_ACTIVE,
    SERVER_DRAINING,
    ZONE_IN,
    ZONE_LOST,
    ZONE_OUT,
)

if TYPE_CHECKING:
    from greengagefall.commands.ctl_session import CtlSession

ZONE_HELP = "Evacuates availability zones and returns them to service."
ZONE_OUT_HELP = "Evacuates ZONE: it gets no new work and its slices move to other zones."
ZONE_IN_HELP = "Returns ZONE to service."
ZONE_LOST_HELP = """Declares ZONE lost: other zones take over its slices, even if unreleased.

Use it only if all backend servers of the zone have certainly stopped. If one is still running,
keys could get two owners.
"""
SERVER_HELP = "Drains backend servers and returns them to service."
DRAIN_HELP = "Drains SERVER of BACK_END: it finishes its requests and gets no new work."
UNDRAIN_HELP = "Returns SERVER of BACK_END to service: it gets work again."
HOST_HELP = "Attests facts about entry hosts that the system cannot prove."
HOST_LOST_HELP = """Attests that the process INCARNATION of entry host HOST has terminated.

Needed only if more than half of a witness group was lost at once. If the process is still
running, a backend server could get two dispatchers. The command `hosts` lists incarnations.
"""
YES_HELP = "Do not ask for confirmation."
ZONE_LOST_PROMPT = "Have all backend servers of the zone certainly stopped?"
HOST_LOST_PROMPT = "Has this process certainly ended?"


@click.group(help=ZONE_HELP)
def zone() -> None:
    """Groups the commands for availability zones."""


@zone.command("out", help=ZONE_OUT_HELP)
@click.argument("zone_name", metavar="ZONE")
@click.pass_obj
def zone_out(session: CtlSession, zone_name: str) -> None:
    """Evacuates a zone."""
    _change(session, zone_change(zone_name, ZONE_OUT), f"zone {zone_name} is out")


@zone.command("in", help=ZONE_IN_HELP)
@click.argument("zone_name", metavar="ZONE")
@click.pass_obj
def zone_in(session: CtlSession, zone_name: str) -> None:
    """Returns a zone to service."""
    _change(session, zone_change(zone_name, ZONE_IN), f"zone {zone_name} is in")


@zone.command("lost", help=ZONE_LOST_HELP)
@click.argument("zone_name", metavar="ZONE")
@click.confirmation_option(prompt=ZONE_LOST_PROMPT, help=YES_HELP)
@click.pass_obj
def zone_lost(session: CtlSession, zone_name: str) -> None:
    """Declares a zone lost."""
    _change(session, zone_change(zone_name, ZONE_LOST), f"zone {zone_name} is lost")


@click.group(help=SERVER_HELP)
def server() -> None:
    """Groups the commands for backend servers."""


@server.command(help=DRAIN_HELP)
@click.argument("back_end")
@click.argument("server_name", metavar="SERVER")
@click.pass_obj
def drain(session: CtlSession, back_end: str, server_name: str) -> None:
    """Drains a backend server."""
    change = server_change(back_end, server_name, SERVER_DRAINING)
    _change(session, change, f"server {back_end}/{server_name} drains")


@server.command(help=UNDRAIN_HELP)
@click.argument("back_end")
@click.argument("server_name", metavar="SERVER")
@click.pass_obj
def undrain(session: CtlSession, back_end: str, server_name: str) -> None:
    """Returns a backend server to service."""
    change = server_change(back_end, server_name, SERVER_ACTIVE)
    _change(session, change, f"server {back_end}/{server_name} is active")


@click.group(help=HOST_HELP)
def host() -> None:
    """Groups the commands for entry hosts."""


@host.command("lost", help=HOST_LOST_HELP)
@click.argument("host_name", metavar="HOST")
@click.argument("incarnation")
@click.confirmation_option(prompt=HOST_LOST_PROMPT, help=YES_HELP)
@click.pass_obj
def host_lost(session: CtlSession, host_name: str, incarnation: str) -> None:
    """Attests the loss of an entry host's process."""
    change = lost_host_change(host_name, incarnation)
    _change(session, change, f"host {host_name}/{incarnation} is attested lost")


def _change(session: CtlSession, change: Change, effect: str) -> None:
    config = session.with_store(lambda store: apply_change(store, change))
    session.print_version(config.version, config.patch_id, f"In version {config.version} {effect}.")
