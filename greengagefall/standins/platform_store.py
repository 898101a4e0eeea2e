"""Small stand-in of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

import tornado.web

from greengagefall.standins.http import HttpListener, JsonHandler


class PlatformStoreStandIn:
    """The store's calls over an ordinary dictionary.

    Attributes:
        items: Items by key.
        refuse: Status with which every call is refused, 0 for none.
        lose_writes: How many writes are done and not answered.
        calls: Number of calls by path.
        deaf: Whether watches hear nothing of changes.
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.refuse = 0
        self.lose_writes = 0
        self.calls: dict[str, int] = {}
        self.deaf = False
        self.watchers: set[_Watch] = set()
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._oldest = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Condition()
        self._sweeper: asyncio.Task | None = None
        root = "/greengagefall/"
        given = {"store": self}
        self._listener = HttpListener(
            address,
            [
                (root + "kv-key", _Key, given),
                (root + "kv-range", _Range, given),
                (root + "kv-watch", _Watch, given),
                (root + "kv-txn", _Txn, given),
                (root + "kv-lease", _Lease, given),
                (root + "kv-keep/([0-9]+)", _Keep, given),
                (root + "kv-lease-end/([0-9]+)", _LeaseEnd, given),
            ],
        )

    @property
    def address(self) -> str:
        """``IP:port`` of the store."""
        return self._listener.address

    @property
    def revision(self) -> int:
        """Number of the last change."""
        return self._revision

    async def start(self) -> None:
        """Starts listening."""
        await self._listener.start()
        self._sweeper = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        """Stops listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self._listener.close()

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self._revision += 1
        created = self.items[key]["created"] if key in self.items else self._revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        await self._tell(item)

    async def put_json(self, key: str, fields: dict[str, Any]) -> None:
        """Writes a key whose value is a JSON object."""
        await self.put(key, json.dumps(fields).encode())

    async def delete(self, key: str) -> None:
        """Deletes a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self._revision += 1
        await self._tell({"key": key, "revision": self._revision, "tombstone": True})

    async def drop_history(self) -> None:
        """Drops all history; those who watch are told."""
        self._oldest = self._revision
        self._events.clear()
        async with self._changed:
            self._changed.notify_all()

    def forget_up_to(self, revision: int) -> None:
        """Drops the history up to a revision, as a store does with time."""
        self._oldest = max(self._oldest, revision)
        self._events = [event for event in self._events if event["revision"] > revision]

    def cut_watches(self) -> None:
        """Ends the connections of all who watch."""
        for watcher in list(self.watchers):
            watcher.request.connection.stream.close()

    def forget_quietly(self) -> None:
        """Drops events without telling those who watch from before them."""
        self._events.clear()

    def value(self, key: str) -> bytes:
        """Returns the value of a key."""
        return base64.b64decode(self.items[key]["value"])

    def lease(self, ttl_s: float) -> int:
        """Returns a new lease."""
        self._revision += 1
        self._leases[self._revision] = (time.monotonic() + ttl_s, ttl_s)
        return self._revision

    def keep(self, lease: int) -> bool:
        """Renews a lease; returns whether it existed."""
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return True

    async def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.delete(key)

    def knows_lease(self, lease: int) -> bool:
        """Returns whether a lease exists; 0 stands for none."""
        return not lease or lease in self._leases

    async def events(self, prefix: str, after: int, wait_s: float) -> list[dict] | None:
        """Returns events after a revision, None if they are no longer known."""
        end_s = time.monotonic() + wait_s
        while True:
            if after < self._oldest:
                return None
            found = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if (found and not self.deaf) or left_s <= 0:
                return found
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), min(left_s, 0.5))
                except TimeoutError:
                    continue

    async def _tell(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self._leases.items()):
                if end_s < now_s:
                    await self.end_lease(lease)


class _StoreHandler(JsonHandler):
    def initialize(self, store: PlatformStoreStandIn) -> None:
        self.store = store

    def prepare(self) -> None:
        path = self.request.path
        self.store.calls[path] = self.store.calls.get(path, 0) + 1
        if self.store.refuse:
            raise tornado.web.HTTPError(self.store.refuse)

    def lose(self) -> bool:
        """Drops the connection in place of an answer if a test asked for it."""
        if self.store.lose_writes <= 0:
            return False
        self.store.lose_writes -= 1
        self.request.connection.stream.close()
        return True


class _Key(_StoreHandler):
    def get(self) -> None:
        item = self.store.items.get(self.get_argument("key"))
        if item is None:
            raise tornado.web.HTTPError(404)
        self.finish({**item, "at": self.store.revision})


class _Range(_StoreHandler):
    PAGE = 3

    def get(self) -> None:
        prefix = self.get_argument("prefix")
        after = self.get_argument("after", "")
        keys = [key for key in sorted(self.store.items) if key.startswith(prefix) and key > after]
        page = [self.store.items[key] for key in keys[: self.PAGE]]
        more = len(keys) > self.PAGE
        self.finish({"items": page, "hasMore": more, "at": self.store.revision})


class _Watch(_StoreHandler):
    async def get(self) -> None:
        after = int(self.get_argument("after"))
        wait_s = int(self.get_argument("waitMs")) / 1000
        self.store.watchers.add(self)
        try:
            found = await self.store.events(self.get_argument("prefix"), after, wait_s)
        finally:
            self.store.watchers.discard(self)
        if found is None:
            raise tornado.web.HTTPError(410)
        self.finish({"events": found, "at": self.store.revision})


class _Txn(_StoreHandler):
    async def post(self) -> None:
        body = self.json_body()
        for row in body["expected"]:
            item = self.store.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                self.set_status(412)
                self.finish({"items": []})
                return
        if not all(self.store.knows_lease(row.get("lease", 0)) for row in body["puts"]):
            raise tornado.web.HTTPError(404)
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            await self.store.put(row["key"], value, row.get("lease", 0))
        for key in body["deletes"]:
            await self.store.delete(key)
        if not self.lose():
            self.finish({"revision": self.store.revision})


class _Lease(_StoreHandler):
    def post(self) -> None:
        ttl_s = self.json_body()["ttlS_time"]
        self.finish({"lease": self.store.lease(ttl_s), "ttlS_time": ttl_s})


class _Keep(_StoreHandler):
    def post(self, lease: str) -> None:
        if not self.store.keep(int(lease)):
            raise tornado.web.HTTPError(404)
        self.finish({"ttlS_time": 1})


class _LeaseEnd(_StoreHandler):
    async def delete(self, lease: str) -> None:
        await self.store.end_lease(int(lease))
        self.finish({})
