"""Checks of configuration versions: they never decrease and reach every host in time."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagefall.bench.oracle_records import AcceptedVersion, CheckReport, VersionRow

NO_VERSION = 0


def check_never_decreases(rows: Sequence[VersionRow], report: CheckReport) -> None:
    """Checks that the version never decreases within one incarnation of a host."""
    highest: dict[tuple[str, str], int] = {}
    for row in rows:
        process = (row.host, row.incarnation)
        before = highest.get(process, NO_VERSION)
        facts = {"host": row.host, "before": before, "now": row.version, "at_s": row.at_s}
        report.check(row.version >= before, "config_never_reverts", **facts)
        highest[process] = max(before, row.version)


def check_propagation(
    rows: Sequence[VersionRow],
    accepted: Sequence[AcceptedVersion],
    bound_s: float,
    report: CheckReport,
) -> None:
    """Checks that hosts use each accepted version or a newer one within ``bound_s``.

    A host incarnation is checked from ``bound_s`` after its first row.
    """
    by_time = sorted(accepted, key=lambda one: one.at_s)
    times_s = [one.at_s for one in by_time]
    highest = [NO_VERSION]
    for one in by_time:
        highest.append(max(highest[-1], one.version))
    first_seen_s: dict[tuple[str, str], float] = {}
    for row in rows:
        seen_s = first_seen_s.setdefault((row.host, row.incarnation), row.at_s)
        if row.at_s < seen_s + bound_s:
            continue
        expected = highest[bisect_right(times_s, row.at_s - bound_s)]
        facts = {"host": row.host, "has": row.version, "wanted": expected, "at_s": row.at_s}
        report.check(row.version >= expected, "config_in_force", **facts)
