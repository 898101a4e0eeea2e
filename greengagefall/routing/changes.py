"""Operators' changes of the routing configuration, applied to the current version."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from greengagefall.routing.exceptions import ConfigError, RoutingError, StalePatchError
from greengagefall.routing.model import SERVER_STATES, ZONE_STATES, RoutingConfig
from greengagefall.routing.parse import empty_config
from greengagefall.routing.patch import Patch
from greengagefall.routing.records import load_current_config
from greengagefall.routing.registry import Pause, propose, wait_backoff

if TYPE_CHECKING:
    from greengagefall.store.model import Store

MAX_STALE_RETRIES = 5

MergePatch = dict[str, Any]
Change = Callable[[RoutingConfig], Result[MergePatch, ConfigError]]


def zone_change(zone: str, state: str) -> Change:
    """Returns a change that sets the state of a zone to one of ``ZONE_STATES``."""
    assert state in ZONE_STATES, state

    def make_merge(config: RoutingConfig) -> Result[MergePatch, ConfigError]:
        if zone not in config.zones:
            return Err(_unknown("zones", zone, config.zones))
        if config.zones[zone] == state:
            return Ok({})
        return Ok({"zones": {zone: {"state": state}}})

    return make_merge


def server_change(back_end_name: str, server_name: str, state: str) -> Change:
    """Returns a change that sets the state of a backend server to one of ``SERVER_STATES``."""
    assert state in SERVER_STATES, state

    def make_merge(config: RoutingConfig) -> Result[MergePatch, ConfigError]:
        back_end = config.back_ends.get(back_end_name)
        if back_end is None:
            return Err(_unknown("back_ends", back_end_name, config.back_ends))
        server = back_end.servers.get(server_name)
        if server is None:
            path = f"back_ends.{back_end_name}.servers"
            return Err(_unknown(path, server_name, back_end.servers))
        if server.state == state:
            return Ok({})
        servers = {server_name: {"state": state}}
        return Ok({"back_ends": {back_end_name: {"servers": servers}}})

    return make_merge


def lost_host_change(host: str, incarnation: str) -> Change:
    """Returns a change that attests that one incarnation of an entry host is lost."""

    def make_merge(config: RoutingConfig) -> Result[MergePatch, ConfigError]:
        entry = f"{host}/{incarnation}"
        if entry in config.lost_hosts:
            return Ok({})
        return Ok({"lost_hosts": [*config.lost_hosts, entry]})

    return make_merge


async def apply_change(
    store: Store, change: Change, *, pause: Pause = wait_backoff
) -> Result[RoutingConfig, RoutingError]:
    """Applies ``change`` to the current version; retries if another patch is accepted first.

    Args:
        store: The platform's key-value service.
        change: Returns the merge patch; an empty one means that nothing has to change.
        pause: Waits before a retry.

    Returns:
        The version that contains the change, or the error that prevented it.
    """
    stale_error: RoutingError | None = None
    for attempt in range(MAX_STALE_RETRIES):
        if attempt:
            await pause(attempt)
        current = await load_current_config(store)
        if isinstance(current, Err):
            return current
        config = current.ok_value or empty_config()
        merge = change(config)
        if isinstance(merge, Err) or not merge.ok_value:
            return merge.map(lambda _, config=config: config)
        patch = Patch(config.version, uuid.uuid4().hex, merge.ok_value)
        proposed = await propose(store, patch, pause=pause)
        if isinstance(proposed, Ok) or not isinstance(proposed.err_value, StalePatchError):
            return proposed
        stale_error = proposed.err_value
    return Err(stale_error)


def _unknown(path: str, name: str, known: dict[str, Any]) -> ConfigError:
    return ConfigError(path, f"no {name!r}; known are {', '.join(sorted(known)) or 'none'}")
