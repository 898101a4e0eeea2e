"""Reads from the store whether it still lists a process of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from greengagefall.platform import records as platform_records
from greengagefall.platform.exceptions import RecordError

if TYPE_CHECKING:
    from greengagefall.ownership.model import ServerIncarnation
    from greengagefall.platform.store import PlatformStore


class EntryCheck:
    """Reads entries at the store itself, as a watch may have lost its answers without a sign.

    Args:
        store: The store.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def lists(self, incarnation: ServerIncarnation) -> bool:
        """Returns whether the store has the entry of an incarnation; False without its answer."""
        key = platform_records.SERVERS_PREFIX + incarnation.server_id
        read = await self._store.get(key)
        if isinstance(read, Err) or read.ok_value is None:
            return False
        try:
            entry = platform_records.decode_server_entry(key, read.ok_value.value)
        except RecordError:
            # The watch of the entries logs it and removes the server.
            return False
        return entry.incarnation == incarnation
