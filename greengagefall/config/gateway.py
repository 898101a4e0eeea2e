"""Settings of the gateway program, beside those in the platform's settings file."""

from __future__ import annotations

from greengagefall.config.common import LOG_LEVELS
from greengagefall.config.options import Choice, Integer, Settings


class GatewaySettings(Settings):
    """Settings of one gateway."""

    log_level = Choice("INFO", choices=LOG_LEVELS, help="Lowest log level that is written.")
    metrics_port = Integer(
        9464, minimum=0, maximum=65_535, help="Port that serves metrics; 0 disables it."
    )
