"""Errors of the protocol between processes."""

from __future__ import annotations


class ProtocolError(Exception):
    """Base of all errors of the protocol between processes."""


class FrameError(ProtocolError):
    """A frame is not valid CBOR, too large, or not a known message."""


class VersionError(ProtocolError):
    """The peer uses another protocol version."""


class PeerUnreachableError(ProtocolError):
    """The peer is not connected or does not read; nothing was sent."""


class PeerLostError(ProtocolError):
    """The connection ended after the message was written to it."""


class PeerTimeoutError(ProtocolError):
    """The message was sent and no reply arrived within the timeout."""


class PeerMemoryError(PeerUnreachableError):
    """The peer has no memory for the message; it dropped what was sent and handled nothing."""


class ReplyLostError(PeerLostError):
    """The peer handled the message, but its reply could not be sent or put together."""


class SendMemoryError(ProtocolError):
    """There is no memory to keep a large message until it is sent; nothing was sent."""


class AssemblyError(ProtocolError):
    """The fragments of a message cannot be put together; the connection stays open.

    Args:
        reason: Why.
        call_id: Call that the message belongs to.
        kind: Kind of the message on the wire, empty if unknown.
        payload_bytes: Size of the message, 0 if it is not the reason.
    """

    def __init__(self, reason: str, call_id: int, kind: str, payload_bytes: int = 0) -> None:
        super().__init__(f"fragmented message {kind!r} of call {call_id} failed: {reason}")
        self.reason = reason
        self.call_id = call_id
        self.kind = kind
        self.payload_bytes = payload_bytes
