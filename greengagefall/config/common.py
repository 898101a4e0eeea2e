"""Settings shared by several programs."""

from __future__ import annotations

from greengagefall.config.exceptions import SettingsError
from greengagefall.config.options import Choice, Name, Option, Settings

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

WILDCARD_IPS = ("0.0.0.0", "[::]")


class HostSettings(Settings):
    """Settings of every process that runs on an entry host."""

    host = Name(help="Name of this host, unique in the system.")
    zone = Name(help="Availability zone of this host.")
    log_level = Choice("INFO", choices=LOG_LEVELS, help="Lowest log level that is written.")


def check_advertised(listen: Option, listen_address: str, advertised: str, flag: str) -> None:
    """Checks that an address that listens on every interface has an advertised address.

    Raises:
        SettingsError: ``listen_address`` is a wildcard and ``advertised`` is empty.
    """
    ip = listen_address.rpartition(":")[0]
    if ip in WILDCARD_IPS and not advertised:
        reason = f"{listen_address!r} is not an address that others can reach; set {flag} as well"
        raise SettingsError(listen.flag, reason)
