"""CBOR frames: an array of the message's kind and its fields in order."""

from __future__ import annotations

from typing import Any

import cbor2

from greengagefall.protocol.exceptions import FrameError
from greengagefall.protocol.messages import MESSAGE_KINDS, MESSAGE_TYPES

MAX_FRAME_BYTES = 4 * 1024 * 1024


def encode(message: tuple) -> bytes:
    """Returns the frame for a registered message."""
    return cbor2.dumps([MESSAGE_KINDS[type(message)], *message])


def decode(frame: bytes | str) -> Any:
    """Returns the message in a frame.

    Raises:
        FrameError: The frame is text, too large, not CBOR, or not a known message.
    """
    if isinstance(frame, str):
        raise FrameError("text frame; binary CBOR expected")
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(frame)} bytes is over {MAX_FRAME_BYTES}")
    try:
        fields = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, OverflowError, RecursionError) as error:
        raise FrameError(f"not CBOR: {error}") from error
    if not isinstance(fields, list) or not fields or not isinstance(fields[0], str):
        raise FrameError("a frame is an array that starts with the kind of message")
    message_type = MESSAGE_TYPES.get(fields[0])
    if message_type is None:
        raise FrameError(f"unknown kind of message {fields[0]!r}")
    if len(fields) - 1 != len(message_type._fields):
        raise FrameError(
            f"{fields[0]} has {len(message_type._fields)} fields, frame has {len(fields) - 1}"
        )
    return message_type(*fields[1:])
