"""Fault injection that partitions this process from named peers.

Tests and the soak set these switches through the admin interface of a process that was started
with ``--allow-faults``. A cut drops frames silently, like a network partition: the sender gets
no error.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_inbound: set[str] = set()
_outbound: set[str] = set()


def cut(peers: Iterable[str], *, inbound: bool = True, outbound: bool = True) -> None:
    """Drops all frames on the connections with some peers.

    Args:
        peers: Host names or ``IP:port`` addresses.
        inbound: Whether frames from these peers are dropped.
        outbound: Whether frames to these peers are dropped.
    """
    names = set(peers)
    if inbound:
        _inbound.update(names)
    if outbound:
        _outbound.update(names)


def heal(peers: Iterable[str] | None = None) -> None:
    """Ends the cuts of ``peers``, or all cuts if it is None."""
    names = _inbound | _outbound if peers is None else set(peers)
    _inbound.difference_update(names)
    _outbound.difference_update(names)


def drops_inbound(host: str, address: str = "") -> bool:
    """Returns whether frames from the peer are dropped."""
    return bool(_inbound) and (host in _inbound or address in _inbound)


def drops_outbound(host: str, address: str = "") -> bool:
    """Returns whether frames to the peer are dropped."""
    return bool(_outbound) and (host in _outbound or address in _outbound)


def cuts() -> dict[str, list[str]]:
    """Returns the names that are cut now, by direction."""
    return {"inbound": sorted(_inbound), "outbound": sorted(_outbound)}
