"""Reads the settings file of the platform.

The file has a line ``a.b=value`` for each field. Fields that are not read here are ignored.
"""

from __future__ import annotations

import os
from pathlib import Path

from greengagefall.gateway.model import Bounds, HostFacts
from greengagefall.platform.exceptions import PlatformSettingsError

FILE_VARIABLE = "GREENGAGEFALL_NODE_FILE"
DEFAULT_FILE = "/etc/greengagefall/local.conf"


def settings_path() -> Path:
    """Returns where the platform lays the settings file."""
    return Path(os.environ.get(FILE_VARIABLE, DEFAULT_FILE))


def read_host_facts(path: Path) -> HostFacts:
    """Returns the settings of this host.

    Raises:
        PlatformSettingsError: The file can't be read, or a field is missing or malformed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"cannot read {path}: {error}") from error
    return parse_host_facts(text)


def parse_host_facts(text: str) -> HostFacts:
    """Returns the settings in the text of a file.

    Raises:
        PlatformSettingsError: A field is missing or malformed.
    """
    fields = _Fields(text)
    cores = fields.number("self.limits.cpuCores", 1.0)
    return HostFacts(
        host=fields.text("self.nodeName"),
        zone=fields.text("self.zone"),
        caller_address=fields.address("network.listen.frontend"),
        readiness_address=fields.address("network.listen.readiness"),
        peer_address=f"{fields.text('self.ip')}:{fields.first_port()}",
        store_address=fields.address("platform.platform.address"),
        heartbeat_s=fields.number("platform.heartbeatS", 1.0),
        lease_ttl_least_s=fields.number("platform.platform.ttlMinS", 1.0),
        store_retention_s=fields.number("platform.platform.retentionS", 20.0),
        processor_share=fields.number("self.limits.cpuShare", 1.0) * cores,
        bounds=_bounds(fields),
    )


def _bounds(fields: _Fields) -> Bounds:
    default = Bounds()

    def bound(name: str, value: float) -> float:
        return fields.number(f"terms.bounds.{name}", value)

    return Bounds(
        drain_timeout_s=bound("drainTimeoutS", default.drain_timeout_s),
        grace_period_s=bound("gracePeriodS", default.grace_period_s),
        evacuate_s=bound("evacuateS", default.evacuate_s),
        retry_ratio=bound("retryRatio", default.retry_ratio),
        retry_extra=bound("budgetExtra", default.retry_extra),
        retry_window_s=bound("budgetWindowS", default.retry_window_s),
        cold_factor=bound("warmupFactor", default.cold_factor),
        cold_slack_requests=bound("warmupSlack", default.cold_slack_requests),
        hold_max_s=bound("holdMaxS", default.hold_max_s),
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
        """Returns a field that has to be there."""
        value = self._values.get(name, "")
        if not value:
            raise PlatformSettingsError(f"{name} is missing")
        return value

    def number(self, name: str, default: float) -> float:
        """Returns a number, or ``default`` where the field is absent."""
        value = self._values.get(name, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError as error:
            raise PlatformSettingsError(f"{name} is not a number: {value!r}") from error

    def address(self, name: str) -> str:
        """Returns an ``IP:port``."""
        value = self.text(name)
        _, separator, port = value.rpartition(":")
        if not separator or not port.isdigit():
            raise PlatformSettingsError(f"{name} is not an address: {value!r}")
        return value

    def first_port(self) -> int:
        """Returns the first port that is free for traffic between the hosts."""
        value = self.text("network.portRange").partition(",")[0]
        if not value.isdigit():
            raise PlatformSettingsError(f"network.portRange is not a pair of ports: {value!r}")
        return int(value)
