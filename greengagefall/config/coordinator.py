"""Settings of the coordinator program."""

from __future__ import annotations

from greengagefall.config.common import HostSettings
from greengagefall.config.options import Integer, IpPort


class CoordinatorSettings(HostSettings):
    """Settings of one coordinator."""

    store = IpPort(help="Address of the platform's key-value service.")
    host_list = IpPort("", help="Address of the platform's host list; not used if omitted.")
    entry_peer = IpPort(help="Peer address of the entry process on this host.")
    admin_listen = IpPort("", help="Address for health and metrics; not served if omitted.")
    lease_ttl_s = Integer(
        3, minimum=2, maximum=60, help="TTL of the active coordinator's lease, in seconds."
    )
