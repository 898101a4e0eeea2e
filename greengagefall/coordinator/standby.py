"""Zone state that a standby coordinator learns from its own host's entry process."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from result import Ok

from greengagefall.coordination.documents import MEMBERS_PREFIX
from greengagefall.coordination.epochs import members_record_from_json
from greengagefall.coordinator.election import KnownCoordinator
from greengagefall.protocol.exceptions import ProtocolError
from greengagefall.protocol.messages import Documents, Fetch, Heartbeat, HeartbeatReply

if TYPE_CHECKING:
    from greengagefall.protocol.link import PeerLink
    from greengagefall.store.host_list import HostListClient

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.5
MS_PER_S = 1000.0


class StandbyView:
    """View of the zone that makes no store calls."""

    def __init__(
        self, link: PeerLink, host_list: HostListClient | None, host: str, zone: str
    ) -> None:
        """Creates the view.

        Args:
            link: Link to the own host's entry process.
            host_list: The platform's host list, None if there is none.
            host: Own host.
            zone: Own availability zone.
        """
        self._link = link
        self._host_list = host_list
        self._host = host
        self._zone = zone
        self._versions: dict[str, int] = {}

    async def known_coordinator(self) -> KnownCoordinator | None:
        """Returns the coordinator that the entry process knows, None while it does not answer."""
        heartbeat = Heartbeat(0, self._host, 0, "", 0, 0, {})
        try:
            reply = await self._link.call(heartbeat, CALL_TIMEOUT_S)
        except ProtocolError:
            return None
        if not isinstance(reply, HeartbeatReply):
            return None
        self._versions = dict(reply.versions)
        age_s = reply.coordinator_age_ms / MS_PER_S
        return KnownCoordinator(reply.coordinator, reply.coordinator_term, age_s)

    async def hosts(self) -> list[str]:
        """Returns the members that the entry process knows, or the listed hosts if none."""
        return await self._members() or await self._listed()

    async def _members(self) -> list[str]:
        name = MEMBERS_PREFIX + self._zone
        versions = {key: version for key, version in self._versions.items() if key != name}
        try:
            reply = await self._link.call(Fetch(0, versions), CALL_TIMEOUT_S)
        except ProtocolError:
            return []
        rows = reply.documents if isinstance(reply, Documents) else []
        texts = [text for row_name, _version, _kind, text in rows if row_name == name]
        if not texts:
            return []
        try:
            parsed = members_record_from_json(json.loads(texts[-1]))
        except ValueError:
            return []
        if not isinstance(parsed, Ok):
            return []
        return [member.host for member in parsed.ok_value.members]

    async def _listed(self) -> list[str]:
        if self._host_list is None:
            return []
        found = await self._host_list.fetch()
        if not isinstance(found, Ok):
            return []
        return [listed.host for listed in found.ok_value if listed.zone == self._zone]
