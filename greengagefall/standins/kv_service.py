"""Stand-in for the platform's key-value service: a subset of etcd's v3 JSON gateway.

``GET /counts`` returns the number of calls by kind; a watch counts as one call however long it
lasts. ``POST /fault`` sets faults by name.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections import Counter
from typing import Any, NamedTuple

import click
import tornado.iostream
import tornado.web

from greengagefall.standins.faults import change_faults
from greengagefall.standins.http import HttpListener, JsonHandler, serve_until_stopped
from greengagefall.standins.kv_json import (
    compare_holds,
    event_json,
    from_base64,
    key_value_json,
    read_delete,
    read_ops,
    read_put,
    without_zeros,
)
from greengagefall.standins.kv_state import (
    CompactedError,
    Event,
    KvState,
    LeaseNotFoundError,
    PutOp,
    in_range,
)
from greengagefall.utils.logs import setup_logging

log = logging.getLogger(__name__)

LEASE_CHECK_S = 0.05
OUTAGES = ("", "refuse", "hang")
CODE_INVALID = 3
CODE_NOT_FOUND = 5
CODE_UNAVAILABLE = 14


class KvFaults(NamedTuple):
    """Active faults.

    Attributes:
        outage: ``refuse`` answers calls with 503 and ends the watches, ``hang`` leaves calls
            unanswered; empty for no outage.
        slow_ms: Delay of each call in milliseconds.
        lose_answers: Number of next writes that take effect but get no answer.
        cut_hosts: Hosts whose calls get no answer, matched by the ``X-Host`` header.
        cut_zones: Zones whose calls get no answer, matched by the ``X-Zone`` header.
    """

    outage: str = ""
    slow_ms: float = 0.0
    lose_answers: int = 0
    cut_hosts: tuple[str, ...] = ()
    cut_zones: tuple[str, ...] = ()


class KvHandler(JsonHandler):
    """Base class of the gateway's handlers; counts calls and applies faults."""

    kind = ""

    def initialize(self, service: KvService) -> None:
        """Stores the service and its state."""
        self.service = service
        self.state = service.state

    async def prepare(self) -> None:
        """Counts the call, then delays, drops or refuses it according to the active faults.

        A call that gets no answer stays open until the faults change; then its connection is
        closed.
        """
        self.service.counts[self.kind] += 1
        faults = self.service.faults
        if faults.slow_ms > 0:
            await asyncio.sleep(faults.slow_ms / 1000)
        if self.service.is_silent(self.request.headers):
            await self.service.wait_fault_change()
            self.drop()
            return
        if faults.outage == "refuse":
            self.refuse(503, CODE_UNAVAILABLE, "etcdserver: no leader")

    def drop(self) -> None:
        """Closes the connection without an answer."""
        if not self._finished:
            self.detach().close()

    def refuse(self, status: int, code: int, message: str) -> None:
        """Answers an error in the form of etcd's gateway."""
        self.set_status(status)
        self.finish({"error": message, "code": code, "message": message})

    def answer(self, fields: dict[str, Any], *, wrote: bool = False) -> None:
        """Answers the call; drops the answer of a write if the fault ``lose_answers`` is set."""
        faults = self.service.faults
        if wrote and faults.lose_answers > 0:
            self.service.faults = faults._replace(lose_answers=faults.lose_answers - 1)
            self.drop()
            return
        self.finish({"header": self.header(), **without_zeros(fields)})

    def header(self) -> dict[str, str]:
        """Returns the ``header`` object of an answer."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.state.revision)}

    async def post(self) -> None:
        """Handles the call; answers 400 if it is malformed, 404 if its lease does not exist."""
        try:
            await self.call(self.json_body())
        except ValueError as error:
            self.refuse(400, CODE_INVALID, str(error))
        except LeaseNotFoundError:
            self.refuse(404, CODE_NOT_FOUND, "etcdserver: requested lease not found")

    async def call(self, body: dict[str, Any]) -> None:
        """Handles the parsed call and answers it."""
        raise NotImplementedError


class RangeHandler(KvHandler):
    """Reads keys."""

    kind = "range"

    async def call(self, body: dict[str, Any]) -> None:
        """Answers the key-values of a key range."""
        key_values = self.state.range(
            from_base64(body.get("key")), from_base64(body.get("range_end"))
        )
        limit = int(body.get("limit", 0)) or len(key_values)
        rows = [key_value_json(key_value) for key_value in key_values[:limit]]
        self.answer({"kvs": rows, "count": len(key_values), "more": limit < len(key_values)})


class PutHandler(KvHandler):
    """Writes one key."""

    kind = "put"

    async def call(self, body: dict[str, Any]) -> None:
        """Writes the key."""
        self.state.write([read_put(body)])
        self.answer({}, wrote=True)


class DeleteHandler(KvHandler):
    """Deletes keys."""

    kind = "delete"

    async def call(self, body: dict[str, Any]) -> None:
        """Deletes a key range."""
        counts = self.state.write([read_delete(body)])
        self.answer({"deleted": counts[0]}, wrote=True)


class TxnHandler(KvHandler):
    """Executes transactions."""

    kind = "txn"

    async def call(self, body: dict[str, Any]) -> None:
        """Applies the success branch if all compares hold, otherwise the failure branch."""
        success, failure = read_ops(body.get("success", [])), read_ops(body.get("failure", []))
        holds = [compare_holds(self.state, compare) for compare in body.get("compare", [])]
        ops = success if all(holds) else failure
        counts = self.state.write(ops)
        header = {"header": {"revision": str(self.state.revision)}}
        responses = []
        for op, deleted in zip(ops, counts, strict=True):
            if isinstance(op, PutOp):
                responses.append({"response_put": header})
            else:
                row = {**header, **without_zeros({"deleted": deleted})}
                responses.append({"response_delete_range": row})
        self.answer({"succeeded": all(holds), "responses": responses}, wrote=bool(ops))


class LeaseGrantHandler(KvHandler):
    """Grants leases."""

    kind = "lease_grant"

    async def call(self, body: dict[str, Any]) -> None:
        """Creates a lease and answers its id."""
        ttl_s = int(body.get("TTL", 0))
        if ttl_s <= 0:
            raise ValueError("etcdserver: TTL must be positive")
        lease = self.state.grant_lease(ttl_s)
        self.answer({"ID": lease.lease_id, "TTL": ttl_s}, wrote=True)


class LeaseKeepaliveHandler(KvHandler):
    """Renews leases."""

    kind = "lease_keepalive"

    async def call(self, body: dict[str, Any]) -> None:
        """Renews the lease and answers its time to live, or none if it does not exist."""
        lease_id = int(body.get("ID", 0))
        row = without_zeros({"ID": lease_id, "TTL": self.state.keep_lease(lease_id)})
        self.finish({"result": {"header": self.header(), **row}})


class LeaseRevokeHandler(KvHandler):
    """Revokes leases."""

    kind = "lease_revoke"

    async def call(self, body: dict[str, Any]) -> None:
        """Revokes the lease; fails if it does not exist."""
        if not self.state.revoke_lease(int(body.get("ID", 0))):
            raise LeaseNotFoundError
        self.answer({}, wrote=True)


class WatchHandler(KvHandler):
    """Streams the events of a key range, one JSON object per line."""

    kind = "watch"

    async def call(self, body: dict[str, Any]) -> None:
        """Streams events until the client or the service ends the watch."""
        self.set_header("Content-Type", "application/json")
        create_request = body.get("create_request") or {}
        first, end = (
            from_base64(create_request.get("key")),
            from_base64(create_request.get("range_end")),
        )
        start_revision = int(create_request.get("start_revision", 0)) or self.state.revision + 1
        batches: asyncio.Queue[list[Event] | None] = asyncio.Queue()
        self._batches = batches
        self.state.watch(batches.put_nowait)
        self.service.watches.add(self)
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            await self._stream(batches, start_revision, first, end)
        self.state.unwatch(batches.put_nowait)
        self.service.watches.discard(self)
        self.drop()

    async def _stream(
        self,
        batches: asyncio.Queue[list[Event] | None],
        start_revision: int,
        first: bytes,
        end: bytes,
    ) -> None:
        try:
            past_events = self.state.events_since(start_revision, first, end)
        except CompactedError:
            oldest = str(start_revision + 1)
            await self._send({"canceled": True, "compact_revision": oldest})
            await self.finish()
            return
        await self._send({"created": True})
        if past_events:
            await self._send({"events": [event_json(event) for event in past_events]})
        while (batch := await batches.get()) is not None:
            events = [
                event_json(event)
                for event in batch
                if in_range(event.key_value.key, first, end)
                and event.key_value.mod_revision >= start_revision
            ]
            if not events:
                continue
            while self.service.is_silent(self.request.headers):
                await self.service.wait_fault_change()
            await self._send({"events": events})

    async def _send(self, fields: dict[str, Any]) -> None:
        self.write(json.dumps({"result": {"header": self.header(), **fields}}) + "\n")
        await self.flush()

    def end(self) -> None:
        """Ends the watch."""
        self._batches.put_nowait(None)

    def on_connection_close(self) -> None:
        """Ends the watch when the client has disconnected."""
        if self in self.service.watches:
            self.end()


class CountsHandler(JsonHandler):
    """Returns the number of calls."""

    def initialize(self, service: KvService) -> None:
        """Stores the service."""
        self.service = service

    def get(self) -> None:
        """Answers the number of calls by kind and in total."""
        counts = dict(self.service.counts)
        self.finish({**counts, "total": sum(counts.values())})


class FaultHandler(CountsHandler):
    """Injects faults."""

    def post(self) -> None:
        """Sets the faults named in the body; ``lapse_leases`` expires all leases immediately."""
        body = self.json_body()
        expire_all = bool(body.pop("lapse_leases", False))
        try:
            self.service.set_faults(change_faults(self.service.faults, body))
        except ValueError as error:
            raise tornado.web.HTTPError(400, str(error)) from error
        if expire_all:
            self.service.state.expire_leases(float("inf"))
        self.finish(self.service.faults._asdict())


class KvService:
    """Serves the key-value service on one address.

    Args:
        listen: ``IP:port`` to listen on.
        data_file: File to which every write is appended, so that data survive a restart; empty
            for none.
    """

    def __init__(self, listen: str, data_file: str = "") -> None:
        self.state = KvState(data_file)
        self.counts: Counter[str] = Counter()
        self.faults = KvFaults()
        self.watches: set[WatchHandler] = set()
        self._fault_changed = asyncio.Event()
        self._expiry_task: asyncio.Task[None] | None = None
        handler_args = {"service": self}
        self._listener = HttpListener(
            listen,
            [
                (r"/v3/kv/range", RangeHandler, handler_args),
                (r"/v3/kv/put", PutHandler, handler_args),
                (r"/v3/kv/deleterange", DeleteHandler, handler_args),
                (r"/v3/kv/txn", TxnHandler, handler_args),
                (r"/v3/lease/grant", LeaseGrantHandler, handler_args),
                (r"/v3/lease/keepalive", LeaseKeepaliveHandler, handler_args),
                (r"/v3/lease/revoke", LeaseRevokeHandler, handler_args),
                (r"/v3/watch", WatchHandler, handler_args),
                (r"/counts", CountsHandler, handler_args),
                (r"/fault", FaultHandler, handler_args),
            ],
        )

    @property
    def address(self) -> str:
        """``IP:port`` on which the service listens."""
        return self._listener.address

    async def start(self) -> None:
        """Starts listening and expiring leases."""
        await self._listener.start()
        self._expiry_task = asyncio.create_task(self._expire_leases())
        log.info("Key-value service listens on %s.", self.address)

    async def close(self) -> None:
        """Ends the open calls and stops listening."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
            await asyncio.wait([self._expiry_task])
        self.set_faults(KvFaults())
        self._end_watches()
        await asyncio.sleep(0)
        await self._listener.close()
        self.state.close()

    def set_faults(self, faults: KvFaults) -> None:
        """Replaces the active faults and resumes the calls that wait for a change of faults."""
        if faults.outage not in OUTAGES:
            raise ValueError(f"outage is one of {OUTAGES}, not {faults.outage!r}")
        self.faults = faults
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()
        if faults.outage == "refuse":
            self._end_watches()

    def is_silent(self, headers: Any) -> bool:
        """Returns whether a caller gets no answer, due to the outage, its host or its zone."""
        faults = self.faults
        if faults.outage == "hang":
            return True
        return (
            headers.get("X-Host") in faults.cut_hosts or headers.get("X-Zone") in faults.cut_zones
        )

    async def wait_fault_change(self) -> None:
        """Waits until the faults are set the next time."""
        await self._fault_changed.wait()

    def _end_watches(self) -> None:
        for watch in self.watches:
            watch.end()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            self.state.expire_leases(time.monotonic())


@click.command()
@click.option("--listen", required=True, help="IP:port to listen on.")
@click.option("--data-file", default="", help="File that keeps every write over a restart.")
@click.option("--log-level", default="WARNING", show_default=True, help="Lowest level logged.")
def main(listen: str, data_file: str, log_level: str) -> None:
    """Runs a stand-in of the platform's key-value service until SIGTERM."""
    setup_logging(log_level)
    asyncio.run(_run(listen, data_file))


async def _run(listen: str, data_file: str) -> None:
    await serve_until_stopped(KvService(listen, data_file))


if __name__ == "__main__":
    main()
