"""Decodes the routing configuration that operators write to the store.

What cannot be read makes only its own entry unusable; see the note on configuration and workspaces
in docs/design.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.gateway.model import DEFAULT_HEADER_TIMEOUT_S, RoutingTable, UnreadableParts
from greengagefall.platform.configuration_routes import read_listeners
from greengagefall.platform.configuration_services import read_services
from greengagefall.platform.configuration_tenants import read_workspaces
from greengagefall.platform.entry_reader import EntryReader
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import read_object, read_text, shown
from greengagefall.platform.records import ROUTING_KEY

if TYPE_CHECKING:
    from greengagefall.platform.configuration_routes import RouteEntry
    from greengagefall.platform.configuration_services import ServiceEntry
    from greengagefall.platform.configuration_tenants import WorkspaceEntry

VERSION_RADIX = 16
MAX_VERSION_DIGITS = 64
DEFAULT_MAX_HEADER_BYTES = 65_536
DEFAULT_MAX_BODY_BYTES = 67_108_864
DEFAULT_IDLE_TIMEOUT_S = 60.0


class DecodedConfiguration(NamedTuple):
    """A configuration as hosts use it, with the places of its entries.

    Attributes:
        table: The routing table.
        routes: Routes in the order of the document.
        services: Services in the order of the document.
        workspaces: Workspaces in the order of the document.
    """

    table: RoutingTable
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    workspaces: tuple[WorkspaceEntry, ...]


def decode_routing_table(value: bytes) -> RoutingTable:
    """Returns the routing configuration; what is unreadable in it is in ``unreadable``.

    Raises:
        RecordError: The configuration is not a JSON object or has no readable version.
    """
    return decode_configuration(read_object(ROUTING_KEY, value)).table


def decode_configuration(fields: dict[str, Any]) -> DecodedConfiguration:
    """Returns a configuration with the places of its entries.

    Raises:
        RecordError: It has no readable version.
    """
    version = _read_version(fields)
    document = EntryReader("", fields, [])
    limits = document.object("limits", {}) or EntryReader("limits", {}, [])
    listeners = read_listeners(document)
    services = read_services(document)
    workspaces = read_workspaces(document)
    table = RoutingTable(
        version=version,
        routes=listeners.routes,
        services=services.services,
        max_header_bytes=int(_limit(limits, "maxHeaderBytes", DEFAULT_MAX_HEADER_BYTES)),
        max_body_bytes=int(_limit(limits, "maxBodyBytes", DEFAULT_MAX_BODY_BYTES)),
        idle_timeout_s=_limit(limits, "idleTimeoutS", DEFAULT_IDLE_TIMEOUT_S),
        header_timeout_s=_limit(limits, "headerTimeoutS", DEFAULT_HEADER_TIMEOUT_S),
        workspaces=workspaces.directory,
    )
    # Taken last, since each read may add to the notes.
    unreadable = UnreadableParts(
        tuple(document.notes),
        listeners=not listeners.complete,
        host_names=listeners.incomplete_hosts,
        clusters=not services.complete,
        services=services.unreadable,
    )
    return DecodedConfiguration(
        table._replace(unreadable=unreadable),
        listeners.entries,
        services.entries,
        workspaces.entries,
    )


def _read_version(fields: dict[str, Any]) -> int:
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


def _limit(limits: EntryReader, name: str, default: float) -> float:
    """Returns a limit; the default also if it is unreadable, since it has to be some number."""
    return limits.number(name, default)
