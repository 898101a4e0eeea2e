"""Settings of the entry program."""

from __future__ import annotations

from greengagefall.config.common import HostSettings, check_advertised
from greengagefall.config.options import DurationS, Integer, IpPort, IpPorts, Switch


class EntrySettings(HostSettings):
    """Settings of one entry host."""

    http_listen = IpPort(help="Address for callers, health and metrics.")
    peer_listen = IpPort(help="Address for the other processes of the system.")
    http_advertise = IpPort("", help="Address for callers as others reach it; else --http-listen.")
    peer_advertise = IpPort("", help="Address for peers as others reach it; else --peer-listen.")
    host_list = IpPort("", help="Address of the platform's host list; none if not given.")
    seeds = IpPorts((), help="Peer addresses of other entry hosts, asked first at start.")
    lease_ms = Integer(
        1000,
        minimum=200,
        maximum=10_000,
        help="Time for which a host endorses a dispatcher; the same on all hosts.",
    )
    allow_faults = Switch(help="Lets tests cut this process off from peers; not for production.")
    drain_timeout_s = DurationS(
        30.0,
        minimum=0.0,
        maximum=600.0,
        help="Longest wait for requests in flight at a planned stop.",
    )

    @property
    def http_address(self) -> str:
        """Address for callers as others reach it."""
        return self.http_advertise or self.http_listen

    @property
    def peer_address(self) -> str:
        """Address for peers as others reach it."""
        return self.peer_advertise or self.peer_listen

    def check(self) -> None:
        """Checks that advertised addresses can be reached."""
        check_advertised(
            EntrySettings.http_listen, self.http_listen, self.http_advertise, "--http-advertise"
        )
        check_advertised(
            EntrySettings.peer_listen, self.peer_listen, self.peer_advertise, "--peer-advertise"
        )
