"""Writes answers, refusals and other HTTP responses to callers and operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from greengagefall.protocol.refusals import REFUSALS
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from greengagefall.protocol.messages import Answer, Refusal

HTTP_NO_CONTENT = 204
HTTP_NOT_MODIFIED = 304
HTTP_CLIENT_CLOSED_REQUEST = 499
MS_PER_S = 1000

# The entry host sets these headers itself for the connection to the caller.
DROPPED_ANSWER_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server", "transfer-encoding"}
)


def write_answer(request: HTTPServerRequest, answer: Answer, closing: bool = False) -> None:
    """Writes a backend server's complete answer to the caller.

    Args:
        request: The caller's request.
        answer: The answer.
        closing: Whether to ask the caller to open another connection for further requests.
    """
    headers = _initial_headers(closing)
    for name, value in answer.headers:
        if name.lower() not in DROPPED_ANSWER_HEADERS:
            headers.add(name, value)
    headers["X-Request-Id"] = answer.request_id
    _write(request, answer.status, headers, answer.body)


def write_refusal(request: HTTPServerRequest, refusal: Refusal, closing: bool = False) -> None:
    """Writes a refusal with its reason to the caller; ``closing`` as for ``write_answer``."""
    refusal_type = REFUSALS[refusal.reason]
    count("refusals", reason=refusal.reason)
    body = {
        "reason": refusal.reason,
        "not_run": refusal.not_run,
        "retry_after_ms": refusal.retry_after_ms,
        "request_id": refusal.request_id,
    }
    headers = _initial_headers(closing)
    headers["X-Request-Id"] = refusal.request_id
    if refusal.retry_after_ms:
        headers["Retry-After"] = str(-(-refusal.retry_after_ms // MS_PER_S))
    write_json(request, refusal_type.http_status, body, headers)


def write_json(
    request: HTTPServerRequest, status: int, body: object, headers: HTTPHeaders | None = None
) -> None:
    """Writes a JSON document as the response."""
    headers = headers or HTTPHeaders()
    headers["Content-Type"] = "application/json"
    _write(request, status, headers, json.dumps(body).encode() + b"\n")


def write_text(request: HTTPServerRequest, status: int, text: str) -> None:
    """Writes plain text as the response."""
    headers = HTTPHeaders({"Content-Type": "text/plain; charset=utf-8"})
    _write(request, status, headers, text.encode())


def _initial_headers(closing: bool) -> HTTPHeaders:
    return HTTPHeaders({"Connection": "close"}) if closing else HTTPHeaders()


def _write(request: HTTPServerRequest, status: int, headers: HTTPHeaders, body: bytes) -> None:
    if status not in (HTTP_NO_CONTENT, HTTP_NOT_MODIFIED):
        headers["Content-Length"] = str(len(body))
    reason = responses.get(
        status, "Client Closed Request" if status == HTTP_CLIENT_CLOSED_REQUEST else ""
    )
    chunk = None if request.method == "HEAD" else body
    connection = request.connection
    try:
        connection.write_headers(ResponseStartLine("HTTP/1.1", status, reason), headers, chunk)
        connection.finish()
    except StreamClosedError:
        count("answers_undeliverable")
