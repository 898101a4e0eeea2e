"""Gateway processes on loopback with stand-ins of the platform's store and servers."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from greengagefall.bench.processes import PortBlock, ProcessGroup, ProcessSpec
from greengagefall.bench.tcp_proxy import TcpProxy
from greengagefall.ownership.model import LAST_KEY
from greengagefall.platform.records import ROUTING_KEY, SERVERS_PREFIX
from greengagefall.platform.settings import SETTINGS_FILE_ENV_VAR
from greengagefall.standins.platform_documents import routing, settings_text
from greengagefall.standins.platform_server import PlatformServerStandIn
from greengagefall.standins.platform_store import PlatformStoreStandIn
from greengagefall.utils.waiting import wait_until

PROGRAM = "greengagefall.commands.gateway"
PLANTED_PROGRAM = "greengagefall.bench.planted_gateway"
ZONES = ("north-a", "north-b")
GRACE_S = 4.0
START_S = 20.0
# A server that ended without a word is taken out of the store after this long.
LAPSE_S = 1.5


class Violation(NamedTuple):
    """Something that must never happen, and when."""

    at_s: float
    text: str


class GatewayFleet:
    """Some hosts and servers; everything but the hosts' processes runs here.

    Args:
        hosts: Number of hosts.
        servers: Number of servers that are divided by key.
        plant: Name of a planted fault, empty for none.

    Attributes:
        callers: ``IP:port`` for callers, by host.
        servers: The servers by id.
        server_links: The proxy in front of each server, by id.
        store_links: The proxy between each host and the store, by host.
        store: The store.
        processes: The hosts' processes.
        violations: What servers saw that must never happen.
    """

    def __init__(self, hosts: int, servers: int, plant: str = "") -> None:
        self.callers: dict[str, str] = {}
        self.servers: dict[str, PlatformServerStandIn] = {}
        self.server_links: dict[str, TcpProxy] = {}
        self.store_links: dict[str, TcpProxy] = {}
        self.store = PlatformStoreStandIn()
        self.processes = ProcessGroup()
        self.violations: list[Violation] = []
        self._ports = PortBlock()
        self._plant = plant
        self._down: set[str] = set()
        self._version = 1
        self._hosts = [f"edge-{number}" for number in range(hosts)]
        for number in range(servers):
            name = f"p{number}"
            zone = ZONES[number % len(ZONES)]
            self.servers[name] = PlatformServerStandIn(name, "proofdesk", zone, keyed=True)
        self.servers["b0"] = PlatformServerStandIn("b0", "benchline", ZONES[0], keyed=False)

    async def start(self) -> None:
        """Starts everything and waits until all keys are held."""
        self._ports.start()
        await self.store.start()
        await self.store.put_json(ROUTING_KEY, routing(self._version))
        for name, server in self.servers.items():
            await server.start()
            server.on_grant = self._check_owner
            link = TcpProxy(server.address)
            await link.start()
            self.server_links[name] = link
            await self.list_server(name)
        for number, host in enumerate(self._hosts):
            await self._start_host(host, ZONES[number % len(ZONES)])
        if not await wait_until(self.all_held, START_S):
            raise TimeoutError("the keys are not all held after the start")

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        await asyncio.to_thread(self.processes.close)
        self._ports.close()
        for link in (*self.server_links.values(), *self.store_links.values()):
            await link.close()
        for server in self.servers.values():
            await server.close()
        await self.store.close()

    def hosts(self) -> list[str]:
        """Returns the names of all hosts."""
        return list(self._hosts)

    def all_held(self) -> bool:
        """Returns whether every key is held by a server that is up."""
        now_s = time.monotonic()
        held = sum(
            last - first + 1
            for name, server in self.servers.items()
            if name not in self._down
            for (first, last), (_, end_s) in server.grants.items()
            if end_s > now_s
        )
        return held >= LAST_KEY + 1

    async def list_server(self, name: str, state: str = "ready") -> None:
        """Writes a server's entry."""
        link = self.server_links[name]
        entry = self.servers[name].entry(address=link.address, state=state)
        await self.store.put_json(SERVERS_PREFIX + name, entry)

    async def crash_server(self, name: str) -> None:
        """Ends a server without a word; its entry lapses."""
        self._down.add(name)
        link = self.server_links[name]
        link.refuses = True
        link.reset()
        self.servers[name].restart()
        await asyncio.sleep(LAPSE_S)
        await self.store.delete(SERVERS_PREFIX + name)

    async def return_server(self, name: str) -> None:
        """Starts a crashed server again, as another life under its id."""
        self.server_links[name].heal()
        self._down.discard(name)
        await self.list_server(name)

    async def change_configuration(self) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        await self.store.put_json(ROUTING_KEY, routing(self._version))

    async def _start_host(self, host: str, zone: str) -> None:
        link = TcpProxy(self.store.address)
        await link.start()
        self.store_links[host] = link
        ports = (self._ports.take(), self._ports.take(), self._ports.take())
        text = settings_text(host, zone, "127.0.0.1", ports, link.address, GRACE_S)
        path = self.processes.log_dir / f"{host}.conf"
        path.write_text(text)
        self.callers[host] = f"127.0.0.1:{ports[0]}"
        module = PLANTED_PROGRAM if self._plant else PROGRAM
        plant = (self._plant,) if self._plant else ()
        spec = ProcessSpec(
            host, module, (*plant, "--metrics-port", "0"), ((SETTINGS_FILE_ENV_VAR, str(path)),)
        )
        self.processes.start(spec)

    def _check_owner(self, server: PlatformServerStandIn, first: int, last: int) -> None:
        """Notes if another server that is up holds any of the keys just granted."""
        now_s = time.monotonic()
        for name, other in self.servers.items():
            if other is server or other.service != server.service or name in self._down:
                continue
            for (low, high), (fence, end_s) in other.grants.items():
                if low <= last and first <= high and end_s > now_s:
                    text = f"{server.server_id} got {first}-{last}, {name} holds it by {fence}"
                    self.violations.append(Violation(now_s, text))
