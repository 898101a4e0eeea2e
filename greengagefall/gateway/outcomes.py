"""Reasons and statuses for callers when there is no answer from a backend server.

Each reason is also a label of the counter ``refusals``.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from greengagefall.protocol.gateway_messages import NotDispatched
from greengagefall.protocol.refusal_reasons import RefusalTable

OUTCOMES = RefusalTable()
_add = OUTCOMES.add

NO_ROUTE = _add("no_route", 404, "No route of the configuration matches host and path.")
UNREADABLE_ROUTE = _add(
    "unreadable_route",
    503,
    "The route, or an entry that may hold it, could not be read in the configuration.",
    retry_after_ms=1000,
)
UNKNOWN_API_KEY = _add(
    "unknown_api_key", 401, "The API key is missing, repeated or of no workspace."
)
UNREADABLE_WORKSPACE = _add(
    "unreadable_workspace",
    503,
    "The workspace of the API key could not be read in the configuration, or several list the key.",
    retry_after_ms=1000,
)
UNREADABLE_SERVICE = _add(
    "unreadable_service",
    503,
    "The service could not be read in the configuration.",
    retry_after_ms=1000,
)
NO_KEY = _add("no_key", 400, "The service is keyed and the request has no key.")
NO_ID = _add("no_request_id", 400, "The request has no id.")
BODY_TOO_LARGE = _add(
    "body_too_large", 413, "The body is over limits.maxBodyBytes of the configuration."
)
HEADERS_TOO_LARGE = _add(
    "headers_too_large", 431, "The headers are over limits.maxHeaderBytes of the configuration."
)
BODY_TIMEOUT = _add(
    "body_timeout", 408, "The body made no progress; the request was not passed on."
)
MEMORY_FULL = _add(
    "memory_full",
    503,
    "This host has no memory for the body; the request was not passed on.",
    retry_after_ms=1000,
)
ANSWER_DROPPED = _add(
    "answer_dropped",
    502,
    "The request was executed, and this host has no memory for its answer.",
    not_run=False,
)
NO_CONFIG = _add(
    "no_config", 503, "This host has no routing configuration yet.", retry_after_ms=500
)
STOPPING = _add("stopping", 503, "This host is stopping.", retryable=True, retry_after_ms=50)
NO_SERVER = _add("no_server", 503, "No server of the service is usable.", retry_after_ms=400)
NO_OWNER = _add("no_owner", 503, "No server owns the key yet.", retry_after_ms=300)
NO_DISPATCHER = _add(
    "no_dispatcher", 503, "No host dispatches the server yet.", retryable=True, retry_after_ms=300
)
DISPATCHER_UNREACHABLE = _add(
    "dispatcher_unreachable", 503, "No connection to the dispatcher's host.", retry_after_ms=400
)
NO_PEER_MEMORY = _add(
    "no_peer_memory",
    503,
    "The dispatcher's host has no memory for the body now.",
    retry_after_ms=400,
)
NOT_OWNER = _add(
    "not_owner",
    503,
    "By the dispatcher's assignment another server owns the key.",
    retryable=True,
    retry_after_ms=200,
)
NOT_GRANTED = _add(
    "not_granted", 503, "The owner does not hold the key yet.", retryable=True, retry_after_ms=300
)
QUEUE_FULL = _add(
    "queue_full",
    503,
    "The wait for a slot is so long that the answer would arrive too late to be useful.",
)
SERVER_LEAVING = _add(
    "server_leaving",
    503,
    "The server restarted, or its time for new requests while draining or evacuated is over.",
    retryable=True,
    retry_after_ms=200,
)
SERVER_UNREACHABLE = _add(
    "server_unreachable",
    503,
    "The server accepts no connections.",
    retryable=True,
    retry_after_ms=300,
)
SERVER_REFUSED = _add(
    "server_refused",
    503,
    "The server reported that it did not execute the request.",
    retryable=True,
    retry_after_ms=200,
)
DEADLINE_PASSED = _add("deadline_passed", 503, "The deadline passed before the request was sent.")
OUTCOME_UNKNOWN = _add(
    "outcome_unknown",
    502,
    "The request was sent and no full answer arrived; it may have been executed.",
    not_run=False,
)
TIMED_OUT = _add(
    "timed_out",
    504,
    "The request was sent and no answer arrived in time; it may have been executed.",
    not_run=False,
)
BAD_ANSWER = _add(
    "bad_answer",
    502,
    "The answer was malformed, unsigned or of another request; it may have been executed.",
    not_run=False,
)
OVER_QUOTA = _add("over_quota", 429, "The workspace has used up its quota.")
QUOTA_UNAVAILABLE = _add(
    "quota_unavailable",
    503,
    "No host that counts the workspace's requests answers.",
    retry_after_ms=300,
)


class Refusal(NamedTuple):
    """The reason why the caller gets no answer from a server.

    Attributes:
        reason: Reason code from ``OUTCOMES``.
        retry_after_ms: Delay before the caller should retry; 0 for no hint.
        inputs: On what the decision was based, for the log.
    """

    reason: str
    retry_after_ms: int
    inputs: tuple[tuple[str, Any], ...] = ()


def refusal(reason: str, **inputs: Any) -> Refusal:
    """Returns the refusal for a reason, with the retry hint of its row in the table."""
    return Refusal(reason, OUTCOMES[reason].retry_after_ms, tuple(inputs.items()))


def failure(
    reason: str, *, sent: bool = False, load_percent: int = 0, server_id: str = ""
) -> NotDispatched:
    """Returns the message for a reason, with the values of its row in the table.

    Args:
        reason: Name in ``OUTCOMES``.
        sent: Whether any byte reached a server.
        load_percent: As in ``NotDispatched``.
        server_id: Server that was to execute the request, empty if none was chosen.
    """
    row = OUTCOMES[reason]
    return NotDispatched(0, reason, sent, row.not_run, row.retry_after_ms, load_percent, server_id)
