"""Tests of a host in front of a store that loses single answers while it serves everything else."""

from __future__ import annotations

import asyncio
import time
import unittest

from greengagefall.platform.records import OPERATOR_PREFIX
from greengagefall.standins.platform_documents import routing, rule
from greengagefall.tests.one_server_gateway import POOLED, OneServerGatewayTests
from greengagefall.utils.waiting import wait_until

NO_SERVER_ADDRESS = "127.0.0.1:1"
# Time after a disruption of the store by which hosts have to be up to date again.
STABLE_S = 3.0
CONFIG_APPLY_S = 2.0


class LostAnswerTests(OneServerGatewayTests):
    async def asyncSetUp(self):
        await self.start_host(NO_SERVER_ADDRESS)

    async def put_configuration(self, version: int) -> None:
        rules = [rule("orders", "/orders/", POOLED.name, kind="unsafe", attempts=2)]
        await self.store.put_json("op/config", routing(version, rules=rules))

    async def assert_known(self, version: int) -> None:
        started_s = time.monotonic()
        table = lambda: self.host.view.routing_table.version == version  # noqa: E731
        self.assertTrue(await wait_until(table, CONFIG_APPLY_S), self.host.view.routing_table)
        self.assertLess(time.monotonic() - started_s, CONFIG_APPLY_S)

    async def test_a_configuration_after_a_lost_watch_is_in_force_in_time(self):
        # The watch after a change was lost between two probes; hosts kept to it for 16 s.
        self.store.lose_watches = {OPERATOR_PREFIX}
        await self.put_configuration(8)
        self.assertTrue(await wait_until(lambda: not self.store.lose_watches, CONFIG_APPLY_S))
        await asyncio.sleep(STABLE_S)
        await self.put_configuration(9)
        await self.assert_known(9)


if __name__ == "__main__":
    unittest.main()
