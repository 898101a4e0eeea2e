"""Keys of the store, and the decoder of the entries that backend servers write to it."""

from __future__ import annotations

from greengagefall.gateway.model import ServerEntry
from greengagefall.platform.exceptions import RecordError
from greengagefall.platform.fields import (
    MAX_NUMBER,
    check_token,
    read_address,
    read_number,
    read_object,
    read_text,
    read_whole_number,
    shown,
)

SERVERS_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
ROUTING_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

STATE_READY = "ready"
STATE_DRAINING = "draining"
MAX_SLOTS = 1_000_000


def server_id_of_key(key: str) -> str:
    """Returns the id of the server whose entry has this key."""
    return key.removeprefix(SERVERS_PREFIX)


def zone_of_evacuation_key(key: str) -> str:
    """Returns the zone that the record with this key evacuates, empty for any other record."""
    if not key.startswith(EVACUATION_PREFIX):
        return ""
    return key.removeprefix(EVACUATION_PREFIX)


def decode_server_entry(key: str, value: bytes) -> ServerEntry:
    """Returns a backend server's entry.

    Raises:
        RecordError: The entry is not a JSON object, or a field is missing or malformed.
    """
    server_id = check_token(key, "id", server_id_of_key(key))
    fields = read_object(key, value)
    state = read_text(key, fields, "state")
    if state not in (STATE_READY, STATE_DRAINING):
        raise RecordError(
            f"{key}: state is {shown(state)}; expected {STATE_READY!r} or {STATE_DRAINING!r}"
        )
    return ServerEntry(
        server_id=server_id,
        service=read_text(key, fields, "service"),
        address=read_address(key, fields, "address"),
        zone=read_text(key, fields, "zone"),
        slots=int(read_number(key, fields, "maxConcurrency", minimum=1, maximum=MAX_SLOTS)),
        draining=state == STATE_DRAINING,
        cold_remaining_s=max(
            0.0, read_number(key, fields, "warmupLeftS", 0.0, minimum=-MAX_NUMBER)
        ),
        start_ms=read_whole_number(key, fields, "born", 0),
    )
