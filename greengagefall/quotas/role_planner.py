"""The coordinator's decisions about which host is the limiter of each workspace.

Safety rests on these rules, in which an election is the time at which the store accepted a
coordinator's record, and so is later than any verification of the coordinators before it:

- A lease ends at the latest ``ROLE_VALIDITY_S`` after the last verification of the coordinator.
- A coordinator gives a role to a host that does not hold it only within ``MOVE_VALIDITY_S`` of its
  last verification. Later it only renews leases that their holders report.
- A new coordinator does nothing for ``MOVE_VALIDITY_S`` after its election. Then no former one can
  choose a new holder any more, and a host that reports a role is its only possible holder.
- A report counts only if its heartbeat names this coordinator's token, and so was sent after that.
- Roles that nobody reports are free ``ROLE_VALIDITY_S`` after the election, or once every entry
  host has reported, by a view of the store from after the wait.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, NamedTuple

from greengagefall.quotas.fallback import choose_host
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagefall.gateway.view import ClusterView
    from greengagefall.protocol.gateway_messages import BeatReply, HostBeat
    from greengagefall.quotas.limited import LimitedWorkspaces
    from greengagefall.utils.clock import Clock
    from greengagefall.workspaces.directory import Workspace

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Covers the time without a coordinator after one was killed: 2 s until its record expires, up to
# 1 s for the election, the wait of the next coordinator, and three heartbeats. At 4 s some leases
# ended before they were reported, and their roles waited for ROLE_VALIDITY_S.
LIMITER_LEASE_S = 5.0
# A host without a heartbeat for this long gets no new roles.
HOST_TIMEOUT_S = 1.4
# A coordinator renews its record every 0.5 s.
MOVE_VALIDITY_S = 0.8
# As long as assignments are valid.
ROLE_VALIDITY_S = 8.0
# Covers rounding to milliseconds and clocks of different rates.
MARGIN_S = 0.05
# Roles beyond this multiple of a host's even share move to other hosts.
SURPLUS_RATIO = 2


class _Host(NamedTuple):
    """What the last heartbeat of a host said.

    Attributes:
        start_ms: Start time of its incarnation.
        received_s: When it was received.
        stopping: Whether the host stops; an incarnation that stops never continues.
        reported: Whether it has reported its roles to this coordinator.
    """

    start_ms: int
    received_s: float
    stopping: bool
    reported: bool


class _Holder(NamedTuple):
    """The host that holds a role.

    Attributes:
        host: Its name.
        start_ms: Start time of its incarnation.
        until_s: Latest end of its lease on this host's clock.
        adopted: Whether the lease is that of a former coordinator, so that it may end earlier.
    """

    host: str
    start_ms: int
    until_s: float
    adopted: bool


class RolePlanner:
    """Grants leases on limiter roles in replies to heartbeats.

    Args:
        view: Cluster view of this host.
        limited: Workspaces with a limit.
        clock: Clock that counts suspended time.
        verified_age_s: Returns the seconds since this host was last verified to be the only
            coordinator.
    """

    def __init__(
        self,
        view: ClusterView,
        limited: LimitedWorkspaces,
        clock: Clock,
        verified_age_s: Callable[[], float],
    ) -> None:
        self._view = view
        self._limited = limited
        self._clock = clock
        self._verified_age_s = verified_age_s
        self._elected_s = clock.now_s()
        own = view.host_incarnation
        self._token = f"{own.host}@{own.start_ms}@{int(self._elected_s * MS_PER_S)}"
        self._version = 1
        # Workspaces that the limiters of this version cover.
        self._covered: dict[str, Workspace] = {}
        self._all_reported = False
        self._hosts: dict[str, _Host] = {}
        self._holders: dict[str, _Holder] = {}

    def add_roles(self, beat: HostBeat, reply: BeatReply) -> BeatReply:
        """Records a heartbeat and returns its reply with the roles of the host added."""
        if not self._limited.current() or not self._view.reads_quotas(beat.host):
            return reply
        self._follow_limited()
        now_s = self._clock.now_s()
        if not self._record(beat, now_s):
            return reply
        age_s = self._verified_age_s()
        if now_s < self._elected_s + MOVE_VALIDITY_S + MARGIN_S or age_s >= ROLE_VALIDITY_S:
            return reply
        lease_s = min(LIMITER_LEASE_S, ROLE_VALIDITY_S - age_s)
        roles: list[str] = []
        if not beat.stopping:
            may_move = age_s < MOVE_VALIDITY_S
            roles = self._renewable(beat, now_s, may_move)
            if may_move:
                roles += self._new_roles(beat, now_s)
        for name in roles:
            self._set_holder(name, beat, now_s + lease_s + MARGIN_S)
        known = (beat.quota_token, beat.quota_version) == (self._token, self._version)
        return reply._replace(
            quota_token=self._token,
            quota_version=self._version,
            quota_roles=tuple(roles),
            quota_lease_ms=int(lease_s * MS_PER_S),
            quota_limiters=None if known else self._limiters(),
        )

    def _follow_limited(self) -> None:
        """Begins a version of the limiters if other workspaces have a limit than before."""
        limited = self._limited.current()
        if limited is self._covered:
            return
        if limited.keys() != self._covered.keys():
            self._version += 1
        self._covered = limited

    def _record(self, beat: HostBeat, now_s: float) -> bool:
        """Records a heartbeat; returns whether it is of the host's newest incarnation."""
        before = self._hosts.get(beat.host)
        if before is not None and before.start_ms > beat.start_ms:
            return False
        same = before is not None and before.start_ms == beat.start_ms
        stopping = beat.stopping or (same and before.stopping)
        reported = beat.quota_token == self._token
        self._hosts[beat.host] = _Host(
            beat.start_ms, now_s, stopping, reported or (same and before.reported)
        )
        self._free_returned(beat, stopping=stopping)
        if reported and not stopping:
            self._adopt(beat, now_s)
        return True

    def _free_returned(self, beat: HostBeat, *, stopping: bool) -> None:
        """Frees the roles of an earlier incarnation of a host, or of one that returned them."""
        ended = [
            name
            for name, holder in self._holders.items()
            if holder.host == beat.host
            and (holder.start_ms < beat.start_ms or (stopping and name not in beat.quota_roles))
        ]
        for name in ended:
            self._holders[name] = self._holders[name]._replace(until_s=-math.inf)

    def _adopt(self, beat: HostBeat, now_s: float) -> None:
        """Records the roles that a host holds from a former coordinator."""
        for name in beat.quota_roles:
            holder = self._holders.get(name)
            if holder is None:
                until_s = now_s + LIMITER_LEASE_S + MARGIN_S
                self._set_holder(name, beat, until_s, adopted=True)
            elif holder.until_s > now_s and not _is_of(holder, beat):
                count("quota_conflicts")
                log.error(
                    "Two hosts hold the limiter role of a workspace.",
                    extra={"workspace": name, "holder": holder.host, "reported_by": beat.host},
                )

    def _renewable(self, beat: HostBeat, now_s: float, may_move: bool) -> list[str]:
        """Returns the roles of a host whose lease is renewed."""
        limited = self._limited.current()
        held = [
            name
            for name, holder in self._holders.items()
            if name in limited and holder.until_s > now_s and _is_of(holder, beat)
        ]
        if not may_move:
            return [name for name in held if name in beat.quota_roles]
        eligible = self._eligible(now_s)
        if beat.host not in eligible:
            # Renewed once, so that the role is free when the lease ends.
            return [name for name in held if self._holders[name].adopted]
        even_share = math.ceil(len(limited) / max(1, len(eligible)))
        if len(held) <= SURPLUS_RATIO * even_share:
            return held
        moved = [name for name in held if choose_host(name, eligible) != beat.host]
        moved = moved[: len(held) - even_share]
        return [name for name in held if name not in moved]

    def _new_roles(self, beat: HostBeat, now_s: float) -> list[str]:
        """Returns the free roles that rendezvous hashing gives to a host."""
        unreported_free = self._unreported_are_free(now_s)
        free = [
            name
            for name in self._limited.current()
            if (self._holders[name].until_s <= now_s if name in self._holders else unreported_free)
        ]
        if not free:
            return []
        eligible = self._eligible(now_s)
        return [name for name in free if choose_host(name, eligible) == beat.host]

    def _unreported_are_free(self, now_s: float) -> bool:
        """Returns whether no host can hold a role that no host has reported."""
        if self._all_reported or now_s >= self._elected_s + ROLE_VALIDITY_S + MARGIN_S:
            return True
        seen_s = now_s - self._view.store_lag_s()
        if seen_s < self._elected_s + MOVE_VALIDITY_S or self._view.known_restores() > 0:
            return False
        self._all_reported = all(
            name in self._hosts
            and self._hosts[name].reported
            and self._hosts[name].start_ms >= record.start_ms
            for name, record in self._view.hosts.items()
        )
        return self._all_reported

    def _eligible(self, now_s: float) -> list[str]:
        """Returns the hosts that may be limiters.

        The coordinator's host is one only if it is alone: its roles would be lost together with the
        coordinator, and be free only after the wait of the next one.
        """
        current = [
            name
            for name, host in self._hosts.items()
            if host.reported and not host.stopping and now_s - host.received_s < HOST_TIMEOUT_S
        ]
        own = self._view.host_incarnation.host
        return [name for name in current if name != own] or current

    def _set_holder(
        self, name: str, beat: HostBeat, until_s: float, *, adopted: bool = False
    ) -> None:
        before = self._holders.get(name)
        self._holders[name] = _Holder(beat.host, beat.start_ms, until_s, adopted)
        if before is not None and before.host == beat.host:
            return
        self._version += 1
        count("quota_role_moves")
        log.info(
            "Limiter of a workspace changed.",
            extra={
                "workspace": name,
                "before": "" if before is None else before.host,
                "limiter": beat.host,
                "verified_age_ms": int(self._verified_age_s() * MS_PER_S),
            },
        )

    def _limiters(self) -> dict[str, list[str]]:
        limiters: dict[str, list[str]] = {}
        limited = self._limited.current()
        for name, holder in self._holders.items():
            if name in limited:
                limiters.setdefault(holder.host, []).append(name)
        return limiters


def _is_of(holder: _Holder, beat: HostBeat) -> bool:
    return (holder.host, holder.start_ms) == (beat.host, beat.start_ms)
