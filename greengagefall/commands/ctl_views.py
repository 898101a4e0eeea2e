"""Commands that show the state of the system."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click
from result import Err, Ok, Result

from greengagefall.commands import exit_codes
from greengagefall.commands.output import print_json, print_rows, render_table
from greengagefall.coordination.epochs import members_record_from_json
from greengagefall.coordination.model import SLICE_RELEASING
from greengagefall.coordinator.keys import ZONES_PREFIX, zone_of_members_key
from greengagefall.routing.exceptions import ConfigRecordError, RegistryUnavailableError

if TYPE_CHECKING:
    from greengagefall.commands.ctl_session import CtlSession
    from greengagefall.coordination.model import MembersRecord
    from greengagefall.store.model import Store

STATUS_HELP = """Shows entry hosts and the backend servers that they dispatch.

Queries each --entry. The exit code is 1 if one of them does not answer or reports a violated
invariant.
"""
SLICES_HELP = "Shows how many slices of each keyed back end each backend server owns."
RUNS_HELP = "List each slice range."
WHY_HELP = "Explains where requests for KEY of BACK_END are sent, or why they are refused."
HOSTS_HELP = "Lists the entry hosts in the members records of the store."

HOST_HEADERS = ("Address", "Host", "Zone", "Ready", "Epoch", "Config", "Violations")
SERVER_HEADERS = ("Server", "Dispatcher", "State", "Limit", "In flight", "Busy")
HOST_FIELDS = ("host", "zone", "ready", "epoch", "config_version")
SERVER_FIELDS = ("server", "dispatcher", "state", "limit", "in_flight", "busy")
RANGE_HEADERS = ("Back end", "First", "Last", "State", "Owner", "Fence", "Home zone")
OWNER_HEADERS = ("Back end", "Owner", "Slices", "Releasing")
MEMBER_HEADERS = ("Host", "Incarnation", "Zone", "Epoch", "Address", "Resigned")


Answers = list[tuple[str, Result[Any, Exception]]]


@click.command(help=STATUS_HELP)
@click.pass_obj
def status(session: CtlSession) -> None:
    """Shows hosts and servers."""
    answers = session.fetch_all("status")
    if session.settings.json:
        print_json({address: _answer_or_error(answer) for address, answer in answers})
    else:
        _print_status(answers)
    healthy = all(
        isinstance(page, Ok) and not page.ok_value.get("violations") for _, page in answers
    )
    sys.exit(exit_codes.OK if healthy else exit_codes.REFUSED)


@click.command(help=SLICES_HELP)
@click.argument("back_end", required=False)
@click.option("--runs", is_flag=True, help=RUNS_HELP)
@click.pass_obj
def slices(session: CtlSession, back_end: str | None, runs: bool) -> None:
    """Shows slice maps."""
    maps = session.fetch_first("slices")
    if back_end is not None:
        maps = {name: slice_map for name, slice_map in maps.items() if name == back_end}
    rows = [(name, *slice_range) for name in sorted(maps) for slice_range in maps[name]["runs"]]
    if runs:
        print_rows(session.settings.json, RANGE_HEADERS, rows)
        return
    print_rows(session.settings.json, OWNER_HEADERS, _slices_by_owner(rows))


@click.command(help=WHY_HELP)
@click.argument("back_end")
@click.argument("key")
@click.pass_obj
def why(session: CtlSession, back_end: str, key: str) -> None:
    """Explains where requests for a key are sent."""
    explained = session.fetch_first("why", back_end=back_end, key=key)
    if explained.get("owner"):
        _add_dispatchers(explained, session.fetch_all("status"))
    if session.settings.json:
        print_json(explained)
        return
    print_rows(False, ("Fact", "Value"), [(name, _as_text(explained[name])) for name in explained])


@click.command(help=HOSTS_HELP)
@click.pass_obj
def hosts(session: CtlSession) -> None:
    """Lists entry hosts."""
    rows = [
        (
            member.host,
            member.incarnation,
            record.zone,
            record.epoch,
            member.address,
            member.resigned,
        )
        for record in session.with_store(_load_members)
        for member in record.members
    ]
    print_rows(session.settings.json, MEMBER_HEADERS, rows)


def _answer_or_error(answer: Result[Any, Exception]) -> Any:
    return answer.ok_value if isinstance(answer, Ok) else {"error": str(answer.err_value)}


def _print_status(answers: Answers) -> None:
    host_rows: list[tuple[object, ...]] = []
    server_rows: list[tuple[object, ...]] = []
    for address, answer in answers:
        if isinstance(answer, Err):
            host_rows.append((address, "no answer", "", "", "", "", ""))
            click.echo(f"Error: {answer.err_value}", err=True)
            continue
        host_rows.append((address, *_host_cells(answer.ok_value)))
        server_rows.extend(_server_cells(row) for row in answer.ok_value.get("servers", []))
    click.echo(render_table(HOST_HEADERS, host_rows))
    click.echo()
    click.echo(render_table(SERVER_HEADERS, sorted(server_rows)))


def _host_cells(page: dict[str, Any]) -> tuple[object, ...]:
    cells = [page.get(field, "?") for field in HOST_FIELDS]
    return (*cells, sum(page.get("violations", {}).values()))


def _server_cells(row: dict[str, Any]) -> tuple[object, ...]:
    return tuple(row.get(field, "?") for field in SERVER_FIELDS)


def _slices_by_owner(rows: list[tuple[Any, ...]]) -> list[tuple[object, ...]]:
    owned: dict[tuple[str, str], list[int]] = {}
    for back_end, first, last, state, owner, *_ in rows:
        counts = owned.setdefault((back_end, owner or "(none)"), [0, 0])
        counts[0] += last - first + 1
        counts[1] += last - first + 1 if state == SLICE_RELEASING else 0
    return [(*key, *counts) for key, counts in sorted(owned.items())]


def _add_dispatchers(explained: dict[str, Any], answers: Answers) -> None:
    """Adds the dispatchers and the health of a key's owner, as the answering hosts report them."""
    server_key = f"{explained['back_end']}/{explained['owner']}"
    rows = [
        row
        for _, answer in answers
        if isinstance(answer, Ok)
        for row in answer.ok_value.get("servers", [])
        if row.get("server") == server_key
    ]
    explained["held_by"] = [row.get("dispatcher", "?") for row in rows]
    explained["server_health"] = ", ".join(row.get("state", "?") for row in rows)
    if not rows and not explained.get("why"):
        explained["why"] = "no host that answered holds its dispatch right"


def _as_text(value: Any) -> str:
    text = ", ".join(value) if isinstance(value, list) else str(value)
    return text or "-"


async def _load_members(store: Store) -> Result[list[MembersRecord], Exception]:
    found = await store.range(ZONES_PREFIX)
    if isinstance(found, Err):
        return Err(RegistryUnavailableError(str(found.err_value)))
    records = []
    for key_value in found.ok_value[0]:
        if zone_of_members_key(key_value.key) is None:
            continue
        parsed = members_record_from_json(key_value.value)
        if isinstance(parsed, Err):
            return Err(ConfigRecordError(key_value.key, str(parsed.err_value)))
        records.append(parsed.ok_value)
    return Ok(records)
