"""Reads the listeners of the routing configuration: host names and their routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from greengagefall.gateway.model import Destination, Route

if TYPE_CHECKING:
    from greengagefall.platform.entry_reader import EntryReader

KIND_DOWNLOAD = "download"
IDEMPOTENT_KINDS = ("safe", KIND_DOWNLOAD)
KINDS = (*IDEMPOTENT_KINDS, "unsafe")
DEFAULT_OBJECTIVE_S = 1.0


class RouteEntry(NamedTuple):
    """A route whose prefix could be read.

    Attributes:
        path: Its place in the document.
        route: What it says.
        attempts: Number of attempts as written; hosts make at least one.
    """

    path: str
    route: Route
    attempts: float


class Listeners(NamedTuple):
    """The routes of all listeners.

    Attributes:
        entries: All routes in the order of the document.
        routes: Routes of each host name, longest prefix first.
        incomplete_hosts: Host names that have routes without a readable prefix.
        complete: Whether the host names of all listeners could be read.
    """

    entries: tuple[RouteEntry, ...]
    routes: dict[str, tuple[Route, ...]]
    incomplete_hosts: frozenset[str]
    complete: bool


class _Action(NamedTuple):
    destinations: tuple[Destination, ...]
    timeout_s: float
    attempts: float


UNREADABLE_ACTION = _Action((), 0.0, 1.0)


def read_listeners(document: EntryReader) -> Listeners:
    """Returns the routes of all listeners."""
    rows = document.rows("listeners")
    complete = rows.complete
    entries: list[RouteEntry] = []
    routes: dict[str, list[Route]] = {}
    incomplete_hosts: set[str] = set()
    for listener in rows.readers:
        # Callers' host names are compared in lower case.
        host_name = listener.text("hostname").lower()
        rules = listener.rows("routingRules")
        read = [_read_route(host_name, rule) for rule in rules.readers]
        if not host_name:
            complete = False
            continue
        if not rules.complete or None in read:
            incomplete_hosts.add(host_name)
        readable = [entry for entry in read if entry is not None]
        entries.extend(readable)
        routes.setdefault(host_name, []).extend(entry.route for entry in readable)
    return Listeners(
        tuple(entries),
        {host_name: _longest_first(host_routes) for host_name, host_routes in routes.items()},
        frozenset(incomplete_hosts),
        complete,
    )


def _longest_first(routes: list[Route]) -> tuple[Route, ...]:
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))


def _read_route(host_name: str, rule: EntryReader) -> RouteEntry | None:
    """Returns a route, None if its prefix is unreadable."""
    match = rule.object("match")
    prefix = match.text("prefix") if match else ""
    action_reader = rule.object("action")
    action = _read_action(action_reader) if action_reader else UNREADABLE_ACTION
    kind = rule.choice("kind", KINDS)
    route = Route(
        name=rule.text("name") if "name" in rule else prefix,
        host_name=host_name,
        prefix=prefix,
        destinations=action.destinations,
        idempotent=kind in IDEMPOTENT_KINDS,
        priority=int(rule.number("priority", 0)),
        objective_s=rule.number("latencyGoalS", DEFAULT_OBJECTIVE_S),
        timeout_s=action.timeout_s,
        max_attempts=max(1, int(action.attempts)),
        public=rule.switch("public"),
        large_answers=kind == KIND_DOWNLOAD,
    )
    if not prefix:
        return None
    return RouteEntry(rule.path, route._replace(readable=rule.readable), action.attempts)


def _read_action(action: EntryReader) -> _Action:
    return _Action(
        _read_destinations(action),
        action.number("timeoutS"),
        action.number("attempts", 1),
    )


def _read_destinations(action: EntryReader) -> tuple[Destination, ...]:
    if "trafficSplit" not in action:
        return (Destination(action.text("service"), 1.0),)
    parts = action.rows("trafficSplit")
    destinations = tuple(
        Destination(part.text("service"), part.number("weight")) for part in parts.readers
    )
    if action.readable and not any(destination.weight for destination in destinations):
        action.note("trafficSplit", [*destinations], "a service with a weight above 0")
    return destinations
