"""Settings that several programs share."""

from __future__ import annotations

from greengagefall.config.exceptions import SettingsError
from greengagefall.config.options import Choice, Name, Option, Settings

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

WILDCARD_IPS = ("0.0.0.0", "[::]")


class HostSettings(Settings):
    """Settings of each process that runs on a host of the system."""

    host = Name(help="Name of this host, unique in the system.")
    zone = Name(help="Availability zone of this host.")
    log_level = Choice("INFO", choices=LOG_LEVELS, help="Lowest level of logs that are written.")


def check_advertised(listen: Option, listen_address: str, advertised: str, flag: str) -> None:
    """Checks that others can reach an address that listens on every interface.

    Raises:
        SettingsError: ``listen_address`` is a wildcard and nothing is advertised.
    """
    ip = listen_address.rpartition(":")[0]
    if ip in WILDCARD_IPS and not advertised:
        why = f"{listen_address!r} is no address for others; give {flag} as well"
        raise SettingsError(listen.flag, why)
