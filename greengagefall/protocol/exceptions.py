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
