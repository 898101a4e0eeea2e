"""Tornado's streams, with what they hold and a cheaper search for the end of a header block.

Streams have no public attributes for either; only this module uses their private ones.
"""

from __future__ import annotations

from tornado.iostream import IOStream


class CallerStream(IOStream):
    """Stream of a caller's connection.

    Tornado runs a regular expression over all that was received each time more arrives. For header
    blocks that never end this takes a whole processor core.
    """

    def _find_read_pos(self) -> int | None:
        regex = self._read_regex
        received = self._read_buffer
        if regex is None or b"\n\r\n" in received or b"\n\n" in received:
            return super()._find_read_pos()
        self._check_max_bytes(regex, self._read_buffer_size)
        return None


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
