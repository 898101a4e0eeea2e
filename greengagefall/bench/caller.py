"""Callers with persistent connections, behind a stand-in for the platform's load balancer."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
import uuid
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpRequest
from greengagefall.dispatch.exceptions import AnswerLostError, NotSentError

if TYPE_CHECKING:
    from greengagefall.bench.fleet import Fleet
    from greengagefall.dispatch.connection_pool import HttpAnswer

MAX_ANSWER_BYTES = 4 * 1024 * 1024
READY_POLL_S = 0.3
MS_PER_S = 1000.0
NO_ANSWER = 0


class CallRow(NamedTuple):
    """Outcome of one request as its caller saw it.

    Attributes:
        request_id: Id of the request.
        back_end: Name of the back end.
        key: Key of the request, empty for pooled back ends.
        method: HTTP method.
        sent_s: Wall-clock time when the request was sent.
        done_s: Wall-clock time when the outcome was known.
        status: HTTP status, 0 without an answer.
        reason: Reason of a refusal; ``lost`` or ``not_sent`` without an answer.
        not_run: Whether the refusal says that the request was not executed.
        body_request_id: Request id in the answer's body.
        run: Number of the execution in the answer's body.
    """

    request_id: str
    back_end: str
    key: str
    method: str
    sent_s: float
    done_s: float
    status: int
    reason: str
    not_run: bool
    body_request_id: str
    run: int

    @property
    def ok(self) -> bool:
        """Whether a backend server answered with success."""
        return 200 <= self.status < 300

    @property
    def latency_ms(self) -> float:
        """Time from sending until the outcome was known."""
        return (self.done_s - self.sent_s) * MS_PER_S


class Balancer:
    """Distributes requests over the entry hosts that report to be ready."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._pools = {
            entry.host: ConnectionPool(entry.http, MAX_ANSWER_BYTES)
            for entry in fleet.entries.values()
        }
        self._ready = list(self._pools)
        self._turn = itertools.count()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts polling which hosts are ready."""
        self._task = asyncio.create_task(self._poll_ready_hosts())

    async def close(self) -> None:
        """Stops polling and closes all connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for pool in self._pools.values():
            pool.close()

    async def exchange(self, request: HttpRequest, timeout_s: float) -> HttpAnswer:
        """Sends a request through a ready host.

        Sends it through another host only if no part of the request was sent before.

        Raises:
            NotSentError: No host accepts a connection.
        """
        hosts = self._ready or list(self._pools)
        start = next(self._turn)
        for offset in range(len(hosts)):
            host = hosts[(start + offset) % len(hosts)]
            try:
                return await self._pools[host].exchange(request, timeout_s, lambda: True)
            except NotSentError:
                continue
        raise NotSentError(f"none of the entry hosts {hosts} accepts a connection")

    async def _poll_ready_hosts(self) -> None:
        while True:
            answers = await asyncio.gather(
                *(
                    self._fleet.get_json(entry.http, "/.greengagefall/ready")
                    for entry in self._fleet.entries.values()
                )
            )
            self._ready = [
                host
                for host, answer in zip(self._pools, answers, strict=True)
                if answer is not None and answer["ready"]
            ]
            await asyncio.sleep(READY_POLL_S)


class Caller:
    """Sends requests and records a row for each.

    Args:
        balancer: Balancer that requests are sent through.
        rng: Random generator of request ids.
    """

    def __init__(self, balancer: Balancer, rng: random.Random) -> None:
        self._balancer = balancer
        self._rng = rng
        self.rows: list[CallRow] = []

    async def request(
        self, back_end: str, key: str, method: str, timeout_ms: int = 3000, caller: str = ""
    ) -> CallRow:
        """Sends one request and returns its row."""
        request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        path = f"/{back_end}/{key}/item" if key else f"/{back_end}/item"
        headers = [["X-Request-Id", request_id], ["X-Timeout-Ms", str(timeout_ms)]]
        if caller:
            headers.append(["X-Caller", caller])
        sent_s = time.time()
        request = HttpRequest(method, path, headers, b"x" if method == "POST" else b"")
        status, body, reason = NO_ANSWER, {}, ""
        try:
            answer = await self._balancer.exchange(request, timeout_ms / MS_PER_S + 1.0)
            status = answer.status
            body = _parse_object(answer.body)
            reason = str(body.get("reason", ""))
        except NotSentError:
            reason = "not_sent"
        except AnswerLostError:
            reason = "lost"
        row = CallRow(
            request_id,
            back_end,
            key,
            method,
            sent_s,
            time.time(),
            status,
            reason,
            bool(body.get("not_run", reason == "not_sent")),
            str(body.get("request_id", "")),
            int(body.get("run", 0)),
        )
        self.rows.append(row)
        return row


def _parse_object(body: bytes) -> dict:
    try:
        parsed = json.loads(body)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}


class Workload(NamedTuple):
    """A mix of requests at a constant rate.

    Attributes:
        rate_per_s: Requests per second.
        keyed: Names of the keyed back ends.
        pooled: Names of the pooled back ends.
        key_count: Number of different keys.
        write_share: Share of POST requests.
    """

    rate_per_s: float
    keyed: tuple[str, ...]
    pooled: tuple[str, ...]
    key_count: int = 2000
    write_share: float = 0.3


async def run_workload(caller: Caller, workload: Workload, seconds: float, seed: int) -> None:
    """Sends requests at a constant rate and waits for all outcomes."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    pending: set[asyncio.Task] = set()
    number = 0
    while loop.time() - started_s < seconds:
        due_s = started_s + number / workload.rate_per_s
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        number += 1
        task = asyncio.create_task(_send_random_request(caller, workload, rng))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)


async def _send_random_request(caller: Caller, workload: Workload, rng: random.Random) -> None:
    back_ends = (*workload.keyed, *workload.pooled)
    back_end = rng.choice(back_ends)
    key = f"key-{rng.randrange(workload.key_count)}" if back_end in workload.keyed else ""
    method = "POST" if rng.random() < workload.write_share else "GET"
    await caller.request(back_end, key, method)
