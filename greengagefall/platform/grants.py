"""Calls by which a backend server is given keys and gives them back."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from greengagefall.dispatch.connection_pool import HttpRequest

if TYPE_CHECKING:
    from greengagefall.ownership.model import KeyRun

GRANT_PATH = "/greengagefall/grant"
RELEASE_PATH = "/greengagefall/release"
HAND_OVER_HEADER = "Handover"
JSON_HEADERS = [["Content-Type", "application/json"]]
OK = 200
CONFLICT = 409


def grant_request(run: KeyRun, hold_s: float, hand_over: str) -> HttpRequest:
    """Returns the call that grants or renews a run of keys.

    Args:
        run: First and last key, both inclusive, and the fence.
        hold_s: How long the server may hold them from the call's arrival.
        hand_over: Token of the release by the former owner, empty without one.
    """
    fields = {"from": run.first, "target": run.last, "fence": run.fence, "holdS": hold_s}
    if hand_over:
        fields["handover"] = hand_over
    return _call(GRANT_PATH, fields)


def release_request(first: int, last: int, fence: int) -> HttpRequest:
    """Returns the call that takes keys back; older fences are refused from then on."""
    return _call(RELEASE_PATH, {"from": first, "target": last, "fence": fence})


def _call(path: str, fields: dict[str, object]) -> HttpRequest:
    body = json.dumps(fields, separators=(",", ":")).encode()
    return HttpRequest("POST", path, JSON_HEADERS, body)
