"""Tests that a planned stop of an entry host takes no request that it would cut."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.bench.processes import free_addresses
from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import AnswerLostError
from greengagefall.entry.caller_interface import CallerInterface
from greengagefall.entry.host_state import HostState
from greengagefall.protocol.messages import Answer
from greengagefall.tests.entry_request_tests import CONFIG
from greengagefall.utils.clock import SystemClock

BODY_LIMIT_BYTES = 1_000_000
PATIENCE_S = 10.0
DRAIN_S = 2.0
CUT = 0


class SlowForwarder:
    """Answers each request after a delay."""

    def __init__(self, work_s):
        self.work_s = work_s
        self.forwarded = []

    async def forward(self, request):
        self.forwarded.append(request.request_id)
        await asyncio.sleep(self.work_s)
        return Answer(0, request.request_id, 200, [], b"done", 0, 0)


class EntryStopTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        state = HostState("e1", "a", "i1")
        state.config_holder.apply_if_newer(CONFIG)
        self.forwarder = SlowForwarder(1.5)
        (self.address,) = free_addresses(1)
        self.interface = CallerInterface(self.address, state, self.forwarder, None, SystemClock())
        self.interface.start()
        self.addAsyncCleanup(self.interface.close)
        self.pool = ConnectionPool(self.address, BODY_LIMIT_BYTES)
        self.addCleanup(self.pool.close)

    async def send(self, request_id, timeout_ms):
        """Sends on a kept connection; returns the status, ``CUT`` if there was no answer."""
        headers = [["X-Request-Id", request_id], ["X-Timeout-Ms", str(timeout_ms)]]
        request = HttpRequest("POST", "/benchline/item", headers, b"x")
        try:
            return (await self.pool.exchange(request, PATIENCE_S, lambda: True)).status
        except AnswerLostError:
            return CUT

    async def test_request_that_comes_late_in_the_drain_is_not_cut(self):
        self.assertEqual(await self.send("before", 2000), 200)
        running = asyncio.create_task(self.send("running", 2000))
        await asyncio.sleep(0.1)
        kept = ConnectionPool(self.address, BODY_LIMIT_BYTES)
        self.addCleanup(kept.close)
        stream = await kept._connect(1.0)
        self.interface.begin_stop(DRAIN_S)
        draining = asyncio.create_task(self.interface.drain(DRAIN_S))
        await asyncio.sleep(0.9)
        self.pool._idle.append((stream, asyncio.get_running_loop().time()))
        late = asyncio.create_task(self.send("late", 2000))
        await draining
        await self.interface.close()
        self.assertEqual(await running, 200)
        self.assertEqual((await late, self.forwarder.forwarded), (503, ["before", "running"]))


if __name__ == "__main__":
    unittest.main()
