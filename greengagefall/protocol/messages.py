"""Typed messages of the protocol between processes.

Each message is a ``NamedTuple`` of CBOR types (nested records are encoded as arrays).
``call_id`` pairs a reply with its request on one connection; 0 requests no reply.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

PROTOCOL_VERSION = 2
# Older versions that this process still speaks to a peer, for rolling upgrades. Version 1 has no
# fragments: each message is one frame.
OLDER_VERSIONS = frozenset({1})
FIRST_VERSION_WITH_FRAGMENTS = 2

MessageType = TypeVar("MessageType", bound=type)

MESSAGE_TYPES: dict[str, type] = {}
MESSAGE_KINDS: dict[type, str] = {}


def message(kind: str) -> Any:
    """Registers a message type under its name on the wire."""

    def register(cls: MessageType) -> MessageType:
        MESSAGE_TYPES[kind] = cls
        MESSAGE_KINDS[cls] = kind
        return cls

    return register


@message("hello")
class Hello(NamedTuple):
    """First message that each side of a connection sends.

    Attributes:
        version: ``PROTOCOL_VERSION`` of the sender.
        role: ``entry`` or ``coordinator``.
        host: Name of the sender's host.
        zone: Availability zone of the sender.
        incarnation: Incarnation of the sending process.
        address: ``IP:port`` of the sender's peer interface, empty for none.
        http_address: ``IP:port`` of the sender's interface for callers, empty for none.
    """

    version: int
    role: str
    host: str
    zone: str
    incarnation: str
    address: str
    http_address: str


@message("forward")
class Forward(NamedTuple):
    """Sends a caller's request to the dispatcher of a backend server.

    Attributes:
        call_id: Id of the call on this connection.
        request_id: The caller's id, the same on all hops.
        back_end: Name of the back end.
        server: Name of the backend server.
        slice_id: Slice of the key, -1 for pooled back ends.
        fence: Fencing token of the slice in the sender's slice map, 0 for pooled back ends.
        map_version: Slice map version of the sender.
        method: HTTP method.
        path: Path and query for the backend server.
        headers: Header names and values for the backend server.
        body: Request body.
        remaining_ms: Time left until the caller's deadline.
        repeatable: Whether it may be executed more than once.
        priority: Priority of its class; 0 is shed last.
        caller: Identity of the caller, for fair queueing.
        relay_host: Host to which the receiver relays the request, empty for none.
    """

    call_id: int
    request_id: str
    back_end: str
    server: str
    slice_id: int
    fence: int
    map_version: int
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    remaining_ms: int
    repeatable: bool
    priority: int
    caller: str
    relay_host: str


@message("answer")
class Answer(NamedTuple):
    """A backend server's full answer.

    Attributes:
        call_id: Id of the ``Forward``.
        request_id: The caller's id.
        status: HTTP status.
        headers: Header names and values.
        body: Full body.
        queue_length: Requests queued or in flight at the dispatcher.
        latency_ms: Time that the backend server took to answer.
    """

    call_id: int
    request_id: str
    status: int
    headers: list[list[str]]
    body: bytes
    queue_length: int
    latency_ms: float


@message("refusal")
class Refusal(NamedTuple):
    """Reports why a ``Forward`` was refused.

    Attributes:
        call_id: Id of the ``Forward``.
        request_id: The caller's id.
        reason: Name from ``greengagefall.protocol.refusals``.
        not_run: True only if no byte reached a backend server or the server reported that it
            did not execute the request.
        retry_after_ms: Time after which a retry may succeed, 0 for no hint.
        hint_host: Host that dispatches the server, if known.
        map_version: Slice map version of the refusing host.
    """

    call_id: int
    request_id: str
    reason: str
    not_run: bool
    retry_after_ms: int
    hint_host: str
    map_version: int


@message("cancel")
class Cancel(NamedTuple):
    """Asks to cancel the call with this id; there is no reply."""

    call_id: int


@message("endorse")
class Endorse(NamedTuple):
    """A candidate asks a witness to endorse it for several backend servers.

    Attributes:
        call_id: Id of the call on this connection.
        host: Name of the candidate's host.
        incarnation: Its incarnation.
        epoch: Members epoch under which it asks.
        servers: Pairs of ``back end/server`` and the fencing token to store.
        map_versions: Slice map version that it uses, by back end.
        resign: Whether the candidate gives its endorsements back.
        round: Increases with each ``Endorse`` of this incarnation to this witness; a witness
            ignores a request that arrives after one with a higher round.
    """

    call_id: int
    host: str
    incarnation: str
    epoch: int
    servers: list[list[Any]]
    map_versions: dict[str, int]
    resign: bool
    round: int


@message("endorsed")
class Endorsed(NamedTuple):
    """A witness's reply to an ``Endorse``.

    Attributes:
        call_id: Id of the ``Endorse``.
        host: Name of the witness's host.
        incarnation: Its incarnation.
        epoch: Members epoch of the witness; it endorses nothing if the candidate's differs.
        results: Rows of ``back end/server``, whether it is endorsed, highest fencing token
            stored, and whether an unexpired endorsement of the previous epoch was kept.
        map_versions: Highest slice map version stored, by back end.
    """

    call_id: int
    host: str
    incarnation: str
    epoch: int
    results: list[list[Any]]
    map_versions: dict[str, int]


@message("heartbeat")
class Heartbeat(NamedTuple):
    """Heartbeat with the sender's document versions and the coordinator that it knows.

    Entry hosts send it to ring neighbours and to hosts of other zones; coordinators send it too.

    Attributes:
        call_id: Id of the call on this connection.
        host: Name of the sending host.
        epoch: Members epoch that it uses, 0 for none.
        coordinator: Host of the coordinator with the highest term that it knows, empty for none.
        coordinator_term: Term of that coordinator.
        coordinator_age_ms: Time since the last known heartbeat of that coordinator.
        versions: Version by document name: ``config``, ``members/<zone>``,
            ``slices/<back end>``.
    """

    call_id: int
    host: str
    epoch: int
    coordinator: str
    coordinator_term: int
    coordinator_age_ms: int
    versions: dict[str, int]


@message("heartbeat_reply")
class HeartbeatReply(NamedTuple):
    """Reply to a heartbeat, with the document versions of the replying host."""

    call_id: int
    host: str
    incarnation: str
    epoch: int
    coordinator: str
    coordinator_term: int
    coordinator_age_ms: int
    versions: dict[str, int]


@message("fetch")
class Fetch(NamedTuple):
    """Requests the documents that are newer than the given versions, by document name."""

    call_id: int
    versions: dict[str, int]


@message("documents")
class Documents(NamedTuple):
    """Documents, in reply to a ``Fetch`` or pushed with ``call_id`` 0.

    Attributes:
        call_id: Id of the ``Fetch``, or 0.
        documents: Rows of name, version, kind (``whole`` or ``delta``) and JSON text.
    """

    call_id: int
    documents: list[list[Any]]


@message("release")
class Release(NamedTuple):
    """The coordinator asks a dispatcher whether its server has released slices.

    Attributes:
        call_id: Id of the call on this connection.
        back_end: Name of the back end.
        server: Name of the owner.
        slice_bounds: Pairs of first and last slice.
        map_version: Slice map version in which these slices are ``releasing``.
    """

    call_id: int
    back_end: str
    server: str
    slice_bounds: list[list[int]]
    map_version: int


@message("released")
class Released(NamedTuple):
    """A dispatcher's reply to ``Release``.

    Attributes:
        call_id: Id of the ``Release``.
        released: Whether the server certainly holds none of these slices.
        reason: ``confirmed``, ``ran_out``, ``other_incarnation``, or the reason why the slices
            are not released yet.
        dispatch_fence: Fencing token of the dispatch right.
    """

    call_id: int
    released: bool
    reason: str
    dispatch_fence: int


@message("host_report")
class HostReport(NamedTuple):
    """Requests the state of an entry host's dispatchers."""

    call_id: int


class ServerStatus(NamedTuple):
    """State of one backend server as its dispatcher sees it; encoded as an array.

    Attributes:
        server_key: ``back end/server``.
        state: ``up``, ``cold``, ``suspect``, ``down`` or ``unknown``.
        in_state_s: Time in that state.
        busy_share: Share of its slots that are in use.
        limit: Requests that may be in flight now.
        offered_per_s: Requests a second that reached the dispatcher.
        served_per_s: Requests a second that were answered.
    """

    server_key: str
    state: str
    in_state_s: float
    busy_share: float
    limit: int
    offered_per_s: float
    served_per_s: float


@message("host_status")
class HostStatus(NamedTuple):
    """State of an entry host's dispatchers, for the coordinator and operators.

    Attributes:
        call_id: Id of the ``HostReport``.
        host: Name of the sending host.
        incarnation: Its incarnation.
        epoch: Members epoch that it uses.
        resigning: Whether it is stopping, so that it resigns its dispatch rights.
        servers: The fields of a ``ServerStatus`` for each server.
        slice_load: Requests a second by ``back end/slice``, for the busiest slices.
        violations: Number of violations by invariant name.
    """

    call_id: int
    host: str
    incarnation: str
    epoch: int
    resigning: bool
    servers: list[list[Any]]
    slice_load: dict[str, float]
    violations: dict[str, int]


@message("failure")
class Failure(NamedTuple):
    """Reply to a request that the receiver could not handle."""

    call_id: int
    reason: str


@message("fragment")
class Fragment(NamedTuple):
    """A part of the payload of a large message.

    The payload is the message's body, or its whole frame if it has no body.

    Attributes:
        call_id: Id of the call that the message belongs to.
        message_id: Number of the message among the sender's fragmented ones on this connection.
        kind: Kind of the message on the wire.
        payload_bytes: Size of the whole payload.
        offset: Position of ``data`` in the payload.
        data: The part.
    """

    call_id: int
    message_id: int
    kind: str
    payload_bytes: int
    offset: int
    data: bytes


@message("fragments_end")
class FragmentsEnd(NamedTuple):
    """Ends a fragmented message.

    Attributes:
        call_id: Same as in its fragments.
        message_id: Same as in its fragments.
        frame: Frame of the message with an empty body; empty if the payload is the whole frame.
    """

    call_id: int
    message_id: int
    frame: bytes
