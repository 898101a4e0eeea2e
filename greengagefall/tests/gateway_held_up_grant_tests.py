"""Tests of a renewal that the network holds up, and whose sender is killed meanwhile.

TCP delivers it at a repetition after the end of the hold, when its keys belong to another server.
"""

from __future__ import annotations

import asyncio
import logging
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from greengagefall.gateway import fence_notices
from greengagefall.gateway.dispatchers import CHANNEL_CLOSE_DELAY_S
from greengagefall.gateway.fence_notices import FenceNotices
from greengagefall.gateway.stand_in_notices import StandInNotices
from greengagefall.ownership import unconfirmed_fences
from greengagefall.ownership.unconfirmed_fences import UnconfirmedFences
from greengagefall.tests.ownership_simulation import Simulation
from greengagefall.tests.planted_ownership import without_notice_records
from greengagefall.tests.simulated_network import TCP_REPETITIONS_S
from greengagefall.tests.simulated_servers import THAW_SLACK_S
from greengagefall.tests.virtual_time import VirtualLoop, wait_for

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagefall.tests.simulated_hosts import SimulatedHost

SETTLED_S = 5.0
RESTART_S = 0.5
# The keys of a host that starts again have gone on before the first of these repetitions; those of
# one that stays down only before the second.
REPETITION_S, LAST_REPETITION_S = TCP_REPETITIONS_S[-2:]
# The rules excuse what arrives before the end of the thaw slack.
HEAL_BEFORE_REPETITION_S = THAW_SLACK_S + 0.05
SECOND_KILL_BEFORE_HEAL_S = 1.5
LATE_KILL_BEFORE_HEAL_S = 0.2
ENTRY_MISSING_S = CHANNEL_CLOSE_DELAY_S + 0.4
ANSWERED_S = 0.1
KEYS_WENT_ON = "test_renewal_of_a_killed_dispatcher_is_refused_after_its_keys_went_on"
HOST_STAYS_DOWN = "test_renewal_is_refused_while_the_host_of_its_sender_stays_down"
NEXT_STAYS_DOWN = "test_renewal_is_refused_while_the_next_dispatcher_stays_down"
NO_COORDINATOR = "test_renewal_is_refused_before_killed_hosts_have_a_coordinator_again"


class HeldUpRenewal:
    """A renewal that is held up when its dispatcher is killed, and what happens to its keys.

    Args:
        loop: The event loop.
        repetition_s: The repetition of TCP at which the renewal arrives.

    Attributes:
        simulation: The simulation.
        server: The server, to which calls are held up.
        dispatcher: The host that sent the renewal and was killed.
    """

    def __init__(self, loop: VirtualLoop, repetition_s: float) -> None:
        self.simulation = Simulation(loop, seed=1)
        self._loop = loop
        self._repetition_s = repetition_s
        self._delivery = asyncio.create_task(self.simulation.deliver_records())

    async def send_and_kill(self) -> None:
        """Holds up calls to a server, and kills its dispatcher once a renewal is on its way."""
        await asyncio.sleep(SETTLED_S)
        assignment = self.coordinating().view.assignment
        names = {
            server_id: dispatching.dispatcher.host
            for server_id, dispatching in assignment.dispatchers.items()
            if dispatching.dispatcher.host != self.coordinating().name
        }
        server_id, name = next(iter(names.items()))
        self.server = self.simulation.servers[server_id]
        self.dispatcher = self.simulation.hosts[name]
        self.server.calls_pass.clear()
        await wait_for(lambda: bool(self.simulation.deliveries))
        self._sent_s = self._loop.now_s
        await self.dispatcher.kill()

    def restart(self, host: SimulatedHost) -> None:
        self.simulation.start_host(host.name, host.zone)

    def coordinating(self) -> SimulatedHost:
        """Returns the host that coordinates."""
        return next(
            host
            for host in self.simulation.hosts.values()
            if host.up and host.handlers.coordinator is not None
        )

    def dispatching(self) -> SimulatedHost:
        """Returns the host that dispatches the server by now."""
        dispatchers = self.coordinating().view.assignment.dispatchers
        return self.simulation.hosts[dispatchers[self.server.server_id].dispatcher.host]

    async def wait_until_moved(self) -> None:
        """Waits until other servers hold all keys, by the expiry of the server's grants."""
        await wait_for(lambda: self.simulation.all_held() and not self.server.held_now())

    async def wait_until_before_heal(self, before_s: float) -> None:
        """Waits until shortly before the hold ends."""
        heal_s = self._sent_s + self._repetition_s - HEAL_BEFORE_REPETITION_S
        remaining_s = heal_s - before_s - self._loop.now_s
        assert remaining_s >= 0, "the steps before take longer than the hold"
        await asyncio.sleep(remaining_s)

    async def heal(self) -> None:
        """Ends the hold shortly before a repetition, and waits until that has arrived."""
        await self.wait_until_before_heal(0.0)
        self.server.end_hold()
        await asyncio.sleep(HEAL_BEFORE_REPETITION_S + ANSWERED_S)

    async def close(self) -> None:
        for host in self.simulation.hosts.values():
            await host.kill()
        self._delivery.cancel()


class HeldUpGrantTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_refused(
        self,
        until_heal: Callable[[HeldUpRenewal], Awaitable[None]],
        repetition_s: float = REPETITION_S,
    ) -> None:
        """Checks that the server refuses the renewal.

        Args:
            until_heal: What happens between the kill of the dispatcher and the end of the hold.
            repetition_s: The repetition of TCP at which the renewal arrives.
        """
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        self.addCleanup(asyncio.set_event_loop, None)
        self.addCleanup(loop.close)

        async def play() -> HeldUpRenewal:
            renewal = HeldUpRenewal(loop, repetition_s)
            await renewal.send_and_kill()
            await until_heal(renewal)
            await renewal.heal()
            await renewal.close()
            return renewal

        renewal = loop.run_until_complete(play())
        answers = [grant.status for grant in renewal.server.outliving_grants]
        self.assertEqual(answers, [409])
        self.assertEqual(renewal.simulation.violations, [])

    def test_renewal_of_a_killed_dispatcher_is_refused_after_its_keys_went_on(self):
        # The server had not been told of the newer fence, and took keys that another one held.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await asyncio.sleep(RESTART_S)
            renewal.restart(renewal.dispatcher)
            await renewal.wait_until_moved()

        self.assert_refused(until_heal)

    def test_renewal_is_refused_while_the_host_of_its_sender_stays_down(self):
        # Only the dispatcher that lost the keys would have told the server of the newer fence.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await renewal.wait_until_moved()
            self.assertIsNot(renewal.dispatching(), renewal.dispatcher)

        self.assert_refused(until_heal, LAST_REPETITION_S)

    def test_renewal_is_refused_while_the_next_dispatcher_alone_is_cut_off(self):
        # Others reached the server, but only its dispatcher would have told it of the newer fence.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await renewal.wait_until_moved()
            cut = frozenset((renewal.dispatching().name, renewal.server.name))
            renewal.simulation.cuts.add(cut)

        self.assert_refused(until_heal, LAST_REPETITION_S)

    def test_renewal_is_refused_after_a_new_coordinator_took_over(self):
        # What the server has to be told was forgotten with the coordinator that moved its keys.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await asyncio.sleep(RESTART_S)
            renewal.restart(renewal.dispatcher)
            await renewal.wait_until_moved()
            await renewal.coordinating().kill()
            await renewal.wait_until_before_heal(0.0)
            self.assertTrue(renewal.coordinating())

        self.assert_refused(until_heal)

    def test_renewal_is_refused_after_the_entry_of_its_server_lapsed(self):
        # The channel was closed with what the server had to be told, and opened again without.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await asyncio.sleep(RESTART_S)
            renewal.restart(renewal.dispatcher)
            await renewal.wait_until_moved()
            renewal.server.registered = False
            await asyncio.sleep(ENTRY_MISSING_S)
            renewal.server.registered = True

        self.assert_refused(until_heal)

    def test_renewal_is_refused_after_the_next_dispatcher_was_killed_too(self):
        # The host that knew what the server had to be told was killed before the end of the hold.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await asyncio.sleep(RESTART_S)
            renewal.restart(renewal.dispatcher)
            await renewal.wait_until_moved()
            await renewal.wait_until_before_heal(SECOND_KILL_BEFORE_HEAL_S)
            dispatching = renewal.dispatching()
            await dispatching.kill()
            await asyncio.sleep(RESTART_S)
            renewal.restart(dispatching)

        self.assert_refused(until_heal)

    def test_renewal_is_refused_while_the_next_dispatcher_stays_down(self):
        # Nobody told the server until a next dispatcher was chosen, 1.4 s after the kill.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await asyncio.sleep(RESTART_S)
            renewal.restart(renewal.dispatcher)
            await renewal.wait_until_moved()
            await renewal.wait_until_before_heal(LATE_KILL_BEFORE_HEAL_S)
            await renewal.dispatching().kill()

        self.assert_refused(until_heal)

    def test_renewal_is_refused_before_killed_hosts_have_a_coordinator_again(self):
        # All dispatchers of the assignment were gone, and nobody could choose other ones yet.
        async def until_heal(renewal: HeldUpRenewal) -> None:
            await asyncio.sleep(RESTART_S)
            renewal.restart(renewal.dispatcher)
            await renewal.wait_until_moved()
            await renewal.wait_until_before_heal(SECOND_KILL_BEFORE_HEAL_S)
            hosts = list(renewal.simulation.hosts.values())
            for host in hosts:
                await host.kill()
            await asyncio.sleep(RESTART_S)
            for host in hosts:
                renewal.restart(host)

        self.assert_refused(until_heal)


class PlantedRuleTests(unittest.TestCase):
    """Checks that the tests above find rules under which the server is told wrongly or late.

    Recorded notices are left out, since they alone keep the server told in these tests.
    """

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.enterContext(without_notice_records())

    def is_caught(self, name: str) -> bool:
        result = unittest.TestResult()
        HeldUpGrantTests(name).run(result)
        self.assertEqual(result.errors, [])
        return bool(result.failures)

    def assert_caught(self, *names: str) -> None:
        for name in names:
            with self.subTest(test=name):
                self.assertTrue(self.is_caught(name))

    def test_planted_silence_is_caught(self):
        with mock.patch.object(FenceNotices, "start", lambda self: None):
            self.assert_caught(*unittest.defaultTestLoader.getTestCaseNames(HeldUpGrantTests))

    def test_planted_silence_while_the_dispatcher_is_gone_is_caught(self):
        with mock.patch.object(StandInNotices, "start", lambda self: None):
            self.assert_caught(NEXT_STAYS_DOWN, NO_COORDINATOR)

    def test_planted_trust_of_a_new_dispatcher_in_its_empty_record_is_caught(self):
        init = UnconfirmedFences.__init__

        def start_empty(self, clock):
            init(self, clock)
            self.clear()

        with mock.patch.object(UnconfirmedFences, "__init__", start_empty):
            self.assert_caught("test_renewal_is_refused_after_the_next_dispatcher_was_killed_too")

    def test_planted_end_of_the_tries_after_the_first_is_caught(self):
        tell = FenceNotices._tell

        async def tell_once(self, notice):
            await tell(self, notice)
            self.on_confirmed(notice.span, self._clock.now_s())

        with mock.patch.object(FenceNotices, "_tell", tell_once):
            self.assert_caught(KEYS_WENT_ON, HOST_STAYS_DOWN)

    def test_planted_end_of_the_tries_after_two_seconds_is_caught(self):
        with mock.patch.object(unconfirmed_fences, "MAX_HELD_UP_S", 2.0):
            self.assert_caught(KEYS_WENT_ON, HOST_STAYS_DOWN)

    def test_planted_tries_that_come_after_the_slack_are_caught(self):
        # By chance a try may fall between the heal and the renewal in some of the tests.
        names = unittest.defaultTestLoader.getTestCaseNames(HeldUpGrantTests)
        with mock.patch.object(fence_notices, "RETRY_INTERVAL_S", 2.0):
            self.assertTrue(any(self.is_caught(name) for name in names))

    def test_planted_notice_under_the_fence_of_the_server_itself_is_caught(self):
        set_assignment = FenceNotices.set_assignment

        def take_own_fence(self, assignment, service):
            set_assignment(self, assignment, service)
            ranges = assignment.key_ranges.get(service, ())
            own = [one.fence for one in ranges if one.owner.server_id == self._server_id]
            self._fence = max(own, default=1)

        with mock.patch.object(FenceNotices, "set_assignment", take_own_fence):
            self.assert_caught(KEYS_WENT_ON, HOST_STAYS_DOWN)

    def test_planted_confirmation_of_all_keys_by_any_answer_is_caught(self):
        def confirm_all(self, span, sent_s):
            self.clear()

        def tell_lost_keys_last(self, owned):
            return spans_to_tell(self, owned)[::-1]

        # The keys that went on are told first, so that the rule alone does no harm here.
        spans_to_tell = UnconfirmedFences.spans_to_tell
        with mock.patch.object(UnconfirmedFences, "spans_to_tell", tell_lost_keys_last):
            self.assertFalse(self.is_caught(KEYS_WENT_ON) or self.is_caught(HOST_STAYS_DOWN))
            with mock.patch.object(UnconfirmedFences, "confirm", confirm_all):
                self.assert_caught(KEYS_WENT_ON, HOST_STAYS_DOWN)


if __name__ == "__main__":
    unittest.main()
