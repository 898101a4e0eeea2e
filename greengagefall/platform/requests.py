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

REQUEST_ID_HEADER = "Request-Id"
DEADLINE_HEADER = "Deadline-Ms"
KEY_HEADER = "Shard-Key"
EXPECTED_SERVER_HEADER = "Expected-Instance"
SERVER_ID_HEADER = "Instance-Id"
SIGNATURE_HEADER = "Upstream-Signature"
LOAD_HEADER = "Upstream-Load"
NOT_EXECUTED_HEADER = "Not-Executed"

JSON_HEADERS = [["Content-Type", "application/json"]]
HTTP_MISDIRECTED_REQUEST = 421
MS_PER_S = 1000.0
PERCENT = 100.0

# Headers that concern one connection only, and those that this system sets itself.
DROPPED_REQUEST_HEADERS = frozenset(
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
DROPPED_ANSWER_HEADERS = DROPPED_REQUEST_HEADERS - {"request-id"} | {
    "date",
    "server",
    "upstream-load",
}


class ServerLoad(NamedTuple):
    """A server's own report of its load.

    Attributes:
        in_flight: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at once.
        slowdown_factor: How long work takes at the moment; 1 is as usual.
    """

    in_flight: int
    waiting: int
    slots: int
    slowdown_factor: float


class AnswerMetadata(NamedTuple):
    """What the headers of a server's answer say.

    Attributes:
        not_run: Whether the server says that the request did not run.
        misdirected: Whether another server than the expected one answered, or one
            that does not hold the key.
        signed: Whether a server made this answer.
        request_id: Request that it answers, empty if it does not tell.
        server_id: Id of the answering server, empty if it does not tell.
    """

    not_run: bool
    misdirected: bool
    signed: bool
    request_id: str
    server_id: str


def read_caller_request(request: HTTPServerRequest) -> CallerRequest:
    """Returns a caller's request; fields that can't be read take their defaults."""
    headers = request.headers
    passed_on = [
        [name, value]
        for name, value in headers.get_all()
        if name.lower() not in DROPPED_REQUEST_HEADERS
    ]
    host_name = headers.get("Host", "").partition(":")[0].lower()
    return CallerRequest(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        method=request.method,
        host_name=host_name,
        target=request.uri,
        headers=passed_on,
        body=request.body,
        timeout_s=_deadline_s(headers.get(DEADLINE_HEADER)),
        key=_key(headers.get(KEY_HEADER)),
    )


def server_request_headers(
    host_name: str,
    request_id: str,
    passed_on: Iterable[list[str]],
    remaining_s: float,
    server_id: str,
) -> list[list[str]]:
    """Returns the headers of a request to a backend server.

    Args:
        host_name: Host that the caller asked for.
        request_id: The caller's id.
        passed_on: The caller's other headers.
        remaining_s: Time left until nobody waits for the answer.
        server_id: The only server that may run it.
    """
    return [
        ["Host", host_name],
        *passed_on,
        [REQUEST_ID_HEADER, request_id],
        [DEADLINE_HEADER, str(max(1, int(remaining_s * MS_PER_S)))],
        [EXPECTED_SERVER_HEADER, server_id],
    ]


def read_answer_metadata(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    """Returns what a server's answer says about the request."""
    return AnswerMetadata(
        not_run=NOT_EXECUTED_HEADER in headers or status == HTTP_MISDIRECTED_REQUEST,
        misdirected=status == HTTP_MISDIRECTED_REQUEST,
        signed=SIGNATURE_HEADER in headers,
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        server_id=headers.get(SERVER_ID_HEADER, ""),
    )


def read_load(headers: HTTPHeaders) -> ServerLoad | None:
    """Returns the load that a server reports with an answer, if it does."""
    figures = headers.get(LOAD_HEADER, "").split(",")
    try:
        running, waiting, slots = (int(figure) for figure in figures[:3])
        slowdown = float(figures[3]) / PERCENT if len(figures) > 3 else 1.0
    except ValueError:
        return None
    return ServerLoad(running, waiting, slots, slowdown)


def caller_answer_headers(headers: HTTPHeaders) -> list[list[str]]:
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
