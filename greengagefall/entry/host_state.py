"""State of an entry host: configuration, members of all zones, slice maps."""

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
    """Holds the parsed documents of one entry host and reports changes to subscribers.

    Args:
        host: Name of this host.
        zone: Availability zone of this host.
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
        """Registers a callback that gets each new members record of any zone."""
        self._on_members.append(callback)

    def subscribe_slices(self, callback: Callable[[str], None]) -> None:
        """Registers a callback that gets the back end of each changed slice map."""
        self._on_slices.append(callback)

    def merge(self, documents: Documents) -> set[str]:
        """Merges documents from a peer or the coordinator; returns the names of changed ones."""
        changed = self.document_cache.merge(documents.documents)
        for name in sorted(changed):
            self._apply(name)
        return changed

    def slice_map(self, back_end: str) -> SliceMap | None:
        """Returns the newest slice map of a back end, None before the first."""
        return self.document_cache.slice_map(back_end)

    def members_record(self, zone: str) -> MembersRecord | None:
        """Returns the newest members record of a zone, None before the first."""
        return self._records.get(zone)

    def epoch(self) -> int:
        """Returns the epoch of this host's zone, 0 before the first."""
        record = self._records.get(self.zone)
        return record.epoch if record else 0

    def member(self, host: str) -> Member | None:
        """Returns the member record of a host of any zone, None if it isn't a member."""
        return self._members.get(host)

    def members(self) -> list[Member]:
        """Returns the members of all zones."""
        return list(self._members.values())

    def zone_of(self, host: str) -> str | None:
        """Returns the availability zone of a host, None if it isn't a member."""
        return self._zone_of.get(host)

    def candidates(self, server_key: str, zone: str) -> tuple[Member, ...]:
        """Returns the hosts that may dispatch a server, in order of preference."""
        cached = self._candidates.get(server_key)
        if cached is not None:
            return cached
        record = self._records.get(zone)
        if record is None:
            return ()
        ranked = candidates(record.members, server_key)
        self._candidates[server_key] = ranked
        return ranked

    def _apply(self, name: str) -> None:
        if name == CONFIG:
            self._apply_config()
        elif name.startswith(MEMBERS_PREFIX):
            self._apply_members(name.removeprefix(MEMBERS_PREFIX))
        else:
            back_end = name.partition("/")[2]
            for callback in self._on_slices:
                callback(back_end)

    def _apply_config(self) -> None:
        parsed = parse_config(self.document_cache.document(CONFIG))
        if isinstance(parsed, Err):
            log.error(
                "The configuration document is not valid: %s. The previous one stays in use.",
                parsed.err_value,
            )
            return
        self._candidates.clear()
        self.config_holder.apply_if_newer(parsed.ok_value)

    def _apply_members(self, zone: str) -> None:
        parsed = members_record_from_json(self.document_cache.document(MEMBERS_PREFIX + zone))
        if isinstance(parsed, Err):
            log.error(
                "The members record of zone %s is not valid: %s. The previous one stays in use.",
                zone,
                parsed.err_value,
            )
            return
        record = parsed.ok_value
        current = self._records.get(zone)
        is_newer = current is None or record.epoch > current.epoch
        if not check(is_newer, "epoch_never_reverts", zone=zone, epoch=record.epoch):
            return
        self._records[zone] = record
        self._candidates.clear()
        self._members = {}
        self._zone_of = {}
        for zone_record in self._records.values():
            for member in zone_record.members:
                self._members[member.host] = member
                self._zone_of[member.host] = zone_record.zone
        for callback in self._on_members:
            callback(record)
