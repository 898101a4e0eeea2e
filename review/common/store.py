"""Stand-in for the platform's metadata store, with the calls of PROTOCOL.md."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler

PAGE_ITEMS = 500
ROOT = "/greengagefall/"


class Store:
    """Keeps all keys in memory; nothing that it acknowledged is lost.

    Attributes:
        revision: Revision of the last change.
        down: Whether the store gives no response to any call, without doing anything. Leases pause
            meanwhile. A connection on which a response is lost returns nothing further.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.down = False
        self.outages = 0
        self.watches: set[_Watch] = set()
        self.items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None
        self._expiry: asyncio.Task | None = None

    async def start(self, ip: str, port: int) -> None:
        """Serves the store's calls on an address."""
        arguments = {"store": self}
        routes = [
            (ROOT + "kv-key", _Key, arguments),
            (ROOT + "kv-range", _Range, arguments),
            (ROOT + "kv-watch", _Watch, arguments),
            (ROOT + "kv-txn", _Txn, arguments),
            (ROOT + "kv-lease", _Lease, arguments),
            (ROOT + "kv-keep/([0-9]+)", _Keep, arguments),
            (ROOT + "kv-lease-end/([0-9]+)", _LeaseEnd, arguments),
        ]
        self._server = HTTPServer(Application(routes, log_function=lambda _: None))
        self._server.listen(port, ip)
        self._expiry = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stops serving."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    async def stop_answering(self, duration_s: float) -> None:
        """Gives no response to any call for some time; waiting watches get none either."""
        self.down = True
        self.outages += 1
        await asyncio.sleep(duration_s)
        self.down = False
        self._leases = {
            lease: (end_s + duration_s, ttl_s) for lease, (end_s, ttl_s) in self._leases.items()
        }

    def cut_watches(self) -> int:
        """Ends the connections of all waiting watches; returns how many there were."""
        watches = list(self.watches)
        for watch in watches:
            watch.request.connection.stream.close()
        return len(watches)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; the return of this call is the acknowledgement."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._publish(item)
        return self.revision

    def put_json(self, key: str, fields: dict[str, Any]) -> int:
        """Writes a key whose value is a JSON object."""
        return self.put(key, json.dumps(fields).encode())

    def delete(self, key: str) -> None:
        """Deletes a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._publish({"key": key, "revision": self.revision, "tombstone": True})

    def json(self, key: str) -> Any:
        """Returns the JSON value of a key, None without one."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def new_lease(self, ttl_s: float) -> int:
        """Returns the id of a new lease."""
        self.revision += 1
        self._leases[self.revision] = (time.monotonic() + ttl_s, ttl_s)
        return self.revision

    def keep(self, lease: int) -> bool:
        """Renews a lease; returns whether it exists."""
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return True

    def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def has_lease(self, lease: int) -> bool:
        """Returns whether a lease exists; 0 stands for none."""
        return not lease or lease in self._leases

    async def events(self, prefix: str, after: int, wait_s: float) -> list[dict[str, Any]]:
        """Returns the changes after a revision as soon as there are any."""
        end_s = time.monotonic() + wait_s
        while True:
            found = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = end_s - time.monotonic()
            if found or remaining_s <= 0:
                return found
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self._leases.items()):
                if end_s < now_s and not self.down:
                    self.end_lease(lease)


class _Call(RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    async def prepare(self) -> None:
        """Leaves a call without a response while the store is down."""
        if self.store.down:
            await self.no_response()

    async def no_response(self) -> None:
        """Never answers; the connection returns nothing further."""
        await asyncio.Event().wait()

    def body(self) -> dict[str, Any]:
        return json.loads(self.request.body or b"{}")


class _Key(_Call):
    def get(self) -> None:
        item = self.store.items.get(self.get_argument("key"))
        if item is None:
            raise HTTPError(404)
        self.finish({**item, "at": self.store.revision})


class _Range(_Call):
    def get(self) -> None:
        prefix = self.get_argument("prefix")
        after = self.get_argument("after", "")
        keys = [key for key in sorted(self.store.items) if key.startswith(prefix) and key > after]
        page = [self.store.items[key] for key in keys[:PAGE_ITEMS]]
        self.finish({"items": page, "hasMore": len(keys) > PAGE_ITEMS, "at": self.store.revision})


class _Watch(_Call):
    async def get(self) -> None:
        wait_s = int(self.get_argument("waitMs")) / 1000
        after = int(self.get_argument("after"))
        outages = self.store.outages
        self.store.watches.add(self)
        try:
            events = await self.store.events(self.get_argument("prefix"), after, wait_s)
        finally:
            self.store.watches.discard(self)
        if self.request.connection.stream.closed():
            return
        if self.store.outages != outages:
            await self.no_response()
        self.finish({"events": events, "at": self.store.revision})


class _Txn(_Call):
    def post(self) -> None:
        body = self.body()
        items = self.store.items
        for row in body["expected"]:
            item = items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                self.set_status(412)
                self.finish(
                    {"items": [items[r["key"]] for r in body["expected"] if r["key"] in items]}
                )
                return
        if not all(self.store.has_lease(row.get("lease", 0)) for row in body["puts"]):
            raise HTTPError(404)
        for row in body["puts"]:
            self.store.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body["deletes"]:
            self.store.delete(key)
        self.finish({"revision": self.store.revision})


class _Lease(_Call):
    def post(self) -> None:
        ttl_s = self.body()["ttlS_time"]
        self.finish({"lease": self.store.new_lease(ttl_s), "ttlS_time": ttl_s})


class _Keep(_Call):
    def post(self, lease: str) -> None:
        if not self.store.keep(int(lease)):
            raise HTTPError(404)
        self.finish({"ttlS_time": 2})


class _LeaseEnd(_Call):
    def delete(self, lease: str) -> None:
        self.store.end_lease(int(lease))
        self.finish({})
