"""Tests of changing the settings file of a running process."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from greengagefall.gateway import settings_watch
from greengagefall.gateway.settings_watch import SettingsWatch
from greengagefall.gateway.view import ClusterView
from greengagefall.ownership.model import HostIncarnation
from greengagefall.platform.settings import read_platform_settings
from greengagefall.tests.platform_adapter_tests import SETTINGS
from greengagefall.utils.clock import ManualClock
from greengagefall.utils.waiting import wait_until


class SettingsWatchTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.conf"
        self.path.write_text(SETTINGS)
        settings = read_platform_settings(self.path)
        self.view = ClusterView(settings, HostIncarnation(settings.host, 1), ManualClock())
        self.watch = SettingsWatch(self.path, self.view)

    def test_new_limits_take_effect_and_addresses_stay(self):
        changed = SETTINGS.replace("drainTimeoutS=2.5", "drainTimeoutS=7")
        self.path.write_text(changed.replace("10.1.0.35:8144", "10.1.0.99:8144"))
        self.assertTrue(self.watch.reload())
        self.assertEqual(self.view.settings.limits.drain_timeout_s, 7.0)
        self.assertEqual(self.view.settings.caller_address, "10.1.0.35:8144")

    def test_invalid_file_changes_nothing(self):
        before = self.view.settings
        for text in ("", "self.nodeName", SETTINGS + "platform.heartbeatS=soon\n"):
            self.path.write_text(text)
            self.assertFalse(self.watch.reload())
            self.assertEqual(self.view.settings, before)
        self.path.unlink()
        self.assertFalse(self.watch.reload())

    async def test_a_change_is_noticed_without_a_signal(self):
        with mock.patch.object(settings_watch, "CHECK_INTERVAL_S", 0.02):
            self.watch.start()
            self.addCleanup(self.watch.close)
            await asyncio.sleep(0.05)
            self.path.write_text(SETTINGS.replace("drainTimeoutS=2.5", "drainTimeoutS=9"))
            limits = self.view.settings.limits
            self.assertTrue(await wait_until(lambda: self.view.settings.limits != limits, 3.0))
