"""Every reason for which a request is refused, and what it means.

The reference in docs/user-guide/refusals.md is checked against this table.
"""

from __future__ import annotations

from typing import NamedTuple

REFUSALS: dict[str, RefusalReason] = {}


class RefusalReason(NamedTuple):
    """A reason for a refusal.

    Attributes:
        name: Name in answers and metrics.
        http_status: Status the caller gets.
        not_run: Whether the request certainly did not run.
        retryable: Whether another try by the entry host may help.
        retry_after_ms: Hint for the caller, 0 for none.
        meaning: One sentence for operators.
    """

    name: str
    http_status: int
    not_run: bool
    retryable: bool
    retry_after_ms: int
    meaning: str


def _reason(
    name: str,
    http_status: int,
    meaning: str,
    *,
    not_run: bool = True,
    retryable: bool = False,
    retry_after_ms: int = 0,
) -> str:
    REFUSALS[name] = RefusalReason(name, http_status, not_run, retryable, retry_after_ms, meaning)
    return name


BAD_PATH = _reason("bad_path", 400, "The path names no back end or no key, or is reserved.")
UNKNOWN_BACK_END = _reason("unknown_back_end", 404, "The configuration has no such back end.")
KEY_TOO_LONG = _reason("key_too_long", 400, "The key is longer than limits.key_bytes.")
BAD_TIMEOUT = _reason("bad_timeout", 400, "X-Timeout-Ms is not a whole number in its range.")
BAD_REQUEST_ID = _reason("bad_request_id", 400, "X-Request-Id is empty, too long or not ASCII.")
BODY_TOO_LARGE = _reason("body_too_large", 413, "The body is over limits.body_bytes.")
HEADERS_TOO_LARGE = _reason("headers_too_large", 431, "Headers are over limits.header_bytes.")

NO_CONFIG = _reason(
    "no_config", 503, "This entry host has no configuration yet.", retry_after_ms=1000
)
STOPPING = _reason("stopping", 503, "This host is stopping.", retryable=True, retry_after_ms=100)
ENTRY_OVER_LIMIT = _reason(
    "entry_over_limit", 503, "Too many requests in flight at this entry host.", retry_after_ms=200
)
CALLER_OVER_LIMIT = _reason(
    "caller_over_limit", 429, "This caller has too many requests in flight.", retry_after_ms=200
)
CALLER_OVER_FAIR_SHARE = _reason(
    "caller_over_fair_share",
    429,
    "This entry host is crowded and the caller is above its fair share.",
    retry_after_ms=200,
)
DEADLINE_EXPIRED = _reason("deadline_expired", 504, "The deadline passed before it was sent.")
DEADLINE_UNREACHABLE = _reason(
    "deadline_unreachable", 503, "The expected wait is longer than the deadline."
)
QUEUE_FULL = _reason(
    "queue_full", 503, "The dispatcher's queue is full.", retryable=True, retry_after_ms=100
)
QUEUE_SHED = _reason(
    "queue_shed", 503, "Shed in favour of a class that goes first.", retry_after_ms=500
)
NO_SERVER = _reason(
    "no_server", 503, "No backend server is available for it.", retryable=True, retry_after_ms=500
)
SLICE_FREE = _reason(
    "slice_free", 503, "The key's slice has no owner now.", retryable=True, retry_after_ms=300
)
SLICE_MOVING = _reason(
    "slice_moving", 503, "The key's slice is changing owner.", retryable=True, retry_after_ms=100
)
STALE_MAP = _reason(
    "stale_map", 503, "Entry host and dispatcher disagree on the owner.", retryable=True
)
NOT_DISPATCHER = _reason(
    "not_dispatcher", 503, "That host does not hold the dispatch right.", retryable=True
)
NO_DISPATCHER = _reason(
    "no_dispatcher",
    503,
    "No host holds the dispatch right of the owner now.",
    retryable=True,
    retry_after_ms=500,
)
NOT_GRANTED = _reason(
    "not_granted", 503, "The owner holds no valid grant yet.", retryable=True, retry_after_ms=200
)
DISPATCHER_UNREACHABLE = _reason(
    "dispatcher_unreachable",
    503,
    "No path to the dispatcher: host lost or zone cut off.",
    retryable=True,
    retry_after_ms=500,
)
NOT_CONFIRMED = _reason(
    "not_confirmed",
    503,
    "The dispatcher has not yet heard from the owner, as after a lost connection.",
    retryable=True,
    retry_after_ms=100,
)
SERVER_UNREACHABLE = _reason(
    "server_unreachable",
    503,
    "The owner accepts no connection.",
    retryable=True,
    retry_after_ms=300,
)
SERVER_REFUSED = _reason(
    "server_refused", 503, "The owner said that it did not run it.", retryable=True
)
SERVER_DRAINING = _reason(
    "server_draining", 503, "The owner is leaving.", retryable=True, retry_after_ms=300
)
CANCELLED = _reason("cancelled", 499, "The caller left before it was sent.")

OUTCOME_UNKNOWN = _reason(
    "outcome_unknown", 502, "It was sent and no answer came back; it may have run.", not_run=False
)
TIMED_OUT = _reason(
    "timed_out", 504, "It was sent and no answer came in time; it may have run.", not_run=False
)
CROSSED_ANSWER = _reason(
    "crossed_answer", 502, "The owner answered with another request's id.", not_run=False
)
ANSWER_TOO_LARGE = _reason(
    "answer_too_large", 502, "The answer is over limits.answer_bytes.", not_run=False
)
