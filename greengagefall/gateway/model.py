"""Typed records of the gateway, independent of the platform."""

from __future__ import annotations

from typing import NamedTuple

from greengagefall.ownership.model import ServerIncarnation
from greengagefall.workspaces.directory import NO_WORKSPACES, WorkspaceDirectory

NO_KEY = -1
DEFAULT_MEMORY_BYTES = 128 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 10.0


class OperatorLimits(NamedTuple):
    """Limits that the operators set for the whole system.

    Attributes:
        drain_timeout_s: How long a draining server may still get requests.
        grace_period_s: Time from SIGTERM to the kill.
        evacuation_timeout_s: Time after which an evacuated zone must get no new requests.
        retry_ratio: Retries allowed, as a share of the requests of a service.
        retry_extra: Additional retries allowed in each window.
        retry_window_s: Length of the retry window.
        cold_factor: Factor on the rate that a cold server can take by its service's settings.
        cold_margin_per_s: Requests a second allowed in addition to that rate.
        max_grant_duration_s: Longest duration of one grant of keys.
        quota_window_s: Window in which the requests of a workspace are counted.
        quota_overage_ratio: Share of a quota by which it may be exceeded in a window.
        quota_extra_requests: Requests by which it may be exceeded in addition.
        configuration_apply_s: Time in which a new configuration has to be in force.
    """

    drain_timeout_s: float = 2.0
    grace_period_s: float = 6.0
    evacuation_timeout_s: float = 5.0
    retry_ratio: float = 0.2
    retry_extra: float = 60.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.5
    cold_margin_per_s: float = 5.0
    max_grant_duration_s: float = 10.0
    quota_window_s: float = 5.0
    quota_overage_ratio: float = 0.1
    quota_extra_requests: float = 20.0
    configuration_apply_s: float = 2.0


class PlatformSettings(NamedTuple):
    """Settings of an entry host, from its settings file.

    Attributes:
        host: Name of this entry host.
        zone: Its availability zone.
        caller_address: ``IP:port`` for callers.
        readiness_address: ``IP:port`` of the readiness check.
        peer_address: ``IP:port`` for the other entry hosts.
        store_address: ``IP:port`` of the platform's store.
        heartbeat_s: Interval in which backend servers renew their entries.
        min_lease_ttl_s: Shortest lease that the store accepts.
        store_retention_s: How long the store keeps changes for watchers.
        cpu_cores: Processor cores that this host may use.
        limits: Limits of the operators.
        memory_bytes: Memory that this host may use.
        max_descriptors: Open files and sockets that this host may have; 0 if unknown.
        link_mbps: Bandwidth of this host's network link; 0 if unknown.
    """

    host: str
    zone: str
    caller_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    heartbeat_s: float
    min_lease_ttl_s: float
    store_retention_s: float
    cpu_cores: float
    limits: OperatorLimits
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = 0
    link_mbps: float = 0.0


class ServerEntry(NamedTuple):
    """A backend server as it registered itself.

    Attributes:
        server_id: Its id.
        service: Service that it belongs to.
        address: ``IP:port``.
        zone: Its availability zone.
        slots: Requests that it executes concurrently.
        draining: Whether it announced that it is draining.
        cold_remaining_s: Remaining cold time that it reported when it wrote the entry.
        start_ms: Unix time of its start; distinguishes incarnations with the same id.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_remaining_s: float
    start_ms: int

    @property
    def incarnation(self) -> ServerIncarnation:
        """The incarnation that wrote the entry."""
        return ServerIncarnation(self.server_id, self.start_ms)


class Destination(NamedTuple):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host name and path prefix go.

    Attributes:
        name: Name for logs and metrics.
        host_name: Host header that it matches, without a port.
        prefix: Beginning of the path.
        destinations: Services with their weights.
        idempotent: Whether a request may be executed more than once.
        priority: 0 is the most urgent.
        objective_s: Latency within which an answer has its full value.
        timeout_s: Longest time that a caller is kept waiting.
        max_attempts: Maximum number of times that one request may be sent to a server.
        public: Whether requests need no API key, even if the configuration has workspaces.
        large_answers: Whether operators expect large answers, such as downloads.
        readable: Whether all of its fields could be read; requests of others are refused.
    """

    name: str
    host_name: str
    prefix: str
    destinations: tuple[Destination, ...]
    idempotent: bool
    priority: int
    objective_s: float
    timeout_s: float
    max_attempts: int
    public: bool = False
    large_answers: bool = False
    readable: bool = True


class Service(NamedTuple):
    """Settings of the servers of one service.

    Attributes:
        name: Its name.
        health_path: Path of the health check.
        max_connections: Connections that a server accepts from all hosts together.
        cold_s: How long a server is cold after its start.
        cold_rate_per_s: Requests a second that a cold server can take.
        keyed: Whether each key belongs to one server.
        key_warmup_s: How long keys that were granted without a handover token are slow.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate_per_s: float
    keyed: bool
    key_warmup_s: float


class UnreadableEntry(NamedTuple):
    """A value of the configuration that could not be read.

    Attributes:
        path: Its place in the document, such as ``listeners[0].routingRules[2].kind``.
        value: Short description of it; never an API key.
        expected: What it should be.
    """

    path: str
    value: str
    expected: str

    @property
    def section(self) -> str:
        """The section of the document that it is in."""
        return self.path.partition(".")[0].partition("[")[0]


class UnreadableParts(NamedTuple):
    """What could not be read of a configuration, and which requests that concerns.

    Attributes:
        entries: The unreadable values in the order of the document.
        listeners: Whether there are listeners without a readable host name.
        host_names: Host names that have routes without a readable prefix.
        clusters: Whether there are services without a readable name.
        services: Names of the services that could not be read otherwise.
    """

    entries: tuple[UnreadableEntry, ...] = ()
    listeners: bool = False
    host_names: frozenset[str] = frozenset()
    clusters: bool = False
    services: frozenset[str] = frozenset()


class RoutingTable(NamedTuple):
    """One version of the routing configuration.

    Attributes:
        version: Its number; never decreases.
        routes: Routes of each host name, longest prefix first.
        services: Services by name, without unreadable ones.
        max_header_bytes: Largest header block of a request.
        max_body_bytes: Largest body of a request.
        idle_timeout_s: How long a caller's connection may be idle.
        header_timeout_s: How long a caller may take to send a header block.
        workspaces: Workspaces by API key.
        unreadable: What could not be read.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    max_header_bytes: int
    max_body_bytes: int
    idle_timeout_s: float
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    workspaces: WorkspaceDirectory = NO_WORKSPACES
    unreadable: UnreadableParts = UnreadableParts()

    @property
    def large_answer_services(self) -> set[str]:
        """Names of the services to which routes with large answers lead."""
        return {
            destination.service
            for routes in self.routes.values()
            for route in routes
            if route.large_answers
            for destination in route.destinations
        }

    def find_route(self, host_name: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, if there is one."""
        for route in self.routes.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def may_have_unreadable_route(self, host_name: str) -> bool:
        """Returns whether an unreadable entry may hold routes of a host name."""
        if host_name in self.unreadable.host_names:
            return True
        return self.unreadable.listeners and host_name not in self.routes

    def is_service_unreadable(self, name: str) -> bool:
        """Returns whether a service, or an entry that may be it, could not be read."""
        if name in self.unreadable.services:
            return True
        return self.unreadable.clusters and name not in self.services


EMPTY_ROUTING_TABLE = RoutingTable(0, {}, {}, 0, 0, 0.0)


class CallerRequest(NamedTuple):
    """A parsed request of a caller.

    Attributes:
        request_id: The caller's id of this attempt.
        method: HTTP method.
        host_name: Host header without its port.
        target: Path and query.
        headers: Headers that are forwarded to the server.
        body: Complete body.
        timeout_s: How long the caller waits; infinite if it did not say.
        key: Number of the key, ``NO_KEY`` without one.
        api_keys: The API keys that it carries; secrets.
    """

    request_id: str
    method: str
    host_name: str
    target: str
    headers: list[list[str]]
    body: bytes
    timeout_s: float
    key: int
    api_keys: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Describes the request without its headers, query and API keys, which are secrets."""
        path = self.target.partition("?")[0]
        return (
            f"CallerRequest(request_id={self.request_id!r}, method={self.method!r}, "
            f"host_name={self.host_name!r}, path={path!r}, body_bytes={len(self.body)}, "
            f"timeout_s={self.timeout_s!r}, key={self.key!r})"
        )
