"""Calls that grant keys to a backend server and release them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.platform.requests import json_request

if TYPE_CHECKING:
    from greengagefall.dispatch.connection_pool import HttpRequest
    from greengagefall.ownership.model import KeyRange

GRANT_PATH = "/greengagefall/grant"
RELEASE_PATH = "/greengagefall/release"
HANDOVER_HEADER = "Handover"
HTTP_OK = 200
HTTP_CONFLICT = 409


def grant_request(key_range: KeyRange, grant_duration_s: float, handover_token: str) -> HttpRequest:
    """Returns the call that grants a key range or renews its grant.

    Args:
        key_range: First and last key, both inclusive, and the fencing token.
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
    return json_request("POST", GRANT_PATH, fields)


def release_request(first: int, last: int, fence: int) -> HttpRequest:
    """Returns the call that releases keys; the server then refuses lower fencing tokens."""
    fields = {"from": first, "target": last, "fence": fence}
    return json_request("POST", RELEASE_PATH, fields)
