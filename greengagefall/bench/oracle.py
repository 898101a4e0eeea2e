"""Oracle: pure functions that find violations in the records of stand-ins and callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.bench import oracle_cold, oracle_owners, oracle_requests, oracle_versions
from greengagefall.bench.oracle_records import CheckReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.bench.caller import CallRow
    from greengagefall.bench.oracle_records import (
        AcceptedVersion,
        Bounds,
        OutInterval,
        VersionRow,
    )
    from greengagefall.bench.server_logs import ServerLog


def check_all(
    logs: Sequence[ServerLog],
    rows: Sequence[CallRow],
    outs: Sequence[OutInterval],
    versions: Sequence[VersionRow],
    accepted: Sequence[AcceptedVersion],
    bounds: Bounds,
) -> CheckReport:
    """Runs every check.

    Args:
        logs: Records of each backend server.
        rows: Outcome of each request as its caller saw it.
        outs: Intervals in which servers must get no new requests.
        versions: Configuration versions that hosts reported, in order for each host.
        accepted: Configuration versions that the store accepted.
        bounds: Time bounds of the system's reactions.
    """
    report = CheckReport()
    oracle_owners.check_grants(logs, report)
    oracle_owners.check_dispatch_fences(logs, report)
    oracle_owners.check_sole_dispatcher(logs, report)
    oracle_owners.check_slice_executions(logs, report)
    oracle_requests.check_execution_counts(logs, rows, report)
    oracle_requests.check_not_run(logs, rows, report)
    oracle_requests.check_answers(logs, rows, report)
    oracle_requests.check_excluded_servers(logs, outs, bounds.out_s, report)
    oracle_cold.check_announced(logs, bounds.cold_notice_s, report)
    oracle_cold.check_unannounced(logs, bounds.cold_notice_s, bounds.cold_probe_s, report)
    oracle_versions.check_never_decreases(versions, report)
    oracle_versions.check_propagation(versions, accepted, bounds.propagation_s, report)
    return report
