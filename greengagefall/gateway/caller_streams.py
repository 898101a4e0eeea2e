"""Reads from Tornado's streams how much they hold, which they have no public attributes for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.iostream import IOStream


def unread_bytes(stream: IOStream) -> int:
    """Returns the bytes that were received and not consumed yet."""
    return stream._read_buffer_size


def unwritten_bytes(stream: IOStream) -> int:
    """Returns the bytes that the operating system has not taken yet."""
    return len(stream._write_buffer) if stream.writing() else 0


def drop_unread(stream: IOStream) -> None:
    """Frees what a closed stream received; reference cycles may keep the stream for a while."""
    stream._read_buffer = bytearray()
    stream._read_buffer_size = 0
