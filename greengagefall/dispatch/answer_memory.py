"""Bounds the memory that unfinished answers of backend servers hold together.

A faulty server may send a body without end. Several of them at once must not use up the memory of
the process, in which the requests of all other callers run.
"""

from __future__ import annotations

import logging
import math
from typing import Protocol

from greengagefall.utils.metrics import count

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
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._sizes_bytes: dict[UnfinishedAnswer, int] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that all unfinished answers hold now."""
        return self._held_bytes

    def add(self, answer: UnfinishedAnswer, size_bytes: int) -> None:
        """Records that an answer grew; gives up the largest ones beyond the limit."""
        self._sizes_bytes[answer] = self._sizes_bytes.get(answer, 0) + size_bytes
        self._held_bytes += size_bytes
        while self._held_bytes > self._limit_bytes:
            self._give_up_largest()

    def remove(self, answer: UnfinishedAnswer) -> None:
        """Records that an answer is finished or was given up."""
        self._held_bytes -= self._sizes_bytes.pop(answer, 0)

    def _give_up_largest(self) -> None:
        largest = max(self._sizes_bytes, key=self._sizes_bytes.__getitem__)
        log.warning(
            "Unfinished answers use too much memory; giving up the largest one.",
            extra={
                "bytes": self._sizes_bytes[largest],
                "held_bytes": self._held_bytes,
                "answers": len(self._sizes_bytes),
            },
        )
        count("answers_given_up")
        self.remove(largest)
        largest.give_up()
