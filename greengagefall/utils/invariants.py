"""Invariants asserted inside the running program.

A violation is counted, logged with its facts, and never stops the process: the
tests and the soak fail on any count above zero.
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
        **facts: What to log with a violation.

    Returns:
        ``condition``, so that the caller can also refuse the step.
    """
    if condition:
        return True
    _violations[name] += 1
    count("invariant_violations", invariant=name)
    log.error("Invariant violated: %s. Facts: %s.", name, facts)
    return False


def violations() -> dict[str, int]:
    """Returns the number of violations by invariant since start."""
    return dict(_violations)


def reset_violations() -> None:
    """Forgets all violations; for tests."""
    _violations.clear()
