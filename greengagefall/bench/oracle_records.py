"""Input and report types of the oracle's checks."""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple


class Violation(NamedTuple):
    """A failed check with the facts that it compared."""

    check: str
    facts: dict[str, Any]


class CheckReport:
    """Counts checks and collects violations.

    Attributes:
        checks: Number of checks by name.
        violations: Violations in the order in which they were found.
    """

    def __init__(self) -> None:
        self.checks: Counter[str] = Counter()
        self.violations: list[Violation] = []

    def check(self, condition: bool, name: str, **facts: Any) -> None:
        """Counts a check and records a violation unless ``condition`` holds."""
        self.checks[name] += 1
        if not condition:
            self.violations.append(Violation(name, facts))

    def found(self) -> set[str]:
        """Returns the names of the checks that failed."""
        return {violation.check for violation in self.violations}


class VersionRow(NamedTuple):
    """A configuration version that a host used at a wall-clock time."""

    host: str
    incarnation: str
    version: int
    at_s: float


class Bounds(NamedTuple):
    """Time bounds of the system's reactions, in seconds.

    Attributes:
        out_s: Maximum time from evacuating a zone or draining a server until no new requests go
            to the server.
        cold_notice_s: Maximum time from a cold start or its first refusal until its request
            limit is kept.
        cold_probe_s: Minimum time between refused probes that find out whether an unannounced
            cold start is over.
        propagation_s: Maximum time from accepting a configuration until every host uses it.
    """

    out_s: float = 7.0
    cold_notice_s: float = 1.0
    cold_probe_s: float = 0.9
    propagation_s: float = 7.0


class OutInterval(NamedTuple):
    """An interval of ``time.time()`` in which a server must get no new requests.

    Attributes:
        server: Name of the backend server.
        from_s: When every host could have read the configuration that starts the interval.
        until_s: When a configuration ended it, infinity if none did.
        why: ``zone_out`` or ``draining``.
    """

    server: str
    from_s: float
    until_s: float
    why: str


class AcceptedVersion(NamedTuple):
    """A configuration version and when every host could have read it."""

    version: int
    at_s: float
