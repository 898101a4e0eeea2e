"""What the checks of the oracle read and write."""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple


class Violation(NamedTuple):
    """Something that must never happen, with its facts."""

    check: str
    facts: dict[str, Any]


class CheckReport:
    """Counts of the checks made, and the violations found.

    Attributes:
        checks: Number of checks made, by name.
        violations: What was found.
    """

    def __init__(self) -> None:
        self.checks: Counter[str] = Counter()
        self.violations: list[Violation] = []

    def check(self, condition: bool, name: str, **facts: Any) -> None:
        """Counts a check, and a violation unless ``condition`` holds."""
        self.checks[name] += 1
        if not condition:
            self.violations.append(Violation(name, facts))

    def found(self) -> set[str]:
        """Returns the names of the checks that failed."""
        return {violation.check for violation in self.violations}


class VersionRow(NamedTuple):
    """A configuration version seen in force at a host."""

    host: str
    incarnation: str
    version: int
    at_s: float


class Bounds(NamedTuple):
    """Times within which the system has to react.

    Attributes:
        out_s: From taking a zone or server out until it gets no new work.
        cold_notice_s: From a cold start or its first refusal until its bound holds.
        cold_probe_s: Shortest time between attempts to learn whether a cold start that was
            not announced is over.
        spread_s: From accepting a configuration until it is in force.
    """

    out_s: float = 7.0
    cold_notice_s: float = 1.0
    cold_probe_s: float = 0.9
    spread_s: float = 7.0


class OutInterval(NamedTuple):
    """A time in which a server is to get no new work, in ``time.time()``.

    Attributes:
        server: The backend server.
        from_s: When this could be known everywhere.
        until_s: When it was taken back.
        why: ``zone_out`` or ``draining``.
    """

    server: str
    from_s: float
    until_s: float
    why: str


class AcceptedVersion(NamedTuple):
    """A configuration version and when it could be known everywhere."""

    version: int
    at_s: float
