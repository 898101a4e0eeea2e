"""Puts the fragments of large messages together again, within a budget of memory."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING, Any, NamedTuple

from greengagefall.protocol.codec import decode
from greengagefall.protocol.exceptions import AssemblyError, FrameError
from greengagefall.protocol.messages import MESSAGE_KINDS, MESSAGE_TYPES

if TYPE_CHECKING:
    from greengagefall.protocol.memory_budget import Budget
    from greengagefall.protocol.messages import Fragment, FragmentsEnd

# A sender that is alive sends its fragments in turn or cancels the message.
MAX_SILENCE_S = 10.0
OVER_BUDGET = "over_budget"
OUT_OF_ORDER = "out_of_order"
INCOMPLETE = "incomplete"
MALFORMED = "malformed"


class Assembled(NamedTuple):
    """A complete message.

    Attributes:
        message: The message.
        reserved_bytes: Memory that its receiver has to release after use.
    """

    message: Any
    reserved_bytes: int


class _Assembly:
    """The payload of one message as far as it has arrived.

    ``BytesIO`` grows with what arrives, and hands its content over without a copy.
    """

    def __init__(self, first: Fragment) -> None:
        self.call_id = first.call_id
        self.kind = first.kind
        self.payload_bytes = first.payload_bytes
        self.payload = io.BytesIO()
        self.received_s = 0.0

    def continues_with(self, fragment: Fragment) -> bool:
        """Returns whether a fragment is the next one of this message."""
        return (
            fragment.call_id == self.call_id
            and fragment.kind == self.kind
            and fragment.payload_bytes == self.payload_bytes
            and fragment.offset == self.payload.tell()
            and fragment.offset + len(fragment.data) <= self.payload_bytes
        )


class Assembler:
    """Incomplete messages of one direction of a connection.

    A message whose fragments are not in order and complete fails; it is never completed otherwise.
    Later fragments of a failed message are ignored.

    Args:
        budget: Memory for the messages.
    """

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._assemblies: dict[int, _Assembly] = {}

    def __len__(self) -> int:
        return len(self._assemblies)

    def __bool__(self) -> bool:
        return bool(self._assemblies)

    def add(self, fragment: Fragment, now_s: float) -> bool:
        """Adds a fragment; returns False if its message failed before or was dropped.

        Raises:
            AssemblyError: The message failed.
            FrameError: A field of the fragment is not of its type.
        """
        _check_types(fragment)
        assembly = self._assemblies.get(fragment.message_id)
        if assembly is None:
            if fragment.offset:
                return False
            assembly = self._open(fragment)
        if not assembly.continues_with(fragment):
            self._drop(fragment.message_id)
            raise AssemblyError(OUT_OF_ORDER, assembly.call_id, assembly.kind)
        assembly.payload.write(fragment.data)
        assembly.received_s = now_s
        return True

    def finish(self, end: FragmentsEnd) -> Assembled:
        """Returns a complete message, whose memory the caller releases.

        Raises:
            AssemblyError: The message is not complete, or its parts are not one message.
            FrameError: A field of the message is not of its type.
        """
        if type(end.message_id) is not int or type(end.frame) is not bytes:
            raise FrameError("a field of fragments_end is not of its type")
        assembly = self._assemblies.get(end.message_id)
        if assembly is None:
            raise AssemblyError(INCOMPLETE, end.call_id, "")
        if assembly.call_id != end.call_id or assembly.payload.tell() != assembly.payload_bytes:
            self._drop(end.message_id)
            raise AssemblyError(INCOMPLETE, assembly.call_id, assembly.kind)
        try:
            message = _join(assembly, end.frame)
        except (AssemblyError, FrameError) as error:
            self._drop(end.message_id)
            raise AssemblyError(MALFORMED, assembly.call_id, assembly.kind) from error
        del self._assemblies[end.message_id]
        return Assembled(message, assembly.payload_bytes)

    def drop_call(self, call_id: int) -> bool:
        """Drops the incomplete messages of a call; returns whether there were any."""
        message_ids = [
            message_id
            for message_id, assembly in self._assemblies.items()
            if assembly.call_id == call_id
        ]
        for message_id in message_ids:
            self._drop(message_id)
        return bool(message_ids)

    def drop_silent(self, now_s: float) -> list[AssemblyError]:
        """Drops the messages without a fragment for ``MAX_SILENCE_S``; returns their failures."""
        failures = []
        for message_id, assembly in list(self._assemblies.items()):
            if now_s - assembly.received_s > MAX_SILENCE_S:
                self._drop(message_id)
                failures.append(AssemblyError(INCOMPLETE, assembly.call_id, assembly.kind))
        return failures

    def clear(self) -> None:
        """Drops all incomplete messages, because the connection ended."""
        for message_id in list(self._assemblies):
            self._drop(message_id)

    def _open(self, first: Fragment) -> _Assembly:
        if not self._budget.reserve(first.payload_bytes):
            raise AssemblyError(OVER_BUDGET, first.call_id, first.kind, first.payload_bytes)
        assembly = self._assemblies[first.message_id] = _Assembly(first)
        return assembly

    def _drop(self, message_id: int) -> None:
        self._budget.release(self._assemblies.pop(message_id).payload_bytes)


def _check_types(fragment: Fragment) -> None:
    numbers = (fragment.message_id, fragment.payload_bytes, fragment.offset)
    if not all(type(number) is int and number >= 0 for number in numbers):
        raise FrameError("a number of a fragment is not a non-negative integer")
    if type(fragment.data) is not bytes or not fragment.data:
        raise FrameError("the data of a fragment is not a non-empty byte string")
    if not isinstance(fragment.kind, str) or fragment.kind not in MESSAGE_TYPES:
        raise FrameError("the kind of a fragmented message is unknown")


def _join(assembly: _Assembly, frame: bytes) -> Any:
    """Returns the message of a complete payload and the frame that ends it."""
    payload = assembly.payload.getvalue()
    message = decode(frame) if frame else decode(payload, assembly.payload_bytes)
    if MESSAGE_KINDS[type(message)] != assembly.kind or message.call_id != assembly.call_id:
        raise FrameError("the fragments and their end are of different messages")
    if not frame:
        return message
    if getattr(message, "body", None) != b"":
        raise FrameError("the end of a fragmented message has no empty body")
    return message._replace(body=payload)
