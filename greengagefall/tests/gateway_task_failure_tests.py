"""Tests of long-lived tasks and listeners of a host that meet an error nobody expected."""

from __future__ import annotations

import asyncio
import json
import logging
import unittest
from unittest import mock

from greengagefall.gateway.following import PrefixWatcher
from greengagefall.gateway.router import Router
from greengagefall.gateway.view import ClusterView
from greengagefall.ownership.model import HostIncarnation
from greengagefall.platform.store import PlatformStore
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.tests.one_server_gateway import POOLED, SERVER_ID, ZONE, OneServerGatewayTests
from greengagefall.utils.clock import SystemClock
from greengagefall.utils.supervision import RESTART_DELAY_S, start_supervised
from greengagefall.utils.waiting import wait_until

PREFIX = "servers/"
WAIT_S = 5.0
HTTP_BAD_GATEWAY = 502
NESTED = "[" * 100_000
ODD_ENTRIES = {
    "nan": '{"maxConcurrency":NaN}',
    "large": '{"maxConcurrency":1' + "0" * 400 + "}",
    "infinite": '{"warmupLeftS":1e999}',
    "port": '{"address":"127.0.0.1:99999"}',
    "digits": '{"address":"127.0.0.1:²"}',
    "text": '{"zone":"\\ud800"}',
    "service": '{"service":"\\ud800"}',
    "born": '{"born":1' + "0" * 400 + "}",
    "nested": NESTED,
    "torn": '{"service"',
}


class SupervisedTaskTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def test_a_task_that_failed_starts_again(self):
        runs, failures = [], []

        async def run():
            runs.append(1)
            if len(runs) == 1:
                raise ZeroDivisionError
            await asyncio.Event().wait()

        task = start_supervised(run, "test", lambda: failures.append(1))
        self.assertTrue(await wait_until(lambda: len(runs) == 2, RESTART_DELAY_S + WAIT_S))
        self.assertEqual(len(failures), 1)
        task.cancel()

    async def test_work_that_is_done_is_not_started_again(self):
        runs = []

        async def run():
            runs.append(1)

        await start_supervised(run, "test")
        self.assertEqual(runs, [1])


class FollowingFailureTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.store = PlatformStoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.seen = set()
        self.client = PlatformStore(self.store.address)
        self.watcher = PrefixWatcher(
            self.client, PREFIX, self.put, self.seen.discard, SystemClock()
        )
        self.addCleanup(self.watcher.close)

    def put(self, key_value):
        if key_value.value == b"odd":
            raise OverflowError("a value nobody expected")
        self.seen.add(key_value.key)

    async def test_a_record_that_raises_keeps_no_other_from_arriving(self):
        # An entry with "maxConcurrency":NaN ended the task that follows the servers, in silence.
        await self.store.put("servers/a", b"odd")
        await self.store.put("servers/b", b"1")
        self.watcher.start()
        self.assertTrue(await wait_until(lambda: self.seen == {"servers/b"}, WAIT_S))
        await self.store.put("servers/c", b"odd")
        await self.store.put("servers/d", b"1")
        expected = {"servers/b", "servers/d"}
        self.assertTrue(await wait_until(lambda: self.seen == expected, WAIT_S))

    async def test_a_failed_watcher_starts_again_and_does_not_count_as_current(self):
        await self.store.put("servers/a", b"1")
        with mock.patch.object(self.client, "watch", side_effect=OverflowError):
            self.watcher.start()
            self.assertTrue(await wait_until(lambda: self.seen, WAIT_S))
            await asyncio.sleep(RESTART_DELAY_S / 2)
            self.assertFalse(self.watcher.watching)
            self.assertFalse(self.watcher.is_current("servers/a"))
        await self.store.put("servers/b", b"1")
        self.assertTrue(await wait_until(lambda: len(self.seen) == 2, WAIT_S))
        self.assertTrue(await wait_until(lambda: self.watcher.watching, WAIT_S))


class ListenerFailureTests(unittest.TestCase):
    def test_a_listener_that_raises_keeps_no_other_from_being_called(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        view = ClusterView(None, HostIncarnation("h", 1), SystemClock())
        called = []

        def fail():
            raise OverflowError("a value nobody expected")

        view.add_listener(fail)
        view.add_listener(lambda: called.append(1))
        view.notify_listeners()
        self.assertEqual(called, [1])


class OddEntriesTests(OneServerGatewayTests):
    async def asyncSetUp(self):
        self.server = PlatformServerStandIn(SERVER_ID, POOLED.name, ZONE, keyed=False)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        await self.start_host(self.server.address)

    async def test_odd_entries_keep_no_host_from_following_the_servers(self):
        """Each odd entry is like that of a sound server but for one field."""
        names = {task.get_name() for task in asyncio.all_tasks()}
        for name, odd in ODD_ENTRIES.items():
            sound = json.dumps(self.server.entry() | {"address": "127.0.0.1:9"})
            value = odd
            if odd.endswith("}"):
                # The last of two fields with one name counts.
                value = sound[:-1] + "," + odd[1:]
            await self.store.put(f"servers/odd-{name}", value.encode())
        await self.store.put("servers/odd\r\nid", sound.encode())
        self.assertEqual((await self.send("r-1")).status, 200)
        draining = self.server.entry(state="draining")
        await self.store.put_json(f"servers/{SERVER_ID}", draining)
        servers = self.host.view.servers
        self.assertTrue(await wait_until(lambda: servers[SERVER_ID].draining, WAIT_S))
        self.assertEqual(set(servers), {SERVER_ID})
        running = {task.get_name() for task in asyncio.all_tasks()}
        self.assertLessEqual({name for name in names if name.startswith("follow")}, running)

    async def test_a_request_whose_routing_fails_is_answered(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        with mock.patch.object(Router, "_attempt_until_final", side_effect=ZeroDivisionError):
            answer = await self.send("r-1")
        self.assertEqual(answer.status, HTTP_BAD_GATEWAY)

    async def test_a_send_that_fails_frees_its_slot(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        channels = self.host._channels._channels
        channel = next(iter(channels.values()))
        with mock.patch.object(channel, "_send", side_effect=ZeroDivisionError):
            await self.send("r-1")
        self.assertEqual(channel.queue.in_flight, 0)


if __name__ == "__main__":
    unittest.main()
