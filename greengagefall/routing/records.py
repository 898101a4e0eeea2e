"""Reads the versions of the routing configuration from the store.

Version ``n`` is stored in the record ``config/<n>``, with ``n`` padded to 10 digits. The highest
number is the current version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagefall.routing.exceptions import (
    ConfigRecordError,
    RegistryUnavailableError,
    RoutingError,
)
from greengagefall.routing.parse import parse_config
from greengagefall.store.exceptions import StoreRecordError

if TYPE_CHECKING:
    from greengagefall.routing.model import RoutingConfig
    from greengagefall.store.exceptions import StoreError
    from greengagefall.store.model import Store

CONFIG_PREFIX = "config/"
VERSION_DIGITS = 10


def config_key(version: int) -> str:
    """Returns the key of the record that holds ``version``."""
    return f"{CONFIG_PREFIX}{version:0{VERSION_DIGITS}d}"


def parse_config_record(key: str, document: dict) -> Result[RoutingConfig, ConfigRecordError]:
    """Parses the record under ``key`` and checks that its version matches the key."""
    parsed = parse_config(document)
    if isinstance(parsed, Err):
        return Err(ConfigRecordError(key, str(parsed.err_value)))
    config = parsed.ok_value
    if config_key(config.version) != key:
        return Err(
            ConfigRecordError(key, f"holds version {config.version}, which does not match the key")
        )
    return Ok(config)


async def load_history(store: Store) -> Result[dict[int, dict], RoutingError]:
    """Returns the documents of all stored versions by version, not yet validated."""
    read = await store.range(CONFIG_PREFIX)
    if isinstance(read, Err):
        return Err(_convert_read_error(read.err_value))
    records = {}
    for row in read.ok_value[0]:
        number = row.key.removeprefix(CONFIG_PREFIX)
        if not (number.isascii() and number.isdigit() and len(number) == VERSION_DIGITS):
            return Err(
                ConfigRecordError(row.key, f"the key does not end in {VERSION_DIGITS} digits")
            )
        records[int(number)] = row.value
    return Ok(records)


async def load_current_config(store: Store) -> Result[RoutingConfig | None, RoutingError]:
    """Returns the current version, or None before the first patch."""
    history = await load_history(store)
    if isinstance(history, Err):
        return history
    if not history.ok_value:
        return Ok(None)
    return parse_current_config(history.ok_value)


async def load_version(store: Store, version: int) -> Result[RoutingConfig | None, RoutingError]:
    """Returns one version, or None if it is not in the store."""
    read = await store.get(config_key(version))
    if isinstance(read, Err):
        return Err(_convert_read_error(read.err_value))
    if read.ok_value is None:
        return Ok(None)
    return parse_config_record(read.ok_value.key, read.ok_value.value)


def parse_current_config(records: dict[int, dict]) -> Result[RoutingConfig, ConfigRecordError]:
    """Parses the highest version in ``records``, which must not be empty."""
    version = max(records)
    return parse_config_record(config_key(version), records[version])


def _convert_read_error(error: StoreError) -> RoutingError:
    if isinstance(error, StoreRecordError):
        return ConfigRecordError(error.key, error.reason)
    return RegistryUnavailableError(str(error))
