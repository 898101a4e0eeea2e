"""Reads from the store's data file when configurations were accepted and what they excluded."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.bench.oracle_records import AcceptedVersion, OutInterval
from greengagefall.routing.model import SERVER_DRAINING, ZONE_IN

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from greengagefall.bench.server_logs import ServerInfo

CONFIG_PREFIX = "config/"

REASON_ZONE_OUT = "zone_out"
REASON_DRAINING = "draining"

# Faults during which hosts cannot read a new configuration.
PROPAGATION_FAULTS = (
    "store_outage",
    "store_slow",
    "kill_store",
    "cut_zones",
    "cut_all_zones",
    "cut_host",
)

FaultRow = tuple[float, float, str, str]


class ConfigurationRow(NamedTuple):
    """A configuration document and when the store accepted it, in ``time.time()``."""

    version: int
    at_s: float
    document: dict[str, Any]


def read_configurations(data_file: str | Path) -> list[ConfigurationRow]:
    """Returns the configurations in the data file of the key-value service stand-in."""
    rows = []
    for line in Path(data_file).read_bytes().splitlines():
        try:
            written = json.loads(line)
        except ValueError:
            continue
        for kind, key, value, *_ in written.get("events", []):
            name = base64.b64decode(key).decode()
            if kind == "PUT" and name.startswith(CONFIG_PREFIX):
                document = json.loads(base64.b64decode(value))
                version = int(name.removeprefix(CONFIG_PREFIX))
                rows.append(ConfigurationRow(version, written["at_s"], document))
    return rows


def readable_everywhere_s(at_s: float, faults: Iterable[FaultRow], bound_s: float) -> float:
    """Returns the time from which every host can read what was written at ``at_s``.

    A fault that blocks the propagation moves that time to the fault's end if it starts within
    ``bound_s`` after it.
    """
    for started_s, ended_s, kind, _ in sorted(faults):
        if kind in PROPAGATION_FAULTS and started_s < at_s + bound_s and ended_s > at_s:
            at_s = ended_s
    return at_s


def accepted_versions(
    rows: Iterable[ConfigurationRow], faults: Sequence[FaultRow], bound_s: float
) -> list[AcceptedVersion]:
    """Returns the versions with the time from which every host can read them."""
    return [
        AcceptedVersion(row.version, readable_everywhere_s(row.at_s, faults, bound_s))
        for row in rows
    ]


def out_intervals(
    rows: Iterable[ConfigurationRow],
    servers: Sequence[ServerInfo],
    faults: Sequence[FaultRow],
    bound_s: float,
) -> list[OutInterval]:
    """Returns the intervals in which servers must get no new requests.

    Intervals that end within ``bound_s`` of their start are excluded.
    """
    outs: list[OutInterval] = []
    since: dict[str, tuple[float, str]] = {}
    for row in rows:
        for server in servers:
            reason = _exclusion_reason(row.document, server)
            if reason and server.name not in since:
                since[server.name] = row.at_s, reason
            if not reason and server.name in since:
                outs.append(_interval(server.name, since.pop(server.name), row.at_s))
    outs += [_interval(name, start, float("inf")) for name, start in since.items()]
    adjusted = [
        out._replace(from_s=readable_everywhere_s(out.from_s, faults, bound_s)) for out in outs
    ]
    return [out for out in adjusted if out.from_s + bound_s < out.until_s]


def _interval(server: str, start: tuple[float, str], until_s: float) -> OutInterval:
    from_s, reason = start
    return OutInterval(server, from_s, until_s, reason)


def _exclusion_reason(document: dict[str, Any], server: ServerInfo) -> str:
    zone = document.get("zones", {}).get(server.zone, {})
    if zone.get("state", ZONE_IN) != ZONE_IN:
        return REASON_ZONE_OUT
    back_end = document.get("back_ends", {}).get(server.back_end, {})
    row = back_end.get("servers", {}).get(server.name, {})
    return REASON_DRAINING if row.get("state") == SERVER_DRAINING else ""
