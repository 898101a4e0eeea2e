"""Decodes the records that operators and backend servers write to the store."""

from __future__ import annotations

import json
import math
from typing import Any

from greengagefall.gateway.model import Destination, Route, RoutingTable, ServerEntry, Service
from greengagefall.platform.exceptions import RecordError

SERVERS_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
ROUTING_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

STATE_READY = "ready"
STATE_DRAINING = "draining"
KIND_SAFE = "safe"
KINDS = (KIND_SAFE, "unsafe")
VERSION_RADIX = 16
DEFAULT_OBJECTIVE_S = 1.0


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
    fields = _object(key, value)
    state = _text(key, fields, "state")
    if state not in (STATE_READY, STATE_DRAINING):
        raise RecordError(
            f"{key}: state is {state!r}; expected {STATE_READY!r} or {STATE_DRAINING!r}"
        )
    slots = _number(key, fields, "maxConcurrency")
    if slots < 1:
        raise RecordError(f"{key}: maxConcurrency is {slots}; expected at least 1")
    address = _text(key, fields, "address")
    if not address.rpartition(":")[2].isdigit():
        raise RecordError(f"{key}: address is {address!r}; expected IP:port")
    start_ms = fields.get("born", 0)
    if isinstance(start_ms, bool) or not isinstance(start_ms, int):
        raise RecordError(f"{key}: born is {start_ms!r}; expected a whole number")
    return ServerEntry(
        server_id=server_id_of_key(key),
        service=_text(key, fields, "service"),
        address=address,
        zone=_text(key, fields, "zone"),
        slots=int(slots),
        draining=state == STATE_DRAINING,
        cold_remaining_s=max(0.0, _number(key, fields, "warmupLeftS", 0.0)),
        start_ms=start_ms,
    )


def decode_routing_table(value: bytes) -> RoutingTable:
    """Returns the routing configuration.

    Raises:
        RecordError: The configuration is not a JSON object, or a field is missing or malformed.
    """
    fields = _object(ROUTING_KEY, value)
    try:
        version = int(_text(ROUTING_KEY, fields, "version"), VERSION_RADIX)
    except ValueError as error:
        raise RecordError(
            f"{ROUTING_KEY}: version is {fields['version']!r}; expected a hexadecimal number"
        ) from error
    limits = fields.get("limits") or {}
    routes: dict[str, tuple[Route, ...]] = {}
    for listener in _rows(fields, "listeners"):
        host_name = _text(ROUTING_KEY, listener, "hostname")
        rules = [_route(host_name, rule) for rule in _rows(listener, "routingRules")]
        host_routes = [*routes.get(host_name, ()), *rules]
        routes[host_name] = tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
    services = [_service(row) for row in _rows(fields, "clusters")]
    return RoutingTable(
        version=version,
        routes=routes,
        services={service.name: service for service in services},
        max_header_bytes=int(_number(ROUTING_KEY, limits, "maxHeaderBytes", 65_536)),
        max_body_bytes=int(_number(ROUTING_KEY, limits, "maxBodyBytes", 67_108_864)),
        idle_timeout_s=_number(ROUTING_KEY, limits, "idleTimeoutS", 60.0),
    )


def _route(host_name: str, rule: dict[str, Any]) -> Route:
    kind = _text(ROUTING_KEY, rule, "kind")
    if kind not in KINDS:
        raise RecordError(f"{ROUTING_KEY}: kind is {kind!r}; expected one of {KINDS}")
    action = rule.get("action")
    match = rule.get("match")
    if not isinstance(action, dict) or not isinstance(match, dict):
        raise RecordError(
            f"{ROUTING_KEY}: match and action of a routing rule must be objects: {rule!r}"
        )
    prefix = _text(ROUTING_KEY, match, "prefix")
    timeout_s = _number(ROUTING_KEY, action, "timeoutS")
    return Route(
        name=str(rule.get("name", prefix)),
        host_name=host_name,
        prefix=prefix,
        destinations=_destinations(action),
        idempotent=kind == KIND_SAFE,
        priority=int(_number(ROUTING_KEY, rule, "priority", 0)),
        objective_s=_number(ROUTING_KEY, rule, "latencyGoalS", DEFAULT_OBJECTIVE_S),
        timeout_s=timeout_s,
        max_attempts=max(1, int(_number(ROUTING_KEY, action, "attempts", 1))),
    )


def _destinations(action: dict[str, Any]) -> tuple[Destination, ...]:
    if "trafficSplit" not in action:
        return (Destination(_text(ROUTING_KEY, action, "service"), 1.0),)
    destinations = []
    for row in _rows(action, "trafficSplit"):
        weight = _number(ROUTING_KEY, row, "weight")
        destinations.append(Destination(_text(ROUTING_KEY, row, "service"), weight))
    if not destinations:
        raise RecordError(f"{ROUTING_KEY}: trafficSplit is empty; expected at least one service")
    return tuple(destinations)


def _service(row: dict[str, Any]) -> Service:
    return Service(
        name=_text(ROUTING_KEY, row, "name"),
        health_path=str(row.get("healthCheck", "/")),
        max_connections=int(_number(ROUTING_KEY, row, "maxConnections", 100)),
        cold_s=_number(ROUTING_KEY, row, "warmupS", 0.0),
        cold_rate_per_s=_number(ROUTING_KEY, row, "coldPerS", math.inf),
        keyed=bool(row.get("shardEnabled", False)),
        key_warmup_s=_number(ROUTING_KEY, row, "warmS", 0.0),
    )


def _object(key: str, value: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"{key}: value is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise RecordError(f"{key}: value is a JSON {type(fields).__name__}; expected an object")
    return fields


def _rows(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    rows = fields.get(name, [])
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise RecordError(f"{ROUTING_KEY}: {name} is malformed; expected a list of JSON objects")
    return rows


def _text(key: str, fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise RecordError(f"{key}: {name} is {value!r}; expected a non-empty string")
    return value


def _number(key: str, fields: dict[str, Any], name: str, default: float | None = None) -> float:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise RecordError(f"{key}: {name} is {value!r}; expected a number")
    return value
