"""Grants of a backend server stand-in, with expiry by its own clock."""

from __future__ import annotations

from typing import Any, NamedTuple

from greengagefall.coordination.model import GrantRange

REFUSED_FENCE = "stale_fence"
REFUSED_MAP_VERSION = "stale_map_version"
REFUSED_INCARNATION = "other_incarnation"


class Grant(NamedTuple):
    """A grant as the server holds it; ``until_ms`` is in the server's clock."""

    fence: int
    map_version: int
    until_ms: int
    runs: tuple[GrantRange, ...]

    def run_of(self, slice_id: int) -> GrantRange | None:
        """Returns the granted run that holds a slice."""
        for run in self.runs:
            if run.first <= slice_id <= run.last:
                return run
        return None

    def as_json(self) -> dict[str, Any]:
        """Returns the grant as a JSON object."""
        return {**self._asdict(), "runs": [list(run) for run in self.runs]}


def parse_grant(body: dict[str, Any]) -> Grant:
    """Returns the grant in the body of ``PUT /.server/grant``.

    Raises:
        ValueError: A field is missing or malformed.
    """
    try:
        runs = tuple(GrantRange(*(int(number) for number in row)) for row in body["runs"])
        return Grant(int(body["fence"]), int(body["map_version"]), int(body["until_ms"]), runs)
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed grant: {error!r}") from error


def refusal_of_grant(held: Grant | None, offered: Grant) -> str:
    """Returns why an offered grant is stale, or an empty string."""
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
    """Returns why a request may not run under the held grant, or an empty string.

    A request without a slice (-1, of a pooled back end) only needs a current
    dispatcher; others need an unexpired grant of their slice under its fence.
    """
    if held is not None and dispatch_fence < held.fence:
        return "stale_fence"
    if slice_id < 0:
        return ""
    if held is None or now_ms >= held.until_ms or dispatch_fence != held.fence:
        return "not_owner"
    run = held.run_of(slice_id)
    if run is None or run.fence != slice_fence:
        return "not_owner"
    return ""
