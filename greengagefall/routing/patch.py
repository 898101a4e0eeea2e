"""Patches: JSON Merge Patch (RFC 7386) against a stated version."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from result import Err, Result

from greengagefall.routing.exceptions import ConfigError, StalePatchError
from greengagefall.routing.fields import format_value
from greengagefall.routing.model import SERVER_DRAINING, BackEnd, BackendServer, RoutingConfig
from greengagefall.routing.parse import parse_config

MAX_DOCUMENT_BYTES = 900_000
RESERVED_FIELDS = ("version", "patch_id")
FIXED_SERVER_FIELDS = ("address", "zone")


class Patch(NamedTuple):
    """A change of the routing configuration.

    Attributes:
        base_version: Version that the patch was made against; 0 before the first.
        patch_id: Unique id, to recognise one's own patch on read-back.
        merge: JSON Merge Patch; a null removes a field.
    """

    base_version: int
    patch_id: str
    merge: dict[str, Any]


def merge_patch(document: Any, merge: Any) -> Any:
    """Returns ``document`` changed by ``merge`` as RFC 7386 says; changes neither."""
    if not isinstance(merge, dict):
        return merge
    merged = dict(document) if isinstance(document, dict) else {}
    for field, value in merge.items():
        if value is None:
            merged.pop(field, None)
            continue
        merged[field] = merge_patch(merged.get(field), value)
    return merged


def apply_patch(
    config: RoutingConfig, patch: Patch
) -> Result[RoutingConfig, ConfigError | StalePatchError]:
    """Applies ``patch`` to ``config`` and checks the outcome in full.

    Args:
        config: The current version.
        patch: The change.

    Returns:
        The next version, or why there is none.
    """
    if patch.base_version != config.version:
        return Err(StalePatchError(patch.base_version, config.version))
    refused = check_patch(patch)
    if refused is not None:
        return Err(refused)
    document = merge_patch(config.document, patch.merge)
    document["version"] = config.version + 1
    document["patch_id"] = patch.patch_id
    size_bytes = len(json.dumps(document).encode())
    if size_bytes > MAX_DOCUMENT_BYTES:
        return Err(ConfigError("", f"{size_bytes} bytes, allowed are {MAX_DOCUMENT_BYTES}"))
    parsed = parse_config(document)
    if isinstance(parsed, Err):
        return parsed
    broken = _check_change(config, parsed.ok_value)
    return parsed if broken is None else Err(broken)


def check_patch(patch: Patch) -> ConfigError | None:
    """Returns what is wrong with ``patch`` itself, whatever it is applied to."""
    if not patch.patch_id:
        return ConfigError("patch_id", "is required")
    if not isinstance(patch.merge, dict):
        return ConfigError("", f"{format_value(patch.merge)} is not an object")
    for field in RESERVED_FIELDS:
        if field in patch.merge:
            return ConfigError(field, "is set by the system and must not be in a patch")
    return None


def _check_change(before: RoutingConfig, after: RoutingConfig) -> ConfigError | None:
    """Returns the first change that would endanger the sole ownership of keys."""
    for name, old in before.back_ends.items():
        new = after.back_ends.get(name)
        broken = _check_removal(old) if new is None else _check_back_end_change(old, new)
        if broken is not None:
            return broken
    return None


def _check_removal(old: BackEnd) -> ConfigError | None:
    for server in old.servers.values():
        if server.state != SERVER_DRAINING:
            why = f"server {server.name} is {server.state}; only a back end whose servers all "
            return ConfigError(f"back_ends.{old.name}", why + "drain can be removed")
    return None


def _check_back_end_change(old: BackEnd, new: BackEnd) -> ConfigError | None:
    path = f"back_ends.{old.name}"
    if new.kind != old.kind:
        return ConfigError(f"{path}.kind", f"{new.kind} differs from {old.kind}, which is fixed")
    if new.slice_count != old.slice_count:
        why = f"{new.slice_count} differs from {old.slice_count}, which is fixed"
        return ConfigError(f"{path}.slices", why)
    for name, server in old.servers.items():
        broken = _check_server_change(f"{path}.servers.{name}", server, new.servers.get(name))
        if broken is not None:
            return broken
    return None


def _check_server_change(
    path: str, old: BackendServer, new: BackendServer | None
) -> ConfigError | None:
    if new is None:
        if old.state == SERVER_DRAINING:
            return None
        return ConfigError(path, f"is {old.state}; only a draining server can be removed")
    # Another address is another process; another zone has witnesses that know no dispatcher yet.
    for field in FIXED_SERVER_FIELDS:
        before, after = getattr(old, field), getattr(new, field)
        if after != before:
            why = f"{after} differs from {before}, which is fixed; use a new server name"
            return ConfigError(f"{path}.{field}", why)
    return None
