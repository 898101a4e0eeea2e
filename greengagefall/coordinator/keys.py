"""Keys of the records in the store."""

from __future__ import annotations

from typing import NamedTuple

from greengagefall.routing.records import VERSION_DIGITS

ZONES_PREFIX = "zones/"
BACKENDS_PREFIX = "backends/"


class SliceKey(NamedTuple):
    """A key under ``backends/``.

    Attributes:
        back_end: Name of the back end.
        version: Version of the delta, None for the base record.
    """

    back_end: str
    version: int | None


def coordinator_key(zone: str) -> str:
    """Returns the key of the record that names a zone's coordinator."""
    return f"{ZONES_PREFIX}{zone}/coordinator"


def members_key(zone: str) -> str:
    """Returns the key of a zone's members record."""
    return f"{ZONES_PREFIX}{zone}/members"


def base_key(back_end: str) -> str:
    """Returns the key of the base record of a slice map."""
    return f"{BACKENDS_PREFIX}{back_end}/slices"


def delta_key(back_end: str, version: int) -> str:
    """Returns the key of one delta of a slice map."""
    return f"{BACKENDS_PREFIX}{back_end}/deltas/{version:0{VERSION_DIGITS}d}"


def zone_of_members_key(key: str) -> str | None:
    """Returns the zone of a members record's key, None for other keys."""
    parts = key.removeprefix(ZONES_PREFIX).split("/")
    return parts[0] if len(parts) == 2 and parts[1] == "members" else None


def parse_slice_key(key: str) -> SliceKey | None:
    """Parses a key under ``backends/``; returns None for other kinds of keys."""
    parts = key.removeprefix(BACKENDS_PREFIX).split("/")
    if len(parts) == 2 and parts[1] == "slices":
        return SliceKey(parts[0], None)
    if len(parts) == 3 and parts[1] == "deltas" and parts[2].isdigit():
        return SliceKey(parts[0], int(parts[2]))
    return None
