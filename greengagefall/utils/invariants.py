"""Checks of invariants in the running program.

A violation is counted and logged with its details, and does not stop the process. The
tests and the soak test fail on any count above zero.
"""

from __future__ import annotations

import logging
from collections import Counter

from greengagefall.utils.metrics import count

log = logging.getLogger(__name__)

_violations: Counter[str] = Counter()


def check(condition: bool, name: str, **facts: object) -> bool:
    """Records a violation of the invariant ``name`` unless ``condition`` holds.

    Args:
        condition: What must be true.
        name: Name of the invariant, as listed in docs/INVARIANTS.md.
        **facts: Details that are logged with a violation.

    Returns:
        ``condition``, so that the caller can also skip the operation.
    """
    if condition:
        return True
    _violations[name] += 1
    count("invariant_violations", invariant=name)
    log.error("Invariant violated: %s. Facts: %s.", name, facts)
    return False


def violations() -> dict[str, int]:
    """Returns the number of violations since process start, by invariant."""
    return dict(_violations)


def reset_violations() -> None:
    """Resets all counts of violations; for tests."""
    _violations.clear()
