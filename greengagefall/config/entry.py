"""Settings of the entry program."""

from __future__ import annotations

from greengagefall.config.common import HostSettings, check_advertised
from greengagefall.config.options import DurationS, Integer, IpPort, IpPorts, Switch


class EntrySettings(HostSettings):
    """Settings of one entry host."""

    http_listen = IpPort(help="Address for callers, health and metrics.")
    peer_listen = IpPort(help="Address for the other processes of the system.")
    http_advertise = IpPort(
        "", help="Address for callers as seen by others; defaults to --http-listen."
    )
    peer_advertise = IpPort(
        "", help="Address for peers as seen by others; defaults to --peer-listen."
    )
    host_list = IpPort("", help="Address of the platform's host list; not used if omitted.")
    seeds = IpPorts((), help="Peer addresses of other entry hosts, tried first at startup.")
    lease_ms = Integer(
        1000,
        minimum=200,
        maximum=10_000,
        help="Time in milliseconds for which a host endorses a dispatcher; the same on all hosts.",
    )
    allow_faults = Switch(
        help="Allow tests to disconnect this process from its peers; not for production."
    )
    drain_timeout_s = DurationS(
        30.0,
        minimum=0.0,
        maximum=600.0,
        help="Longest wait for requests in flight during a graceful shutdown.",
    )

    @property
    def http_address(self) -> str:
        """Address for callers as seen by others."""
        return self.http_advertise or self.http_listen

    @property
    def peer_address(self) -> str:
        """Address for peers as seen by others."""
        return self.peer_advertise or self.peer_listen

    def check(self) -> None:
        """Checks that wildcard listen addresses have advertised addresses."""
        check_advertised(
            EntrySettings.http_listen, self.http_listen, self.http_advertise, "--http-advertise"
        )
        check_advertised(
            EntrySettings.peer_listen, self.peer_listen, self.peer_advertise, "--peer-advertise"
        )
