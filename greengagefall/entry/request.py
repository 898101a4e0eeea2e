"""Parses and validates callers' HTTP requests."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from result import Err, Ok, Result

from greengagefall.protocol import refusals
from greengagefall.routing.classes import match_class
from greengagefall.routing.model import KIND_KEYED

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders, HTTPServerRequest

    from greengagefall.routing.model import BackEnd, RequestClass, RoutingConfig

BACK_END_HEADER = "X-Back-End"
KEY_HEADER = "X-Key"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Timeout-Ms"
CALLER_HEADER = "X-Caller"
MAX_REQUEST_ID_CHARS = 128

# Path segments of the control interface of a backend server, and relative segments that a server
# might resolve to it.
RESERVED_SEGMENTS = frozenset({".server", ".", ".."})

# These headers are not forwarded. They concern one connection, or the dispatcher sets them itself.
DROPPED_REQUEST_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-back-end",
        "x-dispatch-fence",
        "x-request-id",
        "x-slice",
        "x-slice-fence",
        "x-timeout-ms",
    }
)


class CallerRequest(NamedTuple):
    """A validated request of a caller.

    Attributes:
        request_id: Request id of the caller, or a random one if the caller sent none.
        caller: Identity for fair queueing: ``X-Caller``, else the remote address.
        back_end: Back end of the request.
        key: Key of the request, empty for pooled back ends.
        request_class: Request class that matched.
        method: HTTP method.
        path: Path and query for the backend server.
        headers: Header names and values for the backend server.
        body: Complete body.
        timeout_ms: Time until the deadline of the request.
    """

    request_id: str
    caller: str
    back_end: BackEnd
    key: str
    request_class: RequestClass
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    timeout_ms: int


class BadRequest(NamedTuple):
    """Id of a request that is refused before routing, and the reason."""

    request_id: str
    reason: str


class _Address(NamedTuple):
    """Back end, key and path of a request.

    ``path`` is sent to the backend server. ``class_path`` selects the request class.
    """

    back_end: str
    key: str
    path: str
    class_path: str


def read_request(
    request: HTTPServerRequest, config: RoutingConfig
) -> Result[CallerRequest, BadRequest]:
    """Returns the validated request, or the reason why it is refused.

    Args:
        request: Complete request as read by the HTTP server.
        config: Current routing configuration.
    """
    request_id = request.headers.get(REQUEST_ID_HEADER, "") or uuid.uuid4().hex
    if len(request_id) > MAX_REQUEST_ID_CHARS or not request_id.isascii():
        return Err(BadRequest(uuid.uuid4().hex, refusals.BAD_REQUEST_ID))
    reason = _size_refusal_reason(request, config)
    if reason:
        return Err(BadRequest(request_id, reason))
    parsed = _parse_address(request, config)
    if isinstance(parsed, Err):
        return Err(BadRequest(request_id, parsed.err_value))
    address = parsed.ok_value
    if _is_reserved(address.path):
        return Err(BadRequest(request_id, refusals.BAD_PATH))
    back_end = config.back_ends[address.back_end]
    if len(address.key.encode()) > config.limits.key_bytes:
        return Err(BadRequest(request_id, refusals.KEY_TOO_LONG))
    timeout = _timeout_ms(request.headers, back_end, config)
    if isinstance(timeout, Err):
        return Err(BadRequest(request_id, timeout.err_value))
    return Ok(
        CallerRequest(
            request_id=request_id,
            caller=request.headers.get(CALLER_HEADER) or request.remote_ip or "unknown",
            back_end=back_end,
            key=address.key,
            request_class=match_class(back_end, request.method, address.class_path),
            method=request.method,
            path=address.path,
            headers=_forwarded_headers(request.headers),
            body=request.body,
            timeout_ms=timeout.ok_value,
        )
    )


def _size_refusal_reason(request: HTTPServerRequest, config: RoutingConfig) -> str:
    if len(request.body) > config.limits.body_bytes:
        return refusals.BODY_TOO_LARGE
    header_bytes = sum(len(name) + len(value) + 4 for name, value in request.headers.get_all())
    if header_bytes > config.limits.header_bytes:
        return refusals.HEADERS_TOO_LARGE
    return ""


def _parse_address(request: HTTPServerRequest, config: RoutingConfig) -> Result[_Address, str]:
    back_end_name = request.headers.get(BACK_END_HEADER)
    if back_end_name:
        return _address_from_headers(request, back_end_name, config)
    path, _, query = request.uri.partition("?")
    suffix = f"?{query}" if query else ""
    parts = path.split("/", 3)
    if len(parts) < 2 or not parts[1]:
        return Err(refusals.BAD_PATH)
    back_end = config.back_ends.get(unquote(parts[1]))
    if back_end is None:
        return Err(refusals.UNKNOWN_BACK_END)
    if back_end.kind != KIND_KEYED:
        remaining_path = "/" + "/".join(parts[2:])
        return Ok(_Address(back_end.name, "", remaining_path + suffix, remaining_path))
    if len(parts) < 3 or not parts[2]:
        return Err(refusals.BAD_PATH)
    remaining_path = "/" + (parts[3] if len(parts) > 3 else "")
    key = unquote(parts[2])
    return Ok(_Address(back_end.name, key, f"/{parts[2]}{remaining_path}{suffix}", remaining_path))


def _address_from_headers(
    request: HTTPServerRequest, back_end_name: str, config: RoutingConfig
) -> Result[_Address, str]:
    back_end = config.back_ends.get(back_end_name)
    if back_end is None:
        return Err(refusals.UNKNOWN_BACK_END)
    key = request.headers.get(KEY_HEADER, "")
    if back_end.kind == KIND_KEYED and not key:
        return Err(refusals.BAD_PATH)
    path = request.uri.partition("?")[0]
    return Ok(_Address(back_end_name, key, request.uri, path))


def _is_reserved(path: str) -> bool:
    """Returns whether a path must not be forwarded to a backend server."""
    if not path.startswith("/"):
        return True
    decoded = unquote(path.partition("?")[0]).replace("\\", "/")
    return any(segment.lower() in RESERVED_SEGMENTS for segment in decoded.split("/"))


def _timeout_ms(headers: HTTPHeaders, back_end: BackEnd, config: RoutingConfig) -> Result[int, str]:
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return Ok(back_end.timeout_ms)
    if not text.isascii() or not text.isdigit():
        return Err(refusals.BAD_TIMEOUT)
    timeout_ms = int(text)
    if not 1 <= timeout_ms <= config.limits.timeout_ms:
        return Err(refusals.BAD_TIMEOUT)
    return Ok(timeout_ms)


def _forwarded_headers(headers: HTTPHeaders) -> list[list[str]]:
    return [
        [name, value]
        for name, value in headers.get_all()
        if name.lower() not in DROPPED_REQUEST_HEADERS
    ]
