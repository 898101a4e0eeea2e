"""Registries of policies by name; decorators add the entries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

Entry = TypeVar("Entry", bound=Callable[..., Any])


class Registry(Generic[Entry]):
    """Classes or functions of one policy area, by name.

    Example:
        >>> QUEUES = Registry("queue")
        >>> @QUEUES.register("fifo")
        ... class FifoQueue: ...
        >>> QUEUES["fifo"] is FifoQueue
        True
    """

    def __init__(self, area: str) -> None:
        self.area = area
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Returns a decorator that adds its target under ``name``."""

        def add(entry: Entry) -> Entry:
            if name in self._entries:
                raise ValueError(f"{self.area} policy {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def __getitem__(self, name: str) -> Entry:
        if name not in self._entries:
            raise KeyError(f"no {self.area} policy {name!r}; known: {', '.join(self.names())}")
        return self._entries[name]

    def names(self) -> tuple[str, ...]:
        """Returns all registered names in alphabetical order."""
        return tuple(sorted(self._entries))
