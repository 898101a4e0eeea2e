"""The records in the store as known to the active coordinator, and its writes to them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok, Result

from greengagefall.coordination.documents import CONFIG, MEMBERS_PREFIX, DocumentCache
from greengagefall.coordination.epochs import members_record_from_json, members_record_to_json
from greengagefall.coordination.slice_map import (
    SliceMap,
    delta_from_json,
    delta_to_json,
)
from greengagefall.coordinator.exceptions import CoordinatorError, WriteError
from greengagefall.coordinator.keys import (
    BACKENDS_PREFIX,
    ZONES_PREFIX,
    base_key,
    delta_key,
    members_key,
    parse_slice_key,
    zone_of_members_key,
)
from greengagefall.routing.holder import ConfigHolder
from greengagefall.routing.records import CONFIG_PREFIX, parse_config_record
from greengagefall.store.exceptions import StoreError, StoreOutcomeUnknownError
from greengagefall.store.model import Put, absent, unchanged
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.model import MembersRecord, SliceDelta
    from greengagefall.routing.model import RoutingConfig
    from greengagefall.store.model import KeyValue, Store

log = logging.getLogger(__name__)

COMPACT_AFTER_DELTAS = 256
DELETES_PER_TXN = 100
RECORD_PREFIXES = (CONFIG_PREFIX, ZONES_PREFIX, BACKENDS_PREFIX)


class BaseRecord(NamedTuple):
    """Version and revision of a slice map's base record.

    Attributes:
        version: Version of the slice map in the record.
        mod_revision: Store revision of the last change of the record.
    """

    version: int
    mod_revision: int


class StoreRecords:
    """Newest records in the store.

    Only records that the store confirmed are applied. A write whose outcome stays unknown
    changes nothing here; if it took effect, the watch reports it.

    Attributes:
        document_cache: Numbered documents to push to the hosts.
    """

    def __init__(self, store: Store, zone: str, on_change: Callable[[], None]) -> None:
        """Creates empty records.

        Args:
            store: The platform's key-value service.
            zone: Own availability zone.
            on_change: Called after each change.
        """
        self.document_cache = DocumentCache()
        self._store = store
        self._zone = zone
        self._on_change = on_change
        self._config = ConfigHolder()
        self._members: dict[str, MembersRecord] = {}
        self._members_revision = 0
        self._bases: dict[str, BaseRecord] = {}
        self._read_prefixes: set[str] = set()

    @property
    def all_read(self) -> bool:
        """Whether the records under each of ``RECORD_PREFIXES`` were read at least once."""
        return len(self._read_prefixes) == len(RECORD_PREFIXES)

    @property
    def config(self) -> RoutingConfig:
        """The newest valid configuration; its version is 0 before one was read."""
        return self._config.current

    @property
    def members(self) -> MembersRecord | None:
        """The members record of the own zone, None if there is none yet."""
        return self._members.get(self._zone)

    def slice_map(self, back_end: str) -> SliceMap | None:
        """Returns the newest slice map of a back end; later deltas change it in place."""
        return self.document_cache.slice_map(back_end)

    def slice_versions(self) -> dict[str, int]:
        """Returns the version of each slice map by back end."""
        return {
            name: slice_map.version for name, slice_map in self.document_cache.slice_maps().items()
        }

    async def read(self, prefix: str) -> Result[int, StoreError]:
        """Reads all records under one of ``RECORD_PREFIXES``; returns the store's revision."""
        found = await self._store.range(prefix)
        if isinstance(found, Err):
            return found
        key_values, revision = found.ok_value
        if prefix == CONFIG_PREFIX:
            self._apply_newest_config(key_values)
        else:
            for key_value in sorted(key_values, key=_bases_first):
                self.apply_record(key_value)
        self._read_prefixes.add(prefix)
        self._on_change()
        return Ok(revision)

    def apply_record(self, key_value: KeyValue) -> bool:
        """Applies one record that was read or reported by the watch.

        Returns:
            False if a delta is missing before it, so that the records must be read again.
        """
        if key_value.key.startswith(CONFIG_PREFIX):
            return self._apply_config(key_value)
        if key_value.key.startswith(ZONES_PREFIX):
            return self._apply_members(key_value)
        return self._apply_slices(key_value)

    async def write_members(self, record: MembersRecord) -> Result[bool, CoordinatorError]:
        """Writes the next members record of the own zone; returns whether the store holds it."""
        key = members_key(self._zone)
        condition = unchanged(key, self._members_revision)
        if self.members is None:
            condition = absent(key)
        document = members_record_to_json(record)
        written = await self._store.txn([condition], [Put(key, document)])
        return await self._confirm(key, written, lambda key_value: key_value.value == document)

    async def create_slice_map(self, initial: SliceMap) -> Result[bool, CoordinatorError]:
        """Creates the base record of a slice map; returns whether the store holds one."""
        key = base_key(initial.back_end)
        written = await self._store.txn([absent(key)], [Put(key, initial.to_json())])
        return await self._confirm(key, written, lambda key_value: True)

    async def write_delta(self, delta: SliceDelta) -> Result[bool, CoordinatorError]:
        """Writes the next delta of a slice map; returns whether the store holds it.

        The delta's key must be absent and the base record unchanged. Since deltas above the
        base's version are never deleted, this prevents writing an old version again.
        """
        base = self._bases[delta.back_end]
        key = delta_key(delta.back_end, delta.version)
        conditions = [absent(key), unchanged(base_key(delta.back_end), base.mod_revision)]
        written = await self._store.txn(conditions, [Put(key, delta_to_json(delta))])
        if isinstance(written, Ok) and not written.ok_value.succeeded:
            count("coordinator_lost_races", record="delta")
            await self.read(BACKENDS_PREFIX)
            return Ok(False)
        if isinstance(written, Ok):
            self.document_cache.apply_delta(delta)
            self._on_change()
            return Ok(True)
        return await self._confirm(
            key, written, lambda key_value: key_value.value.get("change_id") == delta.change_id
        )

    async def compact(self, back_end: str) -> Result[bool, CoordinatorError]:
        """Merges deltas into the base record if there are ``COMPACT_AFTER_DELTAS`` or more.

        The merged deltas are deleted after the base record is written.
        """
        base, slice_map = self._bases.get(back_end), self.slice_map(back_end)
        if (
            base is None
            or slice_map is None
            or slice_map.version - base.version < COMPACT_AFTER_DELTAS
        ):
            return Ok(False)
        key, document = base_key(back_end), slice_map.to_json()
        written = await self._store.txn([unchanged(key, base.mod_revision)], [Put(key, document)])
        version = document["version"]
        confirmed = await self._confirm(
            key, written, lambda key_value: key_value.value.get("version") == version
        )
        if isinstance(confirmed, Ok) and confirmed.ok_value:
            await self._delete_deltas(back_end, base.version + 1, version)
        return confirmed

    async def _delete_deltas(self, back_end: str, first: int, last: int) -> None:
        for start in range(first, last + 1, DELETES_PER_TXN):
            end = min(start + DELETES_PER_TXN - 1, last)
            keys = [delta_key(back_end, version) for version in range(start, end + 1)]
            deleted = await self._store.txn([], [], keys)
            if isinstance(deleted, Err):
                log.warning(
                    "Merged slice map deltas cannot be deleted: %s. They stay in the store.",
                    deleted.err_value,
                )

    async def _confirm(
        self, key: str, written: Result, is_own_write: Callable[[KeyValue], bool]
    ) -> Result[bool, CoordinatorError]:
        """Reads a key back after a write and applies what the store holds.

        Returns whether ``is_own_write`` accepts the record that was read.
        """
        if isinstance(written, Err) and not isinstance(written.err_value, StoreOutcomeUnknownError):
            return Err(WriteError(f"{key}: {written.err_value}"))
        if isinstance(written, Err):
            count("coordinator_unknown_writes")
        found = await self._store.get(key)
        if isinstance(found, Err):
            return Err(WriteError(f"{key}: outcome unknown: {found.err_value}"))
        key_value = found.ok_value
        if key_value is None:
            return Ok(False)
        self.apply_record(key_value)
        self._on_change()
        return Ok(is_own_write(key_value))

    def _apply_newest_config(self, key_values: list[KeyValue]) -> None:
        """Applies the newest configuration that parses, or none if one was applied before."""
        for key_value in reversed(key_values):
            self._apply_config(key_value)
            if self.config.version:
                return

    def _apply_config(self, key_value: KeyValue) -> bool:
        number = key_value.key.removeprefix(CONFIG_PREFIX)
        if not number.isdigit() or int(number) <= self.config.version:
            return True
        parsed = parse_config_record(key_value.key, key_value.value)
        if isinstance(parsed, Err):
            _report_bad_record(key_value.key, parsed.err_value)
            return True
        self._config.apply_if_newer(parsed.ok_value)
        self.document_cache.put(CONFIG, parsed.ok_value.version, key_value.value)
        return True

    def _apply_members(self, key_value: KeyValue) -> bool:
        zone = zone_of_members_key(key_value.key)
        if zone is None:
            return True
        parsed = members_record_from_json(key_value.value)
        if isinstance(parsed, Err):
            _report_bad_record(key_value.key, parsed.err_value)
            return True
        record = parsed.ok_value
        known = self._members.get(zone)
        if known is not None and known.epoch > record.epoch:
            return True
        self._members[zone] = record
        if zone == self._zone:
            self._members_revision = max(self._members_revision, key_value.mod_revision)
        self.document_cache.put(MEMBERS_PREFIX + zone, record.epoch, key_value.value)
        return True

    def _apply_slices(self, key_value: KeyValue) -> bool:
        key = parse_slice_key(key_value.key)
        if key is None:
            return True
        if key.version is None:
            return self._apply_base(key.back_end, key_value)
        slice_map = self.slice_map(key.back_end)
        if slice_map is None or key.version > slice_map.version + 1:
            return False
        if key.version <= slice_map.version:
            return True
        parsed = delta_from_json(key_value.value)
        if isinstance(parsed, Err):
            _report_bad_record(key_value.key, parsed.err_value)
            return True
        return self.document_cache.apply_delta(parsed.ok_value)

    def _apply_base(self, back_end: str, key_value: KeyValue) -> bool:
        parsed = SliceMap.from_json(key_value.value)
        if isinstance(parsed, Err):
            _report_bad_record(key_value.key, parsed.err_value)
            return True
        known = self._bases.get(back_end)
        if known is None or known.mod_revision < key_value.mod_revision:
            self._bases[back_end] = BaseRecord(parsed.ok_value.version, key_value.mod_revision)
        self.document_cache.put_slice_map(parsed.ok_value)
        return True


def _bases_first(key_value: KeyValue) -> tuple[bool, str]:
    key = parse_slice_key(key_value.key)
    return key is not None and key.version is not None, key_value.key


def _report_bad_record(key: str, error: Exception) -> None:
    count("coordinator_bad_records")
    log.error("Record %s cannot be parsed: %s. It is ignored.", key, error)
