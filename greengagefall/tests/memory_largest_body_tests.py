"""Test that a host without other load serves a single request with the largest body."""

from __future__ import annotations

import asyncio
import unittest

from greengagefall.tests import crowd_clients as clients
from greengagefall.tests.crowd_host import BYTES_PER_MB, OK, CrowdTestCase, read_usage

LARGEST_BODY_BYTES = 67_108_864
TIMEOUT_S = 30.0


class LargestBodyTests(CrowdTestCase):
    # A body this large does not pass between hosts, so the only host has to dispatch the server.
    hosts = ("edge-0",)
    memory_mb = 552
    max_body_bytes = LARGEST_BODY_BYTES

    async def test_the_largest_body_is_served_in_calm(self):
        # Guards against shares that refuse a legal request on a host that has the memory for it.
        body = bytes(LARGEST_BODY_BYTES)
        async with asyncio.timeout(TIMEOUT_S):
            async with clients.connection(self.callers["edge-0"]) as sock:
                head = clients.head("POST", "/orders/1", f"Content-Length: {LARGEST_BODY_BYTES}")
                await clients.send(sock, head)
                await clients.send(sock, body)
                received = await clients.read(sock)
        self.assertEqual(int(received.split()[1]), OK)
        usage = read_usage(self.processes.pid("edge-0"))
        self.assertLess(usage.peak_bytes, self.memory_mb * BYTES_PER_MB)


if __name__ == "__main__":
    unittest.main()
