"""Counts requests of a zone's workspaces while no limiter answers."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from greengagefall.quotas.arithmetic import fallback_permits, grant_window_s
from greengagefall.quotas.permit_bucket import Grant
from greengagefall.utils.hashing import hash64

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from greengagefall.gateway.model import OperatorLimits
    from greengagefall.gateway.view import HostRecord
    from greengagefall.utils.clock import Clock
    from greengagefall.workspaces.directory import Workspace

MS_PER_S = 1000.0


def choose_host(workspace: str, hosts: Iterable[str]) -> str | None:
    """Returns the host that rendezvous hashing gives a workspace to."""
    return max(hosts, key=lambda host: hash64(workspace, host), default=None)


class ZoneFallback:
    """Grants a small static share of the tolerance as the fallback host of this zone.

    A host that becomes the fallback host first waits one window, since an earlier process or host
    may have granted its share just before.

    Args:
        host: Name of this host.
        zone: Its zone.
        limits: Returns the limits of the operators, which may change.
        clock: Clock that counts suspended time.
    """

    def __init__(
        self, host: str, zone: str, limits: Callable[[], OperatorLimits], clock: Clock
    ) -> None:
        self._host = host
        self._zone = zone
        self._limits = limits
        self._clock = clock
        self._zones = 0
        self._chosen: dict[str, str | None] = {}
        self._since_s: dict[str, float] = {}
        self._granted_s: dict[str, deque[float]] = {}

    def update(self, names: Iterable[str], hosts: Mapping[str, HostRecord]) -> None:
        """Chooses the fallback hosts of this zone again after a change.

        Args:
            names: Workspaces with a limit.
            hosts: Entry hosts by name.
        """
        self._zones = len({record.zone for record in hosts.values()})
        # Hosts of earlier versions close the connection on which they are asked for permits.
        in_zone = [
            record.host
            for record in hosts.values()
            if record.zone == self._zone and record.reads_kinds
        ]
        self._chosen = {name: choose_host(name, in_zone) for name in names}
        now_s = self._clock.now_s()
        self._since_s = {
            name: self._since_s.get(name, now_s)
            for name, host in self._chosen.items()
            if host == self._host
        }
        self._granted_s = {
            name: times for name, times in self._granted_s.items() if name in self._since_s
        }

    def host_for(self, name: str) -> str | None:
        """Returns the fallback host of this zone for a workspace."""
        return self._chosen.get(name)

    def grant(self, workspace: Workspace, needed: int) -> Grant | None:
        """Grants permits; None if this host is not the fallback host of its zone."""
        since_s = self._since_s.get(workspace.name, math.inf)
        now_s = self._clock.now_s()
        window_s = grant_window_s(self._limits())
        if now_s < since_s + window_s:
            return None
        granted_s = self._granted_s.setdefault(workspace.name, deque())
        while granted_s and granted_s[0] <= now_s - window_s:
            granted_s.popleft()
        most = fallback_permits(workspace, self._limits(), self._zones)
        granted = max(0, min(needed, most - len(granted_s)))
        granted_s.extend([now_s] * granted)
        if granted == needed:
            return Grant(granted, 0)
        wait_s = granted_s[0] + window_s - now_s if granted_s else window_s
        return Grant(granted, max(1, int(wait_s * MS_PER_S)))
