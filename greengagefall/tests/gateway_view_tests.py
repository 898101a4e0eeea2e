"""Tests of the notifications of view listeners and of whether server entries are current."""

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
        self.notifications = 0
        self.view.add_listener(self.count_notification)

    def count_notification(self):
        self.notifications += 1

    def test_changes_in_a_batch_notify_once(self):
        with self.view.batch_notifications():
            self.view.set_evacuated("a", True)
            self.view.set_evacuated("b", True)
            self.assertEqual(self.notifications, 0)
        self.assertEqual(self.notifications, 1)
        self.assertEqual(set(self.view.evacuated_since_s), {"a", "b"})

    def test_batch_without_a_change_does_not_notify(self):
        with self.view.batch_notifications():
            self.view.set_evacuated("a", False)
        self.assertEqual(self.notifications, 0)

    def test_change_outside_a_batch_notifies_at_once(self):
        with self.view.batch_notifications():
            self.view.set_evacuated("a", True)
        self.view.set_evacuated("a", False)
        self.assertEqual(self.notifications, 2)

    def test_failed_batch_notifies_of_its_changes(self):
        with self.assertRaises(ValueError), self.view.batch_notifications():
            self.view.set_evacuated("a", True)
            raise ValueError
        self.assertEqual(self.notifications, 1)


class ReusedAddressTests(unittest.TestCase):
    def setUp(self):
        self.view = ClusterView(SimpleNamespace(), HostIncarnation("h", 1), SystemClock())

    def update_server(self, server_id: str, start_ms: int, address: str) -> ServerIncarnation:
        entry = ServerEntry(server_id, "s", address, "a", 6, False, 0.0, start_ms)
        self.view.update_server(entry)
        return ServerIncarnation(server_id, start_ms)

    def test_later_server_at_an_address_makes_the_earlier_entry_not_current(self):
        old = self.update_server("old", 10, "10.0.0.1:80")
        self.assertTrue(self.view.is_entry_current(old.server_id))
        new = self.update_server("new", 20, "10.0.0.1:80")
        self.assertFalse(self.view.is_entry_current(old.server_id))
        self.assertTrue(self.view.is_entry_current(new.server_id))

    def test_late_entry_of_the_earlier_server_leaves_the_later_one_current(self):
        new = self.update_server("new", 20, "10.0.0.1:80")
        old = self.update_server("old", 10, "10.0.0.1:80")
        self.assertFalse(self.view.is_entry_current(old.server_id))
        self.assertTrue(self.view.is_entry_current(new.server_id))

    def test_servers_at_other_addresses_stay_current(self):
        one = self.update_server("one", 10, "10.0.0.1:80")
        self.update_server("two", 20, "10.0.0.2:80")
        self.assertTrue(self.view.is_entry_current(one.server_id))


if __name__ == "__main__":
    unittest.main()
