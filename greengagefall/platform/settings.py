"""Reads the settings file of the platform.

The file has a line ``a.b=value`` for each field. Unknown fields are ignored.
"""

from __future__ import annotations

import math
import os
from pathlib import Path

from greengagefall.gateway.model import (
    DEFAULT_MEMORY_BYTES,
    OperatorLimits,
    PlatformSettings,
)
from greengagefall.platform.exceptions import PlatformSettingsError

BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = DEFAULT_MEMORY_BYTES / BYTES_PER_MB
SETTINGS_FILE_ENV_VAR = "GREENGAGEFALL_NODE_FILE"
DEFAULT_FILE = "/etc/greengagefall/local.conf"


def settings_path() -> Path:
    """Returns the path of the settings file that the platform provides."""
    return Path(os.environ.get(SETTINGS_FILE_ENV_VAR, DEFAULT_FILE))


def read_platform_settings(path: Path) -> PlatformSettings:
    """Returns the settings of this host.

    Raises:
        PlatformSettingsError: The file can't be read, or a field is missing or malformed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"settings file {path} cannot be read: {error}") from error
    return parse_platform_settings(text)


def parse_platform_settings(text: str) -> PlatformSettings:
    """Returns the settings in the text of a file.

    Raises:
        PlatformSettingsError: A field is missing or malformed.
    """
    fields = _Fields(text)
    cores = fields.number("self.limits.cpuCores", 1.0)
    return PlatformSettings(
        host=fields.text("self.nodeName"),
        zone=fields.text("self.zone"),
        caller_address=fields.address("network.listen.frontend"),
        readiness_address=fields.address("network.listen.readiness"),
        peer_address=f"{fields.text('self.ip')}:{fields.first_port()}",
        store_address=fields.address("platform.platform.address"),
        heartbeat_s=fields.number("platform.heartbeatS", 1.0),
        min_lease_ttl_s=fields.number("platform.platform.ttlMinS", 1.0),
        store_retention_s=fields.number("platform.platform.retentionS", 20.0),
        cpu_cores=fields.number("self.limits.cpuShare", 1.0) * cores,
        limits=_operator_limits(fields),
        memory_bytes=int(
            fields.number("self.limits.memoryMb", DEFAULT_MEMORY_BYTES / BYTES_PER_MB)
            * BYTES_PER_MB
        ),
        max_descriptors=int(fields.number("self.limits.maxFds", 0)),
        link_mbps=fields.number("self.limits.linkMbps", 0.0),
    )


def _operator_limits(fields: _Fields) -> OperatorLimits:
    default = OperatorLimits()

    def limit(name: str, value: float) -> float:
        return fields.number(f"terms.bounds.{name}", value)

    return OperatorLimits(
        drain_timeout_s=limit("drainTimeoutS", default.drain_timeout_s),
        grace_period_s=limit("gracePeriodS", default.grace_period_s),
        evacuation_timeout_s=limit("evacuateS", default.evacuation_timeout_s),
        retry_ratio=limit("retryRatio", default.retry_ratio),
        retry_extra=limit("budgetExtra", default.retry_extra),
        retry_window_s=limit("budgetWindowS", default.retry_window_s),
        cold_factor=limit("warmupFactor", default.cold_factor),
        cold_margin_per_s=limit("warmupSlack", default.cold_margin_per_s),
        max_grant_duration_s=limit("holdMaxS", default.max_grant_duration_s),
        quota_window_s=limit("quotaWindowS", default.quota_window_s),
        quota_overage_ratio=limit("quotaOverage", default.quota_overage_ratio),
        quota_extra_requests=limit("quotaSlack", default.quota_extra_requests),
        configuration_apply_s=limit("configApplyS", default.configuration_apply_s),
    )


class _Fields:
    """Fields of a settings file by their dotted names."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._values[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Returns a required field."""
        value = self._values.get(name, "")
        if not value:
            raise PlatformSettingsError(f"{name} is missing or empty; expected a value")
        return value

    def number(self, name: str, default: float) -> float:
        """Returns a number, or ``default`` if the field is absent."""
        value = self._values.get(name, "")
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise PlatformSettingsError(f"{name} is {value!r}; expected a number")
        return number

    def address(self, name: str) -> str:
        """Returns an ``IP:port``."""
        value = self.text(name)
        _, separator, port = value.rpartition(":")
        if not separator or not port.isdigit():
            raise PlatformSettingsError(f"{name} is {value!r}; expected IP:port")
        return value

    def first_port(self) -> int:
        """Returns the first port of the range for traffic between the hosts."""
        value = self.text("network.portRange").partition(",")[0]
        if not value.isdigit():
            raise PlatformSettingsError(
                f"network.portRange starts with {value!r}; expected a port number"
            )
        return int(value)
