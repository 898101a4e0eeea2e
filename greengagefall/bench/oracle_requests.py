"""Checks of requests: run counts, truth of refusals, answers, work at servers that are out."""

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

REPEATABLE_METHODS = ("GET", "HEAD")
NOT_STARTED = (OUTCOME_NOT_RUN, OUTCOME_PENDING)

RunsById = dict[str, list[tuple[str, "RequestRecord"]]]


def check_run_counts(
    logs: Sequence[ServerLog], rows: Sequence[CallRow], report: CheckReport
) -> None:
    """Checks that requests that may not be repeated ran at most once."""
    runs = _runs_by_id(logs)
    for row in rows:
        if row.method not in REPEATABLE_METHODS:
            found = runs.get(row.request_id, [])
            report.check(len(found) <= 1, "at_most_once", row=_facts(row), runs=found)


def check_not_run(logs: Sequence[ServerLog], rows: Sequence[CallRow], report: CheckReport) -> None:
    """Checks that requests ran nowhere whose callers were told so."""
    runs = _runs_by_id(logs)
    for row in rows:
        if row.not_run:
            found = runs.get(row.request_id, [])
            report.check(not found, "not_run_true", row=_facts(row), runs=found)


def check_answers(logs: Sequence[ServerLog], rows: Sequence[CallRow], report: CheckReport) -> None:
    """Checks that answers are whole, belong to their request, and that it ran."""
    runs = _runs_by_id(logs)
    for row in rows:
        if not 200 <= row.status < 300:
            continue
        own = row.body_request_id == row.request_id
        report.check(own, "own_answer", row=_facts(row))
        found = runs.get(row.request_id, [])
        complete = any(record["outcome"] == OUTCOME_RUN for _, record in found)
        report.check(complete, "answered_ran", row=_facts(row), runs=found)


def check_out(
    logs: Sequence[ServerLog],
    outs: Sequence[OutInterval],
    bound_s: float,
    report: CheckReport,
) -> None:
    """Checks that no work starts at a server that has been out for longer than the bound."""
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


def _runs_by_id(logs: Sequence[ServerLog]) -> RunsById:
    runs: RunsById = defaultdict(list)
    for log in logs:
        for request in log.requests:
            if request["outcome"] not in NOT_STARTED:
                runs[request["request_id"]].append((log.info.name, request))
    return runs


def _facts(row: CallRow) -> dict:
    return row._asdict() if hasattr(row, "_asdict") else vars(row)
