"""Tests of how often those who watch the view are told of changes."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from greengagefall.gateway.model import ServerEntry
from greengagefall.gateway.view import ClusterView
from greengagefall.ownership.model import HostIncarnation, ServerIncarnation
from greengagefall.utils.clock import SystemClock


class BatchTests(unittest.TestCase):
    def setUp(self):
        self.view = ClusterView(SimpleNamespace(), HostIncarnation("h", 1), SystemClock())
        self.told = 0
        self.view.add_listener(self.listen)

    def listen(self):
        self.told += 1

    def test_changes_of_a_batch_are_told_once(self):
        with self.view.batch_notifications():
            self.view.set_evacuated("a", True)
            self.view.set_evacuated("b", True)
            self.assertEqual(self.told, 0)
        self.assertEqual(self.told, 1)
        self.assertEqual(set(self.view.evacuated), {"a", "b"})

    def test_a_batch_without_a_change_is_not_told(self):
        with self.view.batch_notifications():
            self.view.set_evacuated("a", False)
        self.assertEqual(self.told, 0)

    def test_a_change_outside_is_told_at_once(self):
        with self.view.batch_notifications():
            self.view.set_evacuated("a", True)
        self.view.set_evacuated("a", False)
        self.assertEqual(self.told, 2)

    def test_a_batch_that_fails_is_told_all_the_same(self):
        with self.assertRaises(ValueError), self.view.batch_notifications():
            self.view.set_evacuated("a", True)
            raise ValueError
        self.assertEqual(self.told, 1)


class DisplacedServerTests(unittest.TestCase):
    def setUp(self):
        self.view = ClusterView(SimpleNamespace(), HostIncarnation("h", 1), SystemClock())

    def take(self, server_id: str, born_ms: int, address: str) -> ServerIncarnation:
        entry = ServerEntry(server_id, "s", address, "a", 6, False, 0.0, born_ms)
        self.view.update_server(entry)
        return ServerIncarnation(server_id, born_ms)

    def test_a_later_server_at_the_address_leaves_the_one_before_in_doubt(self):
        old = self.take("old", 10, "10.0.0.1:80")
        self.assertTrue(self.view.is_entry_current(old.server_id))
        new = self.take("new", 20, "10.0.0.1:80")
        self.assertFalse(self.view.is_entry_current(old.server_id))
        self.assertTrue(self.view.is_entry_current(new.server_id))

    def test_a_late_entry_of_the_server_before_puts_nothing_newer_in_doubt(self):
        new = self.take("new", 20, "10.0.0.1:80")
        old = self.take("old", 10, "10.0.0.1:80")
        self.assertFalse(self.view.is_entry_current(old.server_id))
        self.assertTrue(self.view.is_entry_current(new.server_id))

    def test_servers_at_other_addresses_stay_current(self):
        one = self.take("one", 10, "10.0.0.1:80")
        self.take("two", 20, "10.0.0.2:80")
        self.assertTrue(self.view.is_entry_current(one.server_id))


if __name__ == "__main__":
    unittest.main()
