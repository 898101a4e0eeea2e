"""Reads the services of the routing configuration."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.gateway.model import Service

if TYPE_CHECKING:
    from greengagefall.platform.entry_reader import EntryReader


class ServiceEntry(NamedTuple):
    """A service whose name could be read.

    Attributes:
        path: Its place in the document.
        name: Its name.
    """

    path: str
    name: str


class Services(NamedTuple):
    """The services of a configuration.

    Attributes:
        entries: All services in the order of the document.
        services: Readable services by name.
        unreadable: Names of the services of which something else could not be read.
        complete: Whether the names of all services could be read.
    """

    entries: tuple[ServiceEntry, ...]
    services: dict[str, Service]
    unreadable: frozenset[str]
    complete: bool


def read_services(document: EntryReader) -> Services:
    """Returns all services."""
    rows = document.rows("clusters")
    complete = rows.complete
    entries: list[ServiceEntry] = []
    services: dict[str, Service] = {}
    unreadable: set[str] = set()
    for row in rows.readers:
        service = _read_service(row)
        if not service.name:
            complete = False
            continue
        entries.append(ServiceEntry(row.path, service.name))
        if not row.readable:
            unreadable.add(service.name)
        else:
            services[service.name] = service
    for name in unreadable:
        services.pop(name, None)
    return Services(tuple(entries), services, frozenset(unreadable), complete)


def _read_service(row: EntryReader) -> Service:
    return Service(
        name=row.text("name"),
        health_path=row.token("healthCheck", "/"),
        max_connections=int(row.number("maxConnections", 100)),
        cold_s=row.number("warmupS", 0.0),
        cold_rate_per_s=row.number("coldPerS", math.inf),
        keyed=row.switch("shardEnabled"),
        key_warmup_s=row.number("warmS", 0.0),
    )
