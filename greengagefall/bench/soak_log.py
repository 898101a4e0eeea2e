"""Records of a soak other than the callers' rows."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import Counter

    from greengagefall.bench.oracle_records import VersionRow


class SoakLog(NamedTuple):
    """Records of a soak other than the callers' rows.

    Attributes:
        faults: Wall-clock start and end, kind and target of each fault.
        versions: Configuration versions that the hosts reported over time.
        violations: Number of violations that the processes themselves report, by name and host.
    """

    faults: list[tuple[float, float, str, str]]
    versions: list[VersionRow]
    violations: Counter[str]
