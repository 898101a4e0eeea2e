"""Finds mistakes in a routing configuration that hosts can read but that cannot be meant.

Each check is a function with a ``register`` decorator. What hosts cannot read is taken from their
own decoder. Messages never contain API keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.platform.configuration import decode_configuration

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from typing import Any

    from greengagefall.platform.configuration import DecodedConfiguration
    from greengagefall.platform.configuration_routes import RouteEntry

    Check = Callable[[DecodedConfiguration], Iterator["Finding"]]

ERROR = "error"
UNUSED = "unused"
DIFFERENCE = "difference"

CHECKS: list[Check] = []


class Finding(NamedTuple):
    """Something that operators should look at.

    Attributes:
        kind: ``ERROR`` for what refuses requests or contradicts itself, ``UNUSED`` for what can
            never match, ``DIFFERENCE`` for a change from the version in force.
        path: Place in the document.
        message: What was found.
    """

    kind: str
    path: str
    message: str


def register(check: Check) -> Check:
    """Adds a check."""
    CHECKS.append(check)
    return check


def check_configuration(fields: dict[str, Any]) -> list[Finding]:
    """Returns what all checks find.

    Raises:
        RecordError: The configuration has no readable version.
    """
    configuration = decode_configuration(fields)
    return [finding for check in CHECKS for finding in check(configuration)]


@register
def _unreadable_entries(configuration: DecodedConfiguration) -> Iterator[Finding]:
    for entry in configuration.table.unreadable.entries:
        yield Finding(ERROR, entry.path, f"is {entry.value}; expected {entry.expected}")


@register
def _limits_of_zero(configuration: DecodedConfiguration) -> Iterator[Finding]:
    table = configuration.table
    for name, value in (
        ("maxHeaderBytes", table.max_header_bytes),
        ("maxBodyBytes", table.max_body_bytes),
        ("idleTimeoutS", table.idle_timeout_s),
        ("headerTimeoutS", table.header_timeout_s),
    ):
        if not value:
            yield Finding(ERROR, f"limits.{name}", "is 0")


@register
def _contradicting_limits_of_routes(configuration: DecodedConfiguration) -> Iterator[Finding]:
    for path, route, attempts in _readable_routes(configuration):
        if route.timeout_s < route.objective_s:
            yield Finding(
                ERROR,
                f"{path}.action.timeoutS",
                f"is {route.timeout_s:g}, below latencyGoalS ({route.objective_s:g})",
            )
        if attempts < 1:
            yield Finding(ERROR, f"{path}.action.attempts", f"is {attempts:g}, below 1")


@register
def _quotas_below_one_request(configuration: DecodedConfiguration) -> Iterator[Finding]:
    for entry in configuration.workspaces:
        workspace = entry.workspace
        if workspace.readable and workspace.rate_per_s and workspace.burst < 1:
            yield Finding(
                ERROR,
                f"{entry.path}.burst",
                f"is {workspace.burst:g}, below one request; ratePerS is {workspace.rate_per_s:g}",
            )


@register
def _unknown_services(configuration: DecodedConfiguration) -> Iterator[Finding]:
    table = configuration.table
    for path, route, _ in _readable_routes(configuration):
        for part in route.destinations:
            if part.service in table.services or table.is_service_unreadable(part.service):
                continue
            yield Finding(ERROR, f"{path}.action", f"service {part.service!r} is not in clusters")


@register
def _routes_that_never_match(configuration: DecodedConfiguration) -> Iterator[Finding]:
    first_paths: dict[tuple[str, str], str] = {}
    for path, route, _ in configuration.routes:
        before = first_paths.setdefault((route.host_name, route.prefix), path)
        if before != path:
            yield Finding(UNUSED, path, f"prefix {route.prefix!r} is listed before at {before}")
        if not route.prefix.startswith("/"):
            yield Finding(UNUSED, path, f"prefix {route.prefix!r} does not begin with /")


@register
def _destinations_without_weight(configuration: DecodedConfiguration) -> Iterator[Finding]:
    for path, route, _ in _readable_routes(configuration):
        for index, part in enumerate(route.destinations):
            if not part.weight:
                place = f"{path}.action.trafficSplit[{index}]"
                yield Finding(UNUSED, place, f"weight of {part.service!r} is 0")


@register
def _services_that_no_route_uses(configuration: DecodedConfiguration) -> Iterator[Finding]:
    used = {part.service for _, route, _ in configuration.routes for part in route.destinations}
    names: set[str] = set()
    for path, name in configuration.services:
        if name not in used:
            yield Finding(UNUSED, path, f"no route uses {name!r}")
        if name in names:
            yield Finding(ERROR, path, f"{name!r} is listed before; the last entry counts")
        names.add(name)


@register
def _workspaces_without_keys(configuration: DecodedConfiguration) -> Iterator[Finding]:
    for entry in configuration.workspaces:
        if not entry.key_count and entry.keys_complete:
            yield Finding(UNUSED, entry.path, "has no API keys")
        for index in entry.unsendable_keys:
            place = f"{entry.path}.apiKeys[{index}]"
            yield Finding(UNUSED, place, "cannot be sent: space at an end, or control character")


def _readable_routes(configuration: DecodedConfiguration) -> Iterable[RouteEntry]:
    """Returns the routes without unreadable fields, whose fallbacks would be no findings."""
    return (entry for entry in configuration.routes if entry.route.readable)
