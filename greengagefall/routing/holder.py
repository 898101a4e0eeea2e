"""Holds the newest routing configuration that a process has received."""

from __future__ import annotations

import logging
from collections.abc import Callable

from greengagefall.routing.model import RoutingConfig
from greengagefall.routing.parse import empty_config
from greengagefall.utils.invariants import check

log = logging.getLogger(__name__)

ConfigCallback = Callable[[RoutingConfig], None]


class ConfigHolder:
    """Holds the current configuration of this process; its version never decreases."""

    def __init__(self) -> None:
        self._current = empty_config()
        self._highest_version = 0
        self._callbacks: list[ConfigCallback] = []

    @property
    def current(self) -> RoutingConfig:
        """The current configuration; version 0 until one was applied."""
        return self._current

    def subscribe(self, callback: ConfigCallback) -> None:
        """Calls ``callback`` with each configuration that is applied from now on."""
        self._callbacks.append(callback)

    def apply_if_newer(self, config: RoutingConfig) -> bool:
        """Applies ``config`` if it is newer than the current one.

        Args:
            config: A configuration from the store or another host.

        Returns:
            Whether ``config`` was applied.
        """
        if config.version <= self._current.version:
            self._check_same_document(config)
            return False
        self._current = config
        check(
            config.version > self._highest_version,
            "config_never_reverts",
            version=config.version,
            highest=self._highest_version,
        )
        self._highest_version = config.version
        log.info("Applied routing configuration version %d.", config.version)
        for callback in self._callbacks:
            callback(config)
        return True

    def _check_same_document(self, config: RoutingConfig) -> None:
        if config.version != self._current.version:
            return
        check(
            config.patch_id == self._current.patch_id,
            "config_version_unique",
            version=config.version,
            patch_ids=(config.patch_id, self._current.patch_id),
        )
