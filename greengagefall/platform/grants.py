"""Calls by which a backend server is given keys and gives them back."""

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


def grant_request(key_range: KeyRange, hold_s: float, hand_over: str) -> HttpRequest:
    """Returns the call that grants or renews a run of keys.

    Args:
        key_range: First and last key, both inclusive, and the fence.
        hold_s: How long the server may hold them from the call's arrival.
        hand_over: Token of the release by the former owner, empty without one.
    """
    fields = {
        "from": key_range.first,
        "target": key_range.last,
        "fence": key_range.fence,
        "holdS": hold_s,
    }
    if hand_over:
        fields["handover"] = hand_over
    return json_request("POST", GRANT_PATH, fields)


def release_request(first: int, last: int, fence: int) -> HttpRequest:
    """Returns the call that takes keys back; older fences are refused from then on."""
    fields = {"from": first, "target": last, "fence": fence}
    return json_request("POST", RELEASE_PATH, fields)
