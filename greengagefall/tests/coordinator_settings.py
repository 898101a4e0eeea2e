"""Settings and configurations for tests of the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from result import Ok

if TYPE_CHECKING:
    from greengagefall.store.host_list import ListedHost

BACK_END = "proofdesk"


class Settings(NamedTuple):
    """The fields of the coordinator's settings that ``CoordinatorProcess`` reads."""

    host: str
    zone: str
    entry_peer: str
    lease_ttl_s: int = 2
    store: str = ""
    host_list: str = ""
    admin_listen: str = ""


class FakeHostList:
    """A host list in memory."""

    def __init__(self, hosts: list[ListedHost]) -> None:
        self.hosts = hosts

    async def fetch(self) -> Ok:
        return Ok(list(self.hosts))


def config_document(version: int, servers: dict[str, dict], **changes: Any) -> dict:
    """Returns a configuration with one keyed back end; ``changes`` replace top-level fields."""
    document = {
        "version": version,
        "patch_id": f"patch-{version}",
        "zones": {"ee-north-a": {"state": "in"}, "ee-north-b": {"state": "in"}},
        "back_ends": {BACK_END: {"kind": "keyed", "slices": 64, "servers": servers}},
    }
    return document | changes


def servers_of(zone: str, *names: str) -> dict[str, dict]:
    """Returns the configuration of the named servers, all in one zone."""
    return {
        name: {"address": f"127.0.0.1:{ord(name[0])}{name[1]}", "zone": zone, "slots": 6}
        for name in names
    }
