"""Status and grant calls to one backend server."""

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
    """What a server said in a status or grant answer.

    Attributes:
        incarnation: Its incarnation.
        now_ms: Its monotonic clock in milliseconds.
        cold: Whether it says that it is in cold start.
        busy: Requests it says it is running.
        released: Whether no request runs on a slice outside the grant.
        refusal_reason: Reason of a refused grant, empty when accepted.
        fence: Highest dispatcher fence it has seen, 0 if not said.
        map_version: Highest slice map version it has seen, 0 if not said.
    """

    incarnation: str
    now_ms: int
    cold: bool
    busy: int
    released: bool
    refusal_reason: str
    fence: int
    map_version: int


# Of a server without a control interface it is known that it answers, and no more.
NO_CONTROL_INTERFACE = ControlReply("", 0, False, 0, False, "no_control", 0, 0)


class ServerControl:
    """Calls to a server's control interface over one kept connection."""

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(address, CONTROL_ANSWER_BYTES)

    async def status(self, may_send: Callable[[], bool]) -> Result[ControlReply, DispatchError]:
        """Reads incarnation, clock and load."""
        return await self._call("GET", STATUS_PATH, b"", may_send)

    async def grant(
        self, grant: Grant, may_send: Callable[[], bool]
    ) -> Result[ControlReply, DispatchError]:
        """Gives or renews the grant."""
        body = json.dumps(grant._asdict()).encode()
        return await self._call("PUT", GRANT_PATH, body, may_send)

    async def cancel(self, request_id: str) -> None:
        """Asks the server to stop a request; a failure changes nothing."""
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
            return Ok(_reading(answer))
        except DispatchError as error:
            return Err(error)


def _reading(answer: HttpAnswer) -> ControlReply:
    if answer.status == HTTP_NOT_FOUND:
        return NO_CONTROL_INTERFACE
    try:
        said = json.loads(answer.body)
        refused = str(said["reason"]) if answer.status == HTTP_CONFLICT else ""
        return ControlReply(
            incarnation=str(said["incarnation"]),
            now_ms=int(said["now_ms"]),
            cold=bool(said.get("cold", False)),
            busy=int(said.get("busy", 0)),
            released=bool(said.get("released", False)),
            refusal_reason=refused,
            fence=int(said.get("fence", 0)),
            map_version=int(said.get("map_version", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise DispatchError(f"control answer does not parse: {error!r}") from error
