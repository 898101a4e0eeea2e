"""Checks a caller's request against the routing configuration, before anything is sent.

The order is fixed: route, API key, then the rest. A caller without a valid key learns nothing of
services.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from greengagefall.gateway import outcomes
from greengagefall.gateway.model import NO_KEY
from greengagefall.gateway.outcomes import Refusal, refusal
from greengagefall.platform.requests import with_workspace
from greengagefall.workspaces.access import KeyVerdict, check_api_keys, request_priority

if TYPE_CHECKING:
    from random import Random

    from greengagefall.gateway.model import CallerRequest, Route, RoutingTable, Service
    from greengagefall.workspaces.access import KeyCheck
    from greengagefall.workspaces.directory import Workspace

REPEATED_SLASHES = re.compile("/+")
DOT_SEGMENTS = frozenset({".", ".."})
REFUSED_VERDICTS = {
    KeyVerdict.UNKNOWN: outcomes.UNKNOWN_API_KEY,
    KeyVerdict.UNREADABLE: outcomes.UNREADABLE_WORKSPACE,
}


class AdmittedRequest(NamedTuple):
    """A request that the configuration allows.

    Attributes:
        request: The request with the headers for the server.
        route: Its route, with the request's priority.
        service: The service that is to execute it.
        workspace: The workspace of its API key; None if it needs none.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None


def check_request(
    table: RoutingTable, request: CallerRequest, random: Random
) -> AdmittedRequest | Refusal:
    """Returns the request with its route and service, or why it is refused.

    Args:
        table: Configuration in force.
        request: The request as the caller sent it.
        random: Draws the service of a route that has several.
    """
    route = _find_route(table, request)
    if isinstance(route, Refusal):
        return route
    public = _is_public(table, route, request)
    check = check_api_keys(table.workspaces, request.api_keys, public=public)
    if check.verdict in REFUSED_VERDICTS:
        return _refuse_key(route, request, check)
    if not request.request_id:
        return refusal(outcomes.NO_ID, route=route.name)
    service = _find_service(table, route, random)
    if isinstance(service, Refusal):
        return service
    if service.keyed and request.key == NO_KEY:
        return refusal(outcomes.NO_KEY, route=route.name, service=service.name)
    if table.workspaces.required:
        request = _for_server(request, check.workspace)
    priority = request_priority(route.priority, check.workspace)
    return AdmittedRequest(request, route._replace(priority=priority), service, check.workspace)


def _find_route(table: RoutingTable, request: CallerRequest) -> Route | Refusal:
    path = request.target.partition("?")[0]
    route = table.find_route(request.host_name, path)
    if route is not None and route.readable:
        return route
    if route is not None:
        return refusal(outcomes.UNREADABLE_ROUTE, route=route.name)
    if table.may_have_unreadable_route(request.host_name):
        return refusal(outcomes.UNREADABLE_ROUTE)
    return refusal(outcomes.NO_ROUTE)


def _is_public(table: RoutingTable, route: Route, request: CallerRequest) -> bool:
    """Returns whether a request needs no key.

    A server that normalizes a path may execute the request for another route than the one that
    matches the path as sent. Such a path needs a key even on a public route: one with dot segments,
    and one that leads to a route with keys once it is decoded and empty segments are left out.
    """
    if not route.public:
        return False
    path = request.target.partition("?")[0]
    decoded = unquote(path).replace("\\", "/")
    if any(segment.partition(";")[0] in DOT_SEGMENTS for segment in decoded.split("/")):
        return False
    normalized = REPEATED_SLASHES.sub("/", decoded)
    if normalized == path:
        return True
    reached = (other for other in table.routes[request.host_name] if _begins(normalized, other))
    return next(reached, route).public


def _begins(normalized_path: str, route: Route) -> bool:
    return normalized_path.startswith(unquote(route.prefix))


def _refuse_key(route: Route, request: CallerRequest, check: KeyCheck) -> Refusal:
    return refusal(
        REFUSED_VERDICTS[check.verdict],
        route=route.name,
        workspace=check.workspace.name if check.workspace else "",
        api_keys=len(request.api_keys),
    )


def _find_service(table: RoutingTable, route: Route, random: Random) -> Service | Refusal:
    name = _draw_destination(route, random)
    if table.is_service_unreadable(name):
        return refusal(outcomes.UNREADABLE_SERVICE, route=route.name, service=name)
    service = table.services.get(name)
    if service is None:
        return refusal(outcomes.NO_SERVER, route=route.name, service=name)
    return service


def _draw_destination(route: Route, random: Random) -> str:
    """Picks one of the route's services at random, by weight."""
    if len(route.destinations) == 1:
        return route.destinations[0].service
    names = [part.service for part in route.destinations]
    weights = [part.weight for part in route.destinations]
    return random.choices(names, weights)[0]


def _for_server(request: CallerRequest, workspace: Workspace | None) -> CallerRequest:
    """Returns the request without its API key and with the name of its workspace."""
    name = workspace.name if workspace else ""
    return request._replace(headers=with_workspace(request.headers, name), api_keys=())
