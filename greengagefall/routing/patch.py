"""Applies patches: a JSON Merge Patch (RFC 7386) against a stated version."""

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
        base_version: Version that the patch was made against; 0 before the first version.
        patch_id: Unique id, used to recognise the patch when its version is read back.
        merge: JSON Merge Patch; null removes a field.
    """

    base_version: int
    patch_id: str
    merge: dict[str, Any]


def merge_patch(document: Any, merge: Any) -> Any:
    """Returns ``document`` with ``merge`` applied as in RFC 7386; modifies neither argument."""
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
    """Applies ``patch`` to ``config`` and validates the resulting document.

    Args:
        config: The current version.
        patch: The change.

    Returns:
        The next version, or the reason why the patch is refused.
    """
    if patch.base_version != config.version:
        return Err(StalePatchError(patch.base_version, config.version))
    patch_error = check_patch(patch)
    if patch_error is not None:
        return Err(patch_error)
    document = merge_patch(config.document, patch.merge)
    document["version"] = config.version + 1
    document["patch_id"] = patch.patch_id
    size_bytes = len(json.dumps(document).encode())
    if size_bytes > MAX_DOCUMENT_BYTES:
        return Err(ConfigError("", f"{size_bytes} bytes, allowed are {MAX_DOCUMENT_BYTES}"))
    parsed = parse_config(document)
    if isinstance(parsed, Err):
        return parsed
    change_error = _check_change(config, parsed.ok_value)
    return parsed if change_error is None else Err(change_error)


def check_patch(patch: Patch) -> ConfigError | None:
    """Checks ``patch`` independently of the version it is applied to."""
    if not patch.patch_id:
        return ConfigError("patch_id", "is required")
    if not isinstance(patch.merge, dict):
        return ConfigError("", f"{format_value(patch.merge)} is not an object")
    for field in RESERVED_FIELDS:
        if field in patch.merge:
            return ConfigError(field, "is set by the system and must not be in a patch")
    return None


def _check_change(before: RoutingConfig, after: RoutingConfig) -> ConfigError | None:
    """Returns an error for the first change that could break exclusive ownership of keys."""
    for name, old in before.back_ends.items():
        new = after.back_ends.get(name)
        error = _check_removal(old) if new is None else _check_back_end_change(old, new)
        if error is not None:
            return error
    return None


def _check_removal(old: BackEnd) -> ConfigError | None:
    for server in old.servers.values():
        if server.state != SERVER_DRAINING:
            reason = f"server {server.name} is {server.state}; only a back end whose servers all "
            return ConfigError(f"back_ends.{old.name}", reason + "drain can be removed")
    return None


def _check_back_end_change(old: BackEnd, new: BackEnd) -> ConfigError | None:
    path = f"back_ends.{old.name}"
    if new.kind != old.kind:
        return ConfigError(f"{path}.kind", f"{new.kind} differs from {old.kind}, which is fixed")
    if new.slice_count != old.slice_count:
        reason = f"{new.slice_count} differs from {old.slice_count}, which is fixed"
        return ConfigError(f"{path}.slices", reason)
    for name, server in old.servers.items():
        error = _check_server_change(f"{path}.servers.{name}", server, new.servers.get(name))
        if error is not None:
            return error
    return None


def _check_server_change(
    path: str, old: BackendServer, new: BackendServer | None
) -> ConfigError | None:
    if new is None:
        if old.state == SERVER_DRAINING:
            return None
        return ConfigError(path, f"is {old.state}; only a draining server can be removed")
    # A different address is a different process. The witnesses of a different zone do not know
    # which host dispatches the server.
    for field in FIXED_SERVER_FIELDS:
        before, after = getattr(old, field), getattr(new, field)
        if after != before:
            reason = f"{after} differs from {before}, which is fixed; use a new server name"
            return ConfigError(f"{path}.{field}", reason)
    return None
