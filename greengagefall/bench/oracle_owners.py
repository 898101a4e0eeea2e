"""Checks of ownership: a slice has one owner at a time, and fencing tokens never decrease."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.standins.backend_records import OUTCOME_NOT_RUN, OUTCOME_PENDING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from greengagefall.bench.oracle_records import CheckReport
    from greengagefall.bench.server_logs import ServerLog

# Covers the rounding of grants to milliseconds and of the offset to wall-clock time.
TOLERANCE_S = 0.003


class Span(NamedTuple):
    """A period in which a server held a slice or executed a request for it."""

    from_s: float
    until_s: float
    server: str
    incarnation: str
    fence: int
    request_id: str


SliceSpans = dict[tuple[str, int], list[Span]]


def check_grants(logs: Sequence[ServerLog], report: CheckReport) -> None:
    """Checks that no two servers hold a slice at once and that its fences never decrease."""
    for (back_end, slice_id), spans in _held_spans(logs).items():
        _check_disjoint("one_owner", back_end, slice_id, spans, report)
        _check_fences("fence_monotone", back_end, slice_id, spans, report)


def check_slice_executions(logs: Sequence[ServerLog], report: CheckReport) -> None:
    """Checks the execution of requests for each slice.

    No two servers may execute requests for a slice at once, and fences never decrease.
    """
    spans: SliceSpans = defaultdict(list)
    for log in logs:
        if not log.info.checks_orders:
            continue
        for request in log.requests:
            if request["slice"] < 0 or request["outcome"] in (OUTCOME_NOT_RUN, OUTCOME_PENDING):
                continue
            span = Span(
                request["started_s"],
                max(request["started_s"], request["ended_s"]),
                log.info.name,
                request["incarnation"],
                request["slice_fence"],
                request["request_id"],
            )
            spans[log.info.back_end, request["slice"]].append(span)
    for (back_end, slice_id), executed in spans.items():
        _check_disjoint("one_runner", back_end, slice_id, executed, report)
        _check_fences("run_fence_monotone", back_end, slice_id, executed, report)


def check_sole_dispatcher(logs: Sequence[ServerLog], report: CheckReport) -> None:
    """Checks that requests of two dispatchers never alternate at a server.

    This also covers servers that do not check fences.
    """
    for log in logs:
        highest: dict[str, int] = {}
        for request in log.requests:
            if request["outcome"] in (OUTCOME_NOT_RUN, OUTCOME_PENDING):
                continue
            before = highest.get(request["incarnation"], 0)
            fence = request["dispatch_fence"]
            report.check(
                fence >= before,
                "sole_dispatcher",
                server=log.info.name,
                before=before,
                request=request,
            )
            highest[request["incarnation"]] = max(before, fence)


def check_dispatch_fences(logs: Sequence[ServerLog], report: CheckReport) -> None:
    """Checks that a server incarnation never gets a grant with a lower dispatch fence."""
    for log in logs:
        highest: dict[str, int] = {}
        for grant in log.grants:
            before = highest.get(grant["incarnation"], 0)
            report.check(
                grant["fence"] >= before,
                "dispatch_fence_monotone",
                server=log.info.name,
                before=before,
                grant=grant,
            )
            highest[grant["incarnation"]] = max(before, grant["fence"])


def _held_spans(logs: Iterable[ServerLog]) -> SliceSpans:
    spans: SliceSpans = defaultdict(list)
    for log in logs:
        for grant in log.grants:
            if grant["until_s"] <= grant["from_s"]:
                continue
            for first, last, fence in grant["runs"]:
                span = Span(
                    grant["from_s"],
                    grant["until_s"],
                    log.info.name,
                    grant["incarnation"],
                    fence,
                    "",
                )
                for slice_id in range(first, last + 1):
                    _append_merged(spans[log.info.back_end, slice_id], span)
    return spans


def _append_merged(spans: list[Span], span: Span) -> None:
    """Appends a span, or extends the last one if the span continues it."""
    last = spans[-1] if spans else None
    if last is not None and last[2:] == span[2:] and span.from_s <= last.until_s + TOLERANCE_S:
        spans[-1] = last._replace(until_s=max(last.until_s, span.until_s))
    else:
        spans.append(span)


def _check_disjoint(
    name: str, back_end: str, slice_id: int, spans: list[Span], report: CheckReport
) -> None:
    """Checks that spans of different servers do not overlap."""
    latest: dict[str, Span] = {}
    for span in sorted(spans):
        overlapping = [
            other
            for other in latest.values()
            if other.server != span.server and other.until_s > span.from_s + TOLERANCE_S
        ]
        facts = [other._asdict() for other in (*overlapping, span)]
        report.check(not overlapping, name, back_end=back_end, slice=slice_id, spans=facts)
        last = latest.get(span.server)
        if last is None or span.until_s > last.until_s:
            latest[span.server] = span


def _check_fences(
    name: str, back_end: str, slice_id: int, spans: list[Span], report: CheckReport
) -> None:
    """Checks that fences never decrease and that no two servers have the same one."""
    highest: Span | None = None
    for span in sorted(spans):
        if highest is not None:
            same = span.fence == highest.fence
            holds = span.fence > highest.fence or (same and span.server == highest.server)
            facts = [highest._asdict(), span._asdict()]
            report.check(holds, name, back_end=back_end, slice=slice_id, spans=facts)
        if highest is None or span.fence > highest.fence:
            highest = span
