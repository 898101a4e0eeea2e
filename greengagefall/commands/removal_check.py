"""Checks that the backend servers that a patch removes own no slices."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagefall.coordination.slice_map import SliceMap, delta_from_json
from greengagefall.coordinator.keys import BACKENDS_PREFIX, base_key, parse_slice_key
from greengagefall.routing.exceptions import (
    ConfigError,
    ConfigRecordError,
    RegistryUnavailableError,
    RoutingError,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagefall.routing.model import RoutingConfig
    from greengagefall.store.model import KeyValue, Store


async def check_removals(
    store: Store, before: RoutingConfig, after: RoutingConfig
) -> Result[None, RoutingError]:
    """Returns an error if a server that ``after`` no longer contains still owns slices.

    Nothing could release these slices, because a server that is not in the configuration has
    no dispatcher. Back ends that ``after`` no longer contains are not checked.
    """
    for name, back_end in before.back_ends.items():
        remaining = after.back_ends.get(name)
        removed = back_end.servers.keys() - remaining.servers.keys() if remaining else set()
        if not removed or not back_end.slice_count:
            continue
        loaded = await load_slice_map(store, name)
        if isinstance(loaded, Err):
            return loaded
        for server in sorted(removed):
            owned = _owned_slices(loaded.ok_value, server)
            if owned:
                path = f"back_ends.{name}.servers.{server}"
                return Err(ConfigError(path, f"still owns {owned} slices; wait until it has none"))
    return Ok(None)


async def load_slice_map(store: Store, back_end: str) -> Result[SliceMap | None, RoutingError]:
    """Returns the slice map of a back end from the store, None if the store has none."""
    found = await store.range(f"{BACKENDS_PREFIX}{back_end}/")
    if isinstance(found, Err):
        return Err(RegistryUnavailableError(str(found.err_value)))
    key_values = found.ok_value[0]
    base = next(
        (key_value for key_value in key_values if key_value.key == base_key(back_end)), None
    )
    if base is None:
        return Ok(None)
    parsed = SliceMap.from_json(base.value)
    if isinstance(parsed, Err):
        return Err(ConfigRecordError(base.key, str(parsed.err_value)))
    return _apply_deltas(parsed.ok_value, key_values)


def _apply_deltas(
    slice_map: SliceMap, key_values: Iterable[KeyValue]
) -> Result[SliceMap | None, RoutingError]:
    for key_value in sorted(key_values, key=lambda key_value: key_value.key):
        key = parse_slice_key(key_value.key)
        if key is None or key.version is None or key.version <= slice_map.version:
            continue
        outcome = delta_from_json(key_value.value).and_then(slice_map.apply)
        if isinstance(outcome, Err):
            return Err(ConfigRecordError(key_value.key, str(outcome.err_value)))
    return Ok(slice_map)


def _owned_slices(slice_map: SliceMap | None, server: str) -> int:
    if slice_map is None:
        return 0
    ranges = [*slice_map.owned_by(server), *slice_map.releasing_from(server)]
    return sum(owned.last - owned.first + 1 for owned in ranges)
