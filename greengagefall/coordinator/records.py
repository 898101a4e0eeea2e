"""The store's records as the active coordinator knows them, and its writes."""

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
    """What is known of a slice map's base record.

    Attributes:
        version: Version of the map in it.
        mod_revision: Revision of its last change.
    """

    version: int
    mod_revision: int


class StoreRecords:
    """Newest records of the store.

    Nothing is taken over that the store has not confirmed. A write whose outcome stays
    unknown changes nothing here; if it took effect, the watch shows it.

    Attributes:
        document_cache: Numbered documents to push to the hosts.
    """

    def __init__(self, store: Store, zone: str, on_change: Callable[[], None]) -> None:
        """Prepares empty records.

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
        """Whether each kind of record was read at least once."""
        return len(self._read_prefixes) == len(RECORD_PREFIXES)

    @property
    def config(self) -> RoutingConfig:
        """The newest valid configuration; version 0 for none."""
        return self._config.current

    @property
    def members(self) -> MembersRecord | None:
        """The members record of the own zone."""
        return self._members.get(self._zone)

    def slice_map(self, back_end: str) -> SliceMap | None:
        """Returns the newest slice map of a back end; it changes in place."""
        return self.document_cache.slice_map(back_end)

    def slice_versions(self) -> dict[str, int]:
        """Returns the version of each slice map by back end."""
        return {name: held.version for name, held in self.document_cache.slice_maps().items()}

    async def read(self, prefix: str) -> Result[int, StoreError]:
        """Reads all records under one of ``RECORD_PREFIXES``; returns the store's revision."""
        found = await self._store.range(prefix)
        if isinstance(found, Err):
            return found
        items, revision = found.ok_value
        if prefix == CONFIG_PREFIX:
            self._take_newest_config(items)
        else:
            for item in sorted(items, key=_bases_first):
                self.apply_record(item)
        self._read_prefixes.add(prefix)
        self._on_change()
        return Ok(revision)

    def apply_record(self, item: KeyValue) -> bool:
        """Takes over one record that was read or watched.

        Returns:
            False if it leaves a gap, so that the range has to be read again.
        """
        if item.key.startswith(CONFIG_PREFIX):
            return self._take_config(item)
        if item.key.startswith(ZONES_PREFIX):
            return self._take_members(item)
        return self._take_slices(item)

    async def write_members(self, record: MembersRecord) -> Result[bool, CoordinatorError]:
        """Writes the next members record of the own zone; returns whether it stands."""
        key = members_key(self._zone)
        condition = unchanged(key, self._members_revision)
        if self.members is None:
            condition = absent(key)
        document = members_record_to_json(record)
        written = await self._store.txn([condition], [Put(key, document)])
        return await self._settle(key, written, lambda item: item.value == document)

    async def create_slice_map(self, initial: SliceMap) -> Result[bool, CoordinatorError]:
        """Creates the base record of a slice map; returns whether it stands."""
        key = base_key(initial.back_end)
        written = await self._store.txn([absent(key)], [Put(key, initial.to_json())])
        return await self._settle(key, written, lambda item: True)

    async def write_delta(self, delta: SliceDelta) -> Result[bool, CoordinatorError]:
        """Writes the next delta of a slice map; returns whether it stands.

        The delta's key must be absent, and the base record unchanged: deltas above the
        base's version are never deleted, so that an old version cannot be written again.
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
        return await self._settle(
            key, written, lambda item: item.value.get("change_id") == delta.change_id
        )

    async def compact(self, back_end: str) -> Result[bool, CoordinatorError]:
        """Rewrites the base record if many deltas follow it, then deletes these."""
        base, held = self._bases.get(back_end), self.slice_map(back_end)
        if base is None or held is None or held.version - base.version < COMPACT_AFTER_DELTAS:
            return Ok(False)
        key, document = base_key(back_end), held.to_json()
        written = await self._store.txn([unchanged(key, base.mod_revision)], [Put(key, document)])
        version = document["version"]
        settled = await self._settle(
            key, written, lambda item: item.value.get("version") == version
        )
        if isinstance(settled, Ok) and settled.ok_value:
            await self._delete_deltas(back_end, base.version + 1, version)
        return settled

    async def _delete_deltas(self, back_end: str, first: int, last: int) -> None:
        for start in range(first, last + 1, DELETES_PER_TXN):
            end = min(start + DELETES_PER_TXN - 1, last)
            keys = [delta_key(back_end, version) for version in range(start, end + 1)]
            deleted = await self._store.txn([], [], keys)
            if isinstance(deleted, Err):
                log.warning("Old deltas could not be deleted: %s.", deleted.err_value)

    async def _settle(
        self, key: str, written: Result, is_mine: Callable[[KeyValue], bool]
    ) -> Result[bool, CoordinatorError]:
        """Reads a key back after each write, and takes over what stands."""
        if isinstance(written, Err) and not isinstance(written.err_value, StoreOutcomeUnknownError):
            return Err(WriteError(f"{key}: {written.err_value}"))
        if isinstance(written, Err):
            count("coordinator_unknown_writes")
        found = await self._store.get(key)
        if isinstance(found, Err):
            return Err(WriteError(f"{key}: outcome unknown: {found.err_value}"))
        item = found.ok_value
        if item is None:
            return Ok(False)
        self.apply_record(item)
        self._on_change()
        return Ok(is_mine(item))

    def _take_newest_config(self, items: list[KeyValue]) -> None:
        """Takes the newest configuration that parses, unless one is held already."""
        for item in reversed(items):
            self._take_config(item)
            if self.config.version:
                return

    def _take_config(self, item: KeyValue) -> bool:
        number = item.key.removeprefix(CONFIG_PREFIX)
        if not number.isdigit() or int(number) <= self.config.version:
            return True
        parsed = parse_config_record(item.key, item.value)
        if isinstance(parsed, Err):
            _note_bad_record(item.key, parsed.err_value)
            return True
        self._config.apply_if_newer(parsed.ok_value)
        self.document_cache.put(CONFIG, parsed.ok_value.version, item.value)
        return True

    def _take_members(self, item: KeyValue) -> bool:
        zone = zone_of_members_key(item.key)
        if zone is None:
            return True
        parsed = members_record_from_json(item.value)
        if isinstance(parsed, Err):
            _note_bad_record(item.key, parsed.err_value)
            return True
        record = parsed.ok_value
        held = self._members.get(zone)
        if held is not None and held.epoch > record.epoch:
            return True
        self._members[zone] = record
        if zone == self._zone:
            self._members_revision = max(self._members_revision, item.mod_revision)
        self.document_cache.put(MEMBERS_PREFIX + zone, record.epoch, item.value)
        return True

    def _take_slices(self, item: KeyValue) -> bool:
        key = parse_slice_key(item.key)
        if key is None:
            return True
        if key.version is None:
            return self._take_base(key.back_end, item)
        held = self.slice_map(key.back_end)
        if held is None or key.version > held.version + 1:
            return False
        if key.version <= held.version:
            return True
        parsed = delta_from_json(item.value)
        if isinstance(parsed, Err):
            _note_bad_record(item.key, parsed.err_value)
            return True
        return self.document_cache.apply_delta(parsed.ok_value)

    def _take_base(self, back_end: str, item: KeyValue) -> bool:
        parsed = SliceMap.from_json(item.value)
        if isinstance(parsed, Err):
            _note_bad_record(item.key, parsed.err_value)
            return True
        known = self._bases.get(back_end)
        if known is None or known.mod_revision < item.mod_revision:
            self._bases[back_end] = BaseRecord(parsed.ok_value.version, item.mod_revision)
        self.document_cache.put_slice_map(parsed.ok_value)
        return True


def _bases_first(item: KeyValue) -> tuple[bool, str]:
    key = parse_slice_key(item.key)
    return key is not None and key.version is not None, item.key


def _note_bad_record(key: str, error: Exception) -> None:
    count("coordinator_bad_records")
    log.error("A record does not parse. Key: %s. %s.", key, error)
