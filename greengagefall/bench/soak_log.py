"""What a soak records beside the callers' rows."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import Counter

    from greengagefall.bench.oracle_records import VersionRow


class SoakLog(NamedTuple):
    """What a soak recorded beside the callers' rows.

    Attributes:
        faults: Wall clock of begin and end, kind and target of each fault.
        versions: Configuration versions in force over time.
        violations: Violations reported by the processes themselves, by name.
    """

    faults: list[tuple[float, float, str, str]]
    versions: list[VersionRow]
    violations: Counter[str]
