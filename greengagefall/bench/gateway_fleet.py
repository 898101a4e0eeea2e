"""Runs gateway processes on loopback with stand-ins for the platform's store and servers."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import time
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.bench.gateway_holds import (
    BegunRequest,
    Hold,
    HoldLog,
    with_requests_of_both,
)
from greengagefall.bench.processes import STOP_TIMEOUT_S, PortBlock, ProcessGroup, ProcessSpec
from greengagefall.bench.tcp_proxy import TcpProxy
from greengagefall.ownership.key_grants import RENEW_INTERVAL_S
from greengagefall.ownership.model import LAST_KEY
from greengagefall.platform.records import ROUTING_KEY, SERVERS_PREFIX
from greengagefall.platform.settings import SETTINGS_FILE_ENV_VAR
from greengagefall.standins.platform_documents import routing, settings_text
from greengagefall.standins.platform_server import AcceptedGrant, PlatformServerStandIn
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.waiting import wait_until

if TYPE_CHECKING:
    from greengagefall.bench.gateway_holds import Overlap

PROGRAM = "greengagefall.commands.gateway"
PLANTED_PROGRAM = "greengagefall.bench.planted_gateway"
ZONES = ("north-a", "north-b")
SHUTDOWN_GRACE_S = 4.0
START_TIMEOUT_S = 20.0
# Time from a server's crash until the stand-in store deletes its entry.
ENTRY_EXPIRY_S = 1.5
EVENTS_LOG = "events.log"
RENEWAL_LEAD_S = 0.05
# The operators allow a server that names a rate limit this much more in any window.
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
LIMIT_WINDOW_S = 4.0
# The operators excuse grants that arrive within this time after a partition has ended.
HEAL_SLACK_S = 0.3


class Violation(NamedTuple):
    """A broken invariant and when it was found.

    ``at_s`` is a time of ``time.monotonic()``, 0 if the records showed it after the soak.
    """

    at_s: float
    text: str


class _TakenKeys(NamedTuple):
    """Keys that an incarnation of a server took by a grant."""

    service: str
    server_id: str
    start_ms: int
    first: int
    last: int


class GatewayFleet:
    """Gateway hosts as processes, with servers and store inside the current process.

    Args:
        hosts: Number of hosts.
        servers: Number of servers of the keyed service.
        planted_fault: Name of a planted fault, empty for none.

    Attributes:
        callers: Address (``IP:port``) of each host's listener for callers, by host.
        servers: Server stand-ins by id.
        server_links: Proxy in front of each server, by server id.
        store_links: Proxy between each host and the store, by host.
        store: Store stand-in.
        processes: Processes of the hosts.
        violations: Violations found when servers were granted keys.
    """

    def __init__(self, hosts: int, servers: int, planted_fault: str = "") -> None:
        self.callers: dict[str, str] = {}
        self.servers: dict[str, PlatformServerStandIn] = {}
        self.server_links: dict[str, TcpProxy] = {}
        self.store_links: dict[str, TcpProxy] = {}
        self.store = PlatformStoreStandIn()
        self.processes = ProcessGroup()
        self.violations: list[Violation] = []
        self._ports = PortBlock()
        self._planted_fault = planted_fault
        self._crashed: set[str] = set()
        self._taken: dict[_TakenKeys, int] = {}
        # Without the grants that arrived just after a partition, and without those held up.
        self._holds_beyond_slack = HoldLog()
        self._holds_in_time = HoldLog()
        self._requests: list[BegunRequest] = []
        self._version = 1
        self._states: dict[str, str] = {}
        self._hosts = [f"edge-{number}" for number in range(hosts)]
        for number in range(servers):
            name = f"p{number}"
            zone = ZONES[number % len(ZONES)]
            self.servers[name] = PlatformServerStandIn(name, "proofdesk", zone, keyed=True)
        self.servers["b0"] = PlatformServerStandIn("b0", "benchline", ZONES[0], keyed=False)
        self._granted = {name: asyncio.Event() for name in self.servers}

    async def start(self) -> None:
        """Starts all stand-ins and hosts and waits until servers hold all keys.

        Raises:
            TimeoutError: Some keys are not held after ``START_TIMEOUT_S``.
        """
        self._ports.start()
        await self.store.start()
        await self.store.put_json(ROUTING_KEY, routing(self._version))
        for name, server in self.servers.items():
            await server.start()
            server.on_grant = self._record_grant
            server.on_release = self._record_release
            server.on_request = self._record_request
            link = TcpProxy(server.address)
            await link.start()
            self.server_links[name] = link
            await self.write_server_entry(name)
        for number, host in enumerate(self._hosts):
            await self._start_host(host, ZONES[number % len(ZONES)])
        if not await wait_until(self.all_keys_held, START_TIMEOUT_S):
            raise TimeoutError(f"servers do not hold all keys {START_TIMEOUT_S} s after the start")

    async def close(self) -> None:
        """Stops all processes and stand-ins."""
        await asyncio.to_thread(self.processes.close)
        self._ports.close()
        for link in (*self.server_links.values(), *self.store_links.values()):
            await link.close()
        for server in self.servers.values():
            await server.close()
        await self.store.close()

    def log_event(self, text: str) -> None:
        """Appends a line with the time of day to the events, which lie beside the hosts' logs."""
        now = datetime.datetime.now()
        with (self.processes.log_dir / EVENTS_LOG).open("a", encoding="utf-8") as events:
            events.write(f"{now.isoformat(' ', 'milliseconds')} {text}\n")

    def hosts(self) -> list[str]:
        """Returns the names of all hosts."""
        return list(self._hosts)

    def all_keys_held(self) -> bool:
        """Returns whether servers that have not crashed hold every key."""
        now_s = time.monotonic()
        held = sum(
            last - first + 1
            for name, server in self.servers.items()
            if name not in self._crashed
            for (first, last), (_, end_s) in server.grants.items()
            if end_s > now_s
        )
        return held >= LAST_KEY + 1

    def kill_hosts(self, hosts: list[str]) -> None:
        """Kills running hosts; held data that they have written is delivered late."""
        ports = self.processes.ports(hosts)
        links = (*self.server_links.values(), *self.store_links.values())
        left_behind = sum(link.outlive(ports.__contains__) for link in links)
        for host in hosts:
            self.processes.kill(host)
        self.log_event(f"{hosts} killed with {left_behind} connections that hold data back")

    async def stop_host(self, host: str) -> None:
        """Stops a running host gracefully; one that doesn't end although it runs is a violation."""
        began_s = time.monotonic()
        self.processes.terminate(host)
        ended = await wait_until(lambda: not self.processes.is_running(host), STOP_TIMEOUT_S)
        if not ended and self.processes.ran_since(host, began_s):
            self._report(f"{host} had not ended {STOP_TIMEOUT_S} s after its stop signal")

    def holds_keys(self, name: str) -> bool:
        """Returns whether a server holds any keys now."""
        return any(end_s > time.monotonic() for _, end_s in self.servers[name].grants.values())

    async def wait_before_renewal(self, name: str) -> None:
        """Waits until a server's grant is about to be renewed, or until none comes."""
        self._granted[name].clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2 * RENEW_INTERVAL_S):
                await self._granted[name].wait()
                await asyncio.sleep(RENEW_INTERVAL_S - RENEWAL_LEAD_S)

    async def write_server_entry(self, name: str, state: str = "ready") -> None:
        """Writes a server's entry to the store."""
        self._states[name] = state
        link = self.server_links[name]
        entry = self.servers[name].entry(address=link.address, state=state)
        await self.store.put_json(SERVERS_PREFIX + name, entry)

    async def crash_server(self, name: str) -> None:
        """Crashes a server and deletes its entry after ``ENTRY_EXPIRY_S``."""
        self._crashed.add(name)
        link = self.server_links[name]
        link.refuses = True
        self.servers[name].crashed = True
        self._restart(name)
        await self.expire_server_entry(name)

    async def restart_server(self, name: str) -> None:
        """Restarts a crashed server under its id as a new incarnation."""
        self.server_links[name].clear_faults()
        self._crashed.discard(name)
        self.servers[name].crashed = False
        await self.write_server_entry(name)

    async def restart_server_unseen(self, name: str, unseen_s: float, down_s: float = 0.0) -> None:
        """Restarts a server under its id; the store has its old entry for ``unseen_s`` more.

        Args:
            name: Id of the server.
            unseen_s: Time from the new start until the server writes its entry.
            down_s: Time from the crash until the new start; hosts' connections end at the crash.
        """
        self._restart(name)
        if down_s:
            link, server = self.server_links[name], self.servers[name]
            link.refuses = server.crashed = True
            await asyncio.sleep(down_s)
            link.refuses = server.crashed = False
        await asyncio.sleep(unseen_s)
        await self.renew_server_entry(name)

    async def expire_server_entry(self, name: str) -> None:
        """Deletes the entry of a server that no longer reaches the platform."""
        await asyncio.sleep(ENTRY_EXPIRY_S)
        await self.store.delete(SERVERS_PREFIX + name)

    async def renew_server_entry(self, name: str) -> None:
        """Writes the last entry of a server that reaches the platform again."""
        if name not in self._crashed:
            await self.write_server_entry(name, self._states[name])

    async def write_all_again(self) -> None:
        """Writes what operators and servers wrote last, after a restore of the store."""
        await self.store.put_json(ROUTING_KEY, routing(self._version))
        for name, state in list(self._states.items()):
            if name not in self._crashed:
                await self.write_server_entry(name, state)
        await asyncio.sleep(ENTRY_EXPIRY_S)
        for name in self._crashed & self._states.keys():
            await self.store.delete(SERVERS_PREFIX + name)

    def check_rate(self, server: PlatformServerStandIn, known_s: float) -> None:
        """Records a violation if a server got more requests than it named and operators allow.

        Args:
            server: The server, which has named its limit since its first recorded request.
            known_s: Time after that request from which the limit has to be kept.
        """
        if not server.limited_s:
            return
        known_from_s = server.limited_s[0] + known_s
        allowed = LIMIT_FACTOR * server.rate_limit_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS
        counted = [at_s for at_s in server.limited_s if at_s >= known_from_s]
        for start_s in counted:
            got = sum(start_s <= at_s < start_s + LIMIT_WINDOW_S for at_s in counted)
            if got > allowed:
                text = f"{server.server_id} got {got} requests in {LIMIT_WINDOW_S} s, not {allowed}"
                self.violations.append(Violation(start_s, text))
                return

    async def change_configuration(self) -> None:
        """Writes the next configuration version."""
        self._version += 1
        await self.store.put_json(ROUTING_KEY, routing(self._version))

    async def _start_host(self, host: str, zone: str) -> None:
        link = TcpProxy(self.store.address)
        await link.start()
        self.store_links[host] = link
        ports = (self._ports.take(), self._ports.take(), self._ports.take())
        text = settings_text(host, zone, "127.0.0.1", ports, link.address, SHUTDOWN_GRACE_S)
        path = self.processes.log_dir / f"{host}.conf"
        path.write_text(text)
        self.callers[host] = f"127.0.0.1:{ports[0]}"
        module = PLANTED_PROGRAM if self._planted_fault else PROGRAM
        planted_arguments = (self._planted_fault,) if self._planted_fault else ()
        spec = ProcessSpec(
            host,
            module,
            (*planted_arguments, "--metrics-port", "0"),
            ((SETTINGS_FILE_ENV_VAR, str(path)),),
        )
        self.processes.start(spec)

    def check_overlaps(self) -> None:
        """Records a violation for keys that two running servers held at once.

        That is for any time by grants that were neither held up nor applied late, although
        operators allow half a second; and by others while both began requests for such keys.
        """
        now_s = time.monotonic()
        for overlap in self._holds_in_time.overlaps(now_s):
            self._report_overlap(overlap, f"for {overlap.until_s - overlap.from_s:.2f} s")
        overlaps = self._holds_beyond_slack.overlaps(now_s)
        for overlap in with_requests_of_both(overlaps, self._requests):
            self._report_overlap(overlap, "while both began requests for such keys")

    def _restart(self, name: str) -> None:
        link = self.server_links[name]
        self.servers[name].restart(link.target_ports())
        link.reset()
        for log in (self._holds_beyond_slack, self._holds_in_time):
            log.restart(name, time.monotonic())

    def _record_grant(self, server: PlatformServerStandIn, grant: AcceptedGrant) -> None:
        now_s = time.monotonic()
        link = self.server_links[server.server_id]
        is_held_up = grant.is_delayed or grant.caller_port in link.late_ports
        after_heal_s = grant.arrived_s - link.healed_s
        is_in_slack = 0 <= after_heal_s <= HEAL_SLACK_S
        self.log_event(
            f"{server.server_id} was granted keys {grant.first}-{grant.last} by fence {grant.fence}"
            f" for {grant.end_s - now_s:.2f} s"
            + (", held up" if is_held_up else "")
            + (f", {after_heal_s:.2f} s after the heal" if is_held_up or is_in_slack else "")
        )
        self._granted[server.server_id].set()
        if grant.end_s <= now_s:
            return
        hold = Hold(server.server_id, grant.first, grant.last, now_s, grant.end_s)
        if not is_held_up:
            self._holds_in_time.grant(hold)
        if is_in_slack:
            return
        self._holds_beyond_slack.grant(hold)
        self._check_fence(server, grant)

    def _record_release(self, server: PlatformServerStandIn, first: int, last: int) -> None:
        for log in (self._holds_beyond_slack, self._holds_in_time):
            log.release(server.server_id, first, last, time.monotonic())

    def _record_request(self, server: PlatformServerStandIn, key: int) -> None:
        self._requests.append(BegunRequest(server.server_id, key, time.monotonic()))

    def _check_fence(self, server: PlatformServerStandIn, grant: AcceptedGrant) -> None:
        """Records a violation if keys were taken before by a fence that is not lower.

        That is by another server, or by another incarnation of this one.
        """
        first, last, fence = grant.first, grant.last, grant.fence
        granted = f"{server.server_id} was granted keys {first}-{last} by fence {fence}"
        taken = _TakenKeys(server.service, server.server_id, server.start_ms, first, last)
        for earlier, earlier_fence in self._taken.items():
            if _is_same_incarnation(earlier, taken) or earlier.service != taken.service:
                continue
            overlap = earlier.first <= last and first <= earlier.last
            if overlap and earlier_fence >= fence:
                self._report(
                    f"{granted}, but {earlier.server_id} took some of them by {earlier_fence} "
                    f"before, as incarnation {earlier.start_ms}"
                )
        self._taken[taken] = max(fence, self._taken.get(taken, 0))

    def _report_overlap(self, overlap: Overlap, how: str) -> None:
        ago = datetime.timedelta(seconds=time.monotonic() - overlap.from_s)
        since = (datetime.datetime.now() - ago).time().isoformat("milliseconds")
        one, other = overlap.server_ids
        keys = f"keys {overlap.first}-{overlap.last}"
        self._report(f"{one} and {other} both held {keys} {how}, from {since}")

    def _report(self, text: str) -> None:
        self.log_event(f"VIOLATION: {text}")
        self.violations.append(Violation(time.monotonic(), text))


def _is_same_incarnation(one: _TakenKeys, other: _TakenKeys) -> bool:
    return (one.server_id, one.start_ms) == (other.server_id, other.start_ms)
