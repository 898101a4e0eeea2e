"""Defines every reason for refusing a request.

A test checks the reference in docs/user-guide/refusals.md against this table.
"""

from __future__ import annotations

from greengagefall.protocol.refusal_reasons import RefusalTable

REFUSALS = RefusalTable()
_add = REFUSALS.add

BAD_PATH = _add("bad_path", 400, "The path names no back end or no key, or is reserved.")
UNKNOWN_BACK_END = _add("unknown_back_end", 404, "The configuration has no such back end.")
KEY_TOO_LONG = _add("key_too_long", 400, "The key is longer than limits.key_bytes.")
BAD_TIMEOUT = _add("bad_timeout", 400, "X-Timeout-Ms is not a whole number in its range.")
BAD_REQUEST_ID = _add("bad_request_id", 400, "X-Request-Id is too long or not ASCII.")
BODY_TOO_LARGE = _add("body_too_large", 413, "The body is over limits.body_bytes.")
HEADERS_TOO_LARGE = _add("headers_too_large", 431, "Headers are over limits.header_bytes.")

NO_CONFIG = _add("no_config", 503, "This entry host has no configuration yet.", retry_after_ms=1000)
STOPPING = _add("stopping", 503, "This host is stopping.", retryable=True, retry_after_ms=100)
ENTRY_OVER_LIMIT = _add(
    "entry_over_limit", 503, "Too many requests in flight at this entry host.", retry_after_ms=200
)
CALLER_OVER_LIMIT = _add(
    "caller_over_limit", 429, "This caller has too many requests in flight.", retry_after_ms=200
)
CALLER_OVER_FAIR_SHARE = _add(
    "caller_over_fair_share",
    429,
    "This entry host is over crowded_share of its limit and the caller over its fair share.",
    retry_after_ms=200,
)
DEADLINE_EXPIRED = _add("deadline_expired", 504, "The deadline passed before the request was sent.")
DEADLINE_UNREACHABLE = _add(
    "deadline_unreachable", 503, "The expected wait is longer than the deadline."
)
QUEUE_FULL = _add(
    "queue_full", 503, "The dispatcher's queue is full.", retryable=True, retry_after_ms=100
)
QUEUE_SHED = _add(
    "queue_shed",
    503,
    "The request was shed from a full queue in favour of another class or caller.",
    retry_after_ms=500,
)
NO_SERVER = _add(
    "no_server",
    503,
    "No backend server is available for the request.",
    retryable=True,
    retry_after_ms=500,
)
SLICE_FREE = _add(
    "slice_free", 503, "The key's slice has no owner now.", retryable=True, retry_after_ms=300
)
SLICE_MOVING = _add(
    "slice_moving", 503, "The key's slice is changing owner.", retryable=True, retry_after_ms=100
)
STALE_MAP = _add(
    "stale_map", 503, "Entry host and dispatcher disagree on the owner.", retryable=True
)
NOT_DISPATCHER = _add(
    "not_dispatcher", 503, "That host does not hold the dispatch right.", retryable=True
)
NO_DISPATCHER = _add(
    "no_dispatcher",
    503,
    "No host holds the dispatch right of the owner now.",
    retryable=True,
    retry_after_ms=500,
)
NOT_GRANTED = _add(
    "not_granted", 503, "The owner holds no valid grant yet.", retryable=True, retry_after_ms=200
)
DISPATCHER_UNREACHABLE = _add(
    "dispatcher_unreachable",
    503,
    "No path to the dispatcher: host lost or zone cut off.",
    retryable=True,
    retry_after_ms=500,
)
NOT_CONFIRMED = _add(
    "not_confirmed",
    503,
    "The dispatcher has no confirmation from the owner yet, as after a lost connection.",
    retryable=True,
    retry_after_ms=100,
)
SERVER_UNREACHABLE = _add(
    "server_unreachable",
    503,
    "The owner accepts no connection.",
    retryable=True,
    retry_after_ms=300,
)
SERVER_REFUSED = _add(
    "server_refused", 503, "The owner answered that it did not execute the request.", retryable=True
)
SERVER_DRAINING = _add(
    "server_draining", 503, "The owner is draining.", retryable=True, retry_after_ms=300
)
CANCELLED = _add("cancelled", 499, "The caller disconnected before the request was sent.")

OUTCOME_UNKNOWN = _add(
    "outcome_unknown",
    502,
    "The request was sent and no answer came back; it may have been executed.",
    not_run=False,
)
TIMED_OUT = _add(
    "timed_out",
    504,
    "The request was sent and no answer came in time; it may have been executed.",
    not_run=False,
)
CROSSED_ANSWER = _add(
    "crossed_answer", 502, "The owner answered with the id of another request.", not_run=False
)
ANSWER_TOO_LARGE = _add(
    "answer_too_large", 502, "The answer is over limits.answer_bytes.", not_run=False
)
