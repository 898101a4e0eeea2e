"""Parses and validates configuration documents."""

from __future__ import annotations

from result import Err, Ok, Result

from greengagefall.routing.addresses import ADDRESS_RULE, is_address
from greengagefall.routing.exceptions import ConfigError
from greengagefall.routing.fields import FieldReader, check_name, format_value, join_path
from greengagefall.routing.model import (
    BACK_END_KINDS,
    KIND_KEYED,
    SERVER_ACTIVE,
    SERVER_STATES,
    ZONE_IN,
    ZONE_STATES,
    BackEnd,
    BackendServer,
    Limits,
    RequestClass,
    RoutingConfig,
)
from greengagefall.routing.policy_names import POLICY_AREAS, TUNING_RANGES

DOCUMENT_FIELDS = ("version", "patch_id", "zones", "lost_hosts", "back_ends", "limits")
ZONE_FIELDS = ("state",)
BACK_END_FIELDS = (
    "kind",
    "slices",
    "checks_orders",
    "timeout_ms",
    "queue_limit",
    "policies",
    "tuning",
    "classes",
    "servers",
)
CLASS_FIELDS = ("name", "methods", "path_prefix", "repeatable", "priority")
SERVER_FIELDS = ("address", "zone", "slots", "connections", "weight", "cold_slots", "state")

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

MAX_VERSION = 9_999_999_999
MAX_SLICES = 65_536
MAX_TIMEOUT_MS = 600_000
MAX_QUEUE = 100_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
MAX_PRIORITY = 9
MAX_CLASSES = 64
MAX_LOST_HOSTS = 10_000
MAX_TEXT_CHARS = 200

# A body and its headers must fit into one frame of the protocol between hosts.
MAX_BODY_BYTES = 3 * 1024 * 1024
MAX_HEADER_BYTES = 128 * 1024

DEFAULT_SLICES = 4096
DEFAULT_TIMEOUT_MS = 2000
DEFAULT_QUEUE = 32
DEFAULT_CONNECTIONS = 130
DEFAULT_COLD_SLOTS = 1

# Field of ``Limits``: default, minimum and maximum.
LIMIT_RANGES: dict[str, tuple[int, int, int]] = {
    "body_bytes": (1_048_576, 1, MAX_BODY_BYTES),
    "answer_bytes": (MAX_BODY_BYTES, 1, MAX_BODY_BYTES),
    "header_bytes": (16_384, 256, MAX_HEADER_BYTES),
    "key_bytes": (256, 1, 4_096),
    "timeout_ms": (30_000, 1, MAX_TIMEOUT_MS),
    "caller_in_flight": (64, 1, 100_000),
    "entry_in_flight": (1_024, 1, 100_000),
}
DEFAULT_RETRY_RATIO = 0.08


def parse_config(document: object) -> Result[RoutingConfig, ConfigError]:
    """Parses a configuration document and validates every field.

    Args:
        document: Parsed JSON.

    Returns:
        The configuration, or an error for the first field that breaks a rule.
    """
    try:
        return Ok(_parse_document(document))
    except ConfigError as error:
        return Err(error)


def empty_config() -> RoutingConfig:
    """Returns version 0, the configuration before the first patch."""
    return _parse_document({})


def _parse_document(document: object) -> RoutingConfig:
    reader = FieldReader("", document, DOCUMENT_FIELDS)
    zones = {
        name: _parse_zone(join_path("zones", name), zone)
        for name, zone in reader.members("zones").items()
    }
    back_ends = {
        name: _parse_back_end(name, back_end, zones)
        for name, back_end in reader.members("back_ends").items()
    }
    _check_unique_addresses(back_ends)
    return RoutingConfig(
        version=reader.integer("version", 0, 0, MAX_VERSION),
        patch_id=reader.text("patch_id", "", MAX_TEXT_CHARS),
        zones=zones,
        lost_hosts=_parse_lost_hosts(reader),
        back_ends=back_ends,
        limits=_parse_limits(reader.nested("limits", (*LIMIT_RANGES, "retry_ratio"))),
        document=document,
    )


def _parse_zone(path: str, value: object) -> str:
    return FieldReader(path, value, ZONE_FIELDS).choice("state", ZONE_IN, ZONE_STATES)


def _parse_lost_hosts(reader: FieldReader) -> tuple[str, ...]:
    hosts = reader.items("lost_hosts", MAX_LOST_HOSTS)
    for index, entry in enumerate(hosts):
        host, slash, incarnation = entry.partition("/") if isinstance(entry, str) else ("",) * 3
        if not (host and slash and incarnation) or len(entry) > MAX_TEXT_CHARS:
            raise ConfigError(
                f"lost_hosts.{index}", f"{format_value(entry)} is not host/incarnation"
            )
    return tuple(hosts)


def _parse_limits(reader: FieldReader) -> Limits:
    integers = {field: reader.integer(field, *bounds) for field, bounds in LIMIT_RANGES.items()}
    return Limits(
        **integers, retry_ratio=reader.number("retry_ratio", DEFAULT_RETRY_RATIO, 0.0, 1.0)
    )


def _parse_back_end(name: str, value: object, zones: dict[str, str]) -> BackEnd:
    path = join_path("back_ends", name)
    reader = FieldReader(path, value, BACK_END_FIELDS)
    kind = reader.choice("kind", None, BACK_END_KINDS)
    return BackEnd(
        name=name,
        kind=kind,
        slice_count=_parse_slices(reader, kind),
        checks_orders=reader.boolean("checks_orders", True),
        timeout_ms=reader.integer("timeout_ms", DEFAULT_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
        queue_limit=reader.integer("queue_limit", DEFAULT_QUEUE, 0, MAX_QUEUE),
        policies=_parse_policies(reader),
        tuning=_parse_tuning(reader),
        classes=_parse_classes(reader),
        servers={
            server: _parse_server(
                join_path(reader.path_of("servers"), server), server, fields, zones
            )
            for server, fields in reader.members("servers").items()
        },
    )


def _parse_slices(reader: FieldReader, kind: str) -> int:
    if kind == KIND_KEYED:
        return reader.integer("slices", DEFAULT_SLICES, 1, MAX_SLICES)
    if reader.has("slices"):
        raise ConfigError(reader.path_of("slices"), "only a keyed back end has slices")
    return 0


def _parse_policies(reader: FieldReader) -> dict[str, str]:
    fields = reader.nested("policies", tuple(POLICY_AREAS))
    return {
        name: fields.choice(name, area.default, area.names) for name, area in POLICY_AREAS.items()
    }


def _parse_tuning(reader: FieldReader) -> dict[str, float]:
    fields = reader.nested("tuning", tuple(TUNING_RANGES))
    return {
        name: fields.number(name, None, allowed.minimum, allowed.maximum)
        for name, allowed in TUNING_RANGES.items()
        if fields.has(name)
    }


def _parse_classes(reader: FieldReader) -> tuple[RequestClass, ...]:
    classes = tuple(
        _parse_class(f"{reader.path_of('classes')}.{index}", value)
        for index, value in enumerate(reader.items("classes", MAX_CLASSES))
    )
    names: set[str] = set()
    for index, request_class in enumerate(classes):
        if request_class.name in names:
            path = f"{reader.path_of('classes')}.{index}.name"
            raise ConfigError(path, f"{request_class.name!r} is also the name of an earlier class")
        names.add(request_class.name)
    return classes


def _parse_class(path: str, value: object) -> RequestClass:
    reader = FieldReader(path, value, CLASS_FIELDS)
    methods = reader.items("methods", len(METHODS))
    for method in methods:
        if method not in METHODS:
            reason = f"{format_value(method)} is not one of {', '.join(METHODS)}"
            raise ConfigError(reader.path_of("methods"), reason)
    path_prefix = reader.text("path_prefix", "/", MAX_TEXT_CHARS)
    if not path_prefix.startswith("/"):
        raise ConfigError(
            reader.path_of("path_prefix"), f"{format_value(path_prefix)} does not start with '/'"
        )
    return RequestClass(
        name=reader.name("name"),
        methods=tuple(methods),
        path_prefix=path_prefix,
        repeatable=reader.boolean("repeatable", False),
        priority=reader.integer("priority", 0, 0, MAX_PRIORITY),
    )


def _parse_server(path: str, name: str, value: object, zones: dict[str, str]) -> BackendServer:
    reader = FieldReader(path, value, SERVER_FIELDS)
    slots = reader.integer("slots", None, 1, MAX_SLOTS)
    return BackendServer(
        name=name,
        address=_parse_address(reader),
        zone=_parse_server_zone(reader, zones),
        slots=slots,
        connections=reader.integer("connections", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS),
        weight=reader.number("weight", 1.0, MIN_WEIGHT, MAX_WEIGHT),
        cold_slots=reader.integer("cold_slots", DEFAULT_COLD_SLOTS, 1, slots),
        state=reader.choice("state", SERVER_ACTIVE, SERVER_STATES),
    )


def _parse_address(reader: FieldReader) -> str:
    address = reader.text("address", None, MAX_TEXT_CHARS)
    if not is_address(address):
        raise ConfigError(
            reader.path_of("address"), f"{format_value(address)} is not {ADDRESS_RULE}"
        )
    return address


def _parse_server_zone(reader: FieldReader, zones: dict[str, str]) -> str:
    zone = check_name(reader.path_of("zone"), reader.text("zone", None, MAX_TEXT_CHARS))
    if zone not in zones:
        known = ", ".join(sorted(zones)) or "none"
        raise ConfigError(reader.path_of("zone"), f"unknown zone {zone!r}; known are {known}")
    return zone


def _check_unique_addresses(back_ends: dict[str, BackEnd]) -> None:
    seen: dict[str, str] = {}
    for back_end in back_ends.values():
        for server in back_end.servers.values():
            path = f"back_ends.{back_end.name}.servers.{server.name}.address"
            if server.address in seen:
                reason = f"{server.address} is also the address of {seen[server.address]}"
                raise ConfigError(path, reason)
            seen[server.address] = f"{back_end.name}/{server.name}"
