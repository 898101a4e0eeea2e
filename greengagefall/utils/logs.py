"""Structured logs: JSON lines whose messages start with the prefix of their subpackage."""

from __future__ import annotations

import logging
import re
import sys

from pythonjsonlogger.json import JsonFormatter

from greengagefall.utils.bounded_logs import RateLimitedHandler

PREFIXES = {
    "greengagefall.commands": "command",
    "greengagefall.routing": "routing",
    "greengagefall.coordination": "coordination",
    "greengagefall.limits": "limits",
    "greengagefall.memory": "memory",
    "greengagefall.balancing": "balancing",
    "greengagefall.protocol": "peer",
    "greengagefall.store": "store",
    "greengagefall.entry": "entry",
    "greengagefall.dispatch": "dispatch",
    "greengagefall.coordinator": "coordinator",
    "greengagefall.utils": "utils",
    "greengagefall.standins": "standin",
    "greengagefall.bench": "bench",
    "greengagefall.gateway": "gateway",
    "greengagefall.ownership": "ownership",
    "greengagefall.platform": "platform",
    "greengagefall.quotas": "quotas",
    "greengagefall.workspaces": "workspaces",
}
QUOTE = re.compile("['\"]")


class PrefixFilter(logging.Filter):
    """Prepends the prefix of the logger's subpackage to each message."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Adds the prefix, at most once per record, and keeps the record."""
        part = ".".join(record.name.split(".")[:2])
        prefix = PREFIXES.get(part, "other")
        if not getattr(record, "part", None):
            record.part = prefix
            record.msg = f"{prefix}: {record.msg}"
        return True


class MalformedMessageFilter(logging.Filter):
    """Removes quoted input from Tornado's log lines on malformed HTTP messages.

    They quote the header at fault, which may hold an API key.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Cuts the text of an error at its first quote, and keeps the record."""
        if isinstance(record.args, tuple) and record.name.startswith("tornado"):
            record.args = tuple(
                QUOTE.split(str(value), maxsplit=1)[0].rstrip()
                if isinstance(value, Exception)
                else value
                for value in record.args
            )
        return True


def setup_logging(level: str, **static_fields: str) -> None:
    """Sends all logs to standard error as JSON lines.

    Args:
        level: Name of the lowest level that is written, such as ``INFO``.
        **static_fields: Fields added to each line, such as ``host``.
    """
    _install(logging.StreamHandler(sys.stderr), level, static_fields)


def setup_gateway_logging(level: str, **static_fields: str) -> None:
    """Sends all logs to standard output as JSON lines, rate-limited and without blocking.

    Args:
        level: Name of the lowest level that is written, such as ``INFO``.
        **static_fields: Fields added to each line, such as ``host``.
    """
    _install(RateLimitedHandler(sys.stdout.fileno()), level, static_fields)
    # Tornado writes a line for each malformed request and each header block that is too large.
    logging.getLogger("tornado.general").setLevel(logging.WARNING)


def _install(handler: logging.Handler, level: str, static_fields: dict[str, str]) -> None:
    handler.setFormatter(
        JsonFormatter("{asctime}{levelname}{name}{message}", style="{", static_fields=static_fields)
    )
    handler.addFilter(MalformedMessageFilter())
    handler.addFilter(PrefixFilter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
