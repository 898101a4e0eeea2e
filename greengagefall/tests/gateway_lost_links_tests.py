"""Tests of whether a host knows that its link to another host is broken."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from greengagefall.gateway.model import DEFAULT_MEMORY_BYTES
from greengagefall.gateway.peers import Peers
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import HostIncarnation
from greengagefall.protocol.gateway_messages import AssignmentRequest
from greengagefall.protocol.messages import Failure
from greengagefall.tests.waiting import eventually
from greengagefall.utils.clock import SystemClock

CALL_TIMEOUT_S = 2.0
LOCAL_ADDRESS = "127.0.0.1:0"


def handle(hello, message) -> Failure:
    return Failure(message.call_id, "test")


def peers_of(host: str) -> Peers:
    settings = SimpleNamespace(
        host=host,
        zone="x",
        peer_address=LOCAL_ADDRESS,
        caller_address=LOCAL_ADDRESS,
        memory_bytes=DEFAULT_MEMORY_BYTES,
    )
    return Peers(ClusterView(settings, HostIncarnation(host, 1), SystemClock()), handle)


class LostLinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.other = peers_of("h1")
        await self.other.start()
        self.own = peers_of("h0")
        self.addAsyncCleanup(self.own.close)
        self.own._view.hosts = {"h1": HostRecord("h1", 1, self.other._server.address, "x", 1.0)}
        self.own._view.notify_listeners()

    async def test_a_link_is_lost_once_the_other_process_ended(self):
        await self.own.call("h1", AssignmentRequest(0), CALL_TIMEOUT_S)
        await eventually(lambda: self.own.connected("h1"))
        self.assertFalse(self.own.is_lost("h1"))
        await self.other.close()
        await eventually(lambda: self.own.is_lost("h1"))

    async def test_a_host_that_was_never_called_is_not_taken_for_lost(self):
        # A host that starts has no links; it would stand in for all dispatchers.
        self.addAsyncCleanup(self.other.close)
        await asyncio.sleep(0.1)
        self.assertFalse(self.own.is_lost("h1"))

    async def test_a_host_does_not_take_itself_for_lost(self):
        self.addAsyncCleanup(self.other.close)
        self.assertFalse(self.own.is_lost("h0"))


if __name__ == "__main__":
    unittest.main()
