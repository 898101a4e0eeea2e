"""Tests of a host in front of a store that loses single answers while it serves everything else."""

from __future__ import annotations

import asyncio
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

    def knows(self, version: int) -> bool:
        return self.host.view.routing_table.version == version

    def is_watch_lost(self) -> bool:
        return not self.store.lose_watches[OPERATOR_PREFIX]

    async def test_a_configuration_after_a_lost_watch_is_in_force_in_time(self):
        # The watch after a change was lost between two probes; hosts kept to it for 16 s.
        self.store.lose_watches[OPERATOR_PREFIX] = 1
        await self.put_configuration(8)
        self.assertTrue(await wait_until(self.is_watch_lost, CONFIG_APPLY_S))
        await asyncio.sleep(STABLE_S)
        await self.put_configuration(9)
        self.assertTrue(await wait_until(lambda: self.knows(9), CONFIG_APPLY_S))


if __name__ == "__main__":
    unittest.main()
