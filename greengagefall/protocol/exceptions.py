"""Errors of the inner protocol."""

from __future__ import annotations


class ProtocolError(Exception):
    """Base of all errors of the inner protocol."""


class FrameError(ProtocolError):
    """A frame is not valid CBOR, too large, or not a known message."""


class VersionError(ProtocolError):
    """The peer speaks another protocol version."""


class PeerUnreachableError(ProtocolError):
    """No connection to the peer; nothing was sent."""


class PeerLostError(ProtocolError):
    """The connection ended after the message was handed to it."""


class PeerTimeoutError(ProtocolError):
    """No reply came in time; the message was sent."""
