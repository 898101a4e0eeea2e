"""What a host knows of a backend server's process beyond its own exchanges with it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def _is_current() -> bool:
    """Tells that what the host knows is current."""
    return True


def _no_lag_s() -> float:
    """Tells that the host knows all entries."""
    return 0.0


async def _is_listed() -> bool:
    """Tells that the store lists the incarnation."""
    return True


class ServerKnowledge(NamedTuple):
    """The knowledge by which one incarnation of a server gets grants and notices.

    Attributes:
        is_assignment_current: Whether the assignment is recent enough for renewing grants.
        is_entry_current: Whether the store certainly has the entry of this incarnation, and no
            later one that this host could know of.
        may_tell: Whether this host tells the server of newer fencing tokens.
        store_lag_s: Returns how long ago this host certainly knew all entries.
        restart_detection_s: Time after a lost connection by which a new incarnation that reaches
            the store has written its entry.
        entry_expiry_s: Time after a lost connection by which the store has dropped the entry of an
            incarnation that ended then, also if no new one reaches the store.
        suspect_fence: Highest fencing token that this host may have granted to the server before.
        assignment_age_s: Returns how long ago the assignment was last known to be the newest.
        is_listed: Reads from the store whether it lists this incarnation now.
    """

    is_assignment_current: Callable[[], bool] = _is_current
    is_entry_current: Callable[[], bool] = _is_current
    may_tell: Callable[[], bool] = _is_current
    store_lag_s: Callable[[], float] = _no_lag_s
    restart_detection_s: float = 0.0
    entry_expiry_s: float = 0.0
    suspect_fence: int = 0
    assignment_age_s: Callable[[], float] = _no_lag_s
    is_listed: Callable[[], Awaitable[bool]] = _is_listed


ALL_IS_KNOWN = ServerKnowledge()
