"""Addresses in the form ``IP:port``."""

from __future__ import annotations

import ipaddress

MIN_PORT = 1
MAX_PORT = 65535
ADDRESS_RULE = f"IP:port, such as 10.0.0.7:8080 or [::1]:8080, port {MIN_PORT} to {MAX_PORT}"


def is_address(text: str) -> bool:
    """Returns whether ``text`` is an IP address and a port, with an IPv6 address in brackets."""
    ip_text, colon, port_text = text.rpartition(":")
    if not colon or not (port_text.isascii() and port_text.isdigit()):
        return False
    if not MIN_PORT <= int(port_text) <= MAX_PORT:
        return False
    bracketed = ip_text.startswith("[") and ip_text.endswith("]")
    try:
        ip = ipaddress.ip_address(ip_text[1:-1] if bracketed else ip_text)
    except ValueError:
        return False
    return bracketed == (ip.version == 6)
