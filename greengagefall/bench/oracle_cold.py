"""Checks that servers in cold start get no more requests than they have cold slots."""

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
    """Checks the request limit of announced cold starts, from ``notice_s`` after their start.

    For a keyed server that checks grants, the limit applies from the start of its process,
    because the dispatcher must call the server before it may send requests.
    """
    for log, cold in _cold_starts(logs, announced=True):
        keyed = any(request["slice"] >= 0 for request in log.requests)
        limited_at_start = cold["at_start"] and keyed and log.info.checks_orders
        from_s = cold["from_s"] if limited_at_start else cold["from_s"] + notice_s
        for request in _requests_during(log, cold, from_s):
            holds = request["in_flight"] < cold["cold_slots"]
            report.check(holds, "cold_bound", server=log.info.name, cold=cold, request=request)


def check_unannounced(
    logs: Sequence[ServerLog], notice_s: float, probe_s: float, report: CheckReport
) -> None:
    """Checks the request limit of unannounced cold starts, from ``notice_s`` after a refusal.

    The first refusal reveals such a cold start. A dispatcher can find out that it is over only
    by sending one request more than the limit. One such probe is allowed, and probes may be
    refused at most once every ``probe_s``.
    """
    for log, cold in _cold_starts(logs, announced=False):
        if not cold["refused_s"]:
            continue
        name = log.info.name
        requests = _requests_during(log, cold, cold["refused_s"] + notice_s)
        for request in requests:
            holds = request["in_flight"] <= cold["cold_slots"]
            report.check(holds, "cold_bound", server=name, cold=cold, request=request)
        refused = [request for request in requests if request["reason"] == REASON_COLD]
        for before, request in pairwise([None, *refused]):
            spaced = before is None or request["arrived_s"] >= before["arrived_s"] + probe_s
            report.check(spaced, "cold_probe", server=name, before=before, request=request)


def _cold_starts(
    logs: Sequence[ServerLog], *, announced: bool
) -> Iterable[tuple[ServerLog, ColdRecord]]:
    return (
        (log, cold) for log in logs for cold in log.cold_starts if cold["announced"] == announced
    )


def _requests_during(log: ServerLog, cold: ColdRecord, from_s: float) -> list[RequestRecord]:
    """Returns the requests after ``from_s`` that were executed, or refused as ``cold``."""
    return [
        request
        for request in log.requests
        if from_s < request["arrived_s"] < cold["until_s"]
        and request["incarnation"] == cold["incarnation"]
        and (request["outcome"] != OUTCOME_NOT_RUN or request["reason"] == REASON_COLD)
    ]
