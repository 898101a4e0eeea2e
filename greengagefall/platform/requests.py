"""Headers of callers' requests and of answers, as the platform spells them."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.dispatch.connection_pool import HttpRequest
from greengagefall.gateway.model import NO_KEY, CallerRequest
from greengagefall.ownership.model import LAST_KEY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tornado.httputil import HTTPHeaders, HTTPServerRequest

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
KEY = "Shard-Key"
EXPECTED_SERVER = "Expected-Instance"
ACTUAL_SERVER = "Instance-Id"
SIGNATURE = "Upstream-Signature"
LOAD = "Upstream-Load"
NOT_EXECUTED = "Not-Executed"

JSON_HEADERS = [["Content-Type", "application/json"]]
MISDIRECTED = 421
MS_PER_S = 1000.0
PERCENT = 100.0

# Headers that concern one connection only, and those that this system sets itself.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "deadline-ms",
        "expected-instance",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "request-id",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
DROPPED_ANSWER_HEADERS = HOP_HEADERS - {"request-id"} | {"date", "server", "upstream-load"}


class ServerLoad(NamedTuple):
    """A server's own report of its load.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at once.
        slowdown: How long work takes at the moment; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class ServerVerdict(NamedTuple):
    """What the headers of a server's answer say.

    Attributes:
        not_run: Whether the server says that the request did not run.
        other_server: Whether another server than the expected one answered, or one
            that does not hold the key.
        signed: Whether a server made this answer.
        request_id: Request that it answers, empty if it does not tell.
        server_id: Id of the answering server, empty if it does not tell.
    """

    not_run: bool
    other_server: bool
    signed: bool
    request_id: str
    server_id: str


def read_caller_request(request: HTTPServerRequest) -> CallerRequest:
    """Returns a caller's request; fields that can't be read take their defaults."""
    headers = request.headers
    passed_on = [
        [name, value] for name, value in headers.get_all() if name.lower() not in HOP_HEADERS
    ]
    host_name = headers.get("Host", "").partition(":")[0].lower()
    return CallerRequest(
        request_id=headers.get(REQUEST_ID, ""),
        method=request.method,
        host_name=host_name,
        target=request.uri,
        headers=passed_on,
        body=request.body,
        timeout_s=_deadline_s(headers.get(DEADLINE)),
        key=_key(headers.get(KEY)),
    )


def server_headers(
    host_name: str, request_id: str, passed_on: Iterable[list[str]], left_s: float, server_id: str
) -> list[list[str]]:
    """Returns the headers of a request to a backend server.

    Args:
        host_name: Host that the caller asked for.
        request_id: The caller's id.
        passed_on: The caller's other headers.
        left_s: Time left until nobody waits for the answer.
        server_id: The only server that may run it.
    """
    return [
        ["Host", host_name],
        *passed_on,
        [REQUEST_ID, request_id],
        [DEADLINE, str(max(1, int(left_s * MS_PER_S)))],
        [EXPECTED_SERVER, server_id],
    ]


def read_verdict(status: int, headers: HTTPHeaders) -> ServerVerdict:
    """Returns what a server's answer says about the request."""
    return ServerVerdict(
        not_run=NOT_EXECUTED in headers or status == MISDIRECTED,
        other_server=status == MISDIRECTED,
        signed=SIGNATURE in headers,
        request_id=headers.get(REQUEST_ID, ""),
        server_id=headers.get(ACTUAL_SERVER, ""),
    )


def read_load(headers: HTTPHeaders) -> ServerLoad | None:
    """Returns the load that a server reports with an answer, if it does."""
    figures = headers.get(LOAD, "").split(",")
    try:
        running, waiting, slots = (int(figure) for figure in figures[:3])
        slowdown = float(figures[3]) / PERCENT if len(figures) > 3 else 1.0
    except ValueError:
        return None
    return ServerLoad(running, waiting, slots, slowdown)


def answer_headers(headers: HTTPHeaders) -> list[list[str]]:
    """Returns the headers of a server's answer that go to the caller."""
    return [
        [name, value]
        for name, value in headers.get_all()
        if name.lower() not in DROPPED_ANSWER_HEADERS
    ]


def json_request(method: str, path: str, fields: dict[str, object] | None) -> HttpRequest:
    """Returns a call with a JSON object as its body, or without one for None."""
    if fields is None:
        return HttpRequest(method, path, [], b"")
    body = json.dumps(fields, separators=(",", ":")).encode()
    return HttpRequest(method, path, JSON_HEADERS, body)


def _deadline_s(value: str | None) -> float:
    try:
        return float(value) / MS_PER_S if value else math.inf
    except ValueError:
        return math.inf


def _key(value: str | None) -> int:
    if value is None or not value.isdecimal():
        return NO_KEY
    key = int(value)
    return key if key <= LAST_KEY else NO_KEY
