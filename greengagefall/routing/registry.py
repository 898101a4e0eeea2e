"""Applies patches to create the next version of the routing configuration in the store.

The record of a version is created only if it is absent and the previous version is present. Old
versions are deleted. From then on, the record ``config_floor``, which is outside the prefix of
the versions, prevents a delayed request from creating the first version again.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagefall.limits.backoff import full_jitter
from greengagefall.routing.exceptions import (
    ConfigError,
    PatchOutcomeUnknownError,
    RegistryRefusedError,
    RegistryUnavailableError,
    RoutingError,
    StalePatchError,
)
from greengagefall.routing.parse import empty_config
from greengagefall.routing.patch import Patch, apply_patch, check_patch, merge_patch
from greengagefall.routing.records import (
    config_key,
    load_current_config,
    load_history,
    load_version,
    parse_config_record,
    parse_current_config,
)
from greengagefall.store.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from greengagefall.store.model import Compare, Put, absent, exists

if TYPE_CHECKING:
    from greengagefall.routing.model import RoutingConfig
    from greengagefall.store.exceptions import StoreError
    from greengagefall.store.model import Store

log = logging.getLogger(__name__)

__all__ = ["load_current_config", "load_version", "parse_config_record", "propose", "wait_backoff"]

FIRST_VERSION = 1
FLOOR_KEY = "config_floor"
KEPT_VERSIONS = 32

MAX_ATTEMPTS = 6
BACKOFF_BASE_MS = 200
BACKOFF_CAP_MS = 2000

Pause = Callable[[int], Awaitable[None]]

_rng = random.Random()


async def wait_backoff(attempt: int) -> None:
    """Waits before retry number ``attempt``, with exponential backoff and full jitter."""
    delay_ms = full_jitter(attempt - 1, BACKOFF_BASE_MS, BACKOFF_CAP_MS, _rng)
    await asyncio.sleep(delay_ms / 1000)


async def propose(
    store: Store,
    patch: Patch,
    *,
    pause: Pause = wait_backoff,
    kept_versions: int = KEPT_VERSIONS,
) -> Result[RoutingConfig, RoutingError]:
    """Creates the next version from ``patch``, at most once per patch id.

    Proposing a patch again with the same id is safe: if it was accepted before, the version that
    it created is returned.

    Args:
        store: The platform's key-value service.
        patch: The change, against a stated version.
        pause: Waits before a retry.
        kept_versions: Number of newest versions that stay in the store, at least 2.

    Returns:
        The version that the patch created, or an error. ``StalePatchError`` and ``ConfigError``
        mean that the patch is not accepted; for a patch against a version older than those kept,
        they do not rule out that an earlier call was accepted. ``RegistryUnavailableError`` means
        that this call changed nothing. ``PatchOutcomeUnknownError`` means that the patch must be
        proposed again to learn the outcome.
    """
    patch_error = check_patch(patch)
    if patch_error is not None:
        return Err(patch_error)
    proposal = Proposal(store, patch, kept_versions)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await pause(attempt)
        outcome = await proposal.run_attempt()
        if outcome is not None:
            return outcome
    return proposal.final_error()


class Proposal:
    """The attempts to create the next version from one patch."""

    def __init__(self, store: Store, patch: Patch, kept_versions: int) -> None:
        self._store = store
        self._patch = patch
        self._kept_versions = kept_versions
        self._may_be_accepted = False
        self._last_error = ""

    async def run_attempt(self) -> Result[RoutingConfig, RoutingError] | None:
        """Reads the versions and creates the next one; returns None if a retry is needed."""
        history = await load_history(self._store)
        if isinstance(history, Err):
            return self._handle_read_error(history)
        records = history.ok_value
        outcome = self._find_outcome(records)
        if outcome is not None:
            return outcome
        proposed = _apply_to_current(records, self._patch)
        if isinstance(proposed, Err):
            return proposed
        return await self._create(proposed.ok_value, records)

    def final_error(self) -> Err[RoutingError]:
        """Returns the error for a proposal whose last attempt had no outcome."""
        if self._may_be_accepted:
            return self._unknown(self._last_error)
        return Err(RegistryUnavailableError(self._last_error))

    def _handle_read_error(self, read: Err[RoutingError]) -> Err[RoutingError] | None:
        if not isinstance(read.err_value, RegistryUnavailableError):
            return self._unknown(str(read.err_value)) if self._may_be_accepted else read
        self._last_error = str(read.err_value)
        return None

    def _handle_write_error(self, error: StoreError) -> Err[RoutingError] | None:
        self._last_error = str(error)
        if isinstance(error, StoreOutcomeUnknownError):
            self._may_be_accepted = True
            return None
        if isinstance(error, StoreUnavailableError):
            return None
        if self._may_be_accepted:
            return self._unknown(self._last_error)
        return Err(RegistryRefusedError(self._last_error))

    def _find_outcome(self, records: dict[int, dict]) -> Result[RoutingConfig, RoutingError] | None:
        """Returns the outcome if the stored versions determine it, else None."""
        version = self._patch.base_version + 1
        current_version = max(records, default=0)
        document = records.get(version)
        if document is not None and document.get("patch_id") == self._patch.patch_id:
            return self._read_created(records, version)
        if current_version == self._patch.base_version:
            return None
        if document is None and current_version > version and self._may_be_accepted:
            return self._unknown(f"version {version} is no longer kept")
        return Err(StalePatchError(self._patch.base_version, current_version))

    def _read_created(
        self, records: dict[int, dict], version: int
    ) -> Result[RoutingConfig, RoutingError]:
        """Returns the version with the patch's id, or an error if another patch has the same id."""
        base_known = version == FIRST_VERSION or version - 1 in records
        expected = merge_patch(records.get(version - 1, {}), self._patch.merge)
        expected |= {"version": version, "patch_id": self._patch.patch_id}
        if base_known and expected != records[version]:
            return Err(ConfigError("patch_id", f"{self._patch.patch_id!r} names another patch"))
        return parse_config_record(config_key(version), records[version])

    async def _create(
        self, proposed: RoutingConfig, records: dict[int, dict]
    ) -> Result[RoutingConfig, RoutingError] | None:
        key = config_key(proposed.version)
        compares = [absent(key), _compare_previous(proposed.version)]
        created = await self._store.txn(compares, [Put(key, proposed.document)])
        if isinstance(created, Err):
            return self._handle_write_error(created.err_value)
        if not created.ok_value.succeeded:
            self._last_error = "another change came first"
            return None
        log.info(
            "Routing configuration version %d was created by patch %s.",
            proposed.version,
            proposed.patch_id,
        )
        await self._delete_old(proposed.version, records)
        return Ok(proposed)

    async def _delete_old(self, version: int, records: dict[int, dict]) -> None:
        oldest = version - self._kept_versions + 1
        keys = [config_key(number) for number in records if number < oldest]
        if not keys:
            return
        deleted = await self._store.txn([], [Put(FLOOR_KEY, {"oldest": oldest})], keys)
        if isinstance(deleted, Err):
            log.warning(
                "Deleting old configuration versions failed: %s. "
                "They will be deleted after the next version is created.",
                deleted.err_value,
            )

    def _unknown(self, reason: str) -> Err[RoutingError]:
        return Err(PatchOutcomeUnknownError(self._patch.patch_id, self._patch.base_version, reason))


def _compare_previous(version: int) -> Compare:
    """Returns the condition on the previous version.

    It also rejects a delayed creation of a version that has been created and deleted since: the
    previous version has been deleted then or, for the first version, ``config_floor`` exists.
    """
    if version == FIRST_VERSION:
        return absent(FLOOR_KEY)
    return exists(config_key(version - 1))


def _apply_to_current(
    records: dict[int, dict], patch: Patch
) -> Result[RoutingConfig, RoutingError]:
    current = parse_current_config(records) if records else Ok(empty_config())
    return current if isinstance(current, Err) else apply_patch(current.ok_value, patch)
