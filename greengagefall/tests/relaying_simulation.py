"""Simulates, in virtual time, the hosts of one zone that follow the store through relays."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from result import Err, Ok

from greengagefall.gateway.following import PrefixWatcher
from greengagefall.gateway.handlers import PeerHandlers
from greengagefall.gateway.peers import REPLY_LOST, UNREACHABLE
from greengagefall.gateway.records import (
    HOST_PREFIX,
    MEMBERS_PREFIX,
    MemberRecords,
    OperatorRecords,
    ServerRecords,
    encode_host,
)
from greengagefall.gateway.relay_following import (
    RelayFollower,
)
from greengagefall.gateway.relaying import StoreRelay
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import UNKNOWN_RESTORES, HostIncarnation
from greengagefall.platform.records import OPERATOR_PREFIX, SERVERS_PREFIX
from greengagefall.platform.store import (
    KeyValue,
    RangeResult,
    WatchEvent,
    WatchResult,
)
from greengagefall.store.exceptions import StoreCompactedError, StoreUnavailableError
from greengagefall.tests.virtual_time import LoopClock, VirtualLoop, run_in_virtual_time

ZONE = "a"
HOST_COUNT = 12
CALL_TIMEOUT_S = 1.0
# Time after which the operating system closes the connection of a silent watch.
KEEPALIVE_S = 3.0


def server_entry(state: str, born: int = 1) -> bytes:
    fields = {
        "service": "proofdesk",
        "address": "127.0.0.1:1",
        "zone": ZONE,
        "maxConcurrency": 6,
        "state": state,
        "warmupLeftS": 0,
        "born": born,
    }
    return json.dumps(fields).encode()


class VirtualStore:
    """The store's keys and events, and which hosts are cut off from it."""

    def __init__(self) -> None:
        self.key_values: dict[str, KeyValue] = {}
        self.events: list[WatchEvent] = []
        self.revision = 1
        self.restores = 1
        self.cut: set[str] = set()
        self.calls = 0
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.key_values[key] = KeyValue(key, value, self.revision)
        self._publish(WatchEvent(self.key_values[key], False))

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.key_values[key]
        self._publish(WatchEvent(KeyValue(key, b"", self.revision), True))

    def copy(self) -> tuple[dict[str, KeyValue], int]:
        return dict(self.key_values), self.revision

    def restore(self, copy: tuple[dict[str, KeyValue], int]) -> None:
        """Goes back to an older copy; its revisions are given out again from there."""
        key_values, self.revision = copy
        self.key_values = dict(key_values)
        self.events = []
        self.restores += 1

    def _publish(self, event: WatchEvent) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()


class HostStore:
    """The store as one host reaches it."""

    def __init__(self, store: VirtualStore, host: str) -> None:
        self._store = store
        self._host = host
        self.restores = UNKNOWN_RESTORES

    async def _reach(self) -> bool:
        self._store.calls += 1
        await asyncio.sleep(0.004)
        if self._host not in self._store.cut:
            self.restores = self._store.restores
            return True
        await asyncio.sleep(CALL_TIMEOUT_S)
        return False

    async def range(self, prefix):
        if not await self._reach():
            return Err(StoreUnavailableError("cut off"))
        found = [kv for key, kv in self._store.key_values.items() if key.startswith(prefix)]
        return Ok(RangeResult(found, self._store.revision))

    async def is_reachable(self, key):
        return await self._reach()

    async def watch(self, prefix, revision, wait_s):
        if not await self._reach():
            return Err(StoreUnavailableError("cut off"))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        if revision > self._store.revision:
            return Err(StoreCompactedError("the store has no such revision"))
        while True:
            if self.restores != self._store.restores:
                return Err(StoreUnavailableError("connection closed"))
            if self._host in self._store.cut:
                await asyncio.sleep(KEEPALIVE_S)
                return Err(StoreUnavailableError("connection closed"))
            events = [
                event
                for event in self._store.events
                if event.key_value.mod_revision > revision
                and event.key_value.key.startswith(prefix)
            ]
            remaining_s = end_s - loop.time()
            if events or remaining_s <= 0:
                return Ok(WatchResult(events, self._store.revision))
            try:
                async with asyncio.timeout(min(0.05, remaining_s)):
                    await self._store.changed.wait()
            except TimeoutError:
                continue


class Host:
    """One entry host with its own watches, relay and follower."""

    def __init__(self, zone: Zone, name: str) -> None:
        self.name = name
        clock = LoopClock(zone.loop)
        self.view = ClusterView(SimpleNamespace(zone=ZONE), HostIncarnation(name, 1), clock)
        prefixes = [
            (SERVERS_PREFIX, ServerRecords(self.view)),
            (OPERATOR_PREFIX, OperatorRecords(self.view)),
            (MEMBERS_PREFIX, MemberRecords(self.view)),
        ]
        self.watchers = [
            PrefixWatcher(
                HostStore(zone.store, name),
                prefix,
                records.put,
                records.delete,
                clock,
                keep_through_outage=prefix == SERVERS_PREFIX,
                reverts=records.reverts,
                batch=self.view.batch_notifications,
            )
            for prefix, records in prefixes
        ]
        relay = StoreRelay(self.watchers, HostStore(zone.store, name), clock)
        self.handlers = PeerHandlers(self.view, None)
        self.handlers.relay = relay
        peers = SimpleNamespace(call=lambda *args: zone.call(name, *args))
        self.follower = RelayFollower(self.watchers, relay, self.view, peers, clock)
        self.view.store_lag_s = self.follower.lag_s

    def record(self, weight: float) -> HostRecord:
        return HostRecord(self.name, 1, "127.0.0.1:1", ZONE, weight, True)


class Zone:
    """The hosts of one zone, one store and the faults between them.

    Attributes:
        unreachable: Hosts that no call reaches, as after a kill.
        silent: Hosts that answer nothing, as while they are paused or their answers get lost.
    """

    def __init__(self, loop: VirtualLoop, host_count: int = HOST_COUNT) -> None:
        self.loop = loop
        self.store = VirtualStore()
        self.unreachable: set[str] = set()
        self.silent: set[str] = set()
        self.hosts = {f"h{number:02}": Host(self, f"h{number:02}") for number in range(host_count)}
        for number, host in enumerate(self.hosts.values()):
            record = host.record(3.0 if number < 3 else 1.0)
            self.store.put(HOST_PREFIX + host.name, encode_host(record))
        self.store.put("servers/s1", server_entry("ready"))
        self.store.put("servers/gone", server_entry("ready"))

    def start(self) -> None:
        for host in self.hosts.values():
            host.follower.start()

    async def call(self, sender, name, message, timeout_s):
        await asyncio.sleep(0.002)
        if name in self.unreachable:
            return UNREACHABLE
        if name in self.silent:
            await asyncio.sleep(timeout_s)
            return REPLY_LOST
        try:
            async with asyncio.timeout(timeout_s):
                return await self.hosts[name].handlers.handle(None, message)
        except TimeoutError:
            return REPLY_LOST

    def relays(self) -> list[str]:
        return [host.name for host in self.hosts.values() if not host.follower.relayed]


def run_virtual(run, host_count: int = HOST_COUNT):
    """Runs a coroutine function with a zone in virtual time."""
    return run_in_virtual_time(lambda loop: run(Zone(loop, host_count)))
