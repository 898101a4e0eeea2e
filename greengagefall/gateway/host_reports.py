"""Reports of the entry hosts to the coordinator about themselves, servers and key load."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from greengagefall.gateway.view import ASSIGNMENT_VALIDITY_S
from greengagefall.limits.server_queue import INITIAL_SERVICE_TIME_S, MIN_RATE_PER_S
from greengagefall.ownership.balance import LoadEstimate
from greengagefall.ownership.key_grants import MAX_DELIVERY_DELAY_S, max_grant_lifetime_s
from greengagefall.ownership.key_load import KeyRates
from greengagefall.ownership.model import HostIncarnation, ServerIncarnation
from greengagefall.ownership.shares import ServerCapacity

if TYPE_CHECKING:
    from collections.abc import Container, Iterable
    from typing import Any

    from greengagefall.gateway.model import ServerEntry
    from greengagefall.protocol.gateway_messages import HostBeat
    from greengagefall.utils.clock import Clock

log = logging.getLogger(__name__)

T = TypeVar("T")

MS_PER_S = 1000.0
# A host that sent no heartbeat for this long is no longer planned as a dispatcher.
HOST_TIMEOUT_S = 1.4
KEY_RATE_TIME_CONSTANT_S = 1.5
STEADY_RATE_TIME_CONSTANT_S = 6.0
# Weight of a heartbeat in the steady service time of a server.
STEADY_SERVICE_TIME_WEIGHT = 0.1
MIN_SERVICE_TIME_S = 0.005
# Acknowledged versions kept per host. Older ones can be dropped, since acknowledging a later
# version implies them.
MAX_ACKS = 64


class _Report(NamedTuple):
    """The last heartbeat of a host and when it was received."""

    heartbeat: HostBeat
    received_s: float


class _Ack(NamedTuple):
    """A version that a host has, and when the coordinator first learned of it."""

    version: int
    first_seen_s: float


class HostReports:
    """Heartbeats and acknowledgements of all hosts since this host became coordinator.

    Args:
        clock: Clock that counts suspended time.

    Attributes:
        down_servers: Ids of servers that their dispatchers report as down.
    """

    def __init__(self, clock: Clock) -> None:
        self.down_servers: set[str] = set()
        self._clock = clock
        self._reports: dict[str, _Report] = {}
        self._first_heartbeat_s: dict[HostIncarnation, float] = {}
        self._acks: dict[HostIncarnation, list[_Ack]] = {}
        self._rates: dict[str, KeyRates] = {}
        self._steady_rates: dict[str, KeyRates] = {}
        self._service_time_s: dict[str, float] = {}
        self._steady_service_time_s: dict[str, float] = {}
        self._rate_limits: dict[str, list[Any]] = {}
        self._suspect_fences: dict[ServerIncarnation, int] = {}

    def record_heartbeat(self, heartbeat: HostBeat) -> bool:
        """Records a heartbeat; returns whether the coordinator should plan again at once."""
        incarnation = HostIncarnation(heartbeat.host, heartbeat.start_ms)
        now_s = self._clock.now_s()
        self._first_heartbeat_s.setdefault(incarnation, now_s)
        before = self._reports.get(heartbeat.host)
        if before is not None and before.heartbeat.start_ms > heartbeat.start_ms:
            return False
        self._reports[heartbeat.host] = _Report(heartbeat, now_s)
        self.record_ack(incarnation, heartbeat.assignment_version)
        self._record_key_counts(heartbeat, now_s)
        health_changed = self._record_server_states(heartbeat)
        self._record_rate_limits(heartbeat)
        suspects = self._record_suspect_fences(heartbeat)
        known = before is not None and before.heartbeat.start_ms == heartbeat.start_ms
        return health_changed or suspects or not known or heartbeat.stopping

    def record_ack(self, host: HostIncarnation, version: int) -> None:
        """Records that a host has a version of the assignment."""
        acks = self._acks.setdefault(host, [])
        if acks and acks[-1].version >= version:
            return
        acks.append(_Ack(version, self._clock.now_s()))
        del acks[:-MAX_ACKS]

    def all_reported(self, names: Iterable[str], since_s: float = 0.0) -> bool:
        """Returns whether all these hosts have sent a heartbeat, at ``since_s`` or later."""
        return all(
            name in self._reports and self._reports[name].received_s >= since_s for name in names
        )

    def newest_version(self, since_s: float) -> tuple[int, str]:
        """Returns the newest assignment version that a live host reported, and the host.

        Args:
            since_s: Earlier reports are ignored.
        """
        since_s = max(since_s, self._clock.now_s() - HOST_TIMEOUT_S)
        versions = [
            (report.heartbeat.assignment_version, host)
            for host, report in self._reports.items()
            if report.received_s >= since_s
        ]
        return max(versions, default=(0, ""))

    def last_newest_s(self, version: int, since_s: float) -> float:
        """Returns when a version was last known to be the newest by a host that reported it.

        Args:
            version: The version.
            since_s: Earlier reports are ignored.
        """
        known_s = (
            report.received_s - report.heartbeat.assignment_age_ms / MS_PER_S
            for report in self._reports.values()
            if report.received_s >= since_s and report.heartbeat.assignment_version == version
        )
        return max(known_s, default=-math.inf)

    def has_current_report(self, host: HostIncarnation) -> bool:
        """Returns whether the last heartbeat of a host came from this incarnation."""
        report = self._reports.get(host.host)
        return report is not None and report.heartbeat.start_ms == host.start_ms

    def may_dispatch(self, host: HostIncarnation) -> bool:
        """Returns whether a host that has sent a heartbeat is alive and not stopping."""
        report = self._reports[host.host]
        since_heartbeat_s = self._clock.now_s() - report.received_s
        return not report.heartbeat.stopping and since_heartbeat_s < HOST_TIMEOUT_S

    def grants_expired_by_s(self, host: HostIncarnation, version: int, written_s: float) -> float:
        """Returns the time by which all grants sent under an older assignment have expired.

        Args:
            host: The host incarnation that sent the grants.
            version: First assignment version under which it no longer sends them.
            written_s: When that version was written.
        """
        expiry_s = MAX_DELIVERY_DELAY_S + max_grant_lifetime_s()
        for ack in self._acks.get(host, ()):
            if ack.version >= version:
                return ack.first_seen_s + expiry_s
        successors = [
            first_seen_s
            for other, first_seen_s in self._first_heartbeat_s.items()
            if other.host == host.host and other.start_ms > host.start_ms
        ]
        if successors:
            return min(successors) + expiry_s
        return written_s + ASSIGNMENT_VALIDITY_S + expiry_s

    def usable_servers(self, entries: Iterable[ServerEntry]) -> list[ServerEntry]:
        """Returns the entries of servers that are not reported as down."""
        return [entry for entry in entries if entry.server_id not in self.down_servers]

    def keep_servers(self, known: Container[str]) -> None:
        """Forgets what was reported about servers that are not known any more."""
        self.down_servers = {server_id for server_id in self.down_servers if server_id in known}
        self._rate_limits = _known_rows(self._rate_limits, known)
        self._suspect_fences = {
            owner: fence
            for owner, fence in self._suspect_fences.items()
            if owner.server_id in known
        }
        self._service_time_s = _known_rows(self._service_time_s, known)
        self._steady_service_time_s = _known_rows(self._steady_service_time_s, known)

    def rate_limits(self) -> tuple[list[Any], ...]:
        """Returns the rate limits that servers name, as ``AssignmentPush.rate_limits``."""
        return tuple(self._rate_limits.values())

    def is_suspect(self, owner: ServerIncarnation, fence: int) -> bool:
        """Returns whether keys of a server that may have restarted need a new fencing token."""
        return fence <= self._suspect_fences.get(owner, 0)

    def current_load(
        self, service: str, entries: Iterable[ServerEntry], cold_rate_per_s: float
    ) -> LoadEstimate:
        """Returns the load of a service over the last second or two."""
        return LoadEstimate(
            self._capacities(entries, self._service_time_s, cold_rate_per_s),
            self._up_to_now(self._rates, service, KEY_RATE_TIME_CONSTANT_S),
        )

    def steady_load(
        self, service: str, entries: Iterable[ServerEntry], cold_rate_per_s: float
    ) -> LoadEstimate:
        """Returns the load of a service over several seconds."""
        return LoadEstimate(
            self._capacities(entries, self._steady_service_time_s, cold_rate_per_s),
            self._up_to_now(self._steady_rates, service, STEADY_RATE_TIME_CONSTANT_S),
        )

    def _capacities(
        self,
        entries: Iterable[ServerEntry],
        service_times_s: dict[str, float],
        cold_rate_per_s: float,
    ) -> list[ServerCapacity]:
        """Returns the capacity of each server that is not reported as down.

        A missing service time is replaced by the mean of the others.
        """
        usable = self.usable_servers(entries)
        known_s = [
            service_times_s[entry.server_id]
            for entry in usable
            if entry.server_id in service_times_s
        ]
        mean_s = sum(known_s) / len(known_s) if known_s else INITIAL_SERVICE_TIME_S
        return [
            self._capacity(entry, service_times_s.get(entry.server_id, mean_s), cold_rate_per_s)
            for entry in usable
        ]

    def _capacity(
        self, entry: ServerEntry, service_time_s: float, cold_rate_per_s: float
    ) -> ServerCapacity:
        """Returns the capacity of a server; one with a rate limit counts as one of fewer slots."""
        service_time_s = max(MIN_SERVICE_TIME_S, service_time_s)
        rate_limit = self._rate_limits.get(entry.server_id)
        slots = float(entry.slots)
        if rate_limit is not None and rate_limit[1] == entry.start_ms:
            rate_per_s = max(MIN_RATE_PER_S, rate_limit[2])
            slots = min(slots, rate_per_s * service_time_s)
        return ServerCapacity(
            entry.incarnation,
            entry.zone,
            slots,
            service_time_s,
            cold_rate_per_s if entry.cold_remaining_s > 0 else float("inf"),
        )

    def _up_to_now(
        self, by_service: dict[str, KeyRates], service: str, time_constant_s: float
    ) -> KeyRates:
        rates = by_service.setdefault(service, KeyRates(time_constant_s))
        rates.decay_to(self._clock.now_s())
        rates.build_prefix_sums()
        return rates

    def _record_server_states(self, heartbeat: HostBeat) -> bool:
        """Records the state of a host's servers; returns whether the health of one changed."""
        changed = False
        for server_id, service_time_ms, _, _, up in heartbeat.server_states:
            service_time_s = service_time_ms / MS_PER_S
            self._service_time_s[server_id] = service_time_s
            steady_s = self._steady_service_time_s.get(server_id, service_time_s)
            steady_s += STEADY_SERVICE_TIME_WEIGHT * (service_time_s - steady_s)
            self._steady_service_time_s[server_id] = steady_s
            if up == (server_id not in self.down_servers):
                continue
            changed = True
            log.info(
                "Backend server's health changed.",
                extra={"server": server_id, "up": up, "by": heartbeat.host},
            )
            if up:
                self.down_servers.discard(server_id)
            else:
                self.down_servers.add(server_id)
        return changed

    def _record_rate_limits(self, heartbeat: HostBeat) -> None:
        """Replaces the rate limits of all servers that the host dispatches."""
        for server_id, *_ in heartbeat.server_states:
            self._rate_limits.pop(server_id, None)
        for row in heartbeat.rate_limits:
            self._rate_limits[row[0]] = row

    def _record_suspect_fences(self, heartbeat: HostBeat) -> bool:
        """Replaces the suspect fencing tokens of a host's servers; returns whether any are new."""
        reported = {
            ServerIncarnation(server_id, start_ms): fence
            for server_id, start_ms, fence in heartbeat.suspect_fences
        }
        new = reported.items() - self._suspect_fences.items()
        for incarnation, fence in new:
            log.info(
                "Backend server may have restarted unseen; its keys get new fencing tokens.",
                extra={"server": incarnation.server_id, "fence": fence, "by": heartbeat.host},
            )
        dispatched = {server_id for server_id, *_ in heartbeat.server_states}
        kept = {
            incarnation: fence
            for incarnation, fence in self._suspect_fences.items()
            if incarnation.server_id not in dispatched
        }
        self._suspect_fences = kept | reported
        return bool(new)

    def _record_key_counts(self, heartbeat: HostBeat, now_s: float) -> None:
        for service, keys_and_counts in heartbeat.key_counts:
            estimates = (
                self._rates.setdefault(service, KeyRates(KEY_RATE_TIME_CONSTANT_S)),
                self._steady_rates.setdefault(service, KeyRates(STEADY_RATE_TIME_CONSTANT_S)),
            )
            for rates in estimates:
                rates.decay_to(now_s)
                for key, requests in zip(keys_and_counts[::2], keys_and_counts[1::2], strict=True):
                    rates.add(key, requests)


def _known_rows(rows: dict[str, T], known: Container[str]) -> dict[str, T]:
    return {server_id: row for server_id, row in rows.items() if server_id in known}
