"""What an entry host knows: configuration, members of all zones, slice maps."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err

from greengagefall.coordination.documents import CONFIG, MEMBERS_PREFIX, DocumentCache
from greengagefall.coordination.epochs import members_record_from_json
from greengagefall.coordination.ring import candidates
from greengagefall.routing.holder import ConfigHolder
from greengagefall.routing.parse import parse_config
from greengagefall.utils.invariants import check

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.coordination.model import Member, MembersRecord
    from greengagefall.coordination.slice_map import SliceMap
    from greengagefall.protocol.messages import Documents

log = logging.getLogger(__name__)


class HostState:
    """Documents of one entry host, parsed, with callbacks on changes.

    Args:
        host: Name of this host.
        zone: Its availability zone.
        incarnation: Incarnation of this process.
    """

    def __init__(self, host: str, zone: str, incarnation: str) -> None:
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.document_cache = DocumentCache()
        self.config_holder = ConfigHolder()
        self._records: dict[str, MembersRecord] = {}
        self._members: dict[str, Member] = {}
        self._zone_of: dict[str, str] = {}
        self._candidates: dict[str, tuple[Member, ...]] = {}
        self._on_members: list[Callable[[MembersRecord], None]] = []
        self._on_slices: list[Callable[[str], None]] = []

    def subscribe_members(self, callback: Callable[[MembersRecord], None]) -> None:
        """Calls back with each new members record of any zone."""
        self._on_members.append(callback)

    def subscribe_slices(self, callback: Callable[[str], None]) -> None:
        """Calls back with the back end of each slice map that changed."""
        self._on_slices.append(callback)

    def merge(self, documents: Documents) -> set[str]:
        """Takes in documents from a peer or the coordinator; returns what changed."""
        changed = self.document_cache.merge(documents.documents)
        for name in sorted(changed):
            self._take(name)
        return changed

    def slice_map(self, back_end: str) -> SliceMap | None:
        """Returns the newest slice map of a back end."""
        return self.document_cache.slice_map(back_end)

    def members_record(self, zone: str) -> MembersRecord | None:
        """Returns the newest members record of a zone."""
        return self._records.get(zone)

    def epoch(self) -> int:
        """Returns the epoch of this host's zone, 0 before the first."""
        record = self._records.get(self.zone)
        return record.epoch if record else 0

    def member(self, host: str) -> Member | None:
        """Returns the member record of a host of any zone."""
        return self._members.get(host)

    def members(self) -> list[Member]:
        """Returns the members of all zones."""
        return list(self._members.values())

    def zone_of(self, host: str) -> str | None:
        """Returns the availability zone of a host."""
        return self._zone_of.get(host)

    def candidates(self, server_key: str, zone: str) -> tuple[Member, ...]:
        """Returns the hosts that may dispatch a server, in order of preference."""
        known = self._candidates.get(server_key)
        if known is not None:
            return known
        record = self._records.get(zone)
        if record is None:
            return ()
        found = candidates(record.members, server_key)
        self._candidates[server_key] = found
        return found

    def _take(self, name: str) -> None:
        if name == CONFIG:
            self._take_config()
        elif name.startswith(MEMBERS_PREFIX):
            self._take_members(name.removeprefix(MEMBERS_PREFIX))
        else:
            back_end = name.partition("/")[2]
            for callback in self._on_slices:
                callback(back_end)

    def _take_config(self) -> None:
        parsed = parse_config(self.document_cache.document(CONFIG))
        if isinstance(parsed, Err):
            log.error("Configuration does not parse: %s.", parsed.err_value)
            return
        self._candidates.clear()
        self.config_holder.apply_if_newer(parsed.ok_value)

    def _take_members(self, zone: str) -> None:
        parsed = members_record_from_json(self.document_cache.document(MEMBERS_PREFIX + zone))
        if isinstance(parsed, Err):
            log.error("Members of %s do not parse: %s.", zone, parsed.err_value)
            return
        record = parsed.ok_value
        held = self._records.get(zone)
        rises = held is None or record.epoch > held.epoch
        if not check(rises, "epoch_never_reverts", zone=zone, epoch=record.epoch):
            return
        self._records[zone] = record
        self._candidates.clear()
        self._members = {}
        self._zone_of = {}
        for known in self._records.values():
            for member in known.members:
                self._members[member.host] = member
                self._zone_of[member.host] = known.zone
        for callback in self._on_members:
            callback(record)
