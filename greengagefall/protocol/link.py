"""Client side of a connection to one peer."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from typing import TYPE_CHECKING, Any

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from greengagefall.limits.backoff import full_jitter
from greengagefall.protocol import faults
from greengagefall.protocol.channel import FRAGMENT_TYPES, MessageChannel
from greengagefall.protocol.codec import decode
from greengagefall.protocol.exceptions import (
    AssemblyError,
    FrameError,
    PeerLostError,
    PeerMemoryError,
    PeerTimeoutError,
    PeerUnreachableError,
    ProtocolError,
    ReplyLostError,
    VersionError,
)
from greengagefall.protocol.frames import (
    CONNECTION_OPTIONS,
    close_connection,
    read_call_id,
    read_hello,
    set_socket_options,
    write_message,
)
from greengagefall.protocol.gateway_messages import Dispatch
from greengagefall.protocol.memory_budget import MemoryBudget
from greengagefall.protocol.messages import (
    OLDER_VERSIONS,
    PROTOCOL_VERSION,
    Cancel,
    Failure,
    Forward,
    Fragment,
    Hello,
)
from greengagefall.protocol.server import FAILURE_NOT_ASSEMBLED, FAILURE_REPLY_MEMORY
from greengagefall.utils.metrics import count
from greengagefall.utils.sockets import reset_on_close
from greengagefall.utils.supervision import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.client import ClientConnection

    from greengagefall.protocol.memory_budget import Budget

log = logging.getLogger(__name__)

MAX_OUTSTANDING_CALLS = 4096
PROBE_TIMEOUT_S = 0.6
# While a call is outstanding, the link is probed after this time without a frame of the peer.
PROBE_AFTER_SILENCE_S = 0.4
SUSPECT_AFTER_S = 0.15
STABLE_AFTER_S = 1.0
RECONNECT_BASE_MS = 50.0
RECONNECT_CAP_MS = 1000.0


class PeerLink:
    """Keeps a connection to one peer and reconnects until it is closed.

    Attributes:
        address: ``IP:port`` of the peer.
        peer: The peer's hello while connected, else None.
        blocked: Switch for tests that drops every frame in both directions.
        ever_connected: Whether a connection has been open at any time.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        *,
        on_message: Callable[[Any], None] | None = None,
        on_connect: Callable[[Hello], None] | None = None,
        on_disconnect: Callable[[Hello], None] | None = None,
        connect_timeout_s: float = 1.0,
        budget: Budget | None = None,
    ) -> None:
        """Prepares the link; ``start`` connects it.

        Args:
            address: ``IP:port`` of the peer.
            hello: First message to the peer.
            on_message: Called with each message that is not a reply.
            on_connect: Called with the peer's hello after each connection.
            on_disconnect: Called with the peer's hello after each disconnection.
            connect_timeout_s: Timeout for connecting, and again for the exchange of hellos.
            budget: Memory for large replies until they are complete; by default
                ``DEFAULT_BUDGET_BYTES``.
        """
        self.address = address
        self.peer: Hello | None = None
        self.blocked = False
        self.ever_connected = False
        self._hello = hello
        self._on_message = on_message
        self._on_connect = on_connect
        self._on_disconnect = on_disconnect
        self._connect_timeout_s = connect_timeout_s
        self._budget = budget or MemoryBudget()
        self._connection: ClientConnection | None = None
        self._channel: MessageChannel | None = None
        # Version of the next hello: an older peer accepts only its own.
        self._version = hello.version
        self._outstanding: dict[int, asyncio.Future] = {}
        self._call_ids = itertools.count(1)
        self._rng = random.Random()
        self._task: asyncio.Task | None = None
        self._probe_task: asyncio.Task | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._received_at_s = 0.0
        self._probed_at_s = 0.0

    async def start(self) -> None:
        """Starts the task that keeps the connection; does not wait until it is connected."""
        self._task = start_supervised(self._run, f"link {self.address}")

    async def close(self) -> None:
        """Closes the connection; outstanding calls fail with ``PeerLostError``."""
        tasks = [task for task in (self._task, self._probe_task) if task is not None]
        self._task = None
        self._probe_task = None
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def connected(self) -> bool:
        """Whether the connection is open, so that a call can be sent."""
        return self._connection is not None

    @property
    def suspect(self) -> bool:
        """Whether a probe has had no answer for ``SUSPECT_AFTER_S``."""
        if self._probe_task is None:
            return False
        return asyncio.get_running_loop().time() - self._probed_at_s >= SUSPECT_AFTER_S

    @property
    def outstanding(self) -> int:
        """Number of calls without a reply so far."""
        return len(self._outstanding)

    def next_call_id(self) -> int:
        """Returns an unused call id, for a call that can be cancelled by its id."""
        return next(self._call_ids)

    async def call(self, message: Any, timeout_s: float, *, call_id: int = 0) -> Any:
        """Sends a request and returns its reply, which may be a ``Failure``.

        A ``Forward`` or ``Dispatch`` whose calling task is cancelled is cancelled at the peer too.

        Args:
            message: The request; its ``call_id`` is replaced.
            timeout_s: Time to wait for the reply.
            call_id: An id from ``next_call_id``, or 0 to use a new one.

        Raises:
            FrameError: The message is too large; nothing was sent.
            PeerUnreachableError: The message was not sent completely, or the peer has no memory
                for it; the peer has not handled it and never will.
            PeerLostError: The connection ended after the message was written, or the reply cannot
                be put together.
            PeerTimeoutError: The message was written and no reply arrived within the timeout.
        """
        channel = self._channel
        if channel is None:
            raise PeerUnreachableError(f"peer {self.address} is not connected; nothing was sent")
        if len(self._outstanding) >= MAX_OUTSTANDING_CALLS:
            raise PeerUnreachableError(
                f"overloaded: peer {self.address} has {MAX_OUTSTANDING_CALLS} outstanding calls"
            )
        call_id = call_id or next(self._call_ids)
        channel.write(message._replace(call_id=call_id))
        loop = asyncio.get_running_loop()
        reply_future = self._outstanding[call_id] = loop.create_future()
        timer = loop.call_later(timeout_s, self._expire, call_id)
        self._start_silence_timer(loop)
        try:
            return await reply_future
        except asyncio.CancelledError:
            if isinstance(message, (Forward, Dispatch)) and not channel.withdraw(call_id):
                self.send(Cancel(call_id))
            raise
        finally:
            timer.cancel()
            self._outstanding.pop(call_id, None)
            channel.withdraw(call_id)

    def send(self, message: Any) -> bool:
        """Writes a message without a reply.

        Returns:
            Whether it was handed to an open connection.
        """
        if self._channel is None:
            return False
        try:
            self._channel.write(message)
        except PeerUnreachableError:
            return False
        return True

    async def cancel(self, call_id: int) -> None:
        """Fails an outstanding call with ``PeerTimeoutError`` and cancels it at the peer."""
        reply_future = self._outstanding.get(call_id)
        if reply_future is None or reply_future.done():
            return
        text = f"call to {self.address} was cancelled"
        if self._channel is not None and self._channel.withdraw(call_id):
            reply_future.set_exception(PeerUnreachableError(f"{text} before it was sent"))
            return
        reply_future.set_exception(PeerTimeoutError(text))
        self.send(Cancel(call_id))

    def _drops_outbound(self) -> bool:
        host = self.peer.host if self.peer else ""
        return self.blocked or faults.drops_outbound(host, self.address)

    def _drops_inbound(self) -> bool:
        host = self.peer.host if self.peer else ""
        return self.blocked or faults.drops_inbound(host, self.address)

    def _start_silence_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._silence_timer is None:
            self._silence_timer = loop.call_later(PROBE_AFTER_SILENCE_S, self._on_silence)

    def _on_silence(self) -> None:
        """Probes the link if calls are outstanding and no frame arrived for a while."""
        self._silence_timer = None
        if not self._outstanding or self._connection is None:
            return
        loop = asyncio.get_running_loop()
        if loop.time() - self._received_at_s >= PROBE_AFTER_SILENCE_S:
            self._start_probe()
        self._start_silence_timer(loop)

    def _start_probe(self) -> None:
        if self._connection is not None and self._probe_task is None:
            self._probed_at_s = asyncio.get_running_loop().time()
            probe = self._probe(self._connection)
            self._probe_task = asyncio.create_task(probe, name=f"probe {self.address}")

    def _expire(self, call_id: int) -> None:
        reply_future = self._outstanding.get(call_id)
        if reply_future is None or reply_future.done():
            return
        count("peer_call_timeouts")
        if self._channel is not None and self._channel.withdraw(call_id):
            reply_future.set_exception(
                PeerUnreachableError(f"call to {self.address} was not sent within the timeout")
            )
            return
        reply_future.set_exception(
            PeerTimeoutError(f"no reply from {self.address} within the timeout")
        )
        self._start_probe()

    async def _probe(self, connection: ClientConnection) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await (await connection.ping())
            self._received_at_s = asyncio.get_running_loop().time()
            if self._drops_outbound() or self._drops_inbound():
                self._abort(connection)
        except TimeoutError:
            self._abort(connection)
        except WebSocketException:
            pass
        finally:
            self._probe_task = None

    def _abort(self, connection: ClientConnection) -> None:
        log.warning(
            "Peer %s did not answer a probe. Closing the connection and reconnecting.",
            self.address,
        )
        count("peer_probe_failures")
        # What the peer has not received is given up, and must not arrive once it answers again.
        sock = connection.transport.get_extra_info("socket")
        if sock.fileno() >= 0:
            reset_on_close(sock)
        connection.transport.abort()

    async def _run(self) -> None:
        attempt = 0
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            try:
                await self._connect_and_read()
            except VersionError as error:
                log.warning(
                    "Peer %s uses another protocol version: %s. Reconnecting after a delay.",
                    self.address,
                    error,
                )
                count("peer_frame_errors", reason="version")
            except FrameError as error:
                log.warning(
                    "Peer %s sent a malformed frame: %s. Closing the connection and reconnecting.",
                    self.address,
                    error,
                )
                count("peer_frame_errors", reason="malformed")
            except (OSError, TimeoutError, WebSocketException, ProtocolError) as error:
                log.debug(
                    "Connection to %s ended: %r. Reconnecting after a delay.",
                    self.address,
                    error,
                )
            if loop.time() - started_s > STABLE_AFTER_S + self._connect_timeout_s:
                attempt = 0
            delay_ms = full_jitter(attempt, RECONNECT_BASE_MS, RECONNECT_CAP_MS, self._rng)
            await asyncio.sleep(delay_ms / 1000)
            attempt += 1

    async def _connect_and_read(self) -> None:
        if self._drops_outbound() or self._drops_inbound():
            raise PeerUnreachableError(f"peer {self.address} is cut by a fault switch")
        async with asyncio.timeout(self._connect_timeout_s):
            connection = await connect(
                f"ws://{self.address}/", proxy=None, open_timeout=None, **CONNECTION_OPTIONS
            )
        peer = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                write_message(connection, self._hello._replace(version=self._version))
                hello = await read_hello(connection)
            self._agree_on_version(hello)
            if faults.drops_outbound(hello.host) or faults.drops_inbound(hello.host):
                raise PeerUnreachableError(f"peer {hello.host} is cut by a fault switch")
            peer = hello
            self._on_connected(connection, peer)
            await self._read(connection)
        finally:
            self._on_disconnected(peer)
            await close_connection(connection)

    def _agree_on_version(self, hello: Hello) -> None:
        """Checks that both sides named the same version.

        After a connection the next one starts with this process's own version again, since the
        peer may have been upgraded meanwhile.

        Raises:
            VersionError: The peer uses another version. The next connection uses it, if this
                process speaks it.
        """
        tried = self._version
        self._version = self._hello.version
        if hello.version == tried:
            return
        if hello.version in OLDER_VERSIONS and tried == PROTOCOL_VERSION:
            self._version = hello.version
        raise VersionError(f"protocol version is {hello.version!r}; expected {tried}")

    def _on_connected(self, connection: ClientConnection, peer: Hello) -> None:
        set_socket_options(connection)
        self.peer = peer
        self._connection = connection
        self._channel = MessageChannel(
            connection, peer.host, peer.version, self._budget, self._drops_outbound
        )
        self.ever_connected = True
        log.debug("Connected to %s at %s.", peer.host, self.address)
        count("peer_connections")
        if self._on_connect is not None:
            self._on_connect(peer)

    def _on_disconnected(self, peer: Hello | None) -> None:
        channel = self._channel
        self._connection = None
        self._channel = None
        self.peer = None
        for call_id, reply_future in list(self._outstanding.items()):
            if reply_future.done():
                continue
            if channel is not None and channel.is_incomplete(call_id):
                reply_future.set_exception(
                    PeerUnreachableError(f"connection to {self.address} ended before the call")
                )
                continue
            reply_future.set_exception(
                PeerLostError(f"connection to {self.address} ended before the reply")
            )
        if channel is not None:
            channel.close()
        if peer is not None and self._on_disconnect is not None:
            self._on_disconnect(peer)

    async def _read(self, connection: ClientConnection) -> None:
        while True:
            try:
                frame = await connection.recv()
            except ConnectionClosed:
                return
            if self._drops_inbound():
                continue
            self._received_at_s = asyncio.get_running_loop().time()
            message = decode(frame)
            if isinstance(message, FRAGMENT_TYPES):
                self._receive_part(message)
                continue
            self._receive(message)

    def _receive_part(self, part: Any) -> None:
        call_id = read_call_id(part)
        channel = self._channel
        if call_id and call_id not in self._outstanding:
            # The call has ended; the peer was told then if its reply had arrived in part.
            if isinstance(part, Fragment) and not part.offset:
                self.send(Cancel(call_id))
            return
        try:
            assembled = channel.assemble(part)
        except AssemblyError as error:
            self._fail_reply(error.call_id, str(error))
            return
        if assembled is not None:
            self._budget.release(assembled.reserved_bytes)
            self._receive(assembled.message)

    def _fail_reply(self, call_id: int, text: str) -> None:
        reply_future = self._outstanding.get(call_id)
        if reply_future is not None and not reply_future.done():
            reply_future.set_exception(ReplyLostError(text))
            self.send(Cancel(call_id))

    def _receive(self, message: Any) -> None:
        call_id = read_call_id(message)
        reply_future = self._outstanding.get(call_id)
        if reply_future is not None:
            if not reply_future.done():
                self._finish(reply_future, message)
            return
        if call_id:
            count("peer_late_replies")
            return
        if self._on_message is not None:
            self._on_message(message)

    def _finish(self, reply_future: asyncio.Future, message: Any) -> None:
        if not isinstance(message, Failure):
            reply_future.set_result(message)
        elif message.reason == FAILURE_NOT_ASSEMBLED:
            reply_future.set_exception(PeerMemoryError(f"{self.address} dropped the message"))
        elif message.reason == FAILURE_REPLY_MEMORY:
            reply_future.set_exception(ReplyLostError(f"{self.address} has no memory to reply"))
        else:
            reply_future.set_result(message)
