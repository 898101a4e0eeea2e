"""Checks that a configuration can choose every policy and set every tuning parameter."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from greengagefall.balancing.ejection import EJECTIONS
from greengagefall.balancing.hedging import HEDGES
from greengagefall.balancing.pick import SERVER_PICKS
from greengagefall.balancing.placement import PLACEMENTS
from greengagefall.balancing.zone_moves import ZONE_MOVE_POLICIES
from greengagefall.limits.admission import QUEUES
from greengagefall.limits.concurrency import LIMITS
from greengagefall.routing.policy_names import POLICY_AREAS, TUNING_RANGES

REGISTRIES = {
    "limit": LIMITS,
    "queue": QUEUES,
    "pick": SERVER_PICKS,
    "placement": PLACEMENTS,
    "hedge": HEDGES,
    "ejection": EJECTIONS,
    "zone_move": ZONE_MOVE_POLICIES,
}
PACKAGE_DIR = Path(__file__).parent.parent
POLICY_PACKAGES = ("limits", "balancing")
# The entry host creates one instance for all back ends, so no back end can tune it.
HOST_WIDE_MODULES = ("caller_share.py",)
TUNING_READ = re.compile(r'tuning\.get\(\s*"(\w+)"')


def tuning_names_read() -> set[str]:
    """Returns the names of the tuning parameters that the policies' code reads."""
    sources = [
        path.read_text()
        for package in POLICY_PACKAGES
        for path in (PACKAGE_DIR / package).glob("*.py")
        if path.name not in HOST_WIDE_MODULES
    ]
    return {name for source in sources for name in TUNING_READ.findall(source)}


class PolicyNamesTests(unittest.TestCase):
    def test_every_policy_can_be_chosen(self):
        self.assertEqual(REGISTRIES.keys(), POLICY_AREAS.keys())
        for area, registry in REGISTRIES.items():
            self.assertEqual(sorted(POLICY_AREAS[area].names), list(registry.names()))
            self.assertIn(POLICY_AREAS[area].default, registry.names())

    def test_every_tuning_parameter_that_policies_read_can_be_set(self):
        self.assertEqual(tuning_names_read() - TUNING_RANGES.keys(), set())


if __name__ == "__main__":
    unittest.main()
