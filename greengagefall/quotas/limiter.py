"""The limiter role: counts requests of workspaces under leases from the coordinator."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.quotas.arithmetic import limiter_shape
from greengagefall.quotas.permit_bucket import Grant, PermitBucket
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagefall.gateway.model import OperatorLimits
    from greengagefall.utils.clock import Clock
    from greengagefall.workspaces.directory import Workspace

log = logging.getLogger(__name__)

MS_PER_S = 1000.0


class _Role(NamedTuple):
    """A lease on the role for one workspace.

    Attributes:
        until_s: End of the lease on this host's clock.
        bucket: Its tokens, kept while the lease is renewed without interruption.
    """

    until_s: float
    bucket: PermitBucket


class LimiterRole:
    """The workspaces for which this host is the limiter.

    Args:
        limits: Returns the limits of the operators, which may change.
        clock: Clock that counts suspended time.
    """

    def __init__(self, limits: Callable[[], OperatorLimits], clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._roles: dict[str, _Role] = {}
        self._last_beat_s = 0.0
        self._returned = False

    def begin_heartbeat(self, sent_s: float) -> tuple[str, ...]:
        """Returns the workspaces to report in a heartbeat; earlier replies no longer count."""
        self._last_beat_s = sent_s
        self._drop_expired()
        return tuple(self._roles)

    def on_reply(
        self,
        sent_s: float,
        names: Iterable[str],
        lease_ms: int,
        workspaces: dict[str, Workspace],
    ) -> None:
        """Takes the roles of a reply; a lease counts from the sending of the heartbeat.

        A reply to an earlier heartbeat than the last is ignored: the last one reported the roles
        without those of that reply.

        Args:
            sent_s: When the heartbeat was sent.
            names: Workspaces whose role is granted.
            lease_ms: Duration of the leases.
            workspaces: Limited workspaces of this host's configuration.
        """
        self._drop_expired()
        until_s = sent_s + lease_ms / MS_PER_S
        if self._returned or sent_s != self._last_beat_s or self._clock.now_s() >= until_s:
            return
        for name in names:
            role = self._roles.get(name)
            if role is not None:
                self._roles[name] = role._replace(until_s=max(role.until_s, until_s))
            elif name in workspaces:
                shape = limiter_shape(workspaces[name], self._limits())
                self._roles[name] = _Role(until_s, PermitBucket(shape, self._clock))
                log.info("Became limiter of a workspace.", extra={"workspace": name})
                count("quota_roles", change="taken")

    def return_all(self) -> None:
        """Gives up all roles for good, since this host stops."""
        self._returned = True
        if self._roles:
            log.info("Returned the limiter roles.", extra={"workspaces": len(self._roles)})
            count("quota_roles", len(self._roles), change="returned")
        self._roles.clear()

    def grant(self, workspace: Workspace, needed: int, expected: int) -> Grant | None:
        """Grants permits for a workspace; None if this host is not its limiter."""
        role = self._roles.get(workspace.name)
        if role is None or self._clock.now_s() >= role.until_s:
            return None
        role.bucket.set_shape(limiter_shape(workspace, self._limits()))
        return role.bucket.take(needed, expected)

    def _drop_expired(self) -> None:
        now_s = self._clock.now_s()
        for name in [name for name, role in self._roles.items() if now_s >= role.until_s]:
            del self._roles[name]
            log.info("Lease on a limiter role expired.", extra={"workspace": name})
            count("quota_roles", change="expired")
