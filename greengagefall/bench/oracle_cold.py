"""Checks that servers in cold start get no more than they bear."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from greengagefall.standins.backend_records import OUTCOME_NOT_RUN

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from greengagefall.bench.oracle_records import CheckReport
    from greengagefall.bench.server_logs import ServerLog
    from greengagefall.standins.backend_records import ColdRecord, RequestRecord

REASON_COLD = "cold"


def check_announced(logs: Sequence[ServerLog], notice_s: float, report: CheckReport) -> None:
    """Checks the bound of cold starts that the server tells of, from a notice on.

    There is no notice after the start of a process that checks its orders, as its
    dispatcher has to ask it before it may send anything.
    """
    for log, cold in _colds(logs, announced=True):
        keyed = any(request["slice"] >= 0 for request in log.requests)
        told = cold["at_start"] and keyed and log.info.checks_orders
        from_s = cold["from_s"] if told else cold["from_s"] + notice_s
        for request in _work_in(log, cold, from_s):
            holds = request["in_flight"] < cold["cold_slots"]
            report.check(holds, "cold_bound", server=log.info.name, cold=cold, request=request)


def check_unannounced(
    logs: Sequence[ServerLog], notice_s: float, probe_s: float, report: CheckReport
) -> None:
    """Checks the bound of cold starts that show only by refusals, from the first one on.

    Nothing tells when such a cold start is over but to try one request more. That one
    request is allowed, and is to be refused no more often than each ``probe_s``.
    """
    for log, cold in _colds(logs, announced=False):
        if not cold["refused_s"]:
            continue
        name = log.info.name
        requests = _work_in(log, cold, cold["refused_s"] + notice_s)
        for request in requests:
            holds = request["in_flight"] <= cold["cold_slots"]
            report.check(holds, "cold_bound", server=name, cold=cold, request=request)
        refused = [request for request in requests if request["reason"] == REASON_COLD]
        for before, request in pairwise([None, *refused]):
            rare = before is None or request["arrived_s"] >= before["arrived_s"] + probe_s
            report.check(rare, "cold_probe", server=name, before=before, request=request)


def _colds(logs: Sequence[ServerLog], *, announced: bool) -> Iterable[tuple[ServerLog, ColdRecord]]:
    return ((log, cold) for log in logs for cold in log.colds if cold["announced"] == announced)


def _work_in(log: ServerLog, cold: ColdRecord, from_s: float) -> list[RequestRecord]:
    """Returns the requests of a cold start that ran, or that it refused for being cold."""
    return [
        request
        for request in log.requests
        if from_s < request["arrived_s"] < cold["until_s"]
        and request["incarnation"] == cold["incarnation"]
        and (request["outcome"] != OUTCOME_NOT_RUN or request["reason"] == REASON_COLD)
    ]
