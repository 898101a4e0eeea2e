"""Client of the control interface of one backend server: status, grant and cancel calls."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok, Result

from greengagefall.dispatch.connection_pool import ConnectionPool, HttpAnswer, HttpRequest
from greengagefall.dispatch.exceptions import DispatchError

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.grants import Grant

STATUS_PATH = "/.server/status"
GRANT_PATH = "/.server/grant"
CANCEL_PATH = "/.server/cancel"
CONTROL_TIMEOUT_S = 0.4
CONTROL_ANSWER_BYTES = 1024 * 1024
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


class ControlReply(NamedTuple):
    """Contents of the answer to a status or grant call.

    Attributes:
        incarnation: Incarnation of the server.
        now_ms: Monotonic clock of the server in milliseconds.
        cold: Whether the server reports a cold start.
        busy: Number of requests that the server reports as being executed.
        released: Whether no request is executed on a slice outside the grant.
        refusal_reason: Reason for refusing the grant, empty if the grant was accepted.
        fence: Highest dispatcher fence that the server has seen, 0 if not reported.
        map_version: Highest slice map version that the server has seen, 0 if not reported.
    """

    incarnation: str
    now_ms: int
    cold: bool
    busy: int
    released: bool
    refusal_reason: str
    fence: int
    map_version: int


# Stands for the reply of a server without a control interface, which is only known to answer.
NO_CONTROL_INTERFACE = ControlReply("", 0, False, 0, False, "no_control", 0, 0)


class ServerControl:
    """Client of the control interface of a server, over a persistent connection."""

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address, CONTROL_ANSWER_BYTES)

    async def status(self, may_send: Callable[[], bool]) -> Result[ControlReply, DispatchError]:
        """Reads the incarnation, clock and load of the server."""
        return await self._call("GET", STATUS_PATH, b"", may_send)

    async def grant(
        self, grant: Grant, may_send: Callable[[], bool]
    ) -> Result[ControlReply, DispatchError]:
        """Sends a new or renewed grant."""
        body = json.dumps(grant._asdict()).encode()
        return await self._call("PUT", GRANT_PATH, body, may_send)

    async def cancel(self, request_id: str) -> None:
        """Asks the server to cancel a request; a failure is ignored."""
        body = json.dumps({"request_id": request_id}).encode()
        await self._call("POST", CANCEL_PATH, body, lambda: True)

    def close(self) -> None:
        """Closes the connection."""
        self._pool.close()

    async def _call(
        self, method: str, path: str, body: bytes, may_send: Callable[[], bool]
    ) -> Result[ControlReply, DispatchError]:
        request = HttpRequest(method, path, [["Content-Type", "application/json"]], body)
        try:
            answer = await self._pool.exchange(request, CONTROL_TIMEOUT_S, may_send)
            return Ok(_parse_reply(answer))
        except DispatchError as error:
            return Err(error)


def _parse_reply(answer: HttpAnswer) -> ControlReply:
    if answer.status == HTTP_NOT_FOUND:
        return NO_CONTROL_INTERFACE
    if answer.status not in (HTTP_OK, HTTP_CONFLICT):
        raise DispatchError(f"status {answer.status} of the control interface is no confirmation")
    try:
        fields = json.loads(answer.body)
        refusal = str(fields["reason"]) if answer.status == HTTP_CONFLICT else ""
        return ControlReply(
            incarnation=str(fields["incarnation"]),
            now_ms=int(fields["now_ms"]),
            cold=bool(fields.get("cold", False)),
            busy=int(fields.get("busy", 0)),
            released=bool(fields.get("released", False)),
            refusal_reason=refusal,
            fence=int(fields.get("fence", 0)),
            map_version=int(fields.get("map_version", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise DispatchError(
            f"answer of the control interface (status {answer.status}) is not valid: {error!r}"
        ) from error
