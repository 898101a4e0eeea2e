"""Small stand-ins of the platform's store and backend servers, for tests."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

import tornado.web

from greengagefall.standins.http import HttpListener, JsonHandler

LOAD = "1,0,6,100"
SILENCE_S = 1.0


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
        return self._listener.address

    @property
    def revision(self) -> int:
        return self._revision

    async def start(self) -> None:
        await self._listener.start()
        self._sweeper = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self._listener.close()

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
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
        await self.put(key, json.dumps(fields).encode())

    async def delete(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self._revision += 1
        await self._tell({"key": key, "revision": self._revision, "tombstone": True})

    async def drop_history(self) -> None:
        self._oldest = self._revision
        self._events.clear()
        async with self._changed:
            self._changed.notify_all()

    def forget_up_to(self, revision: int) -> None:
        """Drops the history up to a revision, as a store does with time."""
        self._oldest = max(self._oldest, revision)
        self._events = [event for event in self._events if event["revision"] > revision]

    def cut_watches(self) -> None:
        for watcher in list(self.watchers):
            watcher.request.connection.stream.close()

    def forget_quietly(self) -> None:
        """Drops events without telling those who watch from before them."""
        self._events.clear()

    def value(self, key: str) -> bytes:
        return base64.b64decode(self.items[key]["value"])

    def lease(self, ttl_s: float) -> int:
        self._revision += 1
        self._leases[self._revision] = (time.monotonic() + ttl_s, ttl_s)
        return self._revision

    def keep(self, lease: int) -> bool:
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return True

    async def end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.delete(key)

    def knows_lease(self, lease: int) -> bool:
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


class PlatformServerStandIn:
    """A backend server that runs requests for keys that it holds.

    Attributes:
        server_id: Its id.
        ran: Ids of the requests that it ran.
        grants: Granted ranges with fence and end by ``time.monotonic``.
        refused_grants: Number of grants that a higher fence kept out.
        work_s: How long a request takes.
        swallow_grants: How many grants are left without an answer and not done.
        reset_grants: How many grants end with their connection and are not done.
    """

    def __init__(
        self, server_id: str, service: str, zone: str, *, keyed: bool, work_s: float = 0.005
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.ran: list[str] = []
        self.grants: dict[tuple[int, int], tuple[int, float]] = {}
        self.fences: list[tuple[int, int, int]] = []
        self.refused_grants = 0
        self.swallow_grants = 0
        self.reset_grants = 0
        self.handed_over: list[str] = []
        self.wrong_answers = 0
        given = {"server": self}
        self._listener = HttpListener(
            "127.0.0.1:0",
            [
                ("/greengagefall/grant", _Grant, given),
                ("/greengagefall/release", _Release, given),
                ("/health", _Health, given),
                ("/.*", _Work, given),
            ],
        )

    @property
    def address(self) -> str:
        return self._listener.address

    async def start(self) -> None:
        await self._listener.start()

    async def close(self) -> None:
        await self._listener.close()

    def entry(self, **changes: Any) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": 6,
            "state": "ready",
            "warmupLeftS": 0,
            "sequence": 1,
            "born": self.born_ms,
            **changes,
        }

    def restart(self) -> None:
        """Forgets everything, as another life under the same id and address."""
        self.born_ms += 1000
        self.grants.clear()
        self.fences.clear()

    def holds(self, key: int) -> bool:
        now_s = time.monotonic()
        return any(
            first <= key <= last and end_s > now_s
            for (first, last), (_, end_s) in self.grants.items()
        )

    def highest_fence(self, first: int, last: int) -> int:
        seen = [fence for low, high, fence in self.fences if low <= last and first <= high]
        return max(seen, default=0)

    def take_back(self, first: int, last: int) -> None:
        kept = {}
        for (low, high), grant in self.grants.items():
            for part in ((low, min(high, first - 1)), (max(low, last + 1), high)):
                if part[0] <= part[1]:
                    kept[part] = grant
        self.grants = kept


class _ServerHandler(JsonHandler):
    def initialize(self, server: PlatformServerStandIn) -> None:
        self.server = server


class _Grant(_ServerHandler):
    async def post(self) -> None:
        body = self.json_body()
        first, last, fence = body["from"], body["target"], body["fence"]
        if self.server.reset_grants > 0:
            self.server.reset_grants -= 1
            self.request.connection.stream.close()
            return
        if self.server.swallow_grants > 0:
            self.server.swallow_grants -= 1
            await asyncio.sleep(SILENCE_S)
            return
        if self.server.highest_fence(first, last) > fence:
            self.server.refused_grants += 1
            raise tornado.web.HTTPError(409)
        self.server.fences.append((first, last, fence))
        self.server.take_back(first, last)
        self.server.grants[first, last] = (fence, time.monotonic() + body["holdS"])
        if "handover" in body:
            self.server.handed_over.append(body["handover"])
        self.finish({})


class _Release(_ServerHandler):
    def post(self) -> None:
        body = self.json_body()
        self.server.fences.append((body["from"], body["target"], body["fence"]))
        self.server.take_back(body["from"], body["target"])
        self.set_header("Handover", f"{self.server.server_id}-{body['fence']}")
        self.finish({})


class _Health(_ServerHandler):
    def get(self) -> None:
        self.set_header("Instance-Id", self.server.server_id)
        self.set_header("Upstream-Load", LOAD)
        self.finish({})


class _Work(_ServerHandler):
    async def run(self) -> None:
        headers = self.request.headers
        request_id = headers.get("Request-Id", "")
        self.set_header("Instance-Id", self.server.server_id)
        if headers.get("Expected-Instance") != self.server.server_id:
            self._refuse(421)
            return
        if self.server.keyed and not self.server.holds(int(headers.get("Shard-Key", -1))):
            self._refuse(421)
            return
        self.server.ran.append(request_id)
        await asyncio.sleep(self.server.work_s)
        if self.server.wrong_answers > 0:
            self.server.wrong_answers -= 1
            request_id = "of-another-request"
        self.set_header("Request-Id", request_id)
        self.set_header("Upstream-Signature", f"signed.{request_id}")
        self.set_header("Upstream-Load", LOAD)
        self.finish(f"{self.server.server_id}:{self.request.uri}")

    get = post = put = delete = run

    def _refuse(self, status: int) -> None:
        self.set_header("Not-Executed", "1")
        self.set_status(status)
        self.finish({})
