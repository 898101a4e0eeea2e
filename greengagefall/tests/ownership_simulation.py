"""Simulates, in virtual time, how several hosts grant keys to backend servers.

The store and the connections between hosts and servers are simulated. Coordinator, election,
heartbeats, dispatchers and grants are the product's own code. An oracle records which keys each
simulated server really holds and reports violations.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from greengagefall.gateway.notice_records import NOTICES_PREFIX, StoredNotices, decode_notices
from greengagefall.gateway.records import COORDINATOR_KEY, decode_coordinator
from greengagefall.ownership.model import LAST_KEY
from greengagefall.tests.simulated_hosts import WATCH_DELAY_S, SimulatedHost
from greengagefall.tests.simulated_network import PATH_SILENT
from greengagefall.tests.simulated_servers import SimulatedServer
from greengagefall.tests.simulated_store import StoreData

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from greengagefall.gateway.model import ServerEntry
    from greengagefall.tests.simulated_servers import HeldRange
    from greengagefall.tests.virtual_time import VirtualLoop

# Time after which the store drops the entry of a server that no longer writes it.
ENTRY_TTL_S = 1.5
# The same for a server that still runs but does not reach the store: three heartbeat intervals.
SILENT_ENTRY_TTL_S = 3.0


class Simulation:
    """The hosts, servers and store of one simulated run, with an oracle.

    Attributes:
        violations: Descriptions of the violations that the oracle found, one sentence each.
    """

    def __init__(self, loop: VirtualLoop, seed: int, hosts: int = 4, servers: int = 5) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.store_data = StoreData(loop)
        self.store_up = True
        self.store_reachable_since_s = 0.0
        self.delayed_share = 0.0
        self.lost_share = 0.0
        self.late_message_share = 0.0
        self.violations: list[str] = []
        self.cuts: set[frozenset[str]] = set()
        # How the path from a host to a server is broken, by their names.
        self.broken_paths: dict[tuple[str, str], str] = {}
        # When a cut between two, by their names, last ended.
        self.cuts_ended_s: dict[frozenset[str], float] = {}
        self.deliveries: set[asyncio.Task] = set()
        self.server_entries: dict[str, tuple[ServerEntry, float]] = {}
        self.grant_log: list[tuple[int, int, str, int, int]] = []
        self._starts = 1000
        zones = ("x", "y")
        self.servers = {
            f"s{number}": SimulatedServer(self, f"s{number}", zones[number % 2])
            for number in range(servers)
        }
        self.hosts: dict[str, SimulatedHost] = {}
        for number in range(hosts):
            self.start_host(f"h{number}", zones[number % 2])
        self._keeper = asyncio.get_event_loop_policy()

    def start_host(self, name: str, zone: str) -> None:
        self._starts += 1
        host = SimulatedHost(self, name, zone, self._starts)
        self.hosts[name] = host
        host.start()

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def server_at(self, address: str) -> SimulatedServer:
        """Returns the server with an address."""
        return next(one for one in self.servers.values() if one.entry().address == address)

    def calls_pass(self, host: str, server: str) -> bool:
        """Returns whether the network lets what a host sent before pass to a server."""
        return (
            self.servers[server].calls_pass.is_set()
            and not self.is_cut(host, server)
            and self.broken_paths.get((host, server)) != PATH_SILENT
        )

    def link_healed_s(self, host: str, server: str) -> float:
        """Returns when the path from a host to a server last healed."""
        cut_ended_s = self.cuts_ended_s.get(frozenset((host, server)), 0.0)
        return max(cut_ended_s, self.servers[server].healed_s)

    def start_delivery(self, delivery: Coroutine[None, None, None]) -> asyncio.Task:
        """Starts to deliver what the network holds; it goes on if its sender ends."""
        task = asyncio.create_task(delivery)
        self.deliveries.add(task)
        task.add_done_callback(self.deliveries.discard)
        return task

    def check_grant(self, server: SimulatedServer, granted: HeldRange) -> None:
        """Checks a grant against what other servers hold and what was granted before.

        Records a violation if another server holds any of the keys, or if another incarnation was
        granted any of them with an equal or higher fencing token. The rules excuse a grant that
        outlived its sender from the first, not from the second.
        """
        first, last, fence = granted.first, granted.last, granted.fence
        for other in self.servers.values():
            if other is server or granted.held_up:
                continue
            for held in other.held_now():
                if held.first <= last and first <= held.last and not held.held_up:
                    self.violations.append(
                        f"{self.loop.now_s:.3f}: {server.name} got {first}-{last} ({fence}) "
                        f"while {other.name} holds {held.first}-{held.last} ({held.fence}) "
                        f"until {held.end_s:.3f}"
                    )
        for low, high, name, start_ms, known_fence in self.grant_log:
            overlap = low <= last and first <= high
            if (
                overlap
                and (name, start_ms) != (server.name, server.start_ms)
                and known_fence >= fence
            ):
                self.violations.append(
                    f"{self.loop.now_s:.3f}: {server.name} got {first}-{last} under {fence}, "
                    f"but {name} had keys of it under {known_fence}"
                    f"{', held up since its sender was killed' if granted.held_up else ''}"
                )
        self.grant_log.append((first, last, server.name, server.start_ms, fence))

    async def deliver_records(self) -> None:
        """Updates each host's view with the store's records, as its watches would."""
        while True:
            self.store_data.keep_copy()
            if self.store_up:
                self.store_data.end_expired_leases()
                self._write_entries()
                for host in self.hosts.values():
                    if host.up and not self.is_cut(host.name, "store"):
                        self._update_view(host)
            await asyncio.sleep(WATCH_DELAY_S)

    def _update_view(self, host: SimulatedHost) -> None:
        view = host.view
        records = {other.name: other.record() for other in self.hosts.values()}
        key_value = self.store_data.key_values.get(COORDINATOR_KEY)
        coordinator = decode_coordinator(key_value.value) if key_value else None
        if view.hosts != records or view.coordinator != coordinator:
            view.hosts, view.coordinator = records, coordinator
            view.notify_listeners()
        notices = {
            key.removeprefix(NOTICES_PREFIX): StoredNotices(
                decode_notices(key, found.value), found.mod_revision
            )
            for key, found in self.store_data.key_values.items()
            if key.startswith(NOTICES_PREFIX)
        }
        if view.pending_notices != notices:
            view.pending_notices = notices
            view.notify_listeners()
        for server_id in [
            server_id for server_id in view.servers if server_id not in self.server_entries
        ]:
            view.remove_server(server_id)
        for server_id, (entry, _) in self.server_entries.items():
            if view.servers.get(server_id) != entry:
                view.update_server(entry)

    def _write_entries(self) -> None:
        """Writes the entries of registered servers and drops entries older than their TTL."""
        now_s = self.loop.now_s
        for server in self.servers.values():
            if not server.reaches_store:
                self._drop_silent_entry(server)
            elif server.registered:
                self.server_entries[server.server_id] = (server.entry(), now_s)
            else:
                self.server_entries.pop(server.server_id, None)
        silent = {one.server_id for one in self.servers.values() if not one.reaches_store}
        for server_id, (_, written_s) in list(self.server_entries.items()):
            if server_id not in silent and now_s - written_s > ENTRY_TTL_S:
                del self.server_entries[server_id]

    def _drop_silent_entry(self, server: SimulatedServer) -> None:
        """Drops what a server wrote before it was cut off from the store, once that is too old."""
        written = self.server_entries.get(server.server_id)
        if written is not None and self.loop.now_s - written[1] > SILENT_ENTRY_TTL_S:
            del self.server_entries[server.server_id]

    def held_keys(self) -> int:
        return sum(_count_keys(server.held_now()) for server in self.servers.values())

    def all_held(self) -> bool:
        return self.held_keys() == LAST_KEY + 1


def _count_keys(held: list[HeldRange]) -> int:
    """Returns how many keys the ranges have together; they may overlap."""
    count, next_key = 0, 0
    for one in sorted(held):
        count += max(0, one.last + 1 - max(one.first, next_key))
        next_key = max(next_key, one.last + 1)
    return count
