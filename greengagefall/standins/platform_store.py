"""Small stand-in for the platform's store."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from collections import Counter
from typing import Any

import tornado.web

from greengagefall.standins.http import HttpListener, JsonHandler


class PlatformStoreStandIn:
    """Serves the store's calls from a dictionary.

    Attributes:
        key_values: Key-values by key.
        refuse: HTTP status with which every call is refused, 0 for none.
        lose_answers: Number of next transactions that are applied but get no answer.
        lose_watches: How many of the next watches of a prefix are never answered, by prefix; their
            connections stay open.
        calls: Number of calls by path.
        delay_watch_events: Whether watches report events only when their wait time has passed.
        watchers: Handlers of the open watches.
        restores: How often the store was restored from an older copy, counted from 1.
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.key_values: dict[str, dict[str, Any]] = {}
        self.refuse = 0
        self.lose_answers = 0
        self.lose_watches: Counter[str] = Counter()
        self.calls: dict[str, int] = {}
        self.delay_watch_events = False
        self.watchers: set[_WatchHandler] = set()
        self.restores = 1
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._expiry_task: asyncio.Task | None = None
        root = "/greengagefall/"
        handler_args = {"store": self}
        self._listener = HttpListener(
            address,
            [
                (root + "kv-key", _KeyHandler, handler_args),
                (root + "kv-range", _RangeHandler, handler_args),
                (root + "kv-watch", _WatchHandler, handler_args),
                (root + "kv-txn", _TxnHandler, handler_args),
                (root + "kv-lease", _LeaseHandler, handler_args),
                (root + "kv-keep/([0-9]+)", _LeaseKeepaliveHandler, handler_args),
                (root + "kv-lease-end/([0-9]+)", _LeaseEndHandler, handler_args),
            ],
        )

    @property
    def address(self) -> str:
        """``IP:port`` of the store."""
        return self._listener.address

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    async def start(self) -> None:
        """Starts listening."""
        await self._listener.start()
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stops listening."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        await self._listener.close()

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self._revision += 1
        created = self.key_values[key]["created"] if key in self.key_values else self._revision
        key_value = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self.key_values[key] = key_value
        await self._publish(key_value)

    async def put_json(self, key: str, fields: dict[str, Any]) -> None:
        """Writes a key whose value is a JSON object."""
        await self.put(key, json.dumps(fields).encode())

    async def delete(self, key: str) -> None:
        """Deletes a key if it exists."""
        if self.key_values.pop(key, None) is None:
            return
        self._revision += 1
        await self._publish({"key": key, "revision": self._revision, "tombstone": True})

    async def drop_history(self) -> None:
        """Drops all history; watches from an earlier revision are answered with 410."""
        self._compacted_revision = self._revision
        self._events.clear()
        self._wake_watches()

    def compact_to(self, revision: int) -> None:
        """Drops the history up to a revision, as a store does when it compacts old revisions."""
        self._compacted_revision = max(self._compacted_revision, revision)
        self._events = [event for event in self._events if event["revision"] > revision]

    def close_watches(self) -> None:
        """Closes the connections of all watches."""
        for watcher in list(self.watchers):
            watcher.request.connection.stream.close()

    def drop_events_silently(self) -> None:
        """Drops all events; watches from an earlier revision miss them without an error."""
        self._events.clear()

    def copy(self) -> tuple[dict[str, dict[str, Any]], dict[int, tuple[float, float]], int]:
        """Returns a copy of all data, for ``restore``."""
        return dict(self.key_values), dict(self._leases), self._revision

    async def restore(
        self, copy: tuple[dict[str, dict[str, Any]], dict[int, tuple[float, float]], int]
    ) -> None:
        """Goes back to an older copy; its revisions are given out again from there."""
        key_values, leases, self._revision = copy
        self.key_values = dict(key_values)
        now_s = time.monotonic()
        self._leases = {lease: (now_s + ttl_s, ttl_s) for lease, (_, ttl_s) in leases.items()}
        self._events = []
        self._compacted_revision = self._revision
        self.restores += 1
        self.close_watches()
        self._wake_watches()

    def value(self, key: str) -> bytes:
        """Returns the value of a key."""
        return base64.b64decode(self.key_values[key]["value"])

    def create_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        self._revision += 1
        self._leases[self._revision] = (time.monotonic() + ttl_s, ttl_s)
        return self._revision

    def keep_lease(self, lease: int) -> bool:
        """Renews a lease; returns whether it existed."""
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
        self._leases.pop(lease, None)
        for key in [
            key for key, key_value in self.key_values.items() if key_value["lease"] == lease
        ]:
            await self.delete(key)

    def lease_exists(self, lease: int) -> bool:
        """Returns whether a lease exists; 0 means no lease and is always valid."""
        return not lease or lease in self._leases

    async def events(self, prefix: str, after: int, wait_s: float) -> list[dict] | None:
        """Waits for events under a prefix after a revision.

        Returns:
            The events, empty if there are none within ``wait_s``; None if the history no longer
            reaches back to the revision.
        """
        end_s = time.monotonic() + wait_s
        while True:
            if after < self._compacted_revision or after > self._revision:
                return None
            found = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = end_s - time.monotonic()
            if (found and not self.delay_watch_events) or remaining_s <= 0:
                return found
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining_s, 0.5)):
                    await self._changed.wait()

    async def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self._leases.items()):
                if end_s < now_s:
                    await self.revoke_lease(lease)


class _StoreHandler(JsonHandler):
    store: PlatformStoreStandIn | None = None

    def initialize(self, store: PlatformStoreStandIn) -> None:
        self.store = store
        self.set_default_headers()

    def set_default_headers(self) -> None:
        # Tornado calls this before ``initialize`` too, and again for error answers.
        if self.store is not None:
            self.set_header("Store-Era", str(self.store.restores))

    def prepare(self) -> None:
        path = self.request.path
        self.store.calls[path] = self.store.calls.get(path, 0) + 1
        if self.store.refuse:
            raise tornado.web.HTTPError(self.store.refuse)

    def drop_answer(self) -> bool:
        """Closes the connection without an answer if ``lose_answers`` is set; returns whether."""
        if self.store.lose_answers <= 0:
            return False
        self.store.lose_answers -= 1
        self.request.connection.stream.close()
        return True


class _KeyHandler(_StoreHandler):
    def get(self) -> None:
        key_value = self.store.key_values.get(self.get_argument("key"))
        if key_value is None:
            raise tornado.web.HTTPError(404)
        self.finish({**key_value, "at": self.store.revision})


class _RangeHandler(_StoreHandler):
    PAGE_KEY_VALUES = 3

    def get(self) -> None:
        prefix = self.get_argument("prefix")
        after = self.get_argument("after", "")
        keys = [
            key for key in sorted(self.store.key_values) if key.startswith(prefix) and key > after
        ]
        page = [self.store.key_values[key] for key in keys[: self.PAGE_KEY_VALUES]]
        more = len(keys) > self.PAGE_KEY_VALUES
        self.finish({"items": page, "hasMore": more, "at": self.store.revision})


class _WatchHandler(_StoreHandler):
    async def get(self) -> None:
        after = int(self.get_argument("after"))
        wait_s = int(self.get_argument("waitMs")) / 1000
        prefix = self.get_argument("prefix")
        if self.store.lose_watches[prefix] > 0:
            self.store.lose_watches[prefix] -= 1
            self._auto_finish = False
            return
        self.store.watchers.add(self)
        try:
            found = await self.store.events(prefix, after, wait_s)
        finally:
            self.store.watchers.discard(self)
        if found is None:
            raise tornado.web.HTTPError(410)
        self.finish({"events": found, "at": self.store.revision})


class _TxnHandler(_StoreHandler):
    async def post(self) -> None:
        body = self.json_body()
        for row in body["expected"]:
            key_value = self.store.key_values.get(row["key"])
            if (key_value["revision"] if key_value else 0) != row["revision"]:
                self.set_status(412)
                self.finish({"items": []})
                return
        if not all(self.store.lease_exists(row.get("lease", 0)) for row in body["puts"]):
            raise tornado.web.HTTPError(404)
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            await self.store.put(row["key"], value, row.get("lease", 0))
        for key in body["deletes"]:
            await self.store.delete(key)
        if not self.drop_answer():
            self.finish({"revision": self.store.revision})


class _LeaseHandler(_StoreHandler):
    def post(self) -> None:
        ttl_s = self.json_body()["ttlS_time"]
        self.finish({"lease": self.store.create_lease(ttl_s), "ttlS_time": ttl_s})


class _LeaseKeepaliveHandler(_StoreHandler):
    def post(self, lease: str) -> None:
        if not self.store.keep_lease(int(lease)):
            raise tornado.web.HTTPError(404)
        self.finish({"ttlS_time": 1})


class _LeaseEndHandler(_StoreHandler):
    async def delete(self, lease: str) -> None:
        await self.store.revoke_lease(int(lease))
        self.finish({})
