"""Collects the records of a soak and passes them to the oracle."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.bench.configuration_log import (
    accepted_versions,
    out_intervals,
    read_configurations,
)
from greengagefall.bench.oracle import check_all
from greengagefall.bench.oracle_records import Bounds, CheckReport
from greengagefall.bench.server_logs import ServerInfo, read_journal, server_log

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.bench.caller import CallRow
    from greengagefall.bench.fleet import Fleet
    from greengagefall.bench.soak_log import SoakLog


STORE_DATA_FILE = "store.data"


def check_run(
    fleet: Fleet, rows: Sequence[CallRow], log: SoakLog, bounds: Bounds | None = None
) -> CheckReport:
    """Checks the records of a soak after its end.

    Args:
        fleet: The fleet; its log folder contains the journals of the stand-ins.
        rows: Outcome of each request as its caller saw it.
        log: Faults and versions over time.
        bounds: Time bounds of the system's reactions.
    """
    bounds = bounds or Bounds()
    checks = {back_end.name: back_end.checks_orders for back_end in fleet.spec.back_ends}
    servers = [
        ServerInfo(server.name, server.back_end, server.zone, checks[server.back_end])
        for server in fleet.servers.values()
    ]
    folder = fleet.processes.log_dir
    logs = [
        server_log(server, read_journal(folder / f"{server.name}.journal")) for server in servers
    ]
    configurations = read_configurations(folder / STORE_DATA_FILE)
    return check_all(
        logs,
        rows,
        out_intervals(configurations, servers, log.faults, bounds.out_s),
        log.versions,
        accepted_versions(configurations, log.faults, bounds.propagation_s),
        bounds,
    )
