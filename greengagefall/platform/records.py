"""Decodes the records that operators and backend servers write to the store."""

from __future__ import annotations

import math
from typing import Any

from greengagefall.gateway.model import (
    DEFAULT_HEADER_TIMEOUT_S,
    Destination,
    Route,
    RoutingTable,
    ServerEntry,
    Service,
)
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import (
    MAX_NUMBER,
    check_token,
    read_address,
    read_number,
    read_object,
    read_rows,
    read_text,
    read_whole_number,
    shown,
)

SERVERS_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
ROUTING_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

STATE_READY = "ready"
STATE_DRAINING = "draining"
KIND_DOWNLOAD = "download"
IDEMPOTENT_KINDS = ("safe", KIND_DOWNLOAD)
KINDS = (*IDEMPOTENT_KINDS, "unsafe")
VERSION_RADIX = 16
DEFAULT_OBJECTIVE_S = 1.0
MAX_SLOTS = 1_000_000
MAX_VERSION_DIGITS = 64


def server_id_of_key(key: str) -> str:
    """Returns the id of the server whose entry has this key."""
    return key.removeprefix(SERVERS_PREFIX)


def zone_of_evacuation_key(key: str) -> str:
    """Returns the zone that the record with this key evacuates, empty for any other record."""
    if not key.startswith(EVACUATION_PREFIX):
        return ""
    return key.removeprefix(EVACUATION_PREFIX)


def decode_server_entry(key: str, value: bytes) -> ServerEntry:
    """Returns a backend server's entry.

    Raises:
        RecordError: The entry is not a JSON object, or a field is missing or malformed.
    """
    server_id = check_token(key, "id", server_id_of_key(key))
    fields = read_object(key, value)
    state = read_text(key, fields, "state")
    if state not in (STATE_READY, STATE_DRAINING):
        raise RecordError(
            f"{key}: state is {shown(state)}; expected {STATE_READY!r} or {STATE_DRAINING!r}"
        )
    return ServerEntry(
        server_id=server_id,
        service=read_text(key, fields, "service"),
        address=read_address(key, fields, "address"),
        zone=read_text(key, fields, "zone"),
        slots=int(read_number(key, fields, "maxConcurrency", minimum=1, maximum=MAX_SLOTS)),
        draining=state == STATE_DRAINING,
        cold_remaining_s=max(
            0.0, read_number(key, fields, "warmupLeftS", 0.0, minimum=-MAX_NUMBER)
        ),
        start_ms=read_whole_number(key, fields, "born", 0),
    )


def decode_routing_table(value: bytes) -> RoutingTable:
    """Returns the routing configuration.

    Raises:
        RecordError: The configuration is not a JSON object, or a field is missing or malformed.
    """
    fields = read_object(ROUTING_KEY, value)
    limits = fields.get("limits") or {}
    if not isinstance(limits, dict):
        raise RecordError(f"{ROUTING_KEY}: limits is {shown(limits)}; expected an object")
    routes: dict[str, tuple[Route, ...]] = {}
    for listener in read_rows(ROUTING_KEY, fields, "listeners"):
        host_name = read_text(ROUTING_KEY, listener, "hostname")
        rules = [
            _route(host_name, rule) for rule in read_rows(ROUTING_KEY, listener, "routingRules")
        ]
        host_routes = [*routes.get(host_name, ()), *rules]
        routes[host_name] = tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
    services = [_service(row) for row in read_rows(ROUTING_KEY, fields, "clusters")]
    return RoutingTable(
        version=_version(fields),
        routes=routes,
        services={service.name: service for service in services},
        max_header_bytes=int(read_number(ROUTING_KEY, limits, "maxHeaderBytes", 65_536)),
        max_body_bytes=int(read_number(ROUTING_KEY, limits, "maxBodyBytes", 67_108_864)),
        idle_timeout_s=read_number(ROUTING_KEY, limits, "idleTimeoutS", 60.0),
        header_timeout_s=read_number(
            ROUTING_KEY, limits, "headerTimeoutS", DEFAULT_HEADER_TIMEOUT_S
        ),
    )


def _version(fields: dict[str, Any]) -> int:
    """Returns the version, a hexadecimal number."""
    text = read_text(ROUTING_KEY, fields, "version")
    try:
        if len(text) > MAX_VERSION_DIGITS:
            raise ValueError
        return int(text, VERSION_RADIX)
    except ValueError as error:
        raise RecordError(
            f"{ROUTING_KEY}: version is {shown(text)}; expected a hexadecimal number"
        ) from error


def _route(host_name: str, rule: dict[str, Any]) -> Route:
    kind = read_text(ROUTING_KEY, rule, "kind")
    if kind not in KINDS:
        raise RecordError(f"{ROUTING_KEY}: kind is {shown(kind)}; expected one of {KINDS}")
    action = rule.get("action")
    match = rule.get("match")
    if not isinstance(action, dict) or not isinstance(match, dict):
        raise RecordError(
            f"{ROUTING_KEY}: match and action of a routing rule must be objects: {shown(rule)}"
        )
    prefix = read_text(ROUTING_KEY, match, "prefix")
    timeout_s = read_number(ROUTING_KEY, action, "timeoutS")
    return Route(
        name=read_text(ROUTING_KEY, rule, "name") if "name" in rule else prefix,
        host_name=host_name,
        prefix=prefix,
        destinations=_destinations(action),
        idempotent=kind in IDEMPOTENT_KINDS,
        priority=int(read_number(ROUTING_KEY, rule, "priority", 0)),
        objective_s=read_number(ROUTING_KEY, rule, "latencyGoalS", DEFAULT_OBJECTIVE_S),
        timeout_s=timeout_s,
        max_attempts=max(1, int(read_number(ROUTING_KEY, action, "attempts", 1))),
        large_answers=kind == KIND_DOWNLOAD,
    )


def _destinations(action: dict[str, Any]) -> tuple[Destination, ...]:
    if "trafficSplit" not in action:
        return (Destination(read_text(ROUTING_KEY, action, "service"), 1.0),)
    destinations = []
    for row in read_rows(ROUTING_KEY, action, "trafficSplit"):
        weight = read_number(ROUTING_KEY, row, "weight")
        destinations.append(Destination(read_text(ROUTING_KEY, row, "service"), weight))
    if not any(destination.weight for destination in destinations):
        raise RecordError(f"{ROUTING_KEY}: trafficSplit has no service with a weight above 0")
    return tuple(destinations)


def _service(row: dict[str, Any]) -> Service:
    return Service(
        name=read_text(ROUTING_KEY, row, "name"),
        health_path=check_token(ROUTING_KEY, "healthCheck", row.get("healthCheck", "/")),
        max_connections=int(read_number(ROUTING_KEY, row, "maxConnections", 100)),
        cold_s=read_number(ROUTING_KEY, row, "warmupS", 0.0),
        cold_rate_per_s=read_number(ROUTING_KEY, row, "coldPerS", math.inf),
        keyed=bool(row.get("shardEnabled", False)),
        key_warmup_s=read_number(ROUTING_KEY, row, "warmS", 0.0),
    )
