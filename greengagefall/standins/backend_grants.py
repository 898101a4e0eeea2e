"""Grants of the backend server stand-in; they expire by the server's own clock."""

from __future__ import annotations

from typing import Any, NamedTuple

from greengagefall.coordination.model import GrantRange

REFUSED_FENCE = "stale_fence"
REFUSED_MAP_VERSION = "stale_map_version"
REFUSED_INCARNATION = "other_incarnation"


class Grant(NamedTuple):
    """A grant that the server holds.

    ``until_ms`` is the expiry by the server's monotonic clock, ``runs`` are the granted slice
    ranges.
    """

    fence: int
    map_version: int
    until_ms: int
    runs: tuple[GrantRange, ...]

    def range_of(self, slice_id: int) -> GrantRange | None:
        """Returns the granted slice range that contains a slice, or None."""
        for granted in self.runs:
            if granted.first <= slice_id <= granted.last:
                return granted
        return None

    def as_json(self) -> dict[str, Any]:
        """Returns the grant as a JSON object."""
        return {**self._asdict(), "runs": [list(granted) for granted in self.runs]}


def parse_grant(body: dict[str, Any]) -> Grant:
    """Parses the body of ``PUT /.server/grant``.

    Raises:
        ValueError: A field is missing or malformed.
    """
    try:
        runs = tuple(GrantRange(*(int(number) for number in row)) for row in body["runs"])
        return Grant(int(body["fence"]), int(body["map_version"]), int(body["until_ms"]), runs)
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed grant: {error!r}") from error


def refusal_of_grant(held: Grant | None, offered: Grant) -> str:
    """Returns the reason why an offered grant is stale, or an empty string."""
    if held is None:
        return ""
    if offered.fence < held.fence:
        return REFUSED_FENCE
    if offered.map_version < held.map_version:
        return REFUSED_MAP_VERSION
    return ""


def refusal_of_request(
    held: Grant | None, now_ms: int, dispatch_fence: int, slice_id: int, slice_fence: int
) -> str:
    """Returns the reason why the held grant doesn't permit a request, or an empty string.

    A request without a slice (-1, for a pooled back end) only requires that its dispatch fence
    isn't older than the held one. Other requests require a grant of their slice that hasn't
    expired and has the same dispatch fence and slice fence.
    """
    if held is not None and dispatch_fence < held.fence:
        return "stale_fence"
    if slice_id < 0:
        return ""
    if held is None or now_ms >= held.until_ms or dispatch_fence != held.fence:
        return "not_owner"
    granted = held.range_of(slice_id)
    if granted is None or granted.fence != slice_fence:
        return "not_owner"
    return ""
