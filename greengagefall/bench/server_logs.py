"""Reads the records of the backend server stand-ins for the oracle."""

from __future__ import annotations

import itertools
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from greengagefall.standins.backend_records import (
        ColdRecord,
        GrantRecord,
        RequestRecord,
        StartRecord,
    )


class ServerInfo(NamedTuple):
    """A backend server as the fleet configures it.

    Attributes:
        name: Name of the server.
        back_end: Name of its back end.
        zone: Name of its availability zone.
        checks_orders: Whether the server checks grants and fences.
    """

    name: str
    back_end: str
    zone: str
    checks_orders: bool


class ServerLog(NamedTuple):
    """All records of one backend server, across its restarts.

    Attributes:
        info: The server.
        starts: Starts of its process, in order of time.
        requests: Requests in order of arrival.
        grants: Grants in order of time; the next start of the process ends each.
        cold_starts: Cold starts in order of time.
    """

    info: ServerInfo
    starts: list[StartRecord]
    requests: list[RequestRecord]
    grants: list[GrantRecord]
    cold_starts: list[ColdRecord]


def read_journal(path: str | Path) -> dict[str, list[Any]]:
    """Returns the last state of each record in a journal, by kind and in order.

    Lines that are no valid JSON are skipped: a kill can truncate the last line.
    """
    latest: dict[str, dict[tuple, Any]] = {}
    for line in Path(path).read_bytes().splitlines():
        try:
            row = json.loads(line)
        except ValueError:
            continue
        record = row["record"]
        latest.setdefault(row["kind"], {})[_identity(row["kind"], record)] = record
    return {kind: list(records.values()) for kind, records in latest.items()}


def server_log(info: ServerInfo, records: dict[str, list[Any]]) -> ServerLog:
    """Returns the log of a server from its records by kind."""
    starts = sorted(records.get("start", []), key=lambda start: start["at_s"])
    return ServerLog(
        info,
        starts,
        sorted(records.get("request", []), key=lambda request: request["arrived_s"]),
        _end_grants(sorted(records.get("grant", []), key=lambda g: g["from_s"]), starts),
        sorted(records.get("cold", []), key=lambda cold: cold["from_s"]),
    )


def _identity(kind: str, record: Any) -> tuple:
    if kind == "start":
        return (record["incarnation"],)
    if kind == "request":
        return record["incarnation"], record["request_id"], record["arrived_s"]
    return record["incarnation"], record["from_s"]


def _end_grants(grants: list[GrantRecord], starts: list[StartRecord]) -> list[GrantRecord]:
    """Returns the grants, each ended at the latest by the next start of the server's process."""
    next_start_s = {
        start["incarnation"]: later["at_s"] for start, later in itertools.pairwise(starts)
    }
    ended = []
    for grant in grants:
        end_s = next_start_s.get(grant["incarnation"], float("inf"))
        ended.append({**grant, "until_s": min(grant["until_s"], end_s)})
    return ended
