"""Settings of the operators' command-line program."""

from __future__ import annotations

from greengagefall.config.options import DurationS, IpPort, IpPorts, Settings, Switch


class CtlSettings(Settings):
    """Settings of ``greengagefallctl``."""

    store = IpPort("", help="Address of the platform's key-value service.")
    entry = IpPorts((), help="Address for callers of an entry host; may be repeated.")
    call_timeout_s = DurationS(2.0, minimum=0.1, maximum=60.0, help="Timeout for each answer.")
    json = Switch(help="Print JSON instead of tables.")
