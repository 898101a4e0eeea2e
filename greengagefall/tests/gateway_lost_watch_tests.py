"""Tests of watches whose answer is lost, or whose connection is cut while the store goes on."""

from __future__ import annotations

import asyncio
import logging
import unittest

from result import Err, Ok

from greengagefall.gateway.following import OUTAGE_RECOVERY_GRACE_S, PrefixWatcher
from greengagefall.gateway.store_probe import PROBE_SHARE, StoreProbe
from greengagefall.ownership.model import UNKNOWN_RESTORES
from greengagefall.platform.store import KeyValue, RangeResult, WatchEvent, WatchResult
from greengagefall.store.exceptions import StoreConnectionLostError, StoreUnavailableError
from greengagefall.tests.virtual_time import LoopClock, VirtualLoop, run_in_virtual_time

PREFIX = "servers/"
CALL_S = 0.004
CALL_TIMEOUT_S = 1.0
DRAIN_TIMEOUT_S = 2.0
OUTAGE_S = 4.5
AFTER_OUTAGE_S = 3.5
# A change has to be known this much before the time of the drain is over.
KNOWN_WITHIN_S = 0.5
SETTLED_S = 5.0


class QuietStore:
    """A store that can stop answering, and cut its watches, without losing anything.

    Attributes:
        silent: Whether no call is answered. A watch that waits meanwhile never is.
    """

    def __init__(self) -> None:
        self.restores = UNKNOWN_RESTORES
        self.silent = False
        self.refuses = False
        self._outages = 0
        self._cuts = 0
        self._revision = 1
        self._key_values: dict[str, KeyValue] = {}
        self._events: list[WatchEvent] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        self._revision += 1
        self._key_values[key] = KeyValue(key, value, self._revision)
        self._publish(WatchEvent(self._key_values[key], False))

    def delete(self, key: str) -> None:
        self._revision += 1
        del self._key_values[key]
        self._publish(WatchEvent(KeyValue(key, b"", self._revision), True))

    def cut_watches(self) -> None:
        self._cuts += 1
        self._wake()

    def stop_answering(self) -> None:
        self.silent = True
        self._outages += 1

    async def answers(self, key: str) -> bool:
        return not isinstance(await self.range(PREFIX), Err)

    async def range(self, prefix: str):
        await asyncio.sleep(CALL_S)
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Err(StoreUnavailableError("no answer"))
        if self.refuses:
            return Err(StoreUnavailableError("refused"))
        return Ok(RangeResult(list(self._key_values.values()), self._revision))

    async def watch(self, prefix: str, revision: int, wait_s: float):
        outages, cuts = self._outages, self._cuts
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while loop.time() < end_s:
            events = [one for one in self._events if one.key_value.mod_revision > revision]
            if outages != self._outages or self.silent:
                await asyncio.sleep(end_s - loop.time() + CALL_TIMEOUT_S)
                return Err(StoreUnavailableError("no answer"))
            if cuts != self._cuts:
                return Err(StoreConnectionLostError("cut"))
            if events:
                return Ok(WatchResult(events, self._revision))
            try:
                async with asyncio.timeout(end_s - loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                break
        return Ok(WatchResult([], self._revision))

    def _publish(self, event: WatchEvent) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class LostWatchTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.seen: dict[str, bytes] = {}

    def put(self, key_value: KeyValue) -> None:
        self.seen[key_value.key] = key_value.value

    def play(self, run) -> None:
        run_in_virtual_time(lambda loop: self.follow(loop, run))

    async def follow(self, loop: VirtualLoop, run) -> None:
        store = QuietStore()
        watcher = PrefixWatcher(
            store, PREFIX, self.put, self.seen.pop, LoopClock(loop), keep_through_outage=True
        )
        probe = StoreProbe([watcher], store, DRAIN_TIMEOUT_S)
        store.put("servers/a", b"ready")
        watcher.start()
        probe.start()
        await asyncio.sleep(SETTLED_S)
        await run(store, watcher)

    def test_a_watch_without_an_answer_is_noticed_soon_after_an_outage(self):
        # Hosts sat on the lost watch for 16 s and counted as up to date.
        async def run(store, watcher):
            store.stop_answering()
            await asyncio.sleep(PROBE_SHARE * DRAIN_TIMEOUT_S + CALL_TIMEOUT_S + 0.1)
            self.assertFalse(watcher.watching)
            await asyncio.sleep(OUTAGE_S)
            store.silent = False
            await asyncio.sleep(AFTER_OUTAGE_S)
            store.put("servers/a", b"draining")
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(self.seen, {"servers/a": b"draining"})

        self.play(run)

    def test_a_cut_watch_holds_no_removal_back(self):
        # Any failed watch counted as an outage, and removals after it were held back for 2.2 s.
        async def run(store, watcher):
            store.cut_watches()
            await asyncio.sleep(0.05)
            store.delete("servers/a")
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(self.seen, {})

        self.play(run)

    def test_a_removal_in_an_outage_that_began_with_a_cut_is_held_back(self):
        async def run(store, watcher):
            store.refuses = True
            store.cut_watches()
            await asyncio.sleep(0.05)
            store.delete("servers/a")
            await asyncio.sleep(KNOWN_WITHIN_S)
            store.refuses = False
            await asyncio.sleep(OUTAGE_RECOVERY_GRACE_S - KNOWN_WITHIN_S)
            self.assertEqual(self.seen, {"servers/a": b"ready"})
            await asyncio.sleep(OUTAGE_RECOVERY_GRACE_S)
            self.assertEqual(self.seen, {})

        self.play(run)

    def test_a_watcher_can_be_closed_while_its_watch_is_given_up(self):
        async def run(store, watcher):
            task = watcher._task
            watcher.give_up_watch()
            watcher.close()
            await asyncio.sleep(1.0)
            self.assertTrue(task.cancelled())

        self.play(run)


if __name__ == "__main__":
    unittest.main()
