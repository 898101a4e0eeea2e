"""Messages between the gateways of entry hosts; rows and keys are encoded as CBOR arrays."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.protocol.messages import message

if TYPE_CHECKING:
    from collections.abc import Sequence

NO_BASE_VERSION = -1


@message("d")
class Dispatch(NamedTuple):
    """Sends a caller's request to the dispatcher of a backend server.

    Attributes:
        call_id: Id of the call on this connection.
        request_id: The caller's id.
        service: Service that executes it.
        server_id: Owner of the key; empty if the dispatcher chooses a server.
        key: Number of the key, -1 without one.
        method: HTTP method.
        host_name: Host name in the caller's request.
        target: Path and query.
        headers: Headers for the backend server.
        body: Full body.
        remaining_ms: Time until the caller's deadline.
        objective_ms: Time until the latency objective, after which the answer loses value.
        idempotent: Whether it may be executed more than once.
        priority: 0 is the most urgent.
        kind: Kind of work, the name of its route; empty if unknown.
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
    kind: str = ""


@message("a")
class Dispatched(NamedTuple):
    """A backend server's full answer.

    Attributes:
        call_id: Id of the ``Dispatch``.
        status: HTTP status.
        headers: Headers for the caller.
        body: Full body.
        load_percent: Requests queued or in flight, in percent of the slots; at the chosen server,
            for a service without keys at all of its servers that the host dispatches.
    """

    call_id: int
    status: int
    headers: list[list[str]]
    body: bytes
    load_percent: int


@message("r")
class NotDispatched(NamedTuple):
    """Reports why a dispatcher has no answer.

    Attributes:
        call_id: Id of the ``Dispatch``.
        reason: Name from ``greengagefall.gateway.outcomes``.
        sent: Whether any byte of it reached a server.
        not_run: Whether it certainly was not and will not be executed.
        retry_after_ms: Time until a slot may be free.
        load_percent: Same as in ``Dispatched``.
        server_id: Server chosen for it, empty if none was chosen.
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
    """Heartbeat of an entry host to the coordinator.

    Attributes:
        call_id: Id of the call on this connection.
        host: Name of the sending host.
        start_ms: Start time of its incarnation.
        assignment_version: Version of the assignment that it has.
        stopping: Whether it is shutting down.
        server_states: For each server that it dispatches: id, mean service time in ms, requests
            in flight, queued requests, and whether the server answers.
        key_counts: For each keyed service: its name, and keys and their counts alternately.
        rate_limits: For each server that it dispatches and that names a rate limit: id, start time
            of its incarnation, and requests per second.
        suspect_fences: For each server that it dispatches and that may have restarted: id, start
            time of the incarnation that owns its keys, and the highest fencing token that has to be
            replaced before they are granted again.
        assignment_age_ms: How long ago the assignment that it has was last known to be the newest.
        quota_token: The coordinator's ``BeatReply.quota_token``, as proof that this heartbeat was
            sent after that reply; empty if no workspace has a limit.
        quota_version: Version of the limiters that it has by that coordinator.
        quota_roles: Workspaces of which it is the limiter.
        store_knowledge: What it knows of the store: restores, how many ms ago it certainly knew all
            changes, and the revision of the last known change under each followed prefix; empty if
            it does not watch the store by itself.
    """

    call_id: int
    host: str
    start_ms: int
    assignment_version: int
    stopping: bool
    server_states: list[list[Any]]
    key_counts: list[list[Any]]
    rate_limits: Sequence[list[Any]] = ()
    suspect_fences: Sequence[list[Any]] = ()
    assignment_age_ms: int = 0
    quota_token: str = ""
    quota_version: int = 0
    quota_roles: Sequence[str] = ()
    store_knowledge: Sequence[int] = ()


@message("hr")
class BeatReply(NamedTuple):
    """The coordinator's reply to a ``HostBeat``.

    Attributes:
        call_id: Id of the ``HostBeat``.
        assignment_version: Version of the newest assignment.
        verified_age_ms: Time since the coordinator last verified that it is the only one.
        quota_token: Identifies this coordinator; empty while it grants no limiter roles.
        quota_version: Version of ``quota_limiters``.
        quota_roles: Workspaces for which the host gets a lease as limiter, new or renewed.
        quota_lease_ms: Duration of these leases from the sending of the heartbeat.
        quota_limiters: Workspaces by the host that is their limiter; None if the host has this
            version.
        store_knowledge: What the coordinator knows of the store, as in ``HostBeat``; empty if the
            heartbeat has none.
    """

    call_id: int
    assignment_version: int
    verified_age_ms: int
    quota_token: str = ""
    quota_version: int = 0
    quota_roles: Sequence[str] = ()
    quota_lease_ms: int = 0
    quota_limiters: dict[str, list[str]] | None = None
    store_knowledge: Sequence[int] = ()


@message("qp")
class QuotaPermits(NamedTuple):
    """Asks for permits to pass requests of a workspace on; the reply is a ``QuotaGranted``.

    Attributes:
        call_id: Id of the call on this connection.
        workspace: Name of the workspace.
        needed: Requests that wait for a permit.
        expected: Permits for requests that are expected soon.
        fallback: Whether the host is asked as the fallback host of the zone.
    """

    call_id: int
    workspace: str
    needed: int
    expected: int
    fallback: bool


@message("qg")
class QuotaGranted(NamedTuple):
    """Grants permits.

    Attributes:
        call_id: Id of the ``QuotaPermits``.
        responsible: Whether the host counts for the workspace.
        granted: Number of permits.
        retry_after_ms: Time until another permit may be available; 0 if all needed were granted.
    """

    call_id: int
    responsible: bool
    granted: int
    retry_after_ms: int


@message("as")
class AssignmentPush(NamedTuple):
    """A new assignment, as a difference or in full.

    Attributes:
        call_id: Id of the call on this connection.
        base_version: Version that the difference applies to, ``NO_BASE_VERSION`` for a
            full assignment.
        version: Version of the new assignment.
        last_fence: Highest fencing token issued so far.
        rows: Rows that are new or changed.
        removed: Names of rows that no longer exist.
        rate_limits: The rate limits that servers name, as in ``HostBeat``, for their next
            dispatchers.
    """

    call_id: int
    base_version: int
    version: int
    last_fence: int
    rows: dict[str, list[Any]]
    removed: list[str]
    rate_limits: Sequence[list[Any]] = ()


@message("ar")
class AssignmentRequest(NamedTuple):
    """Asks a host for the assignment that it has; the reply is a full ``AssignmentPush``."""

    call_id: int


@message("aa")
class AssignmentAck(NamedTuple):
    """Reports the assignment version that a host has after an ``AssignmentPush``."""

    call_id: int
    version: int


@message("rk")
class ReleaseKeys(NamedTuple):
    """Asks a dispatcher to release keys of a server.

    Attributes:
        call_id: Id of the call on this connection.
        version: Assignment in which the keys move.
        server_id: The server.
        start_ms: Start time of its incarnation.
        first: First key.
        last: Last key.
        fence: Fencing token of the new owner.
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
    """Reports the result of a ``ReleaseKeys``.

    Attributes:
        call_id: Id of the ``ReleaseKeys``.
        released: Whether the server confirmed the release.
        hand_over: Handover token for the new owner, empty for none.
        ends_in_ms: Time until every grant of this host has expired; 0 if released.
    """

    call_id: int
    released: bool
    hand_over: str
    ends_in_ms: int


@message("gk")
class GrantKeys(NamedTuple):
    """Tells a dispatcher that it may grant keys to its server: no other server holds them.

    Attributes:
        call_id: Id of the call on this connection.
        version: Assignment in which the keys move.
        server_id: The server.
        start_ms: Start time of its incarnation.
        first: First key.
        last: Last key.
        fence: Fencing token of the server.
        hand_over: Handover token of the former owner, empty for none.
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
    """Reports whether the server accepted the keys of a ``GrantKeys``."""

    call_id: int
    granted: bool


@message("sp")
class StorePoll(NamedTuple):
    """Asks a host that watches the store for the changes of keys since some revisions.

    Attributes:
        call_id: Id of the call on this connection.
        revisions: For each followed prefix, the revision up to which the sender knows its keys;
            0 if it knows none.
        wait_ms: How long the reply may wait for a change.
        restores: Restores of the store up to which the revisions count; -1 if unknown.
    """

    call_id: int
    revisions: list[int]
    wait_ms: int
    restores: int = -1


@message("sc")
class StoreChanges(NamedTuple):
    """Changes of keys in the store, as a reply to a ``StorePoll``.

    Attributes:
        call_id: Id of the ``StorePoll``.
        prefixes: For each followed prefix: the revision up to which the keys are known, whether
            ``puts`` holds all keys, the puts as key, value and revision, and the deletions as key
            and revision.
        verified_age_ms: Time from the last proof that the sender knew all changes until this reply.
        waited_ms: Time from the receipt of the ``StorePoll`` until this reply.
        reachable_ms: Time for which the sender has reached the store without interruption.
        restores: Restores of the store up to which the revisions count; -1 if unknown.
    """

    call_id: int
    prefixes: list[list[Any]]
    verified_age_ms: int
    waited_ms: int
    reachable_ms: int
    restores: int = -1

    def __repr__(self) -> str:
        """Describes the reply without the values of keys, which may hold secrets."""
        return f"StoreChanges({self.call_id}, {len(self.prefixes)} prefixes)"
