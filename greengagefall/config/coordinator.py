"""Settings of the coordinator program."""

from __future__ import annotations

from greengagefall.config.common import HostSettings
from greengagefall.config.options import Integer, IpPort


class CoordinatorSettings(HostSettings):
    """Settings of one coordinator."""

    entry_peer = IpPort(help="Peer address of the entry process on this host.")
    admin_listen = IpPort("", help="Address for health and metrics; none if not given.")
    lease_ttl_s = Integer(
        5, least=2, most=60, help="Lifetime of the lease under which a coordinator is active."
    )
    lease_ms = Integer(
        1000,
        least=200,
        most=10_000,
        help="Time for which a witness endorses a dispatcher; the same on every host.",
    )
