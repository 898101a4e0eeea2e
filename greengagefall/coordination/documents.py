"""Versioned documents that hosts send to each other.

Names are ``config``, ``members/<zone>`` and ``slices/<back end>``. Versions never decrease.
Slice maps are sent as deltas unless the receiver is more than ``MAX_KEPT_DELTAS`` behind.
"""

from __future__ import annotations

import json
import logging
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from result import Ok

from greengagefall.coordination.slice_map import SliceMap, delta_from_json, delta_to_json

if TYPE_CHECKING:
    from greengagefall.coordination.model import SliceDelta

log = logging.getLogger(__name__)

CONFIG = "config"
MEMBERS_PREFIX = "members/"
SLICES_PREFIX = "slices/"
KIND_FULL = "whole"
KIND_DELTA = "delta"
MAX_KEPT_DELTAS = 256
MAX_BATCH_BYTES = 2 * 1024 * 1024

Row = list[Any]


class VersionedDocument(NamedTuple):
    """A document in one version."""

    version: int
    document: dict[str, Any]


class SliceMapDocument:
    """A slice map with its most recent deltas.

    Attributes:
        slice_map: The newest version of the map.
    """

    def __init__(self, slice_map: SliceMap) -> None:
        self.slice_map = slice_map
        self._deltas: deque[SliceDelta] = deque(maxlen=MAX_KEPT_DELTAS)

    def apply(self, delta: SliceDelta) -> bool:
        """Applies the next delta; returns False if it is not the next one or is invalid."""
        outcome = self.slice_map.apply(delta)
        if not isinstance(outcome, Ok):
            return False
        self._deltas.append(delta)
        return True

    def rows_after(self, name: str, version: int) -> list[Row]:
        """Returns the rows that bring a host with ``version`` up to date."""
        missing = self.slice_map.version - version
        if missing <= 0:
            return []
        if missing > len(self._deltas):
            return [_row(name, self.slice_map.version, KIND_FULL, self.slice_map.to_json())]
        deltas = list(self._deltas)[-missing:]
        return [_row(name, delta.version, KIND_DELTA, delta_to_json(delta)) for delta in deltas]


class DocumentCache:
    """The newest version of each document that a host has received."""

    def __init__(self) -> None:
        self._full: dict[str, VersionedDocument] = {}
        self._slices: dict[str, SliceMapDocument] = {}

    def versions(self) -> dict[str, int]:
        """Returns the version of each document by name."""
        versions = {name: stored.version for name, stored in self._full.items()}
        for name, stored in self._slices.items():
            versions[name] = stored.slice_map.version
        return versions

    def document(self, name: str) -> dict[str, Any] | None:
        """Returns a configuration or members document."""
        stored = self._full.get(name)
        return stored.document if stored else None

    def slice_map(self, back_end: str) -> SliceMap | None:
        """Returns the newest slice map of a back end; the map is updated in place."""
        stored = self._slices.get(SLICES_PREFIX + back_end)
        return stored.slice_map if stored else None

    def slice_maps(self) -> dict[str, SliceMap]:
        """Returns the newest slice maps by back end."""
        return {stored.slice_map.back_end: stored.slice_map for stored in self._slices.values()}

    def rows_newer_than(self, versions: dict[str, int]) -> list[Row]:
        """Returns the rows of a ``Documents`` message for a host that has these versions."""
        rows = []
        for name, stored in self._full.items():
            if stored.version > versions.get(name, -1):
                rows.append(_row(name, stored.version, KIND_FULL, stored.document))
        for name, stored_slices in self._slices.items():
            rows.extend(stored_slices.rows_after(name, versions.get(name, -1)))
        return rows

    def merge(self, rows: list[Row]) -> set[str]:
        """Stores the rows of a ``Documents`` message that are newer.

        Returns:
            Names of the documents that changed. A delta that leaves a gap in the versions is
            dropped; the versions in later heartbeats cause a fetch.
        """
        changed = set()
        for name, version, kind, text in rows:
            if self._store_row(name, int(version), kind, text):
                changed.add(name)
        return changed

    def put(self, name: str, version: int, document: dict[str, Any]) -> bool:
        """Stores a full configuration or members document; returns False if it is not newer."""
        stored = self._full.get(name)
        if stored and stored.version >= version:
            return False
        self._full[name] = VersionedDocument(version, document)
        return True

    def put_slice_map(self, slice_map: SliceMap) -> bool:
        """Stores a full slice map; returns False if it is not newer."""
        name = SLICES_PREFIX + slice_map.back_end
        stored = self._slices.get(name)
        if stored and stored.slice_map.version >= slice_map.version:
            return False
        self._slices[name] = SliceMapDocument(slice_map)
        return True

    def apply_delta(self, delta: SliceDelta) -> bool:
        """Applies the next delta of a slice map; returns False if it is out of order or invalid."""
        stored = self._slices.get(SLICES_PREFIX + delta.back_end)
        return bool(stored and stored.apply(delta))

    def _store_row(self, name: str, version: int, kind: str, text: str) -> bool:
        if version <= self.version_of(name):
            return False
        try:
            document = json.loads(text)
        except ValueError:
            log.warning(
                "Document %s, version %d, is not valid JSON. "
                "It is ignored; an earlier version stays in use.",
                name,
                version,
            )
            return False
        if kind == KIND_DELTA:
            delta = delta_from_json(document)
            return isinstance(delta, Ok) and self.apply_delta(delta.ok_value)
        if not name.startswith(SLICES_PREFIX):
            return self.put(name, version, document)
        slice_map = SliceMap.from_json(document)
        return isinstance(slice_map, Ok) and self.put_slice_map(slice_map.ok_value)

    def version_of(self, name: str) -> int:
        """Returns the version of a document in the cache, -1 if it is absent."""
        if name in self._slices:
            return self._slices[name].slice_map.version
        stored = self._full.get(name)
        return stored.version if stored else -1


def split_into_batches(rows: list[Row], limit_bytes: int = MAX_BATCH_BYTES) -> list[list[Row]]:
    """Splits rows, in order, into batches that each fit into one message.

    A single row over the limit is a batch by itself.
    """
    batches: list[list[Row]] = []
    size_bytes = 0
    for row in rows:
        row_bytes = len(row[-1].encode())
        if not batches or size_bytes + row_bytes > limit_bytes:
            batches.append([])
            size_bytes = 0
        batches[-1].append(row)
        size_bytes += row_bytes
    return batches


def _row(name: str, version: int, kind: str, document: dict[str, Any]) -> Row:
    return [name, version, kind, json.dumps(document, separators=(",", ":"))]
