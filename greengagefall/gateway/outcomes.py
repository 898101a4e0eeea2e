"""What callers are told when there is no answer of a backend server.

Each reason is also a label of the counter ``refusals``.
"""

from __future__ import annotations

from typing import NamedTuple

OUTCOMES: dict[str, Reason] = {}


class Reason(NamedTuple):
    """A reason for which a request has no answer of a server.

    Attributes:
        name: Name in logs, metrics and bodies.
        status: HTTP status for the caller.
        not_run: Whether the request certainly did not run and never will.
        reroute: Whether another look at the owners may find a way.
        retry_after_s: Time to come back if nothing better is known, 0 for none.
        meaning: One sentence for operators.
    """

    name: str
    status: int
    not_run: bool
    reroute: bool
    retry_after_s: float
    meaning: str


def _reason(
    name: str,
    status: int,
    meaning: str,
    *,
    not_run: bool = True,
    reroute: bool = False,
    retry_after_s: float = 0.0,
) -> str:
    OUTCOMES[name] = Reason(name, status, not_run, reroute, retry_after_s, meaning)
    return name


NO_ROUTE = _reason("no_route", 404, "No route of the configuration matches host and path.")
NO_KEY = _reason("no_key", 400, "The service is divided by key and the request names none.")
NO_ID = _reason("no_request_id", 400, "The request carries no id.")
NO_CONFIG = _reason("no_config", 503, "No configuration is known yet.", retry_after_s=0.5)
STOPPING = _reason("stopping", 503, "This host is stopping.", reroute=True, retry_after_s=0.05)
NO_SERVER = _reason("no_server", 503, "No server of the service can be used.", retry_after_s=0.4)
NO_OWNER = _reason("no_owner", 503, "No server owns the key yet.", retry_after_s=0.3)
NO_DISPATCHER = _reason(
    "no_dispatcher", 503, "No host dispatches the server yet.", reroute=True, retry_after_s=0.3
)
DISPATCHER_UNREACHABLE = _reason(
    "dispatcher_unreachable", 503, "No connection to the dispatcher's host.", retry_after_s=0.4
)
NOT_OWNER = _reason(
    "not_owner", 503, "The dispatcher knows another owner.", reroute=True, retry_after_s=0.2
)
NOT_GRANTED = _reason(
    "not_granted", 503, "The owner does not hold the key yet.", reroute=True, retry_after_s=0.3
)
QUEUE_FULL = _reason("queue_full", 503, "The wait for a slot is longer than the answer is worth.")
SERVER_LEAVING = _reason(
    "server_leaving", 503, "The server is leaving.", reroute=True, retry_after_s=0.2
)
SERVER_UNREACHABLE = _reason(
    "server_unreachable", 503, "The server accepts no connection.", reroute=True, retry_after_s=0.3
)
SERVER_REFUSED = _reason(
    "server_refused",
    503,
    "The server said that it did not run it.",
    reroute=True,
    retry_after_s=0.2,
)
DEADLINE_PASSED = _reason("deadline_passed", 503, "The deadline passed before it was sent.")
OUTCOME_UNKNOWN = _reason(
    "outcome_unknown",
    502,
    "It was sent and no whole answer came back; it may have run.",
    not_run=False,
)
TIMED_OUT = _reason(
    "timed_out", 504, "It was sent and no answer came in time; it may have run.", not_run=False
)
BAD_ANSWER = _reason(
    "bad_answer",
    502,
    "The server's answer was broken or not its own; it may have run.",
    not_run=False,
)
