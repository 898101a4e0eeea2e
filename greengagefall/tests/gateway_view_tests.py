"""Tests of how often those who watch the view are told of changes."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from greengagefall.gateway.view import HostView
from greengagefall.ownership.model import Incarnation
from greengagefall.utils.clock import SystemClock


class BatchTests(unittest.TestCase):
    def setUp(self):
        self.view = HostView(SimpleNamespace(), Incarnation("h", 1), SystemClock())
        self.told = 0
        self.view.on_change(self.listen)

    def listen(self):
        self.told += 1

    def test_changes_of_a_batch_are_told_once(self):
        with self.view.batch():
            self.view.set_evacuated("a", True)
            self.view.set_evacuated("b", True)
            self.assertEqual(self.told, 0)
        self.assertEqual(self.told, 1)
        self.assertEqual(set(self.view.evacuated), {"a", "b"})

    def test_a_batch_without_a_change_is_not_told(self):
        with self.view.batch():
            self.view.set_evacuated("a", False)
        self.assertEqual(self.told, 0)

    def test_a_change_outside_is_told_at_once(self):
        with self.view.batch():
            self.view.set_evacuated("a", True)
        self.view.set_evacuated("a", False)
        self.assertEqual(self.told, 2)

    def test_a_batch_that_fails_is_told_all_the_same(self):
        with self.assertRaises(ValueError), self.view.batch():
            self.view.set_evacuated("a", True)
            raise ValueError
        self.assertEqual(self.told, 1)


if __name__ == "__main__":
    unittest.main()
