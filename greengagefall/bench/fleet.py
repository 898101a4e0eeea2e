"""Runs a fleet on loopback: stand-ins, entry hosts and coordinators, each in its own process."""

from __future__ import annotations

import asyncio
import json
import uuid
from typing import Any, NamedTuple

from result import Err
from tornado.httpclient import AsyncHTTPClient, HTTPError

from greengagefall.bench.processes import ProcessGroup, ProcessSpec, free_addresses
from greengagefall.routing.exceptions import RoutingError
from greengagefall.routing.patch import Patch
from greengagefall.routing.registry import propose
from greengagefall.store.client import StoreClient
from greengagefall.store.exceptions import StoreError

STORE = "store"
HOST_LIST = "host-list"
READY_TIMEOUT_S = 40.0
POLL_S = 0.1
MAX_PATCH_ATTEMPTS = 100
PATCH_PAUSE_S = 0.3


class BackEndSpec(NamedTuple):
    """A back end of the fleet.

    Attributes:
        name: Name of the back end.
        kind: ``keyed`` or ``pooled``.
        servers_per_zone: Backend servers in each availability zone.
        slots: Slots of each server.
        service_ms: Time that a server takes to execute a request.
        slices: Number of slices of a keyed back end.
        cold_s: Duration of a server's cold start.
        checks_orders: Whether its servers check grants.
        policies: Names of policies by area.
        tuning: Tuning parameters of policies by name.
    """

    name: str
    kind: str
    servers_per_zone: int
    slots: int
    service_ms: float
    slices: int = 4096
    cold_s: float = 0.0
    checks_orders: bool = True
    policies: dict[str, str] = {}  # noqa: RUF012 - never changed
    tuning: dict[str, float] = {}  # noqa: RUF012 - never changed


class FleetSpec(NamedTuple):
    """Size and settings of a fleet.

    Attributes:
        zones: Names of the availability zones.
        entries_per_zone: Entry hosts in each zone.
        back_ends: The back ends.
        allow_faults: Whether entry hosts accept fault injection requests.
        planted_fault: Name of the planted fault of the entry hosts, empty for none.
    """

    zones: tuple[str, ...]
    entries_per_zone: int
    back_ends: tuple[BackEndSpec, ...]
    allow_faults: bool = True
    planted_fault: str = ""


class EntryAddress(NamedTuple):
    """Addresses of one entry host."""

    host: str
    zone: str
    http: str
    peer: str


class ServerAddress(NamedTuple):
    """Address of one backend server."""

    name: str
    back_end: str
    zone: str
    address: str


class Fleet:
    """Processes of a fleet, with the calls that tests and measurements need.

    Attributes:
        processes: The group of the fleet's processes.
        entries: Entry hosts by name.
        servers: Backend servers by name.
        store_address: Address of the key-value service.
        host_list_address: Address of the host list.
    """

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.processes = ProcessGroup()
        self.entries: dict[str, EntryAddress] = {}
        self.servers: dict[str, ServerAddress] = {}
        self._patch_tasks: set[asyncio.Task] = set()
        self._http = AsyncHTTPClient(force_instance=True, max_clients=50)
        self._assign_addresses()

    async def start(self) -> None:
        """Starts all processes, writes the first configuration and waits for readiness."""
        self._start_stand_ins()
        await self._wait_for_stand_ins()
        await self._register_hosts()
        await self._write_config()
        for entry in self.entries.values():
            self.start_entry(entry.host)
            self.start_coordinator(entry.host)
        await self.wait_ready()

    async def close(self) -> None:
        """Stops all processes."""
        await asyncio.to_thread(self.processes.close)
        self._http.close()

    def start_entry(self, host: str) -> None:
        """Starts an entry host's process."""
        entry = self.entries[host]
        arguments = [
            *self._host_arguments(entry),
            *("--http-listen", entry.http, "--peer-listen", entry.peer),
            *("--host-list", self.host_list_address),
        ]
        if self.spec.allow_faults:
            arguments.append("--allow-faults")
        module = "greengagefall.commands.entry"
        if self.spec.planted_fault:
            module = "greengagefall.bench.planted"
            arguments.insert(0, self.spec.planted_fault)
        self.processes.start(ProcessSpec(f"entry-{host}", module, tuple(arguments)))

    def start_coordinator(self, host: str) -> None:
        """Starts the coordinator's process of an entry host."""
        entry = self.entries[host]
        arguments = (
            *self._host_arguments(entry),
            *("--entry-peer", entry.peer),
            *("--store", self.store_address, "--host-list", self.host_list_address),
        )
        self.processes.start(
            ProcessSpec(f"coordinator-{host}", "greengagefall.commands.coordinator", arguments)
        )

    async def get_json(self, address: str, path: str) -> Any:
        """Returns a JSON document of a process, or None if there is no answer."""
        try:
            answer = await self._http.fetch(f"http://{address}{path}", request_timeout=5.0)
        except (HTTPError, OSError):
            return None
        return json.loads(answer.body)

    async def post_json(self, address: str, path: str, body: dict[str, Any]) -> Any:
        """Posts a JSON document; returns the JSON answer, or None if there is none."""
        try:
            answer = await self._http.fetch(
                f"http://{address}{path}",
                method="POST",
                body=json.dumps(body),
                request_timeout=5.0,
            )
        except (HTTPError, OSError):
            return None
        return json.loads(answer.body) if answer.body else None

    async def patch(self, merge: dict[str, Any]) -> int:
        """Patches the routing configuration and returns the new version."""
        store = StoreClient(self.store_address)
        await store.start()
        try:
            version = await self._latest_version(store)
            patch = Patch(version, uuid.uuid4().hex, merge)
            proposed = await propose(store, patch)
            if isinstance(proposed, Err):
                raise proposed.err_value
            return proposed.ok_value.version
        finally:
            await store.close()

    def start_patch(self, merge: dict[str, Any]) -> None:
        """Applies a patch in the background; retries it on errors as an operator would."""
        task = asyncio.create_task(self._patch_with_retries(merge))
        self._patch_tasks.add(task)
        task.add_done_callback(self._patch_tasks.discard)

    async def wait_for_patches(self) -> None:
        """Waits until no patch started by ``start_patch`` is pending."""
        await asyncio.gather(*self._patch_tasks)

    async def _patch_with_retries(self, merge: dict[str, Any]) -> None:
        for _ in range(MAX_PATCH_ATTEMPTS):
            try:
                await self.patch(merge)
                return
            except (RoutingError, StoreError):
                await asyncio.sleep(PATCH_PAUSE_S)

    async def statuses(self) -> dict[str, dict[str, Any] | None]:
        """Returns the status of each entry host, None for hosts that do not answer."""
        hosts = list(self.entries.values())
        found = await asyncio.gather(
            *(self.get_json(entry.http, "/.greengagefall/status") for entry in hosts)
        )
        return {entry.host: status for entry, status in zip(hosts, found, strict=True)}

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every entry host is ready and every server has a dispatcher."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        missing = "everything"
        while asyncio.get_running_loop().time() < deadline_s:
            missing = self._first_missing(await self.statuses())
            if not missing:
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(
            f"fleet is not ready after {timeout_s} s, missing: {missing}; logs: {self.log_dir()}"
        )

    def log_dir(self) -> str:
        """Returns the folder with the processes' logs."""
        return str(self.processes.log_dir)

    def _first_missing(self, statuses: dict[str, dict[str, Any] | None]) -> str:
        dispatched = set()
        for host, status in statuses.items():
            if status is None or not status["ready"]:
                return f"host {host}"
            for row in status["servers"]:
                if row["state"] in ("up", "cold"):
                    dispatched.add(row["server"])
        expected = {f"{one.back_end}/{one.name}" for one in self.servers.values()}
        undispatched = sorted(expected - dispatched)
        return f"dispatchers of {undispatched[:5]}" if undispatched else ""

    def _assign_addresses(self) -> None:
        spec = self.spec
        entry_count = len(spec.zones) * spec.entries_per_zone
        per_zone = sum(back_end.servers_per_zone for back_end in spec.back_ends)
        addresses = iter(free_addresses(2 + 2 * entry_count + per_zone * len(spec.zones)))
        self.store_address = next(addresses)
        self.host_list_address = next(addresses)
        for zone in spec.zones:
            for number in range(1, spec.entries_per_zone + 1):
                host = f"{zone}-entry-{number}"
                self.entries[host] = EntryAddress(host, zone, next(addresses), next(addresses))
        for back_end in spec.back_ends:
            for zone in spec.zones:
                for number in range(1, back_end.servers_per_zone + 1):
                    name = f"{back_end.name}-{zone}-{number}"
                    address = next(addresses)
                    self.servers[name] = ServerAddress(name, back_end.name, zone, address)

    def _host_arguments(self, entry: EntryAddress) -> tuple[str, ...]:
        return ("--host", entry.host, "--zone", entry.zone)

    def _start_stand_ins(self) -> None:
        data_file = str(self.processes.log_dir / "store.data")
        self.processes.start(
            ProcessSpec(
                STORE,
                "greengagefall.standins.kv_service",
                ("--listen", self.store_address, "--data-file", data_file),
            )
        )
        self.processes.start(
            ProcessSpec(
                HOST_LIST,
                "greengagefall.standins.host_list",
                ("--listen", self.host_list_address),
            )
        )
        for back_end in self.spec.back_ends:
            for server in self.servers.values():
                if server.back_end == back_end.name:
                    self._start_server(back_end, server)

    def _start_server(self, back_end: BackEndSpec, server: ServerAddress) -> None:
        checks = "--checks-orders" if back_end.checks_orders else "--no-checks-orders"
        arguments = (
            *("--listen", server.address, "--name", server.name),
            *("--slots", str(back_end.slots), "--service-ms", str(back_end.service_ms)),
            *("--cold-s", str(back_end.cold_s), checks),
            *("--journal", str(self.processes.log_dir / f"{server.name}.journal")),
        )
        self.processes.start(
            ProcessSpec(server.name, "greengagefall.standins.backend_server", arguments)
        )

    async def _wait_for_stand_ins(self) -> None:
        unanswered = {server.address: "/.server/status" for server in self.servers.values()}
        unanswered[self.host_list_address] = "/hosts"
        unanswered[self.store_address] = "/counts"
        deadline_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while unanswered:
            for address, path in list(unanswered.items()):
                if await self.get_json(address, path) is not None:
                    del unanswered[address]
            if asyncio.get_running_loop().time() > deadline_s:
                raise TimeoutError(
                    f"stand-ins did not answer within {READY_TIMEOUT_S} s: {unanswered}"
                )
            await asyncio.sleep(POLL_S)

    async def _register_hosts(self) -> None:
        for entry in self.entries.values():
            row = {"host": entry.host, "zone": entry.zone, "state": "live"}
            row.update(address=entry.peer, http=entry.http)
            await self.post_json(self.host_list_address, "/register", row)

    async def _write_config(self) -> None:
        document = {
            "zones": {zone: {"state": "in"} for zone in self.spec.zones},
            "back_ends": {one.name: self._back_end_document(one) for one in self.spec.back_ends},
        }
        await self.patch(document)

    def _back_end_document(self, back_end: BackEndSpec) -> dict[str, Any]:
        servers = {
            server.name: {
                "address": server.address,
                "zone": server.zone,
                "slots": back_end.slots,
                "cold_slots": 1,
            }
            for server in self.servers.values()
            if server.back_end == back_end.name
        }
        document: dict[str, Any] = {
            "kind": back_end.kind,
            "checks_orders": back_end.checks_orders,
            "timeout_ms": 3000,
            "policies": back_end.policies,
            "tuning": back_end.tuning,
            "classes": [
                {
                    "name": "read",
                    "methods": ["GET", "HEAD"],
                    "path_prefix": "/",
                    "repeatable": True,
                }
            ],
            "servers": servers,
        }
        if back_end.kind == "keyed":
            document["slices"] = back_end.slices
        return document

    async def _latest_version(self, store: StoreClient) -> int:
        found = await store.range("config/")
        if isinstance(found, Err):
            raise found.err_value
        values, _ = found.ok_value
        return max((int(value.key.rpartition("/")[2]) for value in values), default=0)
