"""Encodes messages as CBOR frames: an array of the message kind and its fields in order.

Last fields that have their default value are left out, so that hosts of a version without these
fields can read messages that do not use them.
"""

from __future__ import annotations

from typing import Any

import cbor2

from greengagefall.protocol.exceptions import FrameError
from greengagefall.protocol.messages import MESSAGE_KINDS, MESSAGE_TYPES

MAX_FRAME_BYTES = 4 * 1024 * 1024


def encode(message: tuple) -> bytes:
    """Returns the frame for a registered message."""
    defaults = message._field_defaults
    if not defaults:
        return cbor2.dumps([MESSAGE_KINDS[type(message)], *message])
    fields = list(message)
    for name in reversed(message._fields):
        if name not in defaults or fields[-1] != defaults[name]:
            break
        fields.pop()
    return cbor2.dumps([MESSAGE_KINDS[type(message)], *fields])


def decode(frame: bytes | str, limit_bytes: int = MAX_FRAME_BYTES) -> Any:
    """Returns the message in a frame.

    Args:
        frame: The frame.
        limit_bytes: Largest size of the frame; larger if it was put together from fragments.

    Raises:
        FrameError: The frame is text, too large, not CBOR, or not a known message.
    """
    if isinstance(frame, str):
        raise FrameError("received a text frame; expected binary CBOR")
    if len(frame) > limit_bytes:
        raise FrameError(f"frame has {len(frame)} bytes; expected at most {limit_bytes}")
    try:
        fields = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, OverflowError, RecursionError) as error:
        raise FrameError(f"frame is not CBOR: {error}") from error
    if not isinstance(fields, list) or not fields or not isinstance(fields[0], str):
        raise FrameError("frame is not an array that starts with the message kind")
    message_type = MESSAGE_TYPES.get(fields[0])
    if message_type is None:
        raise FrameError(f"message kind {fields[0]!r} is unknown")
    most = len(message_type._fields)
    least = most - len(message_type._field_defaults)
    if not least <= len(fields) - 1 <= most:
        raise FrameError(f"{fields[0]}: expected {least} to {most} fields, got {len(fields) - 1}")
    return message_type(*fields[1:])
