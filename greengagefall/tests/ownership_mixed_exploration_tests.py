"""Injects every kind of fault into the simulation of key ownership in the same run.

The other explorations take a few kinds each; here kinds overlap that none of them joins.
"""

from __future__ import annotations

import logging
import unittest
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.tests.ownership_exploration_tests import FAULTS_PER_S, explore
from greengagefall.tests.ownership_faults import FAULTS, UNLISTED_BEHIND_HOLD

if TYPE_CHECKING:
    from collections.abc import Iterable


class Mix(NamedTuple):
    """Kinds of faults that occur in one run, and how often.

    Attributes:
        kinds: Names of the kinds; those that occur several times are chosen more often.
        faults_per_s: Mean rate of faults.
    """

    kinds: tuple[str, ...]
    faults_per_s: float


# The last one has tests of its own.
EVERY_KIND = tuple(kind for kind in FAULTS.names() if kind != UNLISTED_BEHIND_HOLD)
CUTS_AND_RESTARTS = (
    *("zone", "zone", "restored", "kill_all", "hosts_without_servers", "unseen_restart"),
    *("held_up", "killed_behind_hold", "late_messages"),
)
ALL = Mix(EVERY_KIND, FAULTS_PER_S)
DENSE = Mix(EVERY_KIND, 1.2)
CUTS = Mix((*EVERY_KIND, *CUTS_AND_RESTARTS * 2), 0.7)
ALL_SEED_COUNT = 100
DENSE_SEED_COUNT = 50
CUTS_SEED_COUNT = 50
# Seeds in which keys that still moved were granted again under a former dispatcher's fence.
MOVE_TAKEOVER_SEEDS = (
    (ALL, (6065,)),
    (DENSE, (6506,)),
    (CUTS, (6088, 6626, 6662)),
)


class MixedExplorationTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_none_found(self, mix: Mix, seeds: Iterable[int]) -> None:
        for seed in seeds:
            with self.subTest(seed=seed, faults_per_s=mix.faults_per_s):
                self.assertEqual(explore(seed, *mix), ([], True))

    def test_no_key_is_held_twice_whatever_faults_overlap(self):
        self.assert_none_found(ALL, range(ALL_SEED_COUNT))

    def test_no_key_is_held_twice_while_faults_of_every_kind_are_dense(self):
        self.assert_none_found(DENSE, range(DENSE_SEED_COUNT))

    def test_no_key_is_held_twice_while_cuts_and_restarts_overlap(self):
        self.assert_none_found(CUTS, range(CUTS_SEED_COUNT))

    def test_a_moving_range_keeps_no_fence_of_a_former_dispatcher(self):
        # Only ranges that did not move got new fences when their dispatcher changed.
        for mix, seeds in MOVE_TAKEOVER_SEEDS:
            self.assert_none_found(mix, seeds)


if __name__ == "__main__":
    unittest.main()
