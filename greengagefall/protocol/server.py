"""Server side of the connections to peers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from greengagefall.protocol import faults
from greengagefall.protocol.channel import FRAGMENT_TYPES, MessageChannel
from greengagefall.protocol.codec import decode
from greengagefall.protocol.exceptions import (
    AssemblyError,
    FrameError,
    PeerUnreachableError,
    ProtocolError,
    SendMemoryError,
    VersionError,
)
from greengagefall.protocol.frames import (
    CLOSE_TIMEOUT_S,
    CONNECTION_OPTIONS,
    close_connection,
    read_call_id,
    read_hello,
    set_socket_options,
    write_message,
)
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.protocol.messages import OLDER_VERSIONS, Cancel, Failure, Hello
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from websockets.asyncio.server import Server, ServerConnection

    from greengagefall.protocol.memory_budget import Budget

log = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 1024
FAILURE_INTERNAL = "internal_error"
# The message was not put together; the handler has not seen it.
FAILURE_NOT_ASSEMBLED = "not_assembled"
# The handler's reply could not be kept until it is sent.
FAILURE_REPLY_MEMORY = "reply_memory"


class _PeerConnection:
    """One connection and the requests in progress on it."""

    def __init__(self, connection: ServerConnection, hello: Hello, budget: Budget) -> None:
        self.connection = connection
        self.hello = hello
        self.requests: dict[int, _Request] = {}
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self.channel = MessageChannel(
            connection, hello.host, hello.version, budget, self._drops_outbound
        )

    def _drops_outbound(self) -> bool:
        return faults.drops_outbound(self.hello.host, self.hello.address)


class _Request:
    """A request in progress, without its message, which may be large.

    Attributes:
        kind: Type name of the message.
        call_id: Id of the call.
        reserved_bytes: Memory that is reserved for the message.
        task: Task that handles it.
        started: Whether the task has begun.
    """

    __slots__ = ("call_id", "kind", "reserved_bytes", "started", "task")

    def __init__(self, kind: str, call_id: int, reserved_bytes: int) -> None:
        self.kind = kind
        self.call_id = call_id
        self.reserved_bytes = reserved_bytes
        self.task: asyncio.Task | None = None
        self.started = False


class PeerServer:
    """Accepts peers and hands their messages to a handler.

    Up to ``MAX_CONCURRENT_REQUESTS`` requests of one connection are handled concurrently; beyond
    that the connection is not read. A ``Cancel`` cancels the task of the request with its call id.
    """

    def __init__(
        self,
        listen: str,
        hello: Hello,
        handler: Callable[[Hello, Any], Awaitable[Any] | Any],
        *,
        on_connect: Callable[[Hello], None] | None = None,
        on_disconnect: Callable[[Hello], None] | None = None,
        budget: Budget | None = None,
    ) -> None:
        """Prepares the server; ``start`` opens its port.

        Args:
            listen: ``IP:port``; port 0 selects a free port.
            hello: First message to each peer.
            handler: Called with the peer's hello and a message. It returns the reply or
                None, or a coroutine that returns one, which is run in its own task.
            on_connect: Called with the hello of a peer that connected.
            on_disconnect: Called with the hello of a peer that disconnected.
            budget: Memory for large requests until they are handled, and for large replies until
                they are sent; by default ``DEFAULT_BUDGET_BYTES``.
        """
        self._listen = listen
        self._hello = hello
        self._handler = handler
        self._on_connect = on_connect
        self._on_disconnect = on_disconnect
        self._budget = budget or MemoryBudget()
        self._server: Server | None = None
        self._connections: dict[ServerConnection, _PeerConnection] = {}
        self.address = listen

    async def start(self) -> None:
        """Opens the port and sets ``address`` and the address in the hello to the bound one."""
        host, port = self._listen.rsplit(":", 1)
        self._server = await serve(
            self._serve, host, int(port), open_timeout=HELLO_TIMEOUT_S, **CONNECTION_OPTIONS
        )
        bound_port = next(iter(self._server.sockets)).getsockname()[1]
        self.address = f"{host}:{bound_port}"
        if self._hello.address.endswith(":0"):
            self._hello = self._hello._replace(address=self.address)

    async def close(self) -> None:
        """Closes the port and all connections and cancels the requests in progress."""
        if self._server is None:
            return
        tasks = []
        for peer in self._connections.values():
            for request in list(peer.requests.values()):
                tasks.append(request.task)
                self._cancel_request(peer, request)
        self._server.close()
        await asyncio.gather(*tasks, return_exceptions=True)
        try:
            async with asyncio.timeout(2 * CLOSE_TIMEOUT_S):
                await self._server.wait_closed()
        except TimeoutError:
            # Peers that do not read hold their connections open.
            for connection in list(self._connections):
                connection.transport.abort()
            await self._server.wait_closed()
        self._server = None

    @property
    def hello(self) -> Hello:
        """First message to each peer."""
        return self._hello

    def peers(self) -> list[Hello]:
        """Returns the hellos of the connected peers."""
        return [peer.hello for peer in self._connections.values()]

    def send_to(self, host: str, message: Any, *, role: str = "entry") -> bool:
        """Pushes a message to the connections of a host's process.

        Args:
            host: Name of the host.
            message: A message with ``call_id`` 0.
            role: Role of the process at the other end.

        Returns:
            Whether it was handed to at least one open connection.
        """
        sent = False
        for peer in self._connections.values():
            if peer.hello.host != host or peer.hello.role != role:
                continue
            try:
                peer.channel.write(message)
                sent = True
            except PeerUnreachableError:
                continue
        return sent

    async def _serve(self, connection: ServerConnection) -> None:
        try:
            peer = await self._exchange_hellos(connection)
            await self._serve_peer(peer)
        except VersionError as error:
            log.warning("Peer uses another protocol version: %s. Closing the connection.", error)
            await self._close_bad_peer(connection, "version")
        except FrameError as error:
            log.warning("Received a malformed frame: %s. Closing the connection.", error)
            await self._close_bad_peer(connection, "malformed")
        except (ConnectionClosed, ProtocolError, TimeoutError) as error:
            log.debug("Connection from a peer ended: %r.", error)
        finally:
            connection.transport.abort()

    async def _close_bad_peer(self, connection: ServerConnection, reason: str) -> None:
        count("peer_frame_errors", reason=reason)
        await close_connection(connection, CloseCode.PROTOCOL_ERROR, reason)

    async def _exchange_hellos(self, connection: ServerConnection) -> _PeerConnection:
        set_socket_options(connection)
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            try:
                hello = await read_hello(connection)
            except VersionError:
                # A newer peer may speak this version after it has seen it.
                write_message(connection, self._hello)
                raise
        if faults.drops_inbound(hello.host, hello.address):
            raise PeerUnreachableError(f"peer {hello.host} is cut by a fault switch")
        # An older peer accepts only its own version.
        version = hello.version if hello.version in OLDER_VERSIONS else self._hello.version
        write_message(connection, self._hello._replace(version=version))
        return _PeerConnection(connection, hello, self._budget)

    async def _serve_peer(self, peer: _PeerConnection) -> None:
        self._connections[peer.connection] = peer
        if self._on_connect is not None:
            self._on_connect(peer.hello)
        try:
            await self._read(peer)
        finally:
            del self._connections[peer.connection]
            peer.channel.close()
            if self._on_disconnect is not None:
                self._on_disconnect(peer.hello)

    async def _read(self, peer: _PeerConnection) -> None:
        while True:
            try:
                frame = await peer.connection.recv()
            except ConnectionClosed as closed:
                if closed.sent and closed.sent.code == CloseCode.MESSAGE_TOO_BIG:
                    count("peer_frame_errors", reason="too_large")
                return
            if faults.drops_inbound(peer.hello.host, peer.hello.address):
                continue
            message = decode(frame)
            if isinstance(message, FRAGMENT_TYPES):
                await self._receive_part(peer, message, read_call_id(message))
                continue
            await self._dispatch(peer, message, read_call_id(message))

    async def _receive_part(self, peer: _PeerConnection, part: Any, call_id: int) -> None:
        try:
            assembled = peer.channel.assemble(part)
        except AssemblyError as error:
            self._reply(peer, error.call_id, Failure(0, FAILURE_NOT_ASSEMBLED))
            return
        if assembled is not None:
            await self._dispatch(peer, assembled.message, call_id, assembled.reserved_bytes)

    async def _dispatch(
        self, peer: _PeerConnection, message: Any, call_id: int, reserved_bytes: int = 0
    ) -> None:
        if isinstance(message, Cancel):
            self._budget.release(reserved_bytes)
            self._cancel(peer, call_id)
            return
        await peer.slots.acquire()
        try:
            reply = self._handler(peer.hello, message)
        except Exception as error:
            self._release(peer, reserved_bytes)
            self._reply(peer, call_id, self._failure(type(message).__name__, error))
            return
        if not asyncio.iscoroutine(reply):
            self._release(peer, reserved_bytes)
            self._reply(peer, call_id, reply)
            return
        request = _Request(type(message).__name__, call_id, reserved_bytes)
        task = asyncio.create_task(self._handle_request(peer, request, reply))
        request.task = task
        peer.requests[call_id or -id(task)] = request

    def _cancel(self, peer: _PeerConnection, call_id: int) -> None:
        peer.channel.drop(call_id)
        request = peer.requests.get(call_id)
        if request is not None:
            self._cancel_request(peer, request)

    def _cancel_request(self, peer: _PeerConnection, request: _Request) -> None:
        request.task.cancel()
        if not request.started:
            # The task ends without reaching its ``finally``.
            self._end_request(peer, request)

    def _end_request(self, peer: _PeerConnection, request: _Request) -> None:
        self._release(peer, request.reserved_bytes)
        key = request.call_id or -id(request.task)
        if peer.requests.get(key) is request:
            del peer.requests[key]

    def _release(self, peer: _PeerConnection, reserved_bytes: int) -> None:
        peer.slots.release()
        if reserved_bytes:
            self._budget.release(reserved_bytes)

    async def _handle_request(
        self, peer: _PeerConnection, request: _Request, reply: Awaitable[Any]
    ) -> None:
        request.started = True
        try:
            handled = await reply
            if request.reserved_bytes:
                # The reply may need the memory of the request.
                self._budget.release(request.reserved_bytes)
                request.reserved_bytes = 0
            self._reply(peer, request.call_id, handled)
        except Exception as error:
            self._reply(peer, request.call_id, self._failure(request.kind, error))
        finally:
            self._end_request(peer, request)

    def _failure(self, kind: str, error: Exception) -> Failure:
        log.error(
            "Handler of %s failed. Replying with Failure if a reply is expected.",
            kind,
            exc_info=error,
        )
        count("peer_handler_errors", kind=kind)
        return Failure(0, FAILURE_INTERNAL)

    def _reply(self, peer: _PeerConnection, call_id: int, reply: Any) -> None:
        if reply is None or not call_id:
            return
        try:
            peer.channel.write(reply._replace(call_id=call_id), reserve=True)
        except SendMemoryError as error:
            self._report_reply_memory(peer, call_id, reply, error)
            self._reply(peer, call_id, Failure(0, FAILURE_REPLY_MEMORY))
        except PeerUnreachableError:
            count("peer_replies_dropped")
            peer.connection.transport.abort()

    def _report_reply_memory(
        self, peer: _PeerConnection, call_id: int, reply: Any, error: SendMemoryError
    ) -> None:
        kind = type(reply).__name__
        count("peer_message_failures", kind=kind, reason=FAILURE_REPLY_MEMORY)
        log.info(
            "Reply is too large for the memory; the caller gets a failure.",
            extra={
                "peer": peer.hello.host,
                "kind": kind,
                "call_id": call_id,
                "error": str(error),
            },
        )
