"""Bounds the memory that unfinished answers of backend servers hold together.

A faulty server may send a body without end. Several of them at once must not use up the memory of
the process, in which the requests of all other callers run.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Protocol

from greengagefall.memory.budget import SERVER_ANSWERS
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from greengagefall.memory.account import MemoryAccount

log = logging.getLogger(__name__)


class UnfinishedAnswer(Protocol):
    """An answer that is being read."""

    def give_up(self) -> None:
        """Drops what was read, and ends the connection."""


class AnswerMemory:
    """Counts the bytes of all unfinished answers.

    Beyond the limit the largest answer is given up, so that ordinary ones beside it are finished.

    Args:
        limit_bytes: Bytes that all unfinished answers may hold together.
        account: Account of the host that has to have room for them, too; None for none.
    """

    def __init__(self, limit_bytes: float = math.inf, account: MemoryAccount | None = None) -> None:
        self._limit_bytes = limit_bytes
        self._account = account
        self._held_bytes = 0
        self._sizes_bytes: dict[UnfinishedAnswer, int] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that all unfinished answers hold now."""
        return self._held_bytes

    def add(self, answer: UnfinishedAnswer, size_bytes: int) -> None:
        """Records that an answer grew; gives up the largest ones while there is no room."""
        grown_bytes = self._sizes_bytes.get(answer, 0) + size_bytes
        while not self._take(size_bytes, grown_bytes):
            largest = self._largest(answer, size_bytes)
            self._give_up(largest)
            if largest is answer:
                return
        self._sizes_bytes[answer] = grown_bytes

    def remove(self, answer: UnfinishedAnswer) -> None:
        """Records that an answer is finished or was given up."""
        size_bytes = self._sizes_bytes.pop(answer, 0)
        self._held_bytes -= size_bytes
        if self._account is not None:
            self._account.release(SERVER_ANSWERS, size_bytes)

    def _take(self, size_bytes: int, grown_bytes: int) -> bool:
        """Takes memory for an answer that grows to a size; returns False if there is no room."""
        if self._held_bytes + size_bytes > self._limit_bytes:
            return False
        if self._account is not None and not self._account.reserve(
            SERVER_ANSWERS, size_bytes, grown_bytes
        ):
            return False
        self._held_bytes += size_bytes
        return True

    def _largest(self, growing: UnfinishedAnswer, size_bytes: int) -> UnfinishedAnswer:
        """Returns the largest answer, with what ``growing`` is about to grow by."""
        sizes_bytes = dict(self._sizes_bytes)
        sizes_bytes[growing] = sizes_bytes.get(growing, 0) + size_bytes
        return max(sizes_bytes, key=sizes_bytes.__getitem__)

    def _give_up(self, answer: UnfinishedAnswer) -> None:
        log.warning(
            "Unfinished answers use too much memory; giving up the largest one.",
            extra={
                "bytes": self._sizes_bytes.get(answer, 0),
                "held_bytes": self._held_bytes,
                "answers": len(self._sizes_bytes),
            },
        )
        count("answers_given_up")
        self.remove(answer)
        answer.give_up()
