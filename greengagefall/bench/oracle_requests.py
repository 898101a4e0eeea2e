"""Checks of requests: execution counts, refusals, answers, and requests at excluded servers."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from greengagefall.standins.backend_records import (
    OUTCOME_NOT_RUN,
    OUTCOME_PENDING,
    OUTCOME_RUN,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.bench.caller import CallRow
    from greengagefall.bench.oracle_records import CheckReport, OutInterval
    from greengagefall.bench.server_logs import ServerLog
    from greengagefall.standins.backend_records import RequestRecord

IDEMPOTENT_METHODS = ("GET", "HEAD")
NOT_STARTED = (OUTCOME_NOT_RUN, OUTCOME_PENDING)

ExecutionsById = dict[str, list[tuple[str, "RequestRecord"]]]


def check_execution_counts(
    logs: Sequence[ServerLog], rows: Sequence[CallRow], report: CheckReport
) -> None:
    """Checks that requests that are not idempotent were executed at most once."""
    executions = _executions_by_id(logs)
    for row in rows:
        if row.method not in IDEMPOTENT_METHODS:
            found = executions.get(row.request_id, [])
            report.check(len(found) <= 1, "at_most_once", row=_facts(row), runs=found)


def check_not_run(logs: Sequence[ServerLog], rows: Sequence[CallRow], report: CheckReport) -> None:
    """Checks that requests that their callers count as not executed were not executed."""
    executions = _executions_by_id(logs)
    for row in rows:
        if row.not_run:
            found = executions.get(row.request_id, [])
            report.check(not found, "not_run_true", row=_facts(row), runs=found)


def check_answers(logs: Sequence[ServerLog], rows: Sequence[CallRow], report: CheckReport) -> None:
    """Checks that each answer belongs to its request and is complete.

    The request must also have been executed to its end by a server.
    """
    executions = _executions_by_id(logs)
    for row in rows:
        if not 200 <= row.status < 300:
            continue
        belongs = row.body_request_id == row.request_id
        report.check(belongs, "own_answer", row=_facts(row))
        found = executions.get(row.request_id, [])
        complete = any(record["outcome"] == OUTCOME_RUN for _, record in found)
        report.check(complete, "answered_ran", row=_facts(row), runs=found)


def check_excluded_servers(
    logs: Sequence[ServerLog],
    outs: Sequence[OutInterval],
    bound_s: float,
    report: CheckReport,
) -> None:
    """Checks that draining servers and servers in evacuated zones get no new requests.

    Requests may still arrive in the first ``bound_s`` of each interval.
    """
    by_name = {log.info.name: log for log in logs}
    for out in outs:
        log = by_name[out.server]
        from_s = out.from_s + bound_s
        late = [
            request
            for request in log.requests
            if request["outcome"] not in NOT_STARTED and from_s < request["arrived_s"] < out.until_s
        ]
        report.check(not late, "no_work_when_out", out=out._asdict(), first=late[:1], all=len(late))


def _executions_by_id(logs: Sequence[ServerLog]) -> ExecutionsById:
    executions: ExecutionsById = defaultdict(list)
    for log in logs:
        for request in log.requests:
            if request["outcome"] not in NOT_STARTED:
                executions[request["request_id"]].append((log.info.name, request))
    return executions


def _facts(row: CallRow) -> dict:
    return row._asdict() if hasattr(row, "_asdict") else vars(row)
