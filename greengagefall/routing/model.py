"""Typed routing configuration, the result of parsing a configuration document."""

from __future__ import annotations

from typing import NamedTuple

ZONE_IN = "in"
ZONE_OUT = "out"
ZONE_LOST = "lost"
ZONE_STATES = (ZONE_IN, ZONE_OUT, ZONE_LOST)

SERVER_ACTIVE = "active"
SERVER_DRAINING = "draining"
SERVER_STATES = (SERVER_ACTIVE, SERVER_DRAINING)

KIND_KEYED = "keyed"
KIND_POOLED = "pooled"
BACK_END_KINDS = (KIND_KEYED, KIND_POOLED)


class RequestClass(NamedTuple):
    """Class of requests, matched by method and path prefix; the first match applies.

    Attributes:
        name: Name used in metrics.
        methods: Upper-case HTTP methods; empty for all.
        path_prefix: Prefix of the path after the back end and key, such as ``/proofs``.
        repeatable: Whether requests are idempotent, so that they may be executed more than once.
        priority: Requests with 0 are shed last, those with larger numbers earlier.
    """

    name: str
    methods: tuple[str, ...]
    path_prefix: str
    repeatable: bool
    priority: int


class BackendServer(NamedTuple):
    """One backend server.

    Attributes:
        name: Unique within its back end.
        address: ``IP:port`` of its HTTP interface.
        zone: Its availability zone.
        slots: Requests that it executes at once.
        connections: Connections that it accepts.
        weight: Relative speed; 1.0 is ordinary.
        cold_slots: Requests that it can take at once during a cold start.
        state: ``active`` or ``draining``.
    """

    name: str
    address: str
    zone: str
    slots: int
    connections: int
    weight: float
    cold_slots: int
    state: str


class BackEnd(NamedTuple):
    """A back end: servers that answer the same requests.

    Attributes:
        name: Its name in paths.
        kind: ``keyed`` or ``pooled``.
        slice_count: Number of slices of a keyed back end, else 0.
        checks_orders: Whether its servers check grants and fences.
        timeout_ms: Timeout of a request that does not set one.
        queue_limit: Maximum number of queued requests per dispatcher.
        policies: Policy name for each area: ``limit``, ``queue``, ``pick``, ``placement``,
            ``hedge``, ``ejection``, ``zone_move``; omitted areas have their default.
        tuning: Parameters of these policies, by name with unit suffix.
        classes: Request classes in order of matching.
        servers: Servers by name.
    """

    name: str
    kind: str
    slice_count: int
    checks_orders: bool
    timeout_ms: int
    queue_limit: int
    policies: dict[str, str]
    tuning: dict[str, float]
    classes: tuple[RequestClass, ...]
    servers: dict[str, BackendServer]


class Limits(NamedTuple):
    """Bounds on what callers may send.

    Attributes:
        body_bytes: Largest request body.
        answer_bytes: Largest answer body.
        header_bytes: Largest header block.
        key_bytes: Longest key.
        timeout_ms: Longest timeout that a caller may ask for.
        caller_in_flight: Maximum number of requests of one caller in flight at one entry host.
        entry_in_flight: Maximum number of requests in flight at one entry host.
        retry_ratio: Retries allowed per first attempt.
    """

    body_bytes: int
    answer_bytes: int
    header_bytes: int
    key_bytes: int
    timeout_ms: int
    caller_in_flight: int
    entry_in_flight: int
    retry_ratio: float


class RoutingConfig(NamedTuple):
    """One numbered version of the routing configuration.

    Attributes:
        version: Version number; 0 if no configuration was loaded yet.
        patch_id: Id of the patch that created this version.
        zones: State of each availability zone by name.
        lost_hosts: Entry hosts that operators attested as lost, by ``host/incarnation``.
        back_ends: Back ends by name.
        limits: Bounds on callers.
        document: The JSON document that it was parsed from.
    """

    version: int
    patch_id: str
    zones: dict[str, str]
    lost_hosts: tuple[str, ...]
    back_ends: dict[str, BackEnd]
    limits: Limits
    document: dict
