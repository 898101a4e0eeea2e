"""Stand-in for a server: grants, requests, health, and its entry in the store."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from common.store import Store

HEARTBEAT_S = 0.87
SLOTS = 6
LAST_KEY = 65_535
SILENT_HEARTBEATS = 3


class Run(NamedTuple):
    """A request that a server began to work on."""

    request_id: str
    server_id: str
    at_s: float


class Held(NamedTuple):
    """Keys that a server held for some time, by one grant or its renewals.

    Attributes:
        server_id: The server.
        born: The start of its life.
        first: First key.
        last: Last key.
        fence: Fencing token.
        start_s: When it began to hold them.
        end_s: When it held them no longer.
        counted_start_s: The same by the grants that the rules count.
        counted_end_s: The same by the grants that the rules count.
    """

    server_id: str
    born: int
    first: int
    last: int
    fence: int
    start_s: float
    end_s: float
    counted_start_s: float
    counted_end_s: float


class Server:
    """A sound server of one service.

    Attributes:
        up: Whether its process runs.
        registered: Whether it keeps an entry in the store.
        counts: Returns whether the rules count a grant that arrives at a time.
        held: Keys that it no longer holds, and when it did.
        runs: Requests that it began to work on, in order.
        refused: Ids of requests that it rejected with ``Not-Executed``.
        state: What its entry says, ``ready`` or ``draining``.
    """

    def __init__(
        self, store: Store, server_id: str, service: str, zone: str, *, keyed: bool, work_s: float
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.work_s = work_s
        self.state = "ready"
        self.up = True
        self.runs: list[Run] = []
        self.refused: list[str] = []
        self.address = ""
        self.born = int(time.time() * 1000)
        self._store = store
        self._sequence = 0
        self._running = 0
        self.counts: Callable[[float], bool] = lambda _: True
        self._ip_port = ("", 0)
        self._written = asyncio.Event()
        self._written_s = 0.0
        self._reaches_store = True
        self.registered = True
        self.held: list[Held] = []
        self._holds: dict[tuple[int, int], Held] = {}
        self._fences: list[tuple[int, int, int]] = []
        self._server: HTTPServer | None = None
        self._beats: asyncio.Task | None = None

    async def start(self, ip: str, port: int) -> None:
        """Serves on an address and registers in the store."""
        self.address = f"{ip}:{port}"
        self._ip_port = (ip, port)
        self._listen()
        self._beats = asyncio.create_task(self._beat())

    def _listen(self) -> None:
        ip, port = self._ip_port
        arguments = {"server": self}
        routes = [
            ("/greengagefall/grant", _Grant, arguments),
            ("/greengagefall/release", _Release, arguments),
            ("/health", _Health, arguments),
            ("/.*", _Work, arguments),
        ]
        self._server = HTTPServer(Application(routes, log_function=lambda _: None))
        self._server.listen(port, ip, backlog=512)

    async def close(self) -> None:
        """Ends the server; its entry is deleted."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None
        self._store.delete(f"servers/{self.server_id}")
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None

    def cut_from_store(self) -> None:
        """Stops writing its entry, as behind a partition from the store."""
        self._reaches_store = False

    def reach_store(self) -> None:
        """Writes its entry again, at once and then regularly."""
        self._reaches_store = True
        self._write_entry()

    async def next_beat(self) -> None:
        """Waits until the server has just written its entry."""
        self._written.clear()
        await self._written.wait()

    async def crash(self) -> None:
        """Ends the process: its connections end, and what it held is forgotten."""
        self.up = False
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None
        self._drop(0, LAST_KEY)
        self._fences.clear()
        self._running = 0

    def start_again(self) -> None:
        """Starts again under the same id and at the same address, without any keys."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self.up = True
        self._listen()

    def drain(self) -> float:
        """Reports ``draining``; returns when the store acknowledged it."""
        self.state = "draining"
        self._write_entry()
        return time.monotonic()

    def deregister(self) -> float:
        """Removes its entry without reporting ``draining``; returns when the store did so."""
        self.registered = False
        self._store.delete(f"servers/{self.server_id}")
        return time.monotonic()

    def holds(self, key: int) -> bool:
        """Returns whether the server holds a key now."""
        now_s = time.monotonic()
        return any(
            first <= key <= last and held.end_s > now_s
            for (first, last), held in self._holds.items()
        )

    def grant(self, first: int, last: int, fence: int, hold_s: float) -> bool:
        """Takes keys unless a higher fencing token was seen on one of them."""
        if any(seen > fence for low, high, seen in self._fences if low <= last and first <= high):
            return False
        now_s = time.monotonic()
        self._fences.append((first, last, fence))
        known = self._holds.get((first, last))
        end_s = now_s + hold_s
        counts = self.counts(now_s)
        counted_end_s = end_s if counts else now_s
        if known is not None and known.fence == fence and known.end_s > now_s:
            # The same call again renews the grant.
            started_s = known.counted_start_s
            if counts and known.counted_end_s < now_s:
                started_s = now_s
            self._holds[first, last] = known._replace(
                end_s=max(known.end_s, end_s),
                counted_start_s=started_s,
                counted_end_s=max(known.counted_end_s, counted_end_s),
            )
            return True
        self._drop(first, last)
        self._holds[first, last] = Held(
            self.server_id, self.born, first, last, fence, now_s, end_s, now_s, counted_end_s
        )
        return True

    def release(self, first: int, last: int, fence: int) -> None:
        """Gives keys up."""
        self._fences.append((first, last, fence))
        self._drop(first, last)

    async def run(self, request_id: str) -> bool:
        """Works on a request; returns False if the server is full."""
        if self._running >= 4 * SLOTS:
            self.refused.append(request_id)
            return False
        self.runs.append(Run(request_id, self.server_id, time.monotonic()))
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        return True

    def all_held(self) -> list[Held]:
        """Returns all that the server has held and holds."""
        return [*self.held, *self._holds.values()]

    @property
    def load(self) -> str:
        """The value of ``Upstream-Load``."""
        return f"{min(SLOTS, self._running)},{max(0, self._running - SLOTS)},{SLOTS},100"

    def entry(self) -> dict[str, Any]:
        """Returns the entry that the server writes."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": SLOTS,
            "state": self.state,
            "warmupLeftS": 0.0,
            "sequence": self._sequence,
            "born": self.born,
        }

    def _drop(self, first: int, last: int) -> None:
        now_s = time.monotonic()
        kept = {}
        for (low, high), held in self._holds.items():
            if last < low or high < first:
                kept[low, high] = held
                continue
            ended = held._replace(
                end_s=min(held.end_s, now_s), counted_end_s=min(held.counted_end_s, now_s)
            )
            self.held.append(ended)
            for start, end in ((low, first - 1), (last + 1, high)):
                if start <= end and held.end_s > now_s:
                    kept[start, end] = held._replace(
                        first=start, last=end, start_s=now_s, counted_start_s=now_s
                    )
        self._holds = kept

    def _write_entry(self) -> None:
        self._written_s = time.monotonic()
        self._written.set()
        self._store.put_json(f"servers/{self.server_id}", self.entry())

    async def _beat(self) -> None:
        """Writes the entry; the store removes it after three intervals of silence."""
        self._write_entry()
        while True:
            await asyncio.sleep(0.01)
            if not self.registered:
                return
            silent_s = time.monotonic() - self._written_s
            if self._reaches_store and self.up:
                if silent_s >= HEARTBEAT_S and not self._store.down:
                    self._write_entry()
            elif silent_s >= SILENT_HEARTBEATS * HEARTBEAT_S:
                self._store.delete(f"servers/{self.server_id}")


class _Call(RequestHandler):
    def initialize(self, server: Server) -> None:
        self.server = server

    def expected(self) -> bool:
        """Answers 421 if another server is meant."""
        wanted = self.request.headers.get("Expected-Instance", self.server.server_id)
        if wanted == self.server.server_id:
            return True
        self.reject(421)
        return False

    def reject(self, status: int) -> None:
        self.set_status(status)
        self.set_header("Not-Executed", "1")
        self.set_header("Request-Id", self.request.headers.get("Request-Id", ""))
        self.finish({})


class _Grant(_Call):
    def post(self) -> None:
        if not self.expected():
            return
        body = json.loads(self.request.body)
        taken = self.server.grant(body["from"], body["target"], body["fence"], body["holdS"])
        self.set_status(200 if taken else 409)
        self.finish({})


class _Release(_Call):
    def post(self) -> None:
        if not self.expected():
            return
        body = json.loads(self.request.body)
        self.server.release(body["from"], body["target"], body["fence"])
        self.set_header("Handover", f"h{body['fence']}")
        self.finish({})


class _Health(_Call):
    def get(self) -> None:
        self.set_status(200 if self.server.state == "ready" else 503)
        self.set_header("Instance-Id", self.server.server_id)
        self.set_header("Upstream-Load", self.server.load)
        self.finish({})


class _Work(_Call):
    async def serve(self) -> None:
        """Runs a request of a client."""
        if not self.expected():
            return
        if self.server.keyed and not self.server.holds(
            int(self.request.headers.get("Shard-Key", -1))
        ):
            self.reject(421)
            return
        request_id = self.request.headers.get("Request-Id", "")
        if not await self.server.run(request_id):
            self.reject(503)
            return
        self.set_header("Request-Id", request_id)
        self.set_header("Upstream-Signature", f"s.{request_id}")
        self.set_header("Upstream-Load", self.server.load)
        self.finish(f"{self.server.server_id} ran {request_id}".encode())

    get = post = put = serve
