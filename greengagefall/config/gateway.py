"""Settings of the gateway program; the platform's own stand in its settings file."""

from __future__ import annotations

from greengagefall.config.common import LOG_LEVELS
from greengagefall.config.options import Choice, Integer, Settings


class GatewaySettings(Settings):
    """Settings of one gateway."""

    log_level = Choice("INFO", choices=LOG_LEVELS, help="Lowest level of logs that are written.")
    metrics_port = Integer(9464, minimum=0, maximum=65_535, help="Port of the metrics, 0 for none.")
