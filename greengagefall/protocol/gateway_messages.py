"""Messages between the gateways of entry hosts; rows and keys travel as plain CBOR arrays."""

from __future__ import annotations

from typing import Any, NamedTuple

from greengagefall.protocol.messages import message

NO_BASE_VERSION = -1


@message("d")
class Dispatch(NamedTuple):
    """A caller's request on its way to the dispatcher of a backend server.

    Attributes:
        call_id: Id on this connection.
        request_id: The caller's id.
        service: Service that runs it.
        server_id: Owner of the key; empty lets the dispatcher choose.
        key: Number of the key, -1 without one.
        method: HTTP method.
        host_name: Host that the caller asked for.
        target: Path and query.
        headers: Headers that are passed on.
        body: Whole body.
        remaining_ms: Time until nobody waits for the answer.
        objective_ms: Time until the answer loses value.
        idempotent: Whether it may run more than once.
        priority: 0 is the most urgent.
    """

    call_id: int
    request_id: str
    service: str
    server_id: str
    key: int
    method: str
    host_name: str
    target: str
    headers: list[list[str]]
    body: bytes
    remaining_ms: int
    objective_ms: int
    idempotent: bool
    priority: int


@message("a")
class Dispatched(NamedTuple):
    """A backend server's whole answer.

    Attributes:
        call_id: Id of the ``Dispatch``.
        status: HTTP status.
        headers: Headers for the caller.
        body: Whole body.
        load_percent: Requests at this dispatcher's servers of the service, per slot.
    """

    call_id: int
    status: int
    headers: list[list[str]]
    body: bytes
    load_percent: int


@message("r")
class NotDispatched(NamedTuple):
    """Why a dispatcher has no answer.

    Attributes:
        call_id: Id of the ``Dispatch``.
        reason: Name out of ``greengagefall.gateway.outcomes``.
        sent: Whether any byte reached a server.
        not_run: Whether it certainly did not run and never will.
        retry_after_ms: When a slot may be free.
        load_percent: As for ``Dispatched``.
        server_id: Server that it was meant for, empty if none was chosen.
    """

    call_id: int
    reason: str
    sent: bool
    not_run: bool
    retry_after_ms: int
    load_percent: int
    server_id: str


@message("hb")
class HostBeat(NamedTuple):
    """What an entry host tells the coordinator.

    Attributes:
        call_id: Id on this connection.
        host: The sender.
        start_ms: Its incarnation.
        assignment_version: Assignment that it knows.
        stopping: Whether it is about to leave.
        server_states: For each server that it dispatches: id, mean service time in ms, requests
            running and waiting, and whether it answers.
        key_counts: For each keyed service: its name, and keys with their counts in turns.
    """

    call_id: int
    host: str
    start_ms: int
    assignment_version: int
    stopping: bool
    server_states: list[list[Any]]
    key_counts: list[list[Any]]


@message("hr")
class BeatReply(NamedTuple):
    """The coordinator's reply to a ``HostBeat``.

    Attributes:
        call_id: Id of the ``HostBeat``.
        assignment_version: Newest assignment.
        verified_age_ms: How long ago the coordinator last knew that it is the only one.
    """

    call_id: int
    assignment_version: int
    verified_age_ms: int


@message("as")
class AssignmentPush(NamedTuple):
    """A new assignment, as a difference or whole.

    Attributes:
        call_id: Id on this connection.
        base_version: Version that the difference applies to, ``NO_BASE_VERSION`` for a
            whole assignment.
        version: Its version.
        last_fence: Highest fence.
        rows: Rows that are new or changed.
        removed: Names of rows that no longer exist.
    """

    call_id: int
    base_version: int
    version: int
    last_fence: int
    rows: dict[str, list[Any]]
    removed: list[str]


@message("aa")
class AssignmentAck(NamedTuple):
    """The version that a host knows after an ``AssignmentPush``."""

    call_id: int
    version: int


@message("rk")
class ReleaseKeys(NamedTuple):
    """Asks a dispatcher to take keys back from a server.

    Attributes:
        call_id: Id on this connection.
        version: Assignment in which the keys move.
        server_id: The server.
        start_ms: Its life.
        first: First key.
        last: Last key.
        fence: Fence of the next owner.
    """

    call_id: int
    version: int
    server_id: str
    start_ms: int
    first: int
    last: int
    fence: int


@message("kr")
class KeysReleased(NamedTuple):
    """What became of a ``ReleaseKeys``.

    Attributes:
        call_id: Id of the ``ReleaseKeys``.
        released: Whether the server confirmed it.
        hand_over: Token for the next owner, empty for none.
        ends_in_ms: Time after which no grant of this host can hold; 0 if released.
    """

    call_id: int
    released: bool
    hand_over: str
    ends_in_ms: int


@message("gk")
class GrantKeys(NamedTuple):
    """Tells a dispatcher that nobody else holds keys of its server any more.

    Attributes:
        call_id: Id on this connection.
        version: Assignment in which the keys move.
        server_id: The server.
        start_ms: Its life.
        first: First key.
        last: Last key.
        fence: Fence of the server.
        hand_over: Token of the former owner, empty for none.
    """

    call_id: int
    version: int
    server_id: str
    start_ms: int
    first: int
    last: int
    fence: int
    hand_over: str


@message("kg")
class KeysGranted(NamedTuple):
    """Whether the server took the keys of a ``GrantKeys``."""

    call_id: int
    granted: bool
