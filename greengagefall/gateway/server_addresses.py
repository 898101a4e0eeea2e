"""Addresses of backend servers, kept in the store beside the assignment.

A server may be cut off until its entry has expired. A coordinator that starts then does not know
where the server is reached once the cut ends.
"""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, NamedTuple

from result import Err

from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import read_address, read_object, read_whole_number
from greengagefall.platform.store import Put
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from greengagefall.gateway.model import ServerEntry
    from greengagefall.ownership.model import ServerIncarnation
    from greengagefall.platform.store import PlatformStore

log = logging.getLogger(__name__)

ADDRESSES_KEY = "gateway/addresses"


class _KnownAddress(NamedTuple):
    start_ms: int
    address: str


class ServerAddresses:
    """The last known addresses, as one coordinator reads and writes them.

    Args:
        store: The store.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self._known: dict[str, _KnownAddress] = {}
        self._stored: dict[str, _KnownAddress] = {}

    def find(self, server: ServerIncarnation) -> str:
        """Returns the address of a server's incarnation, empty if it is not known."""
        known = self._known.get(server.server_id)
        return known.address if known is not None and known.start_ms == server.start_ms else ""

    def note(self, entries: Iterable[ServerEntry]) -> None:
        """Notes the addresses in the entries of servers."""
        for entry in entries:
            self._known[entry.server_id] = _KnownAddress(entry.start_ms, entry.address)

    def changed(self, needed: Collection[str]) -> list[Put]:
        """Returns what to write together with an assignment, nothing if all is stored.

        Args:
            needed: Ids of the servers of the assignment; other addresses are dropped.
        """
        self._known = {name: known for name, known in self._known.items() if name in needed}
        if self._known == self._stored:
            return []
        fields = {name: known._asdict() for name, known in self._known.items()}
        return [Put(ADDRESSES_KEY, json.dumps(fields).encode())]

    def note_written(self) -> None:
        """Notes that the present addresses are stored."""
        self._stored = dict(self._known)

    async def read(self) -> None:
        """Reads the stored addresses, unless the store does not answer; newer ones are kept."""
        read = await self._store.get(ADDRESSES_KEY)
        if isinstance(read, Err) or read.ok_value is None:
            return
        try:
            self._stored = _decode(read.ok_value.value)
        except RecordError as error:
            count("bad_records")
            log.warning("Stored addresses are malformed.", extra={"error": str(error)})
            return
        self._known = {**self._stored, **self._known}


def _decode(value: bytes) -> dict[str, _KnownAddress]:
    known = {}
    for server_id, fields in read_object(ADDRESSES_KEY, value).items():
        if not isinstance(fields, dict):
            raise RecordError(f"{ADDRESSES_KEY}: an address is not an object")
        start_ms = read_whole_number(ADDRESSES_KEY, fields, "start_ms")
        known[server_id] = _KnownAddress(start_ms, read_address(ADDRESSES_KEY, fields, "address"))
    return known
