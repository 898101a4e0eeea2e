"""Calls that grant keys to a backend server and release them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.platform.requests import (
    EXPECTED_SERVER_HEADER,
    json_request,
    read_answer_metadata,
)

if TYPE_CHECKING:
    from greengagefall.dispatch.connection_pool import HttpAnswer, HttpRequest
    from greengagefall.ownership.model import KeyRange

GRANT_PATH = "/greengagefall/grant"
RELEASE_PATH = "/greengagefall/release"
HANDOVER_HEADER = "Handover"
HTTP_OK = 200
HTTP_CONFLICT = 409
# Another server has the address.
HTTP_MISDIRECTED = 421
# All releases share one id, so that none is sent where an answer to another may be repeated.
RELEASE_ID = "release"


def grant_request(key_range: KeyRange, grant_duration_s: float, handover_token: str) -> HttpRequest:
    """Returns the call that grants a key range to its owner or renews its grant.

    Args:
        key_range: First and last key, both inclusive, owner and fencing token.
        grant_duration_s: Time for which the server may hold the keys, from the call's arrival.
        handover_token: Handover token of the release by the former owner, empty without one.
    """
    fields = {
        "from": key_range.first,
        "target": key_range.last,
        "fence": key_range.fence,
        "holdS": grant_duration_s,
    }
    if handover_token:
        fields["handover"] = handover_token
    return _addressed(json_request("POST", GRANT_PATH, fields), key_range.owner.server_id)


def release_request(server_id: str, first: int, last: int, fence: int) -> HttpRequest:
    """Returns the call that releases keys; the server then refuses lower fencing tokens."""
    fields = {"from": first, "target": last, "fence": fence}
    request = json_request("POST", RELEASE_PATH, fields)._replace(request_id=RELEASE_ID)
    return _addressed(request, server_id)


def may_answer_grant(answer: HttpAnswer) -> bool:
    """Returns whether an answer is not certainly that of a caller's request or of a release."""
    return _answers_call(answer) and HANDOVER_HEADER not in answer.headers


def may_answer_release(answer: HttpAnswer) -> bool:
    """Returns whether an answer is not certainly that of a caller's request or of a grant."""
    return _answers_call(answer) and (answer.status != HTTP_OK or HANDOVER_HEADER in answer.headers)


def _answers_call(answer: HttpAnswer) -> bool:
    metadata = read_answer_metadata(answer.status, answer.headers)
    return not metadata.request_id and not metadata.signed


def _addressed(request: HttpRequest, server_id: str) -> HttpRequest:
    """Returns the call with the id of its server, so that another one at the address refuses it."""
    return request._replace(headers=[*request.headers, [EXPECTED_SERVER_HEADER, server_id]])
