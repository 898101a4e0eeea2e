"""Reads and writes the platform's headers of requests and answers."""

from __future__ import annotations

import json
import logging
import math
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.dispatch.connection_pool import HttpRequest
from greengagefall.gateway.model import NO_KEY, CallerRequest
from greengagefall.limits.server_rate_limit import UNLIMITED
from greengagefall.ownership.model import LAST_KEY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tornado.httputil import HTTPHeaders, HTTPServerRequest

log = logging.getLogger(__name__)

REQUEST_ID_HEADER = "Request-Id"
DEADLINE_HEADER = "Deadline-Ms"
KEY_HEADER = "Shard-Key"
EXPECTED_SERVER_HEADER = "Expected-Instance"
SERVER_ID_HEADER = "Instance-Id"
SIGNATURE_HEADER = "Upstream-Signature"
LOAD_HEADER = "Upstream-Load"
NOT_EXECUTED_HEADER = "Not-Executed"
RATE_LIMIT_HEADER = "Server-Limit"
API_KEY_HEADER = "Api-Key"
WORKSPACE_HEADER = "Tenant-Id"

# Values of the header that say the opposite of its name.
NOT_EXECUTED_DENIALS = frozenset({"", "0", "false", "no"})

# Python refuses to convert very long numbers.
MAX_KEY_DIGITS = 20

JSON_HEADERS = [["Content-Type", "application/json"]]
HTTP_MISDIRECTED_REQUEST = 421
MS_PER_S = 1000.0
PERCENT = 100.0
SUCCESSES = range(200, 300)

# Headers that apply to a single connection, and headers that this system sets itself.
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
# Headers that servers get only from this system if the configuration has workspaces.
WORKSPACE_HEADERS = frozenset({"api-key", "tenant-id"})
DROPPED_ANSWER_HEADERS = DROPPED_REQUEST_HEADERS - {"request-id"} | {
    "date",
    "not-executed",
    "server",
    "upstream-load",
}


class ReportedLoad(NamedTuple):
    """A server's own report of its load.

    Attributes:
        in_flight: Requests that it is executing.
        queued: Queued requests.
        slots: Requests that it can execute at once.
        slowdown_factor: Current service time relative to the usual one; 1 means no slowdown.
    """

    in_flight: int
    queued: int
    slots: int
    slowdown_factor: float


class AnswerMetadata(NamedTuple):
    """Facts about a request that a server states in the headers of its answer.

    Attributes:
        not_run: Whether the server reports that it did not execute the request.
        misdirected: Whether the answering server is not the expected one or does not
            hold the key.
        signed: Whether the signature header shows that a backend server made this answer.
        request_id: Id of the answered request, empty if the header is absent.
        server_id: Id of the answering server, empty if the header is absent.
    """

    not_run: bool
    misdirected: bool
    signed: bool
    request_id: str
    server_id: str


def read_caller_request(request: HTTPServerRequest) -> CallerRequest:
    """Returns a caller's request; malformed headers count as absent."""
    headers = request.headers
    forwarded = [
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
        headers=forwarded,
        body=request.body,
        timeout_s=_timeout_s(headers.get(DEADLINE_HEADER)),
        key=_key(headers.get(KEY_HEADER)),
        api_keys=tuple(_utf8(value) for value in headers.get_list(API_KEY_HEADER)),
    )


def with_workspace(headers: Iterable[list[str]], workspace: str) -> list[list[str]]:
    """Returns the headers for a server without the API key and with the workspace.

    Args:
        headers: The caller's headers.
        workspace: Name of the workspace, empty for none.
    """
    # Many servers take an underscore in the name of a header for a hyphen.
    kept = [
        [name, value]
        for name, value in headers
        if name.lower().replace("_", "-") not in WORKSPACE_HEADERS
    ]
    return [*kept, [WORKSPACE_HEADER, workspace]] if workspace else kept


def server_request_headers(
    host_name: str,
    request_id: str,
    forwarded: Iterable[list[str]],
    remaining_s: float,
    server_id: str,
) -> list[list[str]]:
    """Returns the headers of a request to a backend server.

    Args:
        host_name: Host name in the caller's request.
        request_id: The caller's id.
        forwarded: The caller's other headers.
        remaining_s: Time left until the caller's deadline.
        server_id: The only server that may execute it.
    """
    return [
        ["Host", host_name],
        *forwarded,
        [REQUEST_ID_HEADER, request_id],
        [DEADLINE_HEADER, str(max(1, int(remaining_s * MS_PER_S)))],
        [EXPECTED_SERVER_HEADER, server_id],
    ]


def read_answer_metadata(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    """Returns what the headers of a server's answer state about the request."""
    return AnswerMetadata(
        not_run=status == HTTP_MISDIRECTED_REQUEST or _says_not_executed(status, headers),
        misdirected=status == HTTP_MISDIRECTED_REQUEST,
        signed=SIGNATURE_HEADER in headers,
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        server_id=headers.get(SERVER_ID_HEADER, ""),
    )


def _says_not_executed(status: int, headers: HTTPHeaders) -> bool:
    """Returns whether a server states that it did not execute a request.

    A success says the opposite, so that the statement cannot be relied on.
    """
    value = headers.get(NOT_EXECUTED_HEADER)
    if value is None or status in SUCCESSES:
        return False
    return value.strip().lower() not in NOT_EXECUTED_DENIALS


def read_load(headers: HTTPHeaders) -> ReportedLoad | None:
    """Returns the load that a server reports with an answer, None without a valid report.

    The header holds requests in flight, queued requests, slots and, from some servers, the current
    service time in percent of the usual one.
    """
    fields = headers.get(LOAD_HEADER, "").split(",")
    try:
        in_flight, queued, slots = (int(field) for field in fields[:3])
        slowdown_factor = float(fields[3]) / PERCENT if len(fields) > 3 else 1.0
    except ValueError:
        return None
    if not 0 < slowdown_factor < math.inf:
        return None
    return ReportedLoad(in_flight, queued, slots, slowdown_factor)


def read_max_rate_per_s(headers: HTTPHeaders) -> float:
    """Returns the requests per second that a server takes from all hosts together.

    ``UNLIMITED`` if the answer names no limit or a malformed one.
    """
    value = headers.get(RATE_LIMIT_HEADER)
    if value is None:
        return UNLIMITED
    try:
        rate_per_s = float(value)
    except ValueError:
        rate_per_s = math.nan
    if rate_per_s >= 0:
        return rate_per_s
    log.warning("Malformed rate limit of a backend server is ignored.", extra={"value": value})
    return UNLIMITED


def caller_answer_headers(headers: HTTPHeaders) -> list[list[str]]:
    """Returns the headers of a server's answer that are forwarded to the caller."""
    return [
        [name, value]
        for name, value in headers.get_all()
        if name.lower() not in DROPPED_ANSWER_HEADERS
    ]


def json_request(method: str, path: str, fields: dict[str, object] | None) -> HttpRequest:
    """Returns a call with ``fields`` as its JSON body, or without a body for None."""
    if fields is None:
        return HttpRequest(method, path, [], b"")
    body = json.dumps(fields, separators=(",", ":")).encode()
    return HttpRequest(method, path, JSON_HEADERS, body)


def _timeout_s(value: str | None) -> float:
    try:
        timeout_s = float(value) / MS_PER_S if value else math.inf
    except ValueError:
        return math.inf
    return timeout_s if math.isfinite(timeout_s) else math.inf


def _utf8(value: str) -> str:
    """Returns a header value, which was decoded as Latin-1, decoded as UTF-8."""
    return value.encode("latin1").decode("utf-8", "surrogateescape")


def _key(value: str | None) -> int:
    if value is None or not value.isdecimal() or len(value) > MAX_KEY_DIGITS:
        return NO_KEY
    key = int(value)
    return key if key <= LAST_KEY else NO_KEY
