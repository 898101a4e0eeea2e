"""Explores hosts killed behind a hold of servers whose entries lapse, in virtual time.

Nobody knows then where to tell a server of newer fencing tokens, but for the records in the store.
"""

from __future__ import annotations

import logging
import unittest
from unittest import mock

from greengagefall.gateway.notice_delivery import NoticeDelivery
from greengagefall.tests.ownership_exploration_tests import FAULT_KINDS, HOLDS_PER_S, explore
from greengagefall.tests.ownership_faults import UNLISTED_BEHIND_HOLD
from greengagefall.tests.planted_ownership import without_notice_records

KINDS = (*FAULT_KINDS, *[UNLISTED_BEHIND_HOLD] * 30)
# Seeds in which a former owner took keys back under its old fence, without recorded notices.
SEEDS = (7005, 7008, 7015, 7017, 7018, 7019, 7023, 7034, 7036, 7038)
LATE_S = 3.0


class NoticeRecordsExplorationTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def broken(self) -> list[int]:
        return [seed for seed in SEEDS if explore(seed, KINDS, HOLDS_PER_S) != ([], True)]

    def test_an_outdated_grant_is_refused_after_the_entry_of_its_server_lapsed(self):
        # Hosts that started meanwhile did not know the server's address, nor what it had to know.
        self.assertEqual(self.broken(), [])

    def test_oracle_detects_planted_loss_of_the_records(self):
        with without_notice_records():
            self.assertGreater(len(self.broken()), len(SEEDS) / 2)

    def test_oracle_detects_planted_records_that_end_with_the_entry(self):
        spans_to_tell = NoticeDelivery._spans_to_tell

        def of_listed_servers(self, record, notice):
            listed = record.server.server_id in self._view.servers
            return spans_to_tell(self, record, notice) if listed else []

        with mock.patch.object(NoticeDelivery, "_spans_to_tell", of_listed_servers):
            self.assertTrue(self.broken())

    def test_oracle_detects_planted_records_that_end_by_time(self):
        spans_to_tell = NoticeDelivery._spans_to_tell

        def for_a_while(self, record, notice):
            known_s = self._clock.now_s() - self._since_s.get(record.server.server_id, 0.0)
            return spans_to_tell(self, record, notice) if known_s < LATE_S else []

        with mock.patch.object(NoticeDelivery, "_spans_to_tell", for_a_while):
            self.assertTrue(self.broken())

    def test_oracle_detects_planted_records_that_are_not_delivered(self):
        with mock.patch.object(NoticeDelivery, "_may_tell", lambda self, record: False):
            self.assertTrue(self.broken())


if __name__ == "__main__":
    unittest.main()
